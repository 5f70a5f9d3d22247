// Command line of grademux_replay. The last line of the output is one JSON object.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "losses.h"
#include "replay.h"

int main(int argc, char** argv) {
  CLI::App app{
      "grademux_replay: replays decisions that `grademux_sender --record FILE` recorded and compares the "
      "actions. Exit status 0: all actions are the same; 1: the first different action is printed; 2: the "
      "file can't be read."};
  std::string file;
  app.add_option("FILE", file, "file with recorded decisions")->required();
  bool show_losses = false;
  app.add_flag(
      "--losses", show_losses,
      "prints the lost priority weight: messages that were late or not delivered, and in which phase their "
      "time was spent; the last line is JSON");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    std::cerr << "grademux_replay: can't open the file: " << file << '\n';
    return 2;
  }
  if (show_losses) {
    const grademux::replay::Losses l = grademux::replay::analyzeLosses(in);
    if (!l.unreadable.empty())
      std::cerr << file << ": " << l.unreadable << '\n';
    print(l, std::cout);
    std::cout << toJson(l).dump() << '\n';
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
                              {"turns", r.iterations},
                              {"actions", r.actions},
                              {"cut", r.truncated},
                              {"same", same}}
                   .dump()
            << '\n';
  return !r.unreadable.empty() ? 2 : same ? 0 : 1;
}
