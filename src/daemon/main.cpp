// grademux: the command line of the sender.
#include <CLI/CLI.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "../audit/command.h"
#include "../fleet/command.h"
#include "../knowledge/command.h"
#include "../membership/partners.h"
#include "../net/address.h"
#include "fleet_membership.h"
#include "service.h"
#include "version.h"

using namespace grademux;

namespace {

constexpr int kUnusable = 2;  // the exit status when configuration or command line can't be used

// Files and folders of partners, read as at a start: mistakes, and what stands against one another.
bool checkSources(const SourcesSpec& sources, PartnerTable& table) {
  bool good = true;
  const auto told = [&](const std::string& line) {
    std::cout << line << '\n';
    good = false;
  };
  table.declare("daemon file", sources.partners);
  for (const FolderSpec& f : sources.folders) {
    bool unsettled = false;
    FolderChanges news = FolderReader(f, sources.defaults).scan(false, unsettled);
    if (!news.unreadable.empty())
      told(f.path + ": " + news.unreadable);
    for (UnitChange& c : news.changes) {
      for (const Mistake& m : c.mistakes)
        told(m.in(c.unit));
      if (c.mistakes.empty())
        table.declare(c.unit, std::move(c.partners));
    }
  }
  for (const PartnerTable::Conflict& c : table.take().conflicts)
    told(c.unit + ": partner " + c.partner +
         (c.endpoint.empty() ? " or its number is also in " : ": " + c.endpoint + " is an endpoint of ") +
         c.owner);
  return good;
}

int check(const std::string& path, bool effective) {
  std::vector<Mistake> mistakes;
  const DaemonFile file = readDaemonFile(path, mistakes);
  for (const Mistake& m : mistakes)
    std::cout << m.in(path) << '\n';
  PartnerTable table;
  const bool good = !file.site || checkSources(file.site->sources, table);
  if (!mistakes.empty() || !good)
    return kUnusable;
  if (effective) {
    std::size_t widest = 0;
    for (const Effective& e : file.effective)
      widest = std::max(widest, e.key.size() + e.value.size() + 3);
    for (const Effective& e : file.effective) {
      const std::string line = e.key + " = " + e.value;
      std::cout << line << std::string(widest - line.size() + 2, ' ') << "# "
                << (e.line > 0 ? path + ":" + std::to_string(e.line) : "default") << '\n';
    }
    return 0;
  }
  std::cout << path << ": good, " << file.listeners.size() << " doors";
  if (file.site)
    std::cout << ", " << file.site->settings.classes.size() << " classes, " << table.partners()
              << " partners";
  std::cout << '\n';
  return 0;
}

int init(const std::string& folder) {
  namespace fs = std::filesystem;
  const fs::path path = fs::path(folder) / "grademux.toml";
  std::error_code e;
  fs::create_directories(folder, e);
  if (fs::exists(path, e)) {
    std::cerr << "grademux: " << path.string() << " is there already and is left as it is\n";
    return kUnusable;
  }
  std::ofstream out(path);
  if (!(out << kStarter) || !out.flush()) {
    std::cerr << "grademux: " << path.string() << " can't be written\n";
    return kUnusable;
  }
  std::cout << "wrote " << path.string() << "; next:\n  grademux_sender run --daemon " << path.string()
            << "\n  curl -X PUT localhost:8080/v1/messages/1 -H 'Content-Type: application/json' \\\n"
               "    -d '{\"class\":\"notice\",\"destination\":\"print-shop\",\"deadline_ms\":60000,"
               "\"body\":\"hello\"}'\n";
  return 0;
}

// Names begin with no digit, so that a number is one.
int forget(const std::string& folder, const std::string& which) {
  if (which.empty())
    return knowledge::forget(folder, std::nullopt);
  std::int64_t number = 0;
  const auto end = which.data() + which.size();
  const auto [rest, error] = std::from_chars(which.data(), end, number);
  return knowledge::forget(folder, error == std::errc() && rest == end ? number : numberOfName(which));
}

int run(const std::string& path, const Recording& recording) {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    // Signals are taken over before anything else: one that comes early waits until the loop runs.
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGHUP, SIGTERM, SIGINT);
    DaemonFile daemon;
    if (!path.empty()) {
      std::vector<Mistake> mistakes;
      daemon = readDaemonFile(path, mistakes);
      for (const Mistake& m : mistakes)
        std::cerr << m.in(path) << '\n';
      if (!mistakes.empty())
        return kUnusable;
      log::configure(daemon.log);
    }
    const bool platform = std::getenv("GW_CONFIG") && *std::getenv("GW_CONFIG");
    if (platform && daemon.site)
      throw std::runtime_error(
          path +
          ": GW_CONFIG is set and gives classes, partners, limits and journal: take these "
          "tables out, or unset GW_CONFIG to stand alone");
    if (!platform && !daemon.site)
      throw std::runtime_error(path.empty() ? "GW_CONFIG is not set; to stand alone a daemon file is needed: "
                                              "`grademux_sender init` writes one"
                                            : "GW_CONFIG is not set, and " + path +
                                                  " has no [[class]] and [[partner]]");
    Config config = platform ? readConfig() : configOf(*daemon.site, path);
    if (daemon.operators) {
      if (!config.mgmt.empty())
        throw std::runtime_error(
            path + ": the operators' address is given by `mgmt` or GW_MGMT: take [operators] out");
      config.mgmt = addressText(*daemon.operators);
    }
    serve(io, signals, std::move(config), std::move(daemon), recording);
  } catch (const std::exception& e) {
    std::cerr << "grademux: " << e.what() << '\n';
    return kUnusable;
  }
  return 0;
}

