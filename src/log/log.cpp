// See log.h.
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

// Returns a value as a JSON string, so that no value can end the line or imitate another field.
std::string quote(std::string_view v) {
  return json(v).dump(-1, ' ', true, json::error_handler_t::replace);
}

bool isPlain(std::string_view v) {
  for (const char c : v)
    if (c <= ' ' || c >= 127 || c == '"' || c == '=' || c == '\\')
      return false;
  return !v.empty();
}

struct Log {
  Log() { apply(Config{}); }

  void apply(const Config& new_config) {
    auto new_logger = makeLogger(new_config);
    const std::lock_guard<std::mutex> l(mutex);
    config = new_config;
    rate_limiter = LineRateLimiter(kCount, new_config.rate, new_config.burst);
    logger = std::move(new_logger);
    for (std::size_t i = 0; i < kCount; ++i) {
      const std::string name = kEvents[i].name;
      const auto part = new_config.parts.find(name.substr(0, name.find('.')));
      const Level min_level = part == new_config.parts.end() ? new_config.level : part->second;
      enabled[i] = kEvents[i].level >= min_level && min_level != Level::off;
    }
  }

  static std::shared_ptr<spdlog::logger> makeLogger(const Config& settings) {
    try {
      std::shared_ptr<spdlog::sinks::sink> sink;
      if (settings.file.empty())
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
      else
        sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(settings.file);
      auto l = std::make_shared<spdlog::logger>("grademux", std::move(sink));
      l->set_level(spdlog::level::trace);
      l->flush_on(spdlog::level::trace);
      l->set_pattern(settings.json ? kJsonLine : kTextLine, spdlog::pattern_time_type::utc);
      return l;
    } catch (const spdlog::spdlog_ex& e) {
      throw std::runtime_error("can't open log file " + settings.file + ": " + e.what());
    }
  }

  // Requires the lock.
  void writeLine(Event e, std::initializer_list<Field> fields) {
    logger->log(spdlog::level::info, "{}", formatLine(e, fields, config.json));
  }
  void writeSuppressed(Micros now, bool all) {
    if (!rate_limiter.hasSuppressed())
      return;
    for (std::size_t i = 0; i < kCount; ++i)
      if (all || rate_limiter.hasToken(i, now))
        if (const std::size_t n = rate_limiter.takeSuppressed(i))
          writeLine(Event::log_suppressed, {{"event", kEvents[i].name}, {"lines", n}});
  }

  std::mutex mutex;
  Config config;
  LineRateLimiter rate_limiter{kCount, 0, 0};
  std::shared_ptr<spdlog::logger> logger;
  std::array<std::atomic<bool>, kCount> enabled{};
};

Log& log() {
  static Log* const instance = new Log;  // outlives every thread that may still write
  return *instance;
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

std::string formatLine(Event e, std::initializer_list<Field> fields, bool as_json) {
  const EventSpec& event_spec = specOf(e);
  std::string out =
      as_json ? "\"level\":" + quote(nameOf(event_spec.level)) + ",\"event\":" + quote(event_spec.name)
              : std::string(nameOf(event_spec.level)) + " " + event_spec.name;
  for (const Field& f : fields) {
    const auto* text = std::get_if<std::string_view>(&f.value);
    if (text && text->empty())
      continue;
    out += as_json ? ",\"" + std::string(f.name) + "\":" : " " + std::string(f.name) + "=";
    if (!text)
      out += std::to_string(std::get<std::int64_t>(f.value));
    else if (!as_json && isPlain(*text))
      out += *text;
    else
      out += quote(*text);
  }
  return out;
}

void configure(const Config& config) {
  log().apply(config);
}
void writeSuppressedCounts() {
  Log& l = log();
  const std::lock_guard<std::mutex> hold(l.mutex);
  l.writeSuppressed(0, true);
}

bool isEnabled(Event e) {
  return log().enabled[static_cast<std::size_t>(e)].load(std::memory_order_relaxed);
}

void write(Event e, std::initializer_list<Field> fields) {
  if (!isEnabled(e))
    return;
  Log& l = log();
  const Micros now = monotonicNow();
  const std::lock_guard<std::mutex> hold(l.mutex);
  if (!l.rate_limiter.allow(static_cast<std::size_t>(e), now))
    return;
  l.writeSuppressed(now, false);
  l.writeLine(e, fields);
}

}  // namespace grademux::log
