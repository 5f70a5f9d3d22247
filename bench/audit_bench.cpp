// The reader of trails over a whole fleet: a day of 300 senders, 100 MB together, in one stream. The counters
// are what it holds: resident bytes beyond those before, and records a second.
#include <benchmark/benchmark.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "../harness/sender_process.h"
#include "../src/audit/audit_reader.h"
#include "../src/audit/command.h"
#include "../src/core/journal.h"

namespace {

using namespace grademux;

double residentBytes() {
  std::ifstream f("/proc/self/statm");
  double all = 0, resident = 0;
  f >> all >> resident;
  return resident * 4096;
}

// Trails of one day: a record each few seconds, as senders with a lively list write them.
std::vector<std::string> write(const std::string& folder, int senders, std::uint64_t bytes_each) {
  std::vector<std::string> all;
  for (int s = 0; s < senders; ++s) {
    all.push_back(folder + "/s" + std::to_string(s));
    audit::AuditBudget budget;
    budget.bytes = 8 * bytes_each;
    audit::AuditLog trail(all.back(), "s" + std::to_string(s), budget);
    const json own = {{"program", "0.4.0"},
                      {"settings", "3833e882ffb34cd4"},
                      {"daemon", "b27e53079bb8b2c3"},
                      {"list", 1},
                      {"plan", 7}};
    std::uint64_t written = 0;
    for (int n = 1; written < bytes_each; ++n) {
      json record = {{"kind", "version"}, {"number", n}, {"own", own}, {"was", n - 1}, {"ahead", s * 1000}};
      written += json::to_msgpack(record).size() + audit::kRecordHeaderSize + 20;
      trail.write(std::move(record), 1'700'000'000'000'000 + n * 30'000'000LL);
    }
  }
  return all;
}

void auditTrails(benchmark::State& state) {
  const harness::TemporaryFolder folder;
  const auto trails =
      write(folder.path(), static_cast<int>(state.range(0)), static_cast<std::uint64_t>(state.range(1)));
  const double before = residentBytes();
  double most = 0;
  std::int64_t records = 0, gaps = 0;
  for (auto _ : state) {
    audit::readAuditLogs(
        trails,
        [&](std::size_t, const audit::AuditRecord& e) {
          benchmark::DoNotOptimize(e.at);
          if (++records % 100'000 == 0)
            most = std::max(most, residentBytes() - before);
        },
        [&](std::size_t, const audit::AuditGap&) { ++gaps; });
  }
  if (gaps > 0)
    state.SkipWithError("there are gaps");
  state.SetItemsProcessed(records);
  state.SetBytesProcessed(state.iterations() * state.range(0) * state.range(1));
  state.counters["resident_mb"] = most / 1e6;
}
// `fleet audit --message` over as many folders, each with a trail and a journal of a thousand messages: the
// one that is asked for is in the last.
void auditMessage(benchmark::State& state) {
  const harness::TemporaryFolder folder;
  audit::AuditQuery q;
  const int senders = static_cast<int>(state.range(0));
  std::uint64_t journals = 0;
  for (int s = 0; s < senders; ++s) {
    q.folders.push_back(folder.path() + "/s" + std::to_string(s));
    std::filesystem::create_directory(q.folders.back());
    write(q.folders.back(), 1, static_cast<std::uint64_t>(state.range(1)));
    std::filesystem::rename(q.folders.back() + "/s0", q.folders.back() + "/trail");
    Journal j(q.folders.back(), 1 << 24);
    const std::uint32_t version = j.versionOf("{\"plan\":7}");
    for (int n = 0; n < 1000; ++n) {
      AcceptedMessage m;
      m.id = "m" + std::to_string(s) + "-" + std::to_string(n);
      m.message_class = "payment";
      m.body = std::string(200, 'b');
      if (!j.reserveSpace(m))
        return state.SkipWithError("the journal is full");
      j.recordAccepted(m);
      j.recordAttempt(m.id, {"e0", 1'700'000'000'000'000, false, version});
    }
    if (!j.flush())
      return state.SkipWithError("the journal could not be written");
    journals += std::filesystem::file_size(q.folders.back() + "/journal");
  }
  q.message = "m" + std::to_string(senders - 1) + "-500";
  const double before = residentBytes();
  for (auto _ : state) {
    const std::ostringstream said;
    std::streambuf* const out = std::cout.rdbuf(said.rdbuf());
    const int status = audit::audit(q);
    std::cout.rdbuf(out);
    if (status != 0 || said.str().find("plan") == std::string::npos)
      state.SkipWithError("not found");
  }
  state.counters["journals_mb"] = static_cast<double>(journals) / 1e6;
  state.counters["resident_mb"] = (residentBytes() - before) / 1e6;
}
BENCHMARK(auditMessage)->Args({300, 333'000})->Unit(benchmark::kMillisecond)->Iterations(1);

BENCHMARK(auditTrails)->Args({300, 333'000})->Unit(benchmark::kMillisecond)->Iterations(1);

}  // namespace