// The commands on a fleet: the same options on most of them.
struct FleetCommands {
  CLI::App *status, *show, *propose, *bind, *halt, *revert, *out, *in, *audit, *digest, *zones;
  std::map<CLI::App*, fleet::ZoneWord> zone_words;
  std::string daemon, name, at, strictness, config;
  fleet::Where where;
  fleet::Change change;
  audit::AuditQuery question;
  double lease_s = 0, binds_s = 0;
  bool as_json = false, at_once = false, region = false;

  explicit FleetCommands(CLI::App& app) {
    CLI::App* top =
        app.add_subcommand("fleet", "the fleet's plan, its senders, and what is on record of them");
    status = on(top, "status", "the plan and how each sender stands to it");
    status->add_flag("--json", as_json, "as one JSON object");
    CLI::App* plan = top->add_subcommand("plan", "the one document that all senders agree on");
    show = on(plan, "show", "prints it");
    show->add_flag("--json", as_json, "as one JSON object");
    propose = why(on(plan, "propose", "puts a plan that asks for something else in place"));
    propose->add_option("--like", change.like, "asks for the settings and daemon file of this sender");
    propose->add_option("--settings", change.settings, "a digest; '' for any");
    propose->add_option("--daemon-file", change.daemon, "a digest; '' for any");
    propose->add_option("--program", change.program, "the least version; '' for any");
    propose->add_option("--list", change.list_version, "the least version of the list of endpoints");
    propose->add_option("--mode", strictness, "strict: a sender whose lease has ended stops")
        ->check(CLI::IsMember({"strict", "lenient"}));
    propose->add_option("--lease", lease_s, "seconds that a sender acts on one read")
        ->check(CLI::Range(1.0, 3600.0));
    propose->add_option("--binds-after", binds_s, "seconds; no less than the lease before")
        ->check(CLI::Range(0.0, 86400.0));
    propose
        ->add_option("--most-shut-out", change.most_shut_out,
                     "share of the senders; past it the plan is halted")
        ->check(CLI::Range(0.0, 1.0));
    bind = why(on(plan, "bind", "asks for the same, and is strict"));
    halt = why(on(plan, "halt", "the needs of the plan before; this one went wrong"));
    revert = why(on(plan, "revert", "the needs of the plan before"));
    plan->require_subcommand(1);
    out = why(on(top, "shut-out", "a sender takes on nothing and calls nobody until it is readmitted"));
    in = why(on(top, "readmit", "takes that back"));
    for (CLI::App* a : {out, in})
      a->add_option("NAME", name, "the sender")->required();
    zones = on(top, "zones", "how the fleet stands to its zones, and who sees what there");
    zones->add_flag("--json", as_json, "as one JSON object");
    CLI::App* zone = top->add_subcommand("zone", "leaves a zone as one fleet, and comes back");
    const auto word = [&](const char* name_of, const char* says, fleet::ZoneWord w) {
      CLI::App* a = why(on(zone, name_of, says));
      a->add_option("NAME", name, "the zone")->required();
      a->add_flag("--region", region, "NAME is a region: all of its zones");
      zone_words[a] = w;
      return a;
    };
    word("leave", "no call goes in until it is told to return", fleet::ZoneWord::leave);
    word("return", "a few try it, then it gets more stage by stage", fleet::ZoneWord::come_back)
        ->add_flag("--at-once", at_once, "the module alone decides from now on");
    word("hold", "it stays as it is, whatever the senders see", fleet::ZoneWord::hold);
    word("release", "what the senders see decides again", fleet::ZoneWord::release);
    zone->require_subcommand(1);
    audit = on(top, "audit",
               "who acted by what, from trails and journals, also of senders that run; of others what the "
               "store knows");
    audit->add_option("FOLDER", question.folders, "state folders of senders");
    audit->add_option("--at", at, "how each stood then: 2026-12-01T10:00:00Z, or seconds since 1970");
    audit->add_option("--message", question.message, "under what its attempts were decided");
    audit->add_option("--version", question.plan, "who took this plan over, and when");
    audit->add_option("--sender", question.sender, "of this one alone");
    audit->add_flag("--gaps", question.gaps, "only what is not known");
    audit->add_flag("--json", question.as_json, "a JSON object a line");
    digest = top->add_subcommand("digest", "what a plan asks for when it asks for these files");
    digest->add_option("--config", config, "a platform's configuration, for its settings")->type_name("FILE");
    digest->add_option("--daemon", daemon, "a daemon file")->type_name("FILE");
    top->require_subcommand(1);
  }

