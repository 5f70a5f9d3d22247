// grademux: calls to endpoints; see http_transport.h.
#include "http_transport.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

#include "../../core/clock.h"
#include "../../log/log.h"
#include "../../net/address.h"
#include "answer_outcome.h"

namespace grademux {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kBodyLimit = 65536;

void logEnd(const AttemptId& id, const std::string& endpoint, AttemptResult result) {
  if (!log::on(log::Event::attempt_finished))
    return;
  log::write(log::Event::attempt_finished, {{"message", id.message_id},
                                            {"endpoint", endpoint},
                                            {"attempt", id.attempt},
                                            {"outcome", nameOf(result)}});
}

}  // namespace

HttpTransport::HttpTransport(asio::io_context& io, Limits limits, OnOutcome on_outcome)
    : io_(io), limits_(limits), on_outcome_(std::move(on_outcome)), sweeper_(io) {}

void HttpTransport::setAddress(const std::string& endpoint, const std::string& address) {
  std::string& known = addresses_[endpoint];
  if (known == address)
    return;
  known = address;
  closeIdleConnections(endpoint);
}

void HttpTransport::removeEndpoint(const std::string& endpoint) {
  closeIdleConnections(endpoint);
  addresses_.erase(endpoint);
}

void HttpTransport::cancelUnwritten(const std::string& endpoint) {
  withholdUnwritten([&](const Call& call) { return call.endpoint == endpoint; });
}

// The freshest that is still good; null: there is none.
std::unique_ptr<HttpConnection> HttpTransport::takeIdle(const std::string& endpoint) {
  const auto pool = idle_.find(endpoint);
  if (pool == idle_.end())
    return nullptr;
  auto& idle = pool->second;
  while (!idle.empty()) {
    std::unique_ptr<HttpConnection> freshest = std::move(idle.back().connection);
    idle.pop_back();
    --idle_count_;
    if (freshest->reusable())
      return freshest;
  }
  return nullptr;
}

HttpRequest HttpTransport::requestOf(const AttemptRequest& request) {
  const AcceptedMessage& message = request.message;
  HttpRequest http;
  http.method = "POST";
  http.target = "/hook";
  http.fields.emplace_back("X-Txn", message.id);
  if (!message.idempotency_key.empty())
    http.fields.emplace_back("Idempotency-Key", message.idempotency_key);
  http.fields.emplace_back("X-Remaining-Ms", std::to_string(std::max<Micros>(1, request.timeout / 1000)));
  if (!request.version_stamp.empty())
    http.fields.emplace_back("X-Fleet-Version", request.version_stamp);
  http.body = message.body;
  http.write_within = request.write_within;
  if (may_)
    http.may_begin = [this, endpoint = request.endpoint] { return may_(endpoint); };
  return http;
}

void HttpTransport::startAttempt(const AttemptRequest& request) {
  const AttemptId id{request.message.id, request.attempt};
  Call call;
  call.endpoint = request.endpoint;
  const auto listed = addresses_.find(request.endpoint);
  if (listed != addresses_.end())
    call.address = listed->second;
  call.began = monotonicNow();
  if (request.write_within != kNoWriteLimit)
    call.write_by = call.began + request.write_within;
  call.connection = takeIdle(request.endpoint);
  try {
    if (!call.connection)
      call.connection =
          std::make_unique<HttpConnection>(io_, parseAddress(call.address), call.address, kBodyLimit);
  } catch (const std::invalid_argument&) {
    HttpAnswer none;
    return reportLater(outcomeOf(id, call, none));
  }
  HttpConnection& connection = *call.connection;
  calls_[id] = std::move(call);
  connection.exchange(requestOf(request), limits_.dial_timeout, request.timeout,
                      [this, id](const HttpAnswer& answer) { over(id, answer); });
}

// Guards against a connection that comes up late, or a slow receiver, by which a call goes out after what it
// was decided by has changed. What is written can't be taken back and runs on.
void HttpTransport::withholdUnwritten(const std::function<bool(const Call&)>& concerned) {
  std::vector<AttemptId> unwritten;
  for (const auto& [id, call] : calls_)
    if (!call.connection->written() && concerned(call))
      unwritten.push_back(id);
  for (const AttemptId& id : unwritten) {
    const auto call = calls_.find(id);
    AttemptOutcome outcome = outcomeOf(id, call->second, {});
    outcome.result = AttemptResult::not_sent;
    logEnd(id, call->second.endpoint, outcome.result);
    calls_.erase(call);  // closes the connection
    reportLater(std::move(outcome));
  }
}

