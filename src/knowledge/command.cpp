// grademux: the command `knowledge`; see command.h.
#include "command.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "../core/clock.h"
#include "../core/file.h"
#include "learned_state_file.h"
#include "learned_state_store.h"
#include "trust_decay.h"

namespace grademux::knowledge {

namespace {

using nlohmann::json;

constexpr int kUnusable = 2;

std::string since(Micros at, Micros now) {
  if (at <= 0)
    return "-";
  const double s = static_cast<double>(now - at) / 1e6;
  std::ostringstream out;
  out << std::fixed << std::setprecision(0);
  if (s < 0)
    out << "ahead";
  else if (s < 120)
    out << s << " s";
  else if (s < 7200)
    out << s / 60 << " min";
  else if (s < 48 * 3600)
    out << s / 3600 << " h";
  else
    out << s / 86400 << " d";
  return out.str();
}

json shown(const LearnedRecord& k, Micros now) {
  const LearnedEndpoint& l = k.learned;
  const LearnedEndpoint a = decayed(l, now);
  const auto round = [](double x) {
    return static_cast<double>(static_cast<std::int64_t>(x * 1000 + 0.5)) / 1000;
  };
  json j = {
      {"destination", l.destination},
      {"limit", round(l.rate_limit)},
      {"told", l.limit_is_reported},
      {"part", round(l.quota_fraction)},
      {"usual_ms", round(static_cast<double>(l.typical_latency) / 1000)},
      {"traffic", round(l.message_rate)},
      {"risk", round(l.unknown_outcome_fraction)},
      {"heard_ms_ago", l.last_outcome_at > 0 ? json((now - l.last_outcome_at) / 1000) : json()},
      {"trust",
       {{"limit", a.rate_limit > 0 ? round(trustFactor(l.last_outcome_at, now, kLimitTrust)) : 0},
        {"part", a.quota_fraction > 0 ? round(trustFactor(l.last_outcome_at, now, kPartTrust)) : 0},
        {"usual", a.samples > 0 ? round(trustFactor(l.last_outcome_at, now, kLatencyTrust)) : 0},
        {"traffic", a.message_rate > 0 ? round(trustFactor(l.last_message_at, now, kTrafficTrust)) : 0}}}};
  if (!l.endpoint.empty())
    j["endpoint"] = l.endpoint, j["address"] = k.address;
  return j;
}

}  // namespace

int show(const std::string& folder, bool as_json) {
  const DecodedFile r = loadLearnedState(LearnedStateStore::pathIn(folder), "");
  if (!r.found || !r.error.empty()) {
    std::cerr << "grademux: " << LearnedStateStore::pathIn(folder) << ": "
              << (r.found ? r.error : "nothing is kept there") << '\n';
    return kUnusable;
  }
  const Micros now = unixNow();
  std::vector<LearnedRecord> known = r.state.records;
  std::sort(known.begin(), known.end(), [](const LearnedRecord& a, const LearnedRecord& b) {
    return std::tie(a.learned.destination, a.learned.endpoint) <
           std::tie(b.learned.destination, b.learned.endpoint);
  });
  if (as_json) {
    json all = json::array();
    for (const LearnedRecord& k : known)
      all.push_back(shown(k, now));
    std::cout << json{{"sender", r.state.sender},
                      {"written_ms_ago", (now - r.state.written) / 1000},
                      {"damaged", r.damaged},
                      {"known", std::move(all)}}
                     .dump()
              << '\n';
    return 0;
  }
  std::cout << "of " << r.state.sender << ", written " << since(r.state.written, now) << " ago, "
            << known.size() << " records";
  if (r.damaged > 0)
    std::cout << ", " << r.damaged << " damaged";
  std::cout
      << "\n  trust is in brackets: 1 as just learned, - not used any more\n"
      << "destination  endpoint                  heard      limit/s        part           latency ms      "
         "messages/s\n";
  const auto cell = [](double value, double trusted, bool used, int width) {
    std::ostringstream out;
    if (value > 0) {
      out << std::fixed << std::setprecision(value < 10 ? 2 : 0) << value << " (";
      if (used)
        out << std::setprecision(2) << trusted;
      else
        out << "-";
      out << ")";
    }
    std::string s = out.str();
    if (s.size() < static_cast<std::size_t>(width))
      s.resize(static_cast<std::size_t>(width), ' ');
    return s;
  };
  for (const LearnedRecord& k : known) {
    const LearnedEndpoint& l = k.learned;
    const LearnedEndpoint a = decayed(l, now);
    std::cout << std::left << std::setw(13) << l.destination << std::setw(26)
              << (l.endpoint.empty() ? "(all)" : l.endpoint) << std::setw(11) << since(l.last_outcome_at, now)
              << cell(l.rate_limit, trustFactor(l.last_outcome_at, now, kLimitTrust), a.rate_limit > 0, 15)
              << cell(l.quota_fraction, trustFactor(l.last_outcome_at, now, kPartTrust), a.quota_fraction > 0,
                      15)
              << cell(static_cast<double>(l.typical_latency) / 1000,
                      trustFactor(l.last_outcome_at, now, kLatencyTrust), a.samples > 0, 16)
              << cell(l.message_rate, trustFactor(l.last_message_at, now, kTrafficTrust), a.message_rate > 0,
                      0)
              << '\n';
  }
  return 0;
}

int forget(const std::string& folder, std::optional<std::int64_t> destination) {
  const std::string path = LearnedStateStore::pathIn(folder);
  DecodedFile r = loadLearnedState(path, "");
  if (!r.found) {
    std::cerr << "grademux: " << path << ": nothing is kept there\n";
    return kUnusable;
  }
  if (!destination) {
    if (::unlink(path.c_str()) != 0) {
      std::perror(("grademux: " + path).c_str());
      return kUnusable;
    }
    std::cout << "forgotten: all\n";
    return 0;
  }
  if (!r.error.empty()) {
    std::cerr << "grademux: " << path << ": " << r.error << '\n';
    return kUnusable;
  }
  const std::size_t before = r.state.records.size();
  auto& all = r.state.records;
  all.erase(std::remove_if(all.begin(), all.end(),
                           [&](const LearnedRecord& k) { return k.learned.destination == *destination; }),
            all.end());
  std::size_t left_out = 0;
  const std::string wrong = replaceFile(path, encode(r.state, UINT64_MAX, left_out));
  if (!wrong.empty()) {
    std::cerr << "grademux: " << path << ": " << wrong << '\n';
    return kUnusable;
  }
  std::cout << "forgotten: " << before - all.size() << " records\n";
  return before > all.size() ? 0 : kUnusable;
}

}  // namespace grademux::knowledge
