// Messages with one order key. A call for the first is reset, so its key rests. Meanwhile a second process
// replaces the first. Nothing may go for the second message until the rest is over.
#include "rig-2.h"

namespace {

constexpr int kRest = 4000;     // OrderPauseMs
constexpr double kWork = 2000;  // the first message's work goes on for so long after the reset

int check() {
  static std::atomic<double> reset_at{-1};
  static std::atomic<int> breaks{0}, second_calls{0}, state{0};
  auto& endpoint = *new rig::HttpServer([](const rig::Request& request, int& fd) {
    const std::string id = request.field("x-txn");
    if (request.body == "first") {
      rig::sleepUntil(request.last_byte + 100);
      reset_at = rig::now();
      rig::resetConnection(fd);
      fd = -1;
      rig::record.line("endpoint: call %s of the first message: connection reset, its work goes on",
                       id.c_str());
      rig::sleepMs(kWork);
      rig::record.line("endpoint: the work of the first message takes effect: the state is 'first'");
      state = 1;
      return false;
    }
    if (request.body == "second") {
      ++second_calls;
      const double after = request.first_byte - reset_at;
      rig::record.line("endpoint: call %s of the second message, %.0f ms after the reset", id.c_str(), after);
      if (after < kRest) {
        ++breaks;
        rig::record.line("BREAK: the key rests for %d ms", kRest);
      }
    }
    rig::sleepUntil(request.last_byte + 100);
    if (request.body == "second") {
      rig::record.line("endpoint: the work of the second message takes effect: the state is 'second'");
      state = 2;
    }
    return rig::sendAll(fd, rig::answer("200 OK"));
  });
  rig::Listed listed;
  listed.name = "s-1";
  listed.address = endpoint.address();
  auto& agent = *new rig::Agent({listed});
  rig::Platform platform(agent);
  platform.listenFor();
  rig::Settings settings;
  settings.order_pause = kRest;
  settings.classes[2].ordered = true;
  platform.writeConfig(platform.document(settings));
  rig::Process first_process, second_process;
  const int first_operators = rig::ownPort(), second_operators = rig::ownPort();
  platform.startAndWait(first_process, first_operators);
  rig::Client client(platform.port());
  rig::Message message;
  message.message_class = "payment";
  message.deadline = 24000;
  message.order = "00000000000000a7";
  for (const char* what : {"warm", "first", "second"}) {
    message.id = rig::newId();
    message.what = what;
    if (rig::put(client, message) != "+OK")
      throw rig::CannotRun{"a message was not taken on"};
    rig::sleepMs(what[0] == 'w' ? 500 : 20);
  }
  client.close();
  for (const double until = rig::now() + 5000; reset_at < 0 && rig::now() < until;)
    rig::sleepMs(5);
  if (reset_at < 0)
    throw rig::CannotRun{"the first message was not called"};
  rig::sleepMs(200);
  if (rig::hasTrouble()) {
    const char* how = std::getenv("HOW");
    if (how && std::string(how) == "kill") {
      first_process.kill();
      rig::sleepMs(600);
      platform.start(second_process, second_operators);
    } else {
      platform.start(second_process, second_operators);
      for (const double until = rig::now() + 6000;
           rig::operators(second_operators, "status").rfind("ACK", 0) != 0;) {
        if (rig::now() > until)
          throw rig::CannotRun{"the second process did not say yes"};
        rig::sleepMs(20);
      }
      rig::record.line("the second process says yes; SIGTERM to the first");
      first_process.signal(SIGTERM);
    }
  }
  rig::sleepUntil(reset_at + kRest + 3000);
  if (second_calls == 0)
    throw rig::CannotRun{"the second message was not called"};
  rig::record.line("at the end the state is '%s'%s", state == 2 ? "second" : "first",
                   state == 2 ? "" : ": the later message is lost, though its call was answered 200");
  return breaks;
}

}  // namespace

int main(int, char** words) {
  return rig::runCase(words[1], check);
}
