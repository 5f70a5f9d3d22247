// grademux_replay: the command line of the replay. Its last line of output is one JSON object.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "losses.h"
#include "replay.h"

int main(int argc, char** argv) {
  CLI::App app{
      "grademux_replay: has the decision module decide anew what "
      "`grademux_sender --record FILE` recorded. Exit status "
      "0: the same actions; 1: the first that differs is shown; 2: the file can't be read."};
  std::string file;
  app.add_option("FILE", file, "the record")->required();
  bool where = false;
  app.add_flag(
      "--losses", where,
      "tells where worth went: messages that came late or not at all, and in which part of their way; "
      "the last line is JSON");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    std::cerr << "grademux_replay: can't be read: " << file << '\n';
    return 2;
  }
  if (where) {
    const grademux::replay::Losses l = grademux::replay::losses(in);
    if (!l.unreadable.empty())
      std::cerr << file << ": " << l.unreadable << '\n';
    print(l, std::cout);
    std::cout << shown(l).dump() << '\n';
    return l.unreadable.empty() ? 0 : 2;
  }
  const grademux::replay::Report r = grademux::replay::replay(in);
  if (!r.unreadable.empty())
    std::cerr << file << ": " << r.unreadable << '\n';
  if (r.difference) {
    const auto& d = *r.difference;
    std::cout << file << ":" << d.line << ": at " << d.now << " us, action " << d.action
              << "\n  recorded: " << (d.recorded.empty() ? "none" : d.recorded)
              << "\n  decided:  " << (d.decided.empty() ? "none" : d.decided) << '\n';
  }
  const bool same = r.unreadable.empty() && !r.difference;
  std::cout << nlohmann::json{{"runs", r.runs},
                              {"turns", r.turns},
                              {"actions", r.actions},
                              {"cut", r.cut},
                              {"same", same}}
                   .dump()
            << '\n';
  return !r.unreadable.empty() ? 2 : same ? 0 : 1;
}
