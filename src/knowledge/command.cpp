#include "command.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <tuple>
#include <utility>
#include <vector>

#include "../core/clock.h"
#include "../core/file.h"
#include "learned_state_file.h"
#include "learned_state_store.h"
#include "trust_decay.h"

namespace grademux::knowledge {

namespace {

using nlohmann::json;

constexpr int kExitUnusable = 2;

constexpr int kDestinationWidth = 13;
constexpr int kEndpointWidth = 26;
constexpr int kAgeWidth = 11;
constexpr int kLimitWidth = 15;
constexpr int kQuotaWidth = 15;
constexpr int kLatencyWidth = 16;

double toMilliseconds(Micros span) {
  return static_cast<double>(span) / 1000;
}

double roundToThousandths(double value) {
  return static_cast<double>(std::llround(value * 1000)) / 1000;
}

// Formats the age of the time `at` in the largest unit that keeps two digits.
std::string formatAge(Micros at, Micros now) {
  if (at <= 0)
    return "-";
  const double seconds = static_cast<double>(now - at) / 1e6;
  std::ostringstream out;
  out << std::fixed << std::setprecision(0);
  if (seconds < 0)
    out << "ahead";
  else if (seconds < 120)
    out << seconds << " s";
  else if (seconds < 7200)
    out << seconds / 60 << " min";
  else if (seconds < 48 * 3600)
    out << seconds / 3600 << " h";
  else
    out << seconds / 86400 << " d";
  return out.str();
}

// The trust in each value of a record at present; 0: the value is no longer used.
struct RecordTrust {
  double limit = 0;
  double quota = 0;
  double latency = 0;
  double traffic = 0;
};

RecordTrust trustOf(const LearnedEndpoint& learned, Micros now) {
  const LearnedEndpoint used = trustedPart(learned, now);
  const Micros outcome_at = learned.last_outcome_at;
  RecordTrust trust;
  if (used.rate_limit > 0)
    trust.limit = trustFactor(outcome_at, now, kLimitTrust);
  if (used.quota_fraction > 0)
    trust.quota = trustFactor(outcome_at, now, kQuotaTrust);
  if (used.samples > 0)
    trust.latency = trustFactor(outcome_at, now, kLatencyTrust);
  if (used.message_rate > 0)
    trust.traffic = trustFactor(learned.last_message_at, now, kTrafficTrust);
  return trust;
}

json toJson(const LearnedRecord& record, Micros now) {
  const LearnedEndpoint& learned = record.learned;
  const RecordTrust trust = trustOf(learned, now);
  const bool has_outcome = learned.last_outcome_at > 0;
  json object = {{"destination", learned.destination},
                 {"limit", roundToThousandths(learned.rate_limit)},
                 {"told", learned.limit_is_reported},
                 {"part", roundToThousandths(learned.quota_fraction)},
                 {"usual_ms", roundToThousandths(toMilliseconds(learned.typical_latency))},
                 {"traffic", roundToThousandths(learned.message_rate)},
                 {"risk", roundToThousandths(learned.unknown_outcome_fraction)},
                 {"heard_ms_ago", has_outcome ? json((now - learned.last_outcome_at) / 1000) : json()},
                 {"trust",
                  {{"limit", roundToThousandths(trust.limit)},
                   {"part", roundToThousandths(trust.quota)},
                   {"usual", roundToThousandths(trust.latency)},
                   {"traffic", roundToThousandths(trust.traffic)}}}};
  if (!learned.endpoint.empty()) {
    object["endpoint"] = learned.endpoint;
    object["address"] = record.address;
  }
  return object;
}

void printJson(const DecodedFile& decoded, const std::vector<LearnedRecord>& records, Micros now) {
  json known_records = json::array();
  for (const LearnedRecord& record : records)
    known_records.push_back(toJson(record, now));
  const json document = {{"sender", decoded.state.sender},
                         {"written_ms_ago", (now - decoded.state.written) / 1000},
                         {"damaged", decoded.damaged},
                         {"known", std::move(known_records)}};
  std::cout << document.dump() << '\n';
}

// Formats a value with its trust in brackets, padded to `width`; blank if the value is unknown.
std::string formatCell(double value, double trust, int width) {
  std::ostringstream out;
  if (value > 0) {
    out << std::fixed << std::setprecision(value < 10 ? 2 : 0) << value << " (";
    if (trust > 0)
      out << std::setprecision(2) << trust;
    else
      out << "-";
    out << ")";
  }
  std::string text = out.str();
  if (text.size() < static_cast<std::size_t>(width))
    text.resize(static_cast<std::size_t>(width), ' ');
  return text;
}

void printRow(const LearnedRecord& record, Micros now) {
  const LearnedEndpoint& learned = record.learned;
  const RecordTrust trust = trustOf(learned, now);
  std::cout << std::left << std::setw(kDestinationWidth) << learned.destination << std::setw(kEndpointWidth)
            << (learned.endpoint.empty() ? "(all)" : learned.endpoint) << std::setw(kAgeWidth)
            << formatAge(learned.last_outcome_at, now)
            << formatCell(learned.rate_limit, trust.limit, kLimitWidth)
            << formatCell(learned.quota_fraction, trust.quota, kQuotaWidth)
            << formatCell(toMilliseconds(learned.typical_latency), trust.latency, kLatencyWidth)
            << formatCell(learned.message_rate, trust.traffic, 0) << '\n';
}

void printTable(const DecodedFile& decoded, const std::vector<LearnedRecord>& records, Micros now) {
  std::cout << "of " << decoded.state.sender << ", written " << formatAge(decoded.state.written, now)
            << " ago, " << records.size() << " records";
  if (decoded.damaged > 0)
    std::cout << ", " << decoded.damaged << " damaged";
  std::cout
      << "\n  trust is in brackets: 1 as just learned, - not used any more\n"
      << "destination  endpoint                  heard      limit/s        part           latency ms      "
         "messages/s\n";
  for (const LearnedRecord& record : records)
    printRow(record, now);
}

std::vector<LearnedRecord> sortedByDestination(std::vector<LearnedRecord> records) {
  std::sort(records.begin(), records.end(), [](const LearnedRecord& left, const LearnedRecord& right) {
    return std::tie(left.learned.destination, left.learned.endpoint) <
           std::tie(right.learned.destination, right.learned.endpoint);
  });
  return records;
}

int reportUnusable(const std::string& path, const std::string& cause) {
  std::cerr << "grademux: " << path << ": " << cause << '\n';
  return kExitUnusable;
}

int forgetAll(const std::string& path) {
  if (::unlink(path.c_str()) != 0) {
    std::perror(("grademux: " + path).c_str());
    return kExitUnusable;
  }
  std::cout << "forgotten: all\n";
  return 0;
}

int forgetDestination(const std::string& path, LearnedStateFile file, std::int64_t destination) {
  std::vector<LearnedRecord>& records = file.records;
  const std::size_t old_count = records.size();
  const auto is_of_destination = [destination](const LearnedRecord& record) {
    return record.learned.destination == destination;
  };
  records.erase(std::remove_if(records.begin(), records.end(), is_of_destination), records.end());
  std::size_t left_out = 0;
  const std::string error = replaceFile(path, encode(file, UINT64_MAX, left_out));
  if (!error.empty())
    return reportUnusable(path, error);
  std::cout << "forgotten: " << old_count - records.size() << " records\n";
  return old_count > records.size() ? 0 : kExitUnusable;
}

}  // namespace

int show(const std::string& folder, bool as_json) {
  const std::string path = LearnedStateStore::pathIn(folder);
  const DecodedFile decoded = loadLearnedState(path, "");
  if (!decoded.found)
    return reportUnusable(path, "nothing is kept there");
  if (!decoded.error.empty())
    return reportUnusable(path, decoded.error);
  const Micros now = unixNow();
  const std::vector<LearnedRecord> records = sortedByDestination(decoded.state.records);
  if (as_json)
    printJson(decoded, records, now);
  else
    printTable(decoded, records, now);
  return 0;
}

int forget(const std::string& folder, std::optional<std::int64_t> destination) {
  const std::string path = LearnedStateStore::pathIn(folder);
  DecodedFile decoded = loadLearnedState(path, "");
  if (!decoded.found)
    return reportUnusable(path, "nothing is kept there");
  if (!destination)
    return forgetAll(path);
  if (!decoded.error.empty())
    return reportUnusable(path, decoded.error);
  return forgetDestination(path, std::move(decoded.state), *destination);
}

}  // namespace grademux::knowledge
