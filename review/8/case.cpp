// A destination lowers its limit and tells callers how long to wait. Nothing may go there until the wait is
// over.
#include "rig.h"

namespace {

constexpr double kService = 150, kWait = 400;       // milliseconds; the wait is Retry-After: 0.4
constexpr double kLowered = 6000, kRaised = 15000;  // the limit is lowered for 9 s
constexpr double kGap = 400;            // lowered: there is room for one call in so many milliseconds
constexpr double kBetween = 650;        // between two messages of the client
constexpr char kTells[] = "ttnnttnnt";  // which of nine refusals tell a wait: 5, which is 56%
constexpr double kLetThrough = 150;     // after a wait was told: 100 ms, and 50 ms on sockets

int check() {
  static std::mutex mutex;
  static double room_at = 0;  // lowered: when there is room again
  static int refusals = 0;
  static int taken = 0;             // other senders take two of three such places at once
  static std::vector<double> told;  // when the answers with a wait were written
  static std::atomic<int> breaks{0}, calls{0};
  auto& endpoint = *new rig::HttpServer([](const rig::Request& request, int& fd) {
    const std::string id = request.field("x-txn");
    const double at = request.last_byte;
    ++calls;
    bool refused = false, tells = false;
    {
      const std::lock_guard<std::mutex> guard(mutex);
      for (const double wait : told)
        if (at > wait + kLetThrough && at < wait + kWait) {
          ++breaks;
          rig::record.line("BREAK: call %s came %.1f ms after a wait of %.0f ms was told", id.c_str(),
                           at - wait, kWait);
          break;
        }
      const bool lowered = rig::hasTrouble() && at >= kLowered && at < kRaised;
      for (room_at = std::max(room_at, kLowered); lowered && room_at <= at && taken++ % 3 != 2;)
        room_at += kGap;
      refused = lowered && room_at > at;
      if (lowered && !refused)
        room_at = at + kGap;
      if (refused)
        tells = kTells[refusals++ % 9] == 't';
    }
    if (refused && !tells) {
      rig::record.line("endpoint: call %s: 503", id.c_str());
      return rig::sendAll(fd, rig::answer("503 Service Unavailable"));
    }
    if (refused) {
      rig::record.line("endpoint: call %s: 429, Retry-After 0.4", id.c_str());
      const bool sent = rig::sendAll(fd, rig::answer("429 Too Many Requests", "Retry-After: 0.4\r\n"));
      const std::lock_guard<std::mutex> guard(mutex);
      told.push_back(rig::now());
      return sent;
    }
    rig::sleepUntil(at + kService);
    rig::record.line("endpoint: call %s: 200", id.c_str());
    return rig::sendAll(fd, rig::answer("200 OK"));
  });
  rig::Listed listed;
  listed.name = "s-1";
  listed.address = endpoint.address();
  listed.weight = 10;
  auto& agent = *new rig::Agent({listed});
  rig::Platform platform(agent);
  platform.writeConfig(platform.document(rig::Settings()));
  rig::Process sender;
  platform.startAndWait(sender);
  rig::Client client(platform.port());
  const double begin = std::max(rig::now(), 500.0);
  for (int i = 0; begin + kBetween * i < kRaised + 1000; ++i) {
    rig::sleepUntil(begin + kBetween * i);
    rig::Message message;
    message.id = rig::newId();
    message.message_class = "status-update";
    message.deadline = 28000;
    rig::put(client, message);
  }
  rig::sleepMs(1500);
  if (calls < 15)
    throw rig::CannotRun{"too few calls came"};
  return breaks;
}

}  // namespace

int main(int, char** words) {
  return rig::runCase(words[1], check);
}
