// grademux: the file of what was learned; see book.h.
#include "learned_state_file.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <nlohmann/json.hpp>

#include "../core/file.h"

namespace grademux::knowledge {

namespace {

using nlohmann::json;

constexpr std::size_t kFrame = 12;            // bytes before a payload
constexpr std::size_t kMostRecord = 1 << 16;  // a longer one is damage
constexpr std::size_t kMostFile = 256u << 20;
constexpr const char* kWhat = "grademux knowledge";

void number(std::string& out, std::uint64_t n, int bytes) {
  for (int i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(n >> (8 * i) & 0xff));
}
std::uint64_t numberAt(const std::string& in, std::size_t at, int bytes) {
  std::uint64_t n = 0;
  for (int i = 0; i < bytes; ++i)
    n |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]))
         << (8 * i);
  return n;
}

void frame(std::string& out, const json& record) {
  std::string payload;
  json::to_msgpack(record, payload);
  number(out, payload.size(), 4);
  number(out, XXH3_64bits(payload.data(), payload.size()), 8);
  out += payload;
}

// A field of the right kind, or what stands for unknown.
template <class T>
T value(const json& j, const char* name, T otherwise) {
  const auto at = j.find(name);
  if (at == j.end())
    return otherwise;
  if constexpr (std::is_same_v<T, std::string>)
    return at->is_string() ? at->get<std::string>() : otherwise;
  else if constexpr (std::is_same_v<T, bool>)
    return at->is_boolean() ? at->get<bool>() : otherwise;
  else if constexpr (std::is_floating_point_v<T>) {
    const double d = at->is_number() ? at->get<double>() : otherwise;
    return std::isfinite(d) && d >= 0 ? d : otherwise;
  } else
    return at->is_number_integer() ? at->get<T>() : otherwise;
}

// A moment, or a span: never before 1970, so that differences fit.
Micros moment(const json& j, const char* name) {
  return std::max<Micros>(0, value<Micros>(j, name, 0));
}

json shown(const LearnedRecord& k) {
  const LearnedEndpoint& l = k.learned;
  json j = {{"d", l.destination}, {"heard", l.last_outcome_at}};
  if (!l.endpoint.empty())
    j["e"] = l.endpoint;
  if (!k.address.empty())
    j["at"] = k.address;
  if (l.rate_limit > 0)
    j["limit"] = l.rate_limit;
  if (l.limit_is_reported)
    j["told"] = true;
  if (l.quota_fraction > 0)
    j["part"] = l.quota_fraction;
  if (l.samples > 0)
    j["usual"] = l.typical_latency, j["n"] = l.samples;
  if (l.unknown_outcome_fraction > 0)
    j["risk"] = l.unknown_outcome_fraction;
  if (l.message_rate > 0)
    j["traffic"] = l.message_rate, j["came"] = l.last_message_at;
  return j;
}

LearnedRecord knownOf(const json& j) {
  LearnedRecord k;
  LearnedEndpoint& l = k.learned;
  l.destination = value<std::int64_t>(j, "d", 0);
  l.last_outcome_at = moment(j, "heard");
  l.endpoint = value<std::string>(j, "e", "");
  k.address = value<std::string>(j, "at", "");
  l.rate_limit = value<double>(j, "limit", 0);
  l.limit_is_reported = value<bool>(j, "told", false);
  l.quota_fraction = value<double>(j, "part", 0);
  l.typical_latency = moment(j, "usual");
  l.samples = l.typical_latency > 0 ? std::max(0, value<int>(j, "n", 0)) : 0;
  l.unknown_outcome_fraction = std::min(1.0, value<double>(j, "risk", 0));
  l.message_rate = value<double>(j, "traffic", 0);
  l.last_message_at = moment(j, "came");
  return k;
}

