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
#include "ageing.h"
#include "book.h"
#include "keeper.h"

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

json shown(const Known& k, Micros now) {
  const Lesson& l = k.lesson;
  const Lesson a = aged(l, now);
  const auto round = [](double x) {
    return static_cast<double>(static_cast<std::int64_t>(x * 1000 + 0.5)) / 1000;
  };
  json j = {{"destination", l.destination},
            {"limit", round(l.limit)},
            {"told", l.told},
            {"part", round(l.part)},
            {"usual_ms", round(static_cast<double>(l.usual) / 1000)},
            {"traffic", round(l.traffic)},
            {"risk", round(l.risk)},
            {"heard_ms_ago", l.heard > 0 ? json((now - l.heard) / 1000) : json()},
            {"trust",
             {{"limit", a.limit > 0 ? round(trust(l.heard, now, kLimitTrust)) : 0},
              {"part", a.part > 0 ? round(trust(l.heard, now, kPartTrust)) : 0},
              {"usual", a.samples > 0 ? round(trust(l.heard, now, kLatencyTrust)) : 0},
              {"traffic", a.traffic > 0 ? round(trust(l.came, now, kTrafficTrust)) : 0}}}};
  if (!l.endpoint.empty())
    j["endpoint"] = l.endpoint, j["address"] = k.address;
  return j;
}

}  // namespace

int show(const std::string& folder, bool as_json) {
  const Reading r = readBook(Keeper::pathIn(folder), "");
  if (!r.there || !r.refused.empty()) {
    std::cerr << "grademux: " << Keeper::pathIn(folder) << ": "
              << (r.there ? r.refused : "nothing is kept there") << '\n';
    return kUnusable;
  }
  const Micros now = unixNow();
  std::vector<Known> known = r.book.known;
  std::sort(known.begin(), known.end(), [](const Known& a, const Known& b) {
    return std::tie(a.lesson.destination, a.lesson.endpoint) <
           std::tie(b.lesson.destination, b.lesson.endpoint);
  });
  if (as_json) {
    json all = json::array();
    for (const Known& k : known)
      all.push_back(shown(k, now));
    std::cout << json{{"sender", r.book.sender},
                      {"written_ms_ago", (now - r.book.written) / 1000},
                      {"damaged", r.damaged},
                      {"known", std::move(all)}}
                     .dump()
              << '\n';
    return 0;
  }
  std::cout << "of " << r.book.sender << ", written " << since(r.book.written, now) << " ago, "
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
  for (const Known& k : known) {
    const Lesson& l = k.lesson;
    const Lesson a = aged(l, now);
    std::cout << std::left << std::setw(13) << l.destination << std::setw(26)
              << (l.endpoint.empty() ? "(all)" : l.endpoint) << std::setw(11) << since(l.heard, now)
              << cell(l.limit, trust(l.heard, now, kLimitTrust), a.limit > 0, 15)
              << cell(l.part, trust(l.heard, now, kPartTrust), a.part > 0, 15)
              << cell(static_cast<double>(l.usual) / 1000, trust(l.heard, now, kLatencyTrust), a.samples > 0,
                      16)
              << cell(l.traffic, trust(l.came, now, kTrafficTrust), a.traffic > 0, 0) << '\n';
  }
  return 0;
}

int forget(const std::string& folder, std::optional<std::int64_t> destination) {
  const std::string path = Keeper::pathIn(folder);
  Reading r = readBook(path, "");
  if (!r.there) {
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
  if (!r.refused.empty()) {
    std::cerr << "grademux: " << path << ": " << r.refused << '\n';
    return kUnusable;
  }
  const std::size_t before = r.book.known.size();
  auto& all = r.book.known;
  all.erase(std::remove_if(all.begin(), all.end(),
                           [&](const Known& k) { return k.lesson.destination == *destination; }),
            all.end());
  std::size_t left_out = 0;
  const std::string wrong = replaceFile(path, encode(r.book, UINT64_MAX, left_out));
  if (!wrong.empty()) {
    std::cerr << "grademux: " << path << ": " << wrong << '\n';
    return kUnusable;
  }
  std::cout << "forgotten: " << before - all.size() << " records\n";
  return before > all.size() ? 0 : kUnusable;
}

}  // namespace grademux::knowledge
