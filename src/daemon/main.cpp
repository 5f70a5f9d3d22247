// grademux: the command line of the sender.
#include <CLI/CLI.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "../knowledge/command.h"
#include "../membership/partners.h"
#include "../net/address.h"
#include "service.h"

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
    FolderNews news = FolderReader(f, sources.defaults).look(false, unsettled);
    if (!news.unreadable.empty()) told(f.path + ": " + news.unreadable);
    for (UnitChange& c : news.changes) {
      for (const Mistake& m : c.mistakes) told(m.in(c.unit));
      if (c.mistakes.empty()) table.declare(c.unit, std::move(c.partners));
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
  for (const Mistake& m : mistakes) std::cout << m.in(path) << '\n';
  PartnerTable table;
  const bool good = !file.site || checkSources(file.site->sources, table);
  if (!mistakes.empty() || !good) return kUnusable;
  if (effective) {
    std::size_t widest = 0;
    for (const Effective& e : file.effective) widest = std::max(widest, e.key.size() + e.value.size() + 3);
    for (const Effective& e : file.effective) {
      const std::string line = e.key + " = " + e.value;
      std::cout << line << std::string(widest - line.size() + 2, ' ') << "# "
                << (e.line > 0 ? path + ":" + std::to_string(e.line) : "default") << '\n';
    }
    return 0;
  }
  std::cout << path << ": good, " << file.doors.size() << " doors";
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
  if (which.empty()) return knowledge::forget(folder, std::nullopt);
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
      for (const Mistake& m : mistakes) std::cerr << m.in(path) << '\n';
      if (!mistakes.empty()) return kUnusable;
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

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"grademux: a sender of outbound messages. GW_CONFIG and GW_STATE tell it of its platform."};
  app.set_version_flag("--version", GRADEMUX_VERSION);
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
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) { return app.exit(e) == 0 ? 0 : kUnusable; }
  recording.most_bytes = most_mb << 20;
  if (inits->parsed()) return init(folder);
  if (shows->parsed()) return knowledge::show(state, as_json);
  if (forgets->parsed()) return forget(state, which);
  return checks->parsed() ? check(file, effective) : run(daemon, recording);
}