AttemptOutcome HttpTransport::outcomeOf(const AttemptId& id, const Call& call,
                                        const HttpAnswer& answer) const {
  constexpr int kDelivered = 200, kOver = 410;
  const Micros now = monotonicNow();
  AttemptOutcome outcome;
  outcome.id = id.message_id;
  outcome.attempt = id.attempt;
  outcome.result = resultOf(answer);
  // It is no sign of the endpoint that there was no time left to write it.
  if (answer.how == Exchanged::not_written && now >= call.write_by)
    outcome.result = AttemptResult::not_sent;
  outcome.already_finished =
      answer.how == Exchanged::answered && (answer.status == kDelivered || answer.status == kOver);
  outcome.retry_after = waitOf(answer);
  outcome.round_trip = std::max<Micros>(1, now - call.began);
  outcome.limit_report = reportOf(answer);
  outcome.stale_connection = outcome.result == AttemptResult::reset && answer.reused && !answer.begun;
  return outcome;
}

// `endpoint` has told to wait for so long, or not (0).
void HttpTransport::heedWait(const std::string& endpoint, Micros wait) {
  if (wait == 0 || !scope_of_)
    return;
  const std::string scope = scope_of_(endpoint);
  withholdUnwritten([&](const Call& other) { return scope_of_(other.endpoint) == scope; });
}

AttemptOutcome HttpTransport::settle(const AttemptId& id, Call& call, const HttpAnswer& answer) {
  AttemptOutcome outcome = outcomeOf(id, call, answer);
  // The module keeps its own count of idle connections: one is kept after the same outcomes as there.
  const bool kept = outcome.result == AttemptResult::ok || outcome.result == AttemptResult::error ||
                    outcome.result == AttemptResult::rejected;
  if (kept)
    keep(call);
  return outcome;
}

void HttpTransport::over(const AttemptId& id, const HttpAnswer& answer) {
  const auto known = calls_.find(id);
  if (known == calls_.end())
    return;
  Call call = std::move(known->second);
  calls_.erase(known);
  AttemptOutcome outcome = settle(id, call, answer);
  logEnd(id, call.endpoint, outcome.result);
  heedWait(call.endpoint, outcome.retry_after);
  on_outcome_(std::move(outcome));
}

void HttpTransport::reportLater(AttemptOutcome outcome) {
  reporting_.insert({outcome.id, outcome.attempt});
  asio::post(io_, [this, outcome = std::move(outcome)]() mutable {
    reporting_.erase({outcome.id, outcome.attempt});
    on_outcome_(std::move(outcome));
  });
}

// An answer that has come and was not read yet goes before: it may have been delivered, or tell to wait.
void HttpTransport::cancelAttempt(const std::string& id, int attempt) {
  const AttemptId call_id{id, attempt};
  const auto known = calls_.find(call_id);
  if (known == calls_.end())
    return;
  Call call = std::move(known->second);
  calls_.erase(known);
  const HttpAnswer last = call.connection->abandon();
  AttemptOutcome outcome = settle(call_id, call, last);
  if (last.how != Exchanged::answered)
    outcome.result = AttemptResult::cancelled;
  logEnd(call_id, call.endpoint, outcome.result);
  const Micros wait = outcome.retry_after;
  reportLater(std::move(outcome));  // ahead of those that the wait ends
  heedWait(call.endpoint, wait);
}

std::vector<AttemptId> HttpTransport::outCalls() const {
  std::vector<AttemptId> all(reporting_.begin(), reporting_.end());
  for (const auto& [id, call] : calls_)
    all.push_back(id);
  return all;
}

void HttpTransport::closeAllIdle() {
  idle_.clear();
  idle_count_ = 0;
}

void HttpTransport::closeIdleConnections(const std::string& endpoint) {
  auto it = idle_.find(endpoint);
  if (it == idle_.end())
    return;
  idle_count_ -= it->second.size();
  idle_.erase(it);
}

void HttpTransport::keep(Call& call) {
  const auto listed = addresses_.find(call.endpoint);
  if (listed == addresses_.end() || call.address != listed->second || !call.connection->reusable())
    return;
  if (idle_count_ >= limits_.max_idle)
    return;
  idle_[call.endpoint].push_back({std::move(call.connection), monotonicNow()});
  ++idle_count_;
  sweep();
}

// Closes what has idled almost as long as an endpoint allows. Guards against a call that crosses the close.
void HttpTransport::sweep() {
  if (sweeping_ || limits_.conn_idle <= 0)
    return;
  const Micros most = limits_.conn_idle - limits_.conn_idle / 20;
  Micros next = 0;
  const Micros now = monotonicNow();
  for (auto& [endpoint, idle] : idle_) {
    while (!idle.empty() && now - idle.front().since >= most) {
      idle.pop_front();
      --idle_count_;
    }
    if (!idle.empty() && (next == 0 || idle.front().since + most < next))
      next = idle.front().since + most;
  }
  if (next == 0)
    return;
  sweeping_ = true;
  sweeper_.expires_after(std::chrono::microseconds(next - now));
  sweeper_.async_wait([this](const boost::system::error_code& e) {
    if (e)
      return;
    sweeping_ = false;
    sweep();
  });
}

}  // namespace grademux