  // The exit status; none if it was another command.
  std::optional<int> run() {
    try {
      if (audit->parsed()) {
        if (!at.empty() && !(question.at = audit::readTime(at)))
          throw std::runtime_error("--at: 2026-12-01T10:00:00Z or seconds since 1970 are expected, not " +
                                   at);
        if (!daemon.empty() || !where.store.empty()) {
          place();
          question.reports = summaries();
        } else if (question.folders.empty()) {
          throw std::runtime_error("state folders, --store or --daemon are expected");
        }
        return audit::audit(question);
      }
      if (digest->parsed())
        return digests();
      const auto word =
          std::find_if(zone_words.begin(), zone_words.end(), [](const auto& w) { return w.first->parsed(); });
      const auto asked = {status, show, propose, bind, halt, revert, out, in, zones};
      if (word == zone_words.end() &&
          std::none_of(asked.begin(), asked.end(), [](CLI::App* a) { return a->parsed(); }))
        return std::nullopt;
      place();
      if (!strictness.empty())
        change.strict = strictness == "strict";
      if (lease_s > 0)
        change.lease = static_cast<Micros>(lease_s * 1e6);
      if (propose->count("--binds-after") > 0)
        change.binds_after = static_cast<Micros>(binds_s * 1e6);
      if (word != zone_words.end())
        return fleet::zone(where, change, name, at_once ? fleet::ZoneWord::at_once : word->second, region);
      if (zones->parsed())
        return fleet::zones(where, as_json);
      if (status->parsed())
        return fleet::status(where, as_json);
      if (show->parsed())
        return fleet::showPlan(where, as_json);
      if (propose->parsed())
        return fleet::propose(where, change);
      if (bind->parsed())
        return fleet::bind(where, change);
      if (out->parsed() || in->parsed())
        return fleet::shutOut(where, change, name, out->parsed());
      return fleet::revert(where, change, halt->parsed());
    } catch (const std::exception& e) {
      std::cerr << "grademux: " << e.what() << '\n';
      return 1;
    }
  }

