// All calls take three times as long for the first 5 s, then as usual. After that one partner takes calls and
// answers none. Meanwhile a print order is delivered at another one. Nothing may be sent for it once its 200
// is written.
#include "rig-2.h"

namespace {

constexpr double kUpdate = 260, kOrder = 100;    // milliseconds that a call takes at partner 1
constexpr double kOther = 300;                   // at partner 2, which is slower
constexpr double kSilent = 6500, kBack = 16500;  // partner 2 takes calls and answers none for 10 s
constexpr double kSlow = 5000, kSlowness = 3;    // until then all calls take so many times as long
constexpr double kLate = 100;                    // a call that comes so long after the 200 was written
constexpr int kClump = 12;

double slowness(double at) {
  return rig::hasTrouble() && at < kSlow ? kSlowness : 1;
}

int check() {
  static std::mutex mutex;
  static std::map<std::string, double> delivered;  // when the 200 of a message was written
  static int breaks = 0, orders = 0;
  auto& first = *new rig::HttpServer([](const rig::Request& request, int& fd) {
    const std::string id = request.field("x-txn");
    {
      const std::lock_guard<std::mutex> guard(mutex);
      orders += request.body == "order";
      const auto before = delivered.find(id);
      if (before != delivered.end() && request.last_byte > before->second + kLate) {
        ++breaks;
        rig::record.line("BREAK: call %s came %.0f ms after the 200 for it was written", id.c_str(),
                         request.last_byte - before->second);
      }
    }
    const double usual = request.body == "order" ? kOrder : kUpdate;
    rig::sleepUntil(request.last_byte + usual * slowness(request.last_byte));
    if (!rig::sendAll(fd, rig::answer("200 OK")))
      return false;
    rig::record.line("partner 1: call %s (%s): 200", id.c_str(), request.body.c_str());
    const std::lock_guard<std::mutex> guard(mutex);
    delivered.emplace(id, rig::now());
    return true;
  });
  auto& second = *new rig::HttpServer([](const rig::Request& request, int& fd) {
    const std::string id = request.field("x-txn");
    if (rig::hasTrouble() && request.last_byte >= kSilent && request.last_byte < kBack) {
      rig::record.line("partner 2: call %s: no answer", id.c_str());
      rig::peerEnds(fd, 30000);
      rig::record.line("partner 2: call %s has been given up", id.c_str());
      return false;
    }
    rig::sleepUntil(request.last_byte + kOther * slowness(request.last_byte));
    rig::record.line("partner 2: call %s: 200", id.c_str());
    return rig::sendAll(fd, rig::answer("200 OK"));
  });
  rig::Listed one, two;
  one.name = "s-1";
  one.address = first.address();
  two.name = "s-2";
  two.address = second.address();
  two.destination = 2;
  auto& agent = *new rig::Agent({one, two});
  rig::Platform platform(agent);
  platform.writeConfig(platform.document(rig::Settings()));
  rig::Process sender;
  platform.startAndWait(sender);
  rig::Client client(platform.port());
  const auto put = [&](const char* message_class, int destination, const char* what) {
    rig::Message message;
    message.id = rig::newId();
    message.message_class = message_class;
    message.destination = destination;
    message.deadline = 28000;
    message.what = what;
    if (message.message_class == "print-order")
      message.key = "k" + message.id;
    rig::put(client, message);
  };
  // Partner 1 gets status updates, partner 2 print orders.
  for (double at = 500; at < kSilent - 400; at += 1000) {
    rig::sleepUntil(at);
    put("status-update", 1, "update");
    put("print-order", 2, "order");
  }
  rig::sleepUntil(kSilent + 50);
  put("print-order", 1, "order");
  rig::sleepMs(30);
  for (int i = 0; i < kClump; ++i)
    put("print-order", 2, "order");
  rig::sleepUntil(kSilent + 8000);
  const std::lock_guard<std::mutex> guard(mutex);
  if (orders == 0 || delivered.size() < 5)
    throw rig::CannotRun{"too few calls came to partner 1"};
  return breaks;
}

}  // namespace

int main(int, char** words) {
  return rig::runCase(words[1], check);
}
