// What a fleet costs a call: whether the sender may act, the version that it is decided under, and its stamp,
// beside the 30 us or so of processor that a message takes.
#include <benchmark/benchmark.h>

#include "../harness/sender_process.h"
#include "../src/fleet/fleet_member.h"

namespace {

using namespace grademux;

// A store with one plan, which answers at once.
class OnePlan : public fleet::Store {
 public:
  explicit OnePlan(boost::asio::io_context& io) : io_(io) {
    fleet::Plan p;
    p.number = 1;
    p.strict = true;
    p.author = p.reason = "bench";
    plan_ = toJson(p).dump();
  }
  void read(const std::string& key, std::int64_t after, Micros, Callback done) override {
    if (after > 0)
      return;  // held back for good
    fleet::StoreReply reply;
    reply.entries.push_back({key, plan_, "", 1});
    reply.index = 1;
    answer(reply, done);
  }
  void listPrefix(const std::string&, Callback done) override { answer({}, done); }
  void compareAndSwap(const std::string&, const std::string&, std::int64_t, Callback done) override {
    answer({}, done);
  }
  void openSession(const std::string&, Micros, Callback done) override { answer({}, done); }
  void renewSession(const std::string&, Callback done) override { answer({}, done); }
  void destroySession(const std::string&, Callback done) override { answer({}, done); }
  void acquireKey(const std::string&, const std::string&, const std::string&, Callback done) override {
    answer({}, done);
  }

 private:
  void answer(fleet::StoreReply reply, const Callback& done) {
    reply.applied = true;
    boost::asio::post(io_, [reply, done] { done(reply); });
  }
  boost::asio::io_context& io_;
  std::string plan_;
};

void fleetRight(benchmark::State& state) {
  const harness::TemporaryFolder folder;
  boost::asio::io_context io;
  Worker worker(io);
  fleet::FleetConfig spec;
  spec.name = "s0";
  spec.send_version_header = true;
  fleet::FleetMember::Callbacks sender;
  sender.list_version = [] { return std::int64_t{7}; };
  sender.catch_up = [](const std::vector<fleet::MissingRequirement>&) {};
  sender.set_allowed = [](bool, const std::string&) {};
  sender.refresh_endpoints = [](const std::vector<std::string>&) {};
  sender.zone_policy = []() -> const zones::ZonePolicy& {
    static const zones::ZonePolicy policy;
    return policy;
  };
  sender.sender_count = [] { return 1; };
  fleet::FleetMember part(io, worker, spec, std::make_unique<OnePlan>(io), folder.path(), 1, 1,
                          std::move(sender));
  fleet::RunningVersions own;
  own.program = "0.4.0";
  own.settings = own.daemon = "0123456789abcdef";
  part.start(own, "start", {});
  while (!part.isActionAllowed() && io.run_one() > 0)
    continue;
  for (auto _ : state) {
    if (!part.isActionAllowed() || !part.isActionAllowed())
      state.SkipWithError("it may not act");  // in the turn, at the first byte
    benchmark::DoNotOptimize(part.version().data());
    benchmark::DoNotOptimize(part.versionStamp(1));
  }
  part.release("end");
}
BENCHMARK(fleetRight)->Iterations(2'000'000);

}  // namespace