 private:
  std::vector<audit::SenderSummary> summaries() const {
    std::vector<audit::SenderSummary> all;
    for (const fleet::SenderReport& r : fleet::reports(where)) {
      all.push_back({r.name, r.compliance, r.reason, toJson(r.versions), r.at, r.live, {}});
      for (const fleet::ActionPeriod& a : r.action_history)
        all.back().action_history.push_back({a.from, a.plan, a.allowed});
    }
    return all;
  }
  CLI::App* on(CLI::App* parent, const char* word, const char* says) {
    CLI::App* a = parent->add_subcommand(word, says);
    a->add_option("--daemon", daemon, "the daemon file, whose [fleet] names the store")->type_name("FILE");
    a->add_option("--store", where.store, "addresses of the store, in place of the file's");
    a->add_option("--prefix", where.prefix, "of the fleet's keys (grademux)");
    return a;
  }
  CLI::App* why(CLI::App* a) {
    a->add_option("--why", change.why, "stands in the plan and in every trail")->required();
    a->add_option("--by", change.by, "who says so (user@host)");
    return a;
  }
  int digests() const {
    if (config.empty() && daemon.empty())
      throw std::runtime_error("--config FILE or --daemon FILE is expected");
    DaemonFile file;
    if (!daemon.empty()) {
      std::vector<Mistake> mistakes;
      file = readDaemonFile(daemon, mistakes);
      if (!mistakes.empty())
        throw std::runtime_error(mistakes[0].in(daemon));
    }
    Config of;
    if (!config.empty())
      of.settings = readSettingsOf(config);
    else if (file.site)
      of.settings = file.site->settings;
    const fleet::RunningVersions own = runningVersions(of, file);
    if (!config.empty() || file.site)
      std::cout << "settings " << own.settings << '\n';
    if (!daemon.empty())
      std::cout << "daemon-file " << own.daemon << '\n';
    return 0;
  }
  void place() {
    if (!daemon.empty()) {
      std::vector<Mistake> mistakes;
      const DaemonFile file = readDaemonFile(daemon, mistakes);
      if (!mistakes.empty())
        throw std::runtime_error(mistakes[0].in(daemon));
      if (!file.fleet)
        throw std::runtime_error(daemon + " has no [fleet]");
      if (where.store.empty())
        where.store = file.fleet->store;
      where.prefix = file.fleet->prefix;
    }
    if (where.store.empty())
      throw std::runtime_error("--daemon FILE or --store HOST:PORT is expected");
  }
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"grademux: a sender of outbound messages. GW_CONFIG and GW_STATE tell it of its platform."};
  app.set_version_flag("--version", programVersion());
  std::string daemon, file;
  app.add_option("--daemon", daemon, "the daemon file (TOML) with the product's own features")
      ->type_name("FILE");
  Recording recording;
  std::uint64_t most_mb = 1024;
  app.add_option("--record", recording.path, "adds what the decision module hears and answers to this file")
      ->type_name("FILE");
  app.add_option("--record-mb", most_mb, "recording ends when the file has this size (1024)")
      ->check(CLI::Range(1, 1 << 20));
  CLI::App* checks =
      app.add_subcommand("check", "checks a daemon file: a line for each mistake, exit status 2");
  checks->add_option("FILE", file, "the daemon file")->required();
  bool effective = false;
  checks->add_flag("--effective", effective, "prints every value in force and where it comes from");
  std::string folder = ".";
  CLI::App* inits = app.add_subcommand("init", "writes a daemon file to begin with, FOLDER/grademux.toml");
  inits->add_option("FOLDER", folder, "made if it isn't there (.)");
  CLI::App* runs = app.add_subcommand("run", "runs the sender, as without a subcommand");
  runs->add_option("--daemon", daemon, "the daemon file")->type_name("FILE");
  std::string state, which;
  bool as_json = false;
  CLI::App* knows = app.add_subcommand("knowledge", "what a sender has learned of its destinations");
  CLI::App* shows = knows->add_subcommand("show", "prints it, and how far it is still trusted");
  shows->add_option("FOLDER", state, "the folder of the journal")->required();
  shows->add_flag("--json", as_json, "as one JSON object");
  CLI::App* forgets = knows->add_subcommand("forget", "removes it; a sender that runs writes it again");
  forgets->add_option("FOLDER", state, "the folder of the journal")->required();
  forgets->add_option("--destination", which, "a partner's name, or a number; without it all");
  knows->require_subcommand(1);
  FleetCommands fleet_commands(app);
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kUnusable;
  }
  if (const auto done = fleet_commands.run())
    return *done;
  recording.most_bytes = most_mb << 20;
  if (inits->parsed())
    return init(folder);
  if (shows->parsed())
    return knowledge::show(state, as_json);
  if (forgets->parsed())
    return forget(state, which);
  return checks->parsed() ? check(file, effective) : run(daemon, recording);
}