json shown(const LearnedPool& p) {
  return {{"heard", p.last_outcome_at},       {"typical", p.mean_latency},
          {"n", p.latency_samples},           {"dead_score", p.stale_connection_score},
          {"dead_least", p.stale_after_idle}, {"dead_at", p.stale_observed_at}};
}
LearnedPool experienceOf(const json& j) {
  LearnedPool p;
  p.last_outcome_at = moment(j, "heard");
  p.mean_latency = value<double>(j, "typical", 0);
  p.latency_samples = std::max(0, value<int>(j, "n", 0));
  p.stale_connection_score = value<double>(j, "dead_score", 0);
  p.stale_after_idle = moment(j, "dead_least");
  p.stale_observed_at = moment(j, "dead_at");
  return p;
}

}  // namespace

std::string encode(const LearnedStateFile& book, std::uint64_t most_bytes, std::size_t& left_out) {
  std::string out;
  frame(out, {{"what", kWhat},
              {"form", kFormatVersion},
              {"sender", book.sender},
              {"written", book.written},
              {"pool", shown(book.pool)}});
  std::vector<const LearnedRecord*> newest;
  for (const LearnedRecord& k : book.records)
    newest.push_back(&k);
  const auto at = [](const LearnedRecord* k) {
    return std::max(k->learned.last_outcome_at, k->learned.last_message_at);
  };
  std::stable_sort(newest.begin(), newest.end(), [&](auto* a, auto* b) { return at(a) > at(b); });
  left_out = 0;
  for (std::size_t i = 0; i < newest.size(); ++i) {
    const std::size_t before = out.size();
    frame(out, shown(*newest[i]));
    if (out.size() <= most_bytes)
      continue;
    out.resize(before);
    left_out = newest.size() - i;
    break;
  }
  return out.size() <= most_bytes ? out : "";
}

DecodedFile decode(const std::string& bytes, const std::string& sender) {
  DecodedFile r;
  r.found = true;
  bool head = false;
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t left = bytes.size() - at;
    const std::uint64_t size = left >= kFrame ? numberAt(bytes, at, 4) : 0;
    if (left < kFrame || size > kMostRecord || size > left - kFrame) {
      ++r.damaged;  // no frame can be told from here on
      break;
    }
    const char* payload = bytes.data() + at + kFrame;
    const bool sound = XXH3_64bits(payload, size) == numberAt(bytes, at + 4, 8);
    at += kFrame + size;
    const json j =
        sound ? json::from_msgpack(payload, payload + size, true, false) : json(json::value_t::discarded);
    if (!j.is_object()) {
      ++r.damaged;
      if (!head)
        break;
      continue;
    }
    if (head) {
      r.state.records.push_back(knownOf(j));
      continue;
    }
    head = true;
    r.state.sender = value<std::string>(j, "sender", "");
    r.state.written = moment(j, "written");
    const int form = value<int>(j, "form", 0);
    if (value<std::string>(j, "what", "") != kWhat)
      r.error = "not a file of knowledge";
    else if (form != kFormatVersion)
      r.error =
          "it has form " + std::to_string(form) + ", " + std::to_string(kFormatVersion) + " is read here";
    else if (!sender.empty() && r.state.sender != sender)
      r.error = "it is of " + r.state.sender + ", this is " + sender;
    if (!r.error.empty())
      return r;
    const auto pool = j.find("pool");
    if (pool != j.end() && pool->is_object())
      r.state.pool = experienceOf(*pool);
  }
  if (!head)
    r.error = bytes.empty() ? "it is empty" : "its head is damaged";
  return r;
}

DecodedFile loadLearnedState(const std::string& path, const std::string& sender) {
  DecodedFile r;
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    r.found = errno != ENOENT;
    if (r.found)
      r.error = std::strerror(errno);
    return r;
  }
  std::string bytes;
  if (!readAll(fd, bytes, kMostFile))
    r.error = std::strerror(errno);
  ::close(fd);
  r.found = true;
  return r.error.empty() ? decode(bytes, sender) : r;
}

}  // namespace grademux::knowledge
