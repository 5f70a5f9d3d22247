// grademux model: the command line. The last line of its output is one JSON object; exit status 0 only if the
// module kept all rules, 2 where the command or a file is wrong.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "experiment.h"
#include "fleet.h"
#include "report.h"

using namespace grademux;
using namespace grademux::model;

namespace {

bool tellMistakes(const std::vector<Mistake>& mistakes, const std::string& path) {
  for (const Mistake& m : mistakes)
    std::cerr << m.format(path) << '\n';
  return !mistakes.empty();
}

int runOne(const std::string& path, const std::string& name, std::uint64_t seed, bool series) {
  const Reading r = readWorld(path);
  if (tellMistakes(r.mistakes, path))
    return 2;
  const PolicySpec* p = policy(name);
  if (!p) {
    std::cerr << "no such policy: " << name << "; there are:";
    for (const PolicySpec& k : policies())
      std::cerr << "\n  " << k.name << ": " << k.says;
    std::cerr << '\n';
    return 2;
  }
  const auto begun = std::chrono::steady_clock::now();
  json f = Fleet(r.world, {p, seed, nullptr}).play();
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  f["wall_s"] = took;
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  f["peak_mb"] = static_cast<double>(used.ru_maxrss) / 1024;
  f["messages_a_wall_second"] = f["messages"].get<double>() / took;
  if (!series) {
    f.erase("over_time");
    f.erase("lost_over_time");
  }
  std::cout << f.dump() << '\n';
  return f["broken"] == 0 ? 0 : 1;
}

int experiment(const std::string& path, std::string folder, int jobs) {
  const ExperimentReading r = readExperiment(path);
  if (tellMistakes(r.mistakes, path))
    return 2;
  if (folder.empty())
    folder = "found/" + r.experiment.name;
  const bool terminal = ::isatty(STDERR_FILENO) != 0;
  const std::vector<json> runs =
      play(r.experiment, folder, jobs, [terminal](std::size_t done, std::size_t all) {
        if (terminal)
          std::cerr << '\r' << done << " of " << all << " runs" << (done == all ? "\n" : "") << std::flush;
      });
  const json s = summary(r.experiment, runs);
  std::ofstream(folder + "/summary.json") << s.dump(1) << '\n';
  std::ofstream(folder + "/experiment.json") << json{{"path", path}}.dump() << '\n';
  const std::string page = report(r.experiment, runs, s, folder);
  printSummary(s, std::cout);
  std::cout << "report: " << page << '\n';
  json last = {{"experiment", r.experiment.name},
               {"worlds", s["worlds"].size()},
               {"runs", runs.size()},
               {"rules_broken", s["rules_broken"]},
               {"report", page}};
  std::cout << last.dump() << '\n';
  return s["rules_broken"] == 0 ? 0 : 1;
}

int compareTwo(const std::string& folder, const std::string& a, const std::string& b) {
  std::ifstream in(folder + "/runs.jsonl");
  if (!in) {
    std::cerr << folder << "/runs.jsonl can't be read: `experiment` writes it\n";
    return 2;
  }
  std::map<std::string, std::map<std::uint64_t, std::pair<double, double>>> pairs;  // world, seed
  std::set<std::string> variants;
  for (std::string line; std::getline(in, line);) {
    const json r = json::parse(line, nullptr, false);
    if (!r.is_object())
      continue;
    variants.insert(r["variant"].get<std::string>());
    auto& p = pairs[r["world"]].try_emplace(r["seed"], -1, -1).first->second;
    if (r["variant"] == a)
      p.first = r["worth"];
    if (r["variant"] == b)
      p.second = r["worth"];
  }
  for (const std::string& v : {a, b})
    if (!variants.count(v)) {
      std::cerr << "no run of " << v << "; there are:";
      for (const std::string& k : variants)
        std::cerr << ' ' << k;
      std::cerr << '\n';
      return 2;
    }
  json last = json::object();
  for (const auto& [world, by_seed] : pairs) {
    std::vector<double> x, y;
    for (const auto& [seed, p] : by_seed)
      if (p.first >= 0 && p.second >= 0) {
        x.push_back(p.first);
        y.push_back(p.second);
      }
    const Difference d = compare(x, y);
    std::cout << world << ": " << a << " less " << b << ": " << d.median << " [" << d.least << ", " << d.most
              << "] over " << d.pairs << " pairs" << (d.seen() ? "" : "; no difference seen") << '\n';
    last[world] = {
        {"median", d.median}, {"interval", {d.least, d.most}}, {"pairs", d.pairs}, {"seen", d.seen()}};
  }
  std::cout << last.dump() << '\n';
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "grademux_model: senders, partners and clients in virtual time, with the real decision module"};
  app.require_subcommand(1);
  std::string path, name = "module", folder, a, b;
  std::vector<std::string> paths;
  std::uint64_t seed = 1;
  int jobs = 1;
  bool series = false;
  CLI::App* run = app.add_subcommand("run", "one run of a world");
  run->add_option("WORLD", path, "a file of TOML, as in model/worlds")->required();
  run->add_option("--policy", name, "who decides: module, or a baseline");
  run->add_option("--seed", seed, "of all that is drawn");
  run->add_flag("--series", series, "worth and losses by the second, too");
  CLI::App* check = app.add_subcommand("check", "tells every mistake in worlds");
  check->add_option("WORLD", paths, "files")->required();
  CLI::App* exp = app.add_subcommand("experiment", "worlds, policies and settings over seeds, compared");
  exp->add_option("FILE", path, "a file of TOML, as in model/experiments")->required();
  exp->add_option("--jobs", jobs, "runs at once")->check(CLI::Range(1, 256));
  exp->add_option("--out", folder, "for results; a run that is there already is not played again");
  CLI::App* cmp = app.add_subcommand("compare", "two variants of an experiment, paired by seed");
  cmp->add_option("FOLDER", folder, "its results")->required();
  cmp->add_option("A", a, "a variant")->required();
  cmp->add_option("B", b, "another")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  try {
    if (*run)
      return runOne(path, name, seed, series);
    if (*exp)
      return experiment(path, folder, jobs);
    if (*cmp)
      return compareTwo(folder, a, b);
    bool wrong = false;
    for (const std::string& p : paths)
      wrong = tellMistakes(readWorld(p).mistakes, p) || wrong;
    std::cout << json{{"worlds", paths.size()}, {"good", !wrong}}.dump() << '\n';
    return wrong ? 2 : 0;
  } catch (const std::exception& e) {
    std::cerr << "grademux_model: " << e.what() << '\n';
    return 2;
  }
}
