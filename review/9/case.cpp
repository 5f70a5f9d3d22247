// Discovery is slow: each of its answers takes 0.6 s from its first byte to its last. An endpoint is
// replaced: it drains, and another one is ready. Nothing new may go to the old one once the sender counts as
// told.
#include "rig-2.h"

namespace {

constexpr double kPause = 600;   // within each answer of discovery
constexpr double kSlow = 2500;   // from then on
constexpr double kDrain = 5000;  // the endpoint drains
constexpr double kTold = 6000;   // a change counts as told at the latest so long after discovery had it
constexpr double kGrace = 300;   // 250 ms, and 50 ms on sockets
constexpr double kEnd = 24000;

int check() {
  static std::atomic<double> draining_at{1e18};
  static std::atomic<int> breaks{0}, before{0};
  const auto serve = [](const char* name, bool drains) {
    return [name, drains](const rig::Request& request, int& fd) {
      const std::string id = request.field("x-txn");
      const bool draining = drains && request.first_byte >= draining_at;
      if (drains && !draining)
        ++before;
      if (drains && request.first_byte > draining_at + kTold + kGrace) {
        ++breaks;
        rig::record.line("BREAK: call %s came to %s, %.0f ms after it drained", id.c_str(), name,
                         request.first_byte - draining_at);
      }
      rig::sleepUntil(request.last_byte + 60);
      rig::record.line("endpoint %s: call %s: %s", name, id.c_str(), draining ? "503" : "200");
      return rig::sendAll(fd, rig::answer(draining ? "503 Service Unavailable" : "200 OK"));
    };
  };
  auto& drains = *new rig::HttpServer(serve("s-1", true));
  auto& stays = *new rig::HttpServer(serve("s-2", false));
  rig::Listed first, second;
  first.name = "s-1";
  first.address = drains.address();
  second.name = "s-2";
  second.address = stays.address();
  auto& agent = *new rig::Agent({first});
  rig::Platform platform(agent);
  platform.writeConfig(platform.document(rig::Settings()));
  rig::Process sender;
  platform.startAndWait(sender);
  std::thread([&agent, first, second]() mutable {
    rig::sleepUntil(kSlow);
    if (rig::hasTrouble())
      agent.pause_within_answer = kPause;
    rig::sleepUntil(kDrain);
    agent.change(second);
    first.status = "Terminating";
    draining_at = agent.change(first);
  }).detach();
  rig::Client client(platform.port());
  std::set<std::string> late;  // taken on after the sender counts as told
  const double begin = std::max(rig::now(), 500.0);
  for (int i = 0; begin + 200 * i < kEnd; ++i) {
    rig::sleepUntil(begin + 200 * i);
    rig::Message message;
    message.id = rig::newId();
    message.message_class = "status-update";
    message.deadline = 8000;
    if (rig::put(client, message) == "+OK" && rig::now() > kDrain + kTold && rig::now() < kEnd - 8000)
      late.insert(message.id);
  }
  rig::sleepMs(1500);
  int given_up = 0;
  for (const auto& [id, outcome] : agent.notices())
    given_up += static_cast<int>(late.count(id));
  rig::record.line(
      "of %zu messages that were taken on while s-2 stood ready for over %.0f s, %d were never delivered",
      late.size(), kTold / 1000, given_up);
  if (before < 3)
    throw rig::CannotRun{"too few calls came to the endpoint before it drained"};
  return breaks;
}

}  // namespace

int main(int, char** words) {
  return rig::runCase(words[1], check);
}
