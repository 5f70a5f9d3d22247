// grademux: the command line of the sender.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "service.h"

using namespace grademux;

namespace {

constexpr int kUnusable = 2;  // the exit status when configuration or command line can't be used

int check(const std::string& path) {
  std::vector<Mistake> mistakes;
  const DaemonFile file = readDaemonFile(path, mistakes);
  for (const Mistake& m : mistakes) std::cout << m.in(path) << '\n';
  if (!mistakes.empty()) return kUnusable;
  std::cout << path << ": good, " << file.doors.size() << " doors\n";
  return 0;
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
    }
    serve(io, signals, readConfig(), std::move(daemon), recording);
  } catch (const std::exception& e) {
    std::cerr << "grademux: " << e.what() << '\n';
    return kUnusable;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"grademux: a sender of outbound messages. GW_CONFIG and GW_STATE tell it of its platform."};
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
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) { return app.exit(e) == 0 ? 0 : kUnusable; }
  recording.most_bytes = most_mb << 20;
  return checks->parsed() ? check(file) : run(daemon, recording);
}
