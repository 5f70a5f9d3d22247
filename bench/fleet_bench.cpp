// What a fleet costs a call: whether the sender may act, the version that it is decided under, and its stamp,
// beside the 30 us or so of processor that a message takes.
#include <benchmark/benchmark.h>

#include "../rig/child.h"
#include "../src/fleet/part.h"

namespace {

using namespace grademux;

// A store with one plan, which answers at once.
class OnePlan : public fleet::Store {
 public:
  explicit OnePlan(boost::asio::io_context& io) : io_(io) {
    fleet::Plan p;
    p.number = 1;
    p.strict = true;
    p.by = p.why = "bench";
    plan_ = shown(p).dump();
  }
  void read(const std::string& key, std::int64_t after, Micros, Done done) override {
    if (after > 0)
      return;  // held back for good
    fleet::Answered a;
    a.entries.push_back({key, plan_, "", 1});
    a.index = 1;
    answer(a, done);
  }
  void list(const std::string&, Done done) override { answer({}, done); }
  void swap(const std::string&, const std::string&, std::int64_t, Done done) override { answer({}, done); }
  void open(const std::string&, Micros, Done done) override { answer({}, done); }
  void renew(const std::string&, Done done) override { answer({}, done); }
  void close(const std::string&, Done done) override { answer({}, done); }
  void hold(const std::string&, const std::string&, const std::string&, Done done) override {
    answer({}, done);
  }

 private:
  void answer(fleet::Answered a, const Done& done) {
    a.ok = a.done = true;
    boost::asio::post(io_, [a, done] { done(a); });
  }
  boost::asio::io_context& io_;
  std::string plan_;
};

void fleetRight(benchmark::State& state) {
  const rig::Folder folder;
  boost::asio::io_context io;
  Worker worker(io);
  fleet::Spec spec;
  spec.name = "s0";
  spec.stamp = true;
  fleet::Part::Sender sender;
  sender.list = [] { return std::int64_t{7}; };
  sender.bring_up = [](const std::vector<fleet::Lack>&) {};
  sender.act = [](bool, const std::string&) {};
  sender.reshow = [](const std::vector<std::string>&) {};
  sender.rules = [] { return zones::Rules(); };
  sender.senders = [] { return 1; };
  fleet::Part part(io, worker, spec, std::make_unique<OnePlan>(io), folder.path(), 1, 1, std::move(sender));
  fleet::Own own;
  own.program = "0.4.0";
  own.settings = own.daemon = "0123456789abcdef";
  part.start(own, "start", {});
  while (!part.holds() && io.run_one() > 0)
    continue;
  for (auto _ : state) {
    if (!part.holds() || !part.holds())
      state.SkipWithError("it may not act");  // in the turn, at the first byte
    benchmark::DoNotOptimize(part.version().data());
    benchmark::DoNotOptimize(part.stamp(1));
  }
  part.release("end");
}
BENCHMARK(fleetRight)->Iterations(2'000'000);

}  // namespace
