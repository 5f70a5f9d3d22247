// grademux: the log; see log.h.
#include "log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>

#include "../core/clock.h"
#include "rate.h"

namespace grademux::log {

namespace {

using nlohmann::json;

constexpr auto kCount = static_cast<std::size_t>(Event::count);
constexpr const char* kTextLine = "%Y-%m-%dT%H:%M:%S.%eZ %v";
constexpr const char* kJsonLine = "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v}";
constexpr const char* kLevels[] = {"debug", "info", "warning", "error", "off"};

// As JSON has it, so that no value can end a line or look like another field.
std::string quoted(std::string_view v) {
  return json(v).dump(-1, ' ', true, json::error_handler_t::replace);
}

bool plain(std::string_view v) {
  for (const char c : v)
    if (c <= ' ' || c >= 127 || c == '"' || c == '=' || c == '\\')
      return false;
  return !v.empty();
}

struct Log {
  Log() { use(Spec{}); }

  void use(const Spec& fresh) {
    auto next = make(fresh);
    const std::lock_guard<std::mutex> l(mutex);
    spec = fresh;
    bound = RateBound(kCount, fresh.rate, fresh.burst);
    logger = std::move(next);
    for (std::size_t i = 0; i < kCount; ++i) {
      const std::string name = kEvents[i].name;
      const auto part = fresh.parts.find(name.substr(0, name.find('.')));
      const Level least = part == fresh.parts.end() ? fresh.level : part->second;
      enabled[i] = kEvents[i].level >= least && least != Level::off;
    }
  }

  static std::shared_ptr<spdlog::logger> make(const Spec& s) {
    try {
      std::shared_ptr<spdlog::sinks::sink> sink;
      if (s.file.empty())
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
      else
        sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(s.file);
      auto l = std::make_shared<spdlog::logger>("grademux", std::move(sink));
      l->set_level(spdlog::level::trace);
      l->flush_on(spdlog::level::trace);
      l->set_pattern(s.json ? kJsonLine : kTextLine, spdlog::pattern_time_type::utc);
      return l;
    } catch (const spdlog::spdlog_ex& e) {
      throw std::runtime_error("the log's file " + s.file + " can't be opened: " + e.what());
    }
  }

  // Under the lock.
  void line(Event e, std::initializer_list<Field> fields) {
    logger->log(spdlog::level::info, "{}", shown(e, fields, spec.json));
  }
  void tellLeftOut(Micros now, bool all) {
    if (!bound.anyLeftOut())
      return;
    for (std::size_t i = 0; i < kCount; ++i)
      if (all || bound.calm(i, now))
        if (const std::size_t n = bound.takeLeftOut(i))
          line(Event::log_suppressed, {{"event", kEvents[i].name}, {"lines", n}});
  }

  std::mutex mutex;
  Spec spec;
  RateBound bound{kCount, 0, 0};
  std::shared_ptr<spdlog::logger> logger;
  std::array<std::atomic<bool>, kCount> enabled{};
};

Log& log() {
  static Log* const one = new Log;  // outlives every thread that may still write
  return *one;
}

}  // namespace

const EventSpec& specOf(Event e) {
  return kEvents[static_cast<std::size_t>(e)];
}
const char* nameOf(Level l) {
  return kLevels[static_cast<std::size_t>(l)];
}
bool levelOf(const std::string& name, Level& out) {
  for (std::size_t i = 0; i < std::size(kLevels); ++i)
    if (name == kLevels[i]) {
      out = static_cast<Level>(i);
      return true;
    }
  return false;
}

std::string shown(Event e, std::initializer_list<Field> fields, bool as_json) {
  const EventSpec& spec = specOf(e);
  std::string out = as_json ? "\"level\":" + quoted(nameOf(spec.level)) + ",\"event\":" + quoted(spec.name)
                            : std::string(nameOf(spec.level)) + " " + spec.name;
  for (const Field& f : fields) {
    const auto* text = std::get_if<std::string_view>(&f.value);
    if (text && text->empty())
      continue;
    out += as_json ? ",\"" + std::string(f.name) + "\":" : " " + std::string(f.name) + "=";
    if (!text)
      out += std::to_string(std::get<std::int64_t>(f.value));
    else if (!as_json && plain(*text))
      out += *text;
    else
      out += quoted(*text);
  }
  return out;
}

void configure(const Spec& spec) {
  log().use(spec);
}
void finish() {
  Log& l = log();
  const std::lock_guard<std::mutex> hold(l.mutex);
  l.tellLeftOut(0, true);
}

bool on(Event e) {
  return log().enabled[static_cast<std::size_t>(e)].load(std::memory_order_relaxed);
}

void write(Event e, std::initializer_list<Field> fields) {
  if (!on(e))
    return;
  Log& l = log();
  const Micros now = monotonicNow();
  const std::lock_guard<std::mutex> hold(l.mutex);
  if (!l.bound.allow(static_cast<std::size_t>(e), now))
    return;
  l.tellLeftOut(now, false);
  l.line(e, fields);
}

}  // namespace grademux::log
