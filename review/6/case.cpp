// SIGHUP with a broken file: its number of attempts is no number. Nothing of it may hold, so payments may
// still not be repeated: one that may have run is not handed back.
#include "rig-2.h"

namespace {

int check() {
  static std::mutex mutex;
  static std::map<std::string, std::string> work_of;            // by message id
  static std::map<std::string, std::vector<std::string>> runs;  // by work: the ids under which it ran
  static std::vector<std::string> returned;                     // ids for which handed_back came
  auto& endpoint = *new rig::HttpServer([](const rig::Request& request, int& fd) {
    const std::string id = request.field("x-txn");
    bool first;
    {
      const std::lock_guard<std::mutex> guard(mutex);
      runs[request.body].push_back(id);
      first = runs[request.body].size() == 1;
    }
    rig::sleepUntil(request.last_byte + 150);
    const bool fails = first && request.body == "payment-1";
    rig::record.line("endpoint: ran %s, call %s: %s", request.body.c_str(), id.c_str(),
                     fails ? "reset" : "200");
    if (!fails)
      return rig::sendAll(fd, rig::answer("200 OK"));
    rig::resetConnection(fd);
    fd = -1;
    return false;
  });
  rig::Listed listed;
  listed.name = "s-1";
  listed.address = endpoint.address();
  auto& agent = *new rig::Agent({listed});
  agent.on_notice = [](const std::string& id, const std::string& outcome) {
    const std::lock_guard<std::mutex> guard(mutex);
    if (outcome == "handed_back")
      returned.push_back(id);
  };
  rig::Platform platform(agent);
  rig::Settings settings;
  platform.writeConfig(platform.document(settings));
  rig::Process sender;
  platform.startAndWait(sender);
  rig::Client client(platform.port());
  const auto pay = [&](const std::string& work) {
    rig::Message message;
    message.id = rig::newId();
    message.message_class = "payment";
    message.deadline = 24000;
    message.what = work;
    {
      const std::lock_guard<std::mutex> guard(mutex);
      work_of[message.id] = work;
    }
    rig::put(client, message);
  };
  pay("payment-0");
  rig::sleepMs(500);
  if (rig::hasTrouble()) {
    rig::Settings broken = settings;
    broken.classes[2].effect = "idempotent";
    broken.max_attempts = "null";
    platform.writeConfig(platform.document(broken));
    sender.signal(SIGHUP);
    rig::record.line("SIGHUP; the file has MaxAttempts null, and another effect for payments");
  }
  rig::sleepMs(1500);
  for (int i = 1; i <= 4; ++i) {
    pay("payment-" + std::to_string(i));
    rig::sleepMs(600);
  }
  // A client hands in again what was handed back to it.
  std::size_t seen = 0;
  for (const double until = rig::now() + 4000; rig::now() < until; rig::sleepMs(50)) {
    std::vector<std::string> again;
    {
      const std::lock_guard<std::mutex> guard(mutex);
      for (; seen < returned.size(); ++seen)
        again.push_back(work_of[returned[seen]]);
    }
    for (const std::string& work : again)
      pay(work);
  }
  const std::lock_guard<std::mutex> guard(mutex);
  if (runs.size() < 5)
    throw rig::CannotRun{"not every payment was called"};
  int breaks = 0;
  for (const auto& [work, ids] : runs)
    if (ids.size() > 1) {
      ++breaks;
      rig::record.line("BREAK: %s ran %zu times: as %s, which was handed back, and as %s", work.c_str(),
                       ids.size(), ids[0].c_str(), ids[1].c_str());
    }
  return breaks;
}

}  // namespace

int main(int, char** words) {
  return rig::runCase(words[1], check);
}
