// The listeners that the daemon file configures; see listener_set.h.
#include "listener_set.h"

#include <algorithm>

#include "../core/clock.h"
#include "../listener/resp/resp_listener.h"

namespace grademux {

namespace {

// Clients of a removed listener have this long to finish their requests.
constexpr Micros kDrainTimeout = 5'000'000;
constexpr Micros kReapInterval = 100'000;

bool areEqual(const HttpListener::Limits& first, const HttpListener::Limits& second) {
  return first.connections == second.connections && first.pipeline == second.pipeline &&
         first.batch_window == second.batch_window && first.request_bytes == second.request_bytes &&
         first.max_wait == second.max_wait && first.idle_timeout == second.idle_timeout;
}

RespListener::Limits respLimits(const ListenerConfig& config) {
  return {config.limits.connections, config.limits.connections};
}

}  // namespace

std::unique_ptr<Listener> ListenerSet::createListener(const ListenerConfig& config) {
  if (config.kind == ListenerKind::resp)
    return std::make_unique<RespListener>(io_, config.listen, respLimits(config), memory_);
  return std::make_unique<HttpListener>(io_, config.listen, config.limits, memory_);
}

void ListenerSet::bind(const std::vector<ListenerConfig>& configs) {
  for (const ListenerConfig& config : configs)
    listeners_.push_back({config, createListener(config)});
}

void ListenerSet::start(SubmissionHandler& handler, const operate::ServiceState& state) {
  handler_ = &handler;
  state_ = &state;
  for (const Entry& entry : listeners_)
    entry.listener->start(handler, state);
}

void ListenerSet::applyConfig(const std::vector<ListenerConfig>& configs) {
  if (state_->isStopping())
    return;
  auto find = [](const std::vector<Entry>& entries, const ListenerConfig& config) {
    return std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) {
      return entry.listener && entry.config.kind == config.kind && entry.config.listen == config.listen;
    });
  };
  std::vector<Entry> next;
  for (const ListenerConfig& config : configs) {  // starts new listeners; on failure nothing has changed
    Entry entry{config, nullptr};
    if (find(listeners_, config) == listeners_.end()) {
      entry.listener = createListener(config);
      entry.listener->start(*handler_, *state_);
    }
    next.push_back(std::move(entry));
  }
  for (Entry& entry : next) {
    if (entry.listener)
      continue;
    const auto current = find(listeners_, entry.config);
    entry.listener = std::move(listeners_[static_cast<std::size_t>(current - listeners_.begin())].listener);
    if (areEqual(current->config.limits, entry.config.limits))
      continue;
    if (auto* http = dynamic_cast<HttpListener*>(entry.listener.get()))
      http->setLimits(entry.config.limits);
    if (auto* resp = dynamic_cast<RespListener*>(entry.listener.get()))
      resp->setLimits(respLimits(entry.config));
  }
  for (Entry& entry : listeners_) {
    if (!entry.listener)
      continue;
    entry.listener->drain(DrainReason::removed);
    draining_.emplace_back(monotonicNow() + kDrainTimeout, std::move(entry.listener));
  }
  listeners_ = std::move(next);
  scheduleReap();
}

void ListenerSet::scheduleReap() {
  if (reap_scheduled_ || draining_.empty())
    return;
  reap_scheduled_ = true;
  reap_timer_.expires_after(std::chrono::microseconds(kReapInterval));
  reap_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    reap_scheduled_ = false;
    const Micros now = monotonicNow();
    draining_.erase(std::remove_if(draining_.begin(), draining_.end(),
                                   [&](const auto& draining) {
                                     return draining.second->connectionCount() == 0 || now >= draining.first;
                                   }),
                    draining_.end());
    scheduleReap();
  });
}

void ListenerSet::drain(DrainReason reason) {
  for (const Entry& entry : listeners_)
    if (entry.listener)
      entry.listener->drain(reason);
}

void ListenerSet::releaseAddresses() {
  for (Entry& entry : listeners_) {
    entry.listener->drain(DrainReason::removed);
    draining_.emplace_back(monotonicNow() + kDrainTimeout, std::move(entry.listener));
  }
  scheduleReap();
}

void ListenerSet::reacquireAddresses() {
  for (Entry& entry : listeners_) {
    if (entry.listener)
      continue;
    entry.listener = createListener(entry.config);
    entry.listener->start(*handler_, *state_);
  }
}

std::size_t ListenerSet::openRequests() const {
  std::size_t sum = 0;
  for (const Entry& entry : listeners_)
    if (entry.listener)
      sum += entry.listener->openRequests();
  for (const auto& [deadline, listener] : draining_)
    sum += listener->openRequests();
  return sum;
}

BufferUsage ListenerSet::bufferUsage() const {
  BufferUsage usage;
  for (const Entry& entry : listeners_)
    if (entry.listener)
      usage += entry.listener->bufferUsage();
  for (const auto& [deadline, listener] : draining_)
    usage += listener->bufferUsage();
  return usage;
}

}  // namespace grademux
