// A discovery agent on loopback whose answers are slow, stop, trickle, or fail, as a script says for each
// request. It waits for changes and takes notices as the platform's agent does.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "loopback.h"

namespace grademux::loopback {

// How one answer is written.
struct Pace {
  enum class PauseAt { before_status_line, in_status_line, before_body, in_body };
  enum class Framing { content_length, chunked, until_close };
  // `unavailable`: a 503 instead of the list. `trickles`: a byte of the body each 100 ms, without end.
  enum class End { complete, stops, trickles, resets, unavailable };

  std::chrono::milliseconds pause{0};  // in the middle of the answer
  PauseAt pause_at = PauseAt::in_body;
  Framing framing = Framing::content_length;
  End end = End::complete;
};

class SlowAgent {
 public:
  // The pace of the n-th poll, from 0.
  using Script = std::function<Pace(int poll)>;

  explicit SlowAgent(Script script, json endpoints = json::array())
      : script_(std::move(script)),
        list_(std::move(endpoints)),
        server_([this](const Seen& request) { return onRequest(request); }) {}
  ~SlowAgent() {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_ = true;
    changed_.notify_all();
  }
  std::string address() const { return server_.address(); }

  // A new version of the list, with these entries changed.
  long change(const json& entries) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    for (const json& entry : entries) {
      const auto isSame = [&](const json& known) { return known["name"] == entry["name"]; };
      const auto known = std::find_if(list_.begin(), list_.end(), isSame);
      known == list_.end() ? list_.push_back(entry) : void(*known = entry);
      changes_.emplace_back(version_, entry);
    }
    changed_.notify_all();
    return version_;
  }
  long version() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return version_;
  }
  // How the acknowledgements of notices are written; from the start, one is written at once.
  void setNoticePace(Pace pace) {
    const std::lock_guard<std::mutex> lock(mutex_);
    notice_pace_ = pace;
  }
  // How many messages the notices have named.
  std::size_t noticedMessages() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return noticed_.size();
  }

 private:
  static constexpr std::chrono::milliseconds kTrickleInterval{100};
  static constexpr int kTrickledBytes = 600;  // more than a test waits for

  Act onRequest(const Seen& request) {
    if (request.head.rfind("POST /v1/notices", 0) == 0)
      return onNotices(request);
    std::unique_lock<std::mutex> lock(mutex_);
    const Pace pace = script_(polls_++);
    const long from = numberAfter(request.head, "from=", -1);
    const long hold_ms = numberAfter(request.head, "hold_ms=", 0);
    if (pace.end != Pace::End::unavailable)
      changed_.wait_for(lock, std::chrono::milliseconds(hold_ms), [&] { return stop_ || version_ > from; });
    json entries = json::array();
    for (const auto& [version, entry] : changes_)
      if (from >= 0 && version > from)
        entries.push_back(entry);
    const json body{{"index", version_}, {"snapshot", from < 0}, {"endpoints", from < 0 ? list_ : entries}};
    return write(pace, "200 OK", body.dump());
  }

  Act onNotices(const Seen& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::istringstream lines(request.body);
    for (std::string line; std::getline(lines, line);)
      noticed_.insert(json::parse(line)["message"].get<std::string>());
    return write(notice_pace_, "204 No Content", "");
  }

  static long numberAfter(const std::string& text, const std::string& name, long fallback) {
    const auto at = text.find(name);
    return at == std::string::npos ? fallback : std::stol(text.substr(at + name.size()));
  }

  static std::string headOf(const Pace& pace, const std::string& status, std::size_t length) {
    std::string head = "HTTP/1.1 " + status + "\r\n";
    if (pace.framing == Pace::Framing::chunked)
      head += "Transfer-Encoding: chunked\r\n";
    else if (pace.framing == Pace::Framing::until_close)
      head += "Connection: close\r\n";
    else if (status.rfind("204", 0) != 0)
      head += "Content-Length: " + std::to_string(length) + "\r\n";
    return head + "\r\n";
  }

  static std::string chunkOf(const std::string& part) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    return size + part + "\r\n";
  }

  // The body in two parts, which need not be pieces on the wire.
  static std::string framedBody(const Pace& pace, const std::string& body) {
    if (pace.framing != Pace::Framing::chunked || body.empty())
      return body;
    const std::size_t half = body.size() / 2;
    return chunkOf(body.substr(0, half)) + chunkOf(body.substr(half)) + "0\r\n\r\n";
  }

  static Act write(const Pace& pace, const std::string& status, const std::string& body) {
    if (pace.end == Pace::End::trickles)
      return trickle();
    const bool is_unavailable = pace.end == Pace::End::unavailable;
    const std::string text = is_unavailable ? "later" : body;
    const std::string head = headOf(pace, is_unavailable ? "503 Busy" : status, text.size());
    const std::string all = head + framedBody(pace, text);
    std::size_t cut = 0;  // bytes before the pause
    if (pace.pause_at == Pace::PauseAt::in_status_line)
      cut = 7;
    else if (pace.pause_at == Pace::PauseAt::before_body)
      cut = head.size();
    else if (pace.pause_at == Pace::PauseAt::in_body)
      cut = head.size() + (all.size() - head.size()) / 2;
    Act act{all.substr(0, cut)};
    if (pace.end == Pace::End::stops)
      return act;
    act.reset = pace.end == Pace::End::resets;
    act.close = pace.framing == Pace::Framing::until_close;
    act.pieces.push_back({pace.pause, act.reset ? "" : all.substr(cut)});
    return act;
  }

  static Act trickle() {
    Act act{"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"};
    for (int i = 0; i < kTrickledBytes; ++i)
      act.pieces.push_back({kTrickleInterval, " "});
    return act;
  }

  Script script_;
  std::mutex mutex_;
  std::condition_variable changed_;
  json list_;
  std::vector<std::pair<long, json>> changes_;
  std::set<std::string> noticed_;
  Pace notice_pace_;
  long version_ = 1;
  int polls_ = 0;
  bool stop_ = false;
  Server server_;  // the last member: its threads use the others
};

}  // namespace grademux::loopback
