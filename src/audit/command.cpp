#include "command.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>

#include "../core/clock.h"
#include "query_output.h"

namespace grademux::audit {

namespace {

constexpr Micros kStoreClockAccuracy = 2'000'000;

// The state of one sender as of the record that was read last.
struct SenderState {
  std::string sender;
  std::string compliance = "?";
  json versions;
  Micros since = 0;
  bool running = false;
  bool has_records = false;
  bool has_store_clock = false;
  std::vector<AuditGap> gaps;

  void update(const AuditRecord& record);
  std::string describe() const;
};

void SenderState::update(const AuditRecord& record) {
  const std::string kind = record.record.value("kind", std::string());
  has_records = true;
  sender = record.sender;
  if (kind == "start")
    running = true;
  if (kind == "end")
    running = false;
  if (kind == "standing") {
    compliance = record.record.value("standing", std::string("?"));
    since = record.storeTime();
  }
  if (record.record.contains("own"))
    versions = record.record["own"];
}

std::string SenderState::describe() const {
  if (!has_records)
    return "unknown: nothing is on record before";
  return running ? compliance : "not running";
}

// The range of the offsets between the senders' clocks and the store's clock.
class ClockRange {
 public:
  void add(Micros offset) {
    min_offset_ = empty_ ? offset : std::min(min_offset_, offset);
    max_offset_ = empty_ ? offset : std::max(max_offset_, offset);
    empty_ = false;
  }
  Micros width() const { return max_offset_ - min_offset_; }

 private:
  bool empty_ = true;
  Micros min_offset_ = 0;
  Micros max_offset_ = 0;
};

bool adoptsPlan(const AuditRecord& record, std::int64_t plan) {
  const json versions = record.record.contains("own") ? record.record["own"] : json::object();
  return record.record.value("kind", "") == "taken over" && versions.value("plan", std::int64_t{-1}) == plan;
}

// Answers a query from the audit logs of the given folders.
class LogQuery {
 public:
  explicit LogQuery(const AuditQuery& query) : query_(query), states_(query.folders.size()) {}

  // Prints the answer. Returns whether it is complete.
  bool run();

 private:
  void onRecord(std::size_t index, const AuditRecord& record);
  void onGap(std::size_t index, const AuditGap& gap);
  void queryReports();
  void printState(std::size_t index);
  void printClocks() const;
  bool isWanted(const std::string& sender) const { return query_.sender.empty() || sender == query_.sender; }
  std::string nameOf(std::size_t index) const {
    return states_[index].sender.empty() ? query_.folders[index] : states_[index].sender;
  }

  const AuditQuery& query_;
  std::vector<SenderState> states_;  // by folder
  ClockRange clocks_;
  std::size_t logs_without_clock_ = 0;
  bool complete_ = true;
};

bool LogQuery::run() {
  std::vector<std::string> logs;
  for (const std::string& folder : query_.folders)
    logs.push_back(folder + "/trail");
  readAuditLogs(
      logs, [this](std::size_t index, const AuditRecord& record) { onRecord(index, record); },
      [this](std::size_t index, const AuditGap& gap) { onGap(index, gap); });
  queryReports();
  for (std::size_t index = 0; index < states_.size(); ++index) {
    const SenderState& state = states_[index];
    logs_without_clock_ += state.has_records && !state.has_store_clock ? 1 : 0;
    if (!state.has_records && !query_.at) {
      std::cerr << "grademux: no audit log in " << query_.folders[index] << '\n';
      complete_ = false;
    }
    if (query_.at && isWanted(state.sender))
      printState(index);
  }
  printClocks();
  return complete_;
}

void LogQuery::onRecord(std::size_t index, const AuditRecord& record) {
  SenderState& state = states_[index];
  if (record.store_clock_known) {
    state.has_store_clock = true;
    clocks_.add(record.store_clock_offset);
  }
  if (query_.at && record.storeTime() > *query_.at)
    return;
  state.update(record);
  if (query_.at || query_.gaps || !isWanted(record.sender))
    return;
  if (query_.plan && !adoptsPlan(record, *query_.plan))
    return;
  printResult(
      query_,
      {{"sender", record.sender},
       {"at", record.at},
       {"common", record.storeTime()},
       {"record", record.record}},
      utcText(record.storeTime(), true) + "  " + record.sender + "  " + describeRecord(record.record));
}

void LogQuery::onGap(std::size_t index, const AuditGap& gap) {
  if (query_.at) {
    if (gap.from <= *query_.at && (gap.to == 0 || *query_.at <= gap.to))
      states_[index].gaps.push_back(gap);
    return;
  }
  const std::string sender = nameOf(index);
  if (!isWanted(sender))
    return;
  complete_ = false;
  printGap(query_, sender, gap);
}

// Ignores the reports of senders whose folder is given.
void LogQuery::queryReports() {
  for (const SenderSummary& report : query_.reports) {
    const bool has_folder = std::any_of(states_.begin(), states_.end(), [&](const SenderState& state) {
      return state.sender == report.sender;
    });
    if (isWanted(report.sender) && !has_folder)
      complete_ = queryReport(query_, report) && complete_;
  }
}

void LogQuery::printState(std::size_t index) {
  const SenderState& state = states_[index];
  for (const AuditGap& gap : state.gaps) {
    printGap(query_, nameOf(index), gap);
    complete_ = false;
  }
  printResult(query_,
              {{"sender", state.sender},
               {"running", state.running},
               {"standing", state.compliance},
               {"since", state.since},
               {"own", state.versions}},
              nameOf(index) + ": " + state.describe() + " since " + utcText(state.since, true) + " " +
                  state.versions.dump());
}

void LogQuery::printClocks() const {
  if (query_.as_json)
    return;
  if (logs_without_clock_ > 0)
    std::cout
        << logs_without_clock_
        << " of the trails have no time of the store: their place in the order is by their own clocks\n";
  if (clocks_.width() > kStoreClockAccuracy)
    std::cout << "clocks of senders differ by up to " << clocks_.width() / 1000
              << " ms; the order is by the store's clock, which is known to within 2 s\n";
}

}  // namespace

std::optional<Micros> readTime(const std::string& text) {
  char* end = nullptr;
  const double seconds = std::strtod(text.c_str(), &end);
  if (end && *end == 0 && end != text.c_str() && seconds >= 0)
    return static_cast<Micros>(seconds * 1e6);
  std::tm time{};
  const char* rest = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &time);
  if (!rest)
    return std::nullopt;
  double fraction = 0;
  if (*rest == '.') {
    fraction = std::strtod(rest, &end);
    rest = end;
  }
  if (std::string(rest) != "Z")
    return std::nullopt;
  return static_cast<Micros>(::timegm(&time)) * 1'000'000 + static_cast<Micros>(fraction * 1e6);
}

int audit(const AuditQuery& query) {
  if (!query.message.empty())
    return queryMessage(query) ? 0 : 1;
  return LogQuery(query).run() ? 0 : 1;
}

}  // namespace grademux::audit
