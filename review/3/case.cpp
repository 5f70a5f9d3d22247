// Case 3: a 200 whose first line comes in two pieces, on a spoilt answer, is not believed: the delivered message is
// sent and run again. See claim.txt.
#include "platform.h"

using namespace rig;

namespace {

// An answer whose first line says 200 and whose head can't be read.
const std::string kSpoilt = "HTTP/1.1 200 OK\r\nContent-Length: 4x7\r\n\r\nok";
constexpr std::size_t kFirstPiece = 10;  // "HTTP/1.1 2"
constexpr double kPauseMs = 40;          // between the pieces

struct Delivery {
  int calls = 0, calls_after = 0;
  double said_200_at = 0;  // when the first line with 200 was written whole
};

}  // namespace

int main(int, char** argv) {
  begin(argv[1]);
  const bool trouble = hasTrouble();
  std::mutex mutex;
  std::map<std::string, Delivery> deliveries;
  HttpServer partner([&](const Request& request) -> std::string {
    const std::string id = request.field("x-txn");
    int call = 0;
    {
      std::lock_guard<std::mutex> lock(mutex);
      Delivery& delivery = deliveries[id];
      call = ++delivery.calls;
      if (delivery.said_200_at > 0 && nowMs() - delivery.said_200_at > 100) {
        ++delivery.calls_after;
        note("BROKEN: " + id + " is called and run again, " + std::to_string(nowMs() - delivery.said_200_at) +
             " ms after 200 was written");
      }
    }
    note("partner: call " + std::to_string(call) + " with " + id + " is run");
    sleepMs(150);
    if (call > 1)
      return httpAnswer("200 OK");
    if (trouble) {
      sendAll(request.connection, kSpoilt.substr(0, kFirstPiece));
      sleepMs(kPauseMs);
      sendAll(request.connection, kSpoilt.substr(kFirstPiece));
    } else {
      sleepMs(kPauseMs);
      sendAll(request.connection, kSpoilt);
    }
    {
      std::lock_guard<std::mutex> lock(mutex);
      deliveries[id].said_200_at = nowMs();
    }
    note("partner: the first line with 200 for " + id + " is written, on a spoilt answer" +
         (trouble ? ", in two pieces" : ""));
    for (const double until = nowMs() + 5000; nowMs() < until && !hasEnded(request.connection);)
      sleepMs(5);  // the connection stays open and is of no further use
    return "";
  });
  Discovery discovery;
  discovery.set({"s-1", partner.address()});
  const Deployment deployment(discovery, smallSettings(),
                              {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}});
  SenderProcess sender;
  deployment.start(sender, "sender.log");

  Client client(deployment.port);
  std::vector<std::string> ids;
  for (int i = 0; i < 12; ++i) {
    const std::string id = idOf("d", i);
    const std::string values = i % 3 == 0   ? "c=status-update,d=12000,dest=1"
                               : i % 3 == 1 ? "c=print-order,d=12000,k=5c0f6e1a2b3d4c" + std::to_string(10 + i) + ",dest=1"
                                            : "c=payment,d=12000,dest=1";
    if (client.put(id, values, "order 2026/0042") == "+OK")
      ids.push_back(id);
    sleepMs(600);
  }
  sleepMs(13000);
  if (sender.hasEnded())
    cannotRun("the sender has ended");
  std::lock_guard<std::mutex> lock(mutex);
  int said = 0, again = 0, told_given_up = 0;
  for (const std::string& id : ids) {
    const Delivery& delivery = deliveries[id];
    said += delivery.said_200_at > 0;
    again += delivery.calls_after > 0;
    for (const Notice& notice : discovery.notices(id))
      told_given_up += notice.outcome == "given_up";
  }
  if (said < 6)
    cannotRun("too few messages were delivered");
  const std::string result = "taken on " + std::to_string(ids.size()) + ", answered 200 " + std::to_string(said) +
                             ", run again after it " + std::to_string(again) + ", given up after it " +
                             std::to_string(told_given_up);
  note((again > 0 ? "BROKEN: " : "held: ") + result);
  std::printf("%s: %s\n", again > 0 ? "broken" : "held", result.c_str());
  finish(again > 0 ? 1 : 0);
}
