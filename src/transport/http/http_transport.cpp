// See http_transport.h.
#include "http_transport.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <optional>

#include "../../core/clock.h"
#include "../../log/log.h"
#include "../../net/address.h"
#include "answer_outcome.h"

namespace grademux {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxResponseBodyBytes = 65536;

void logAttemptFinished(const AttemptId& id, const std::string& endpoint, AttemptResult result,
                        const HttpAnswer& answer) {
  if (answer.discarded_copy)
    log::write(log::Event::attempt_copy_discarded,
               {{"message", id.message_id}, {"endpoint", endpoint}, {"attempt", id.attempt}});
  if (!log::isEnabled(log::Event::attempt_finished))
    return;
  log::write(log::Event::attempt_finished, {{"message", id.message_id},
                                            {"endpoint", endpoint},
                                            {"attempt", id.attempt},
                                            {"outcome", nameOf(result)},
                                            {"exchange", nameOf(answer.how)},
                                            {"status_line", answer.status_line},
                                            {"reused", answer.reused},
                                            {"idle_us", answer.idle_time},
                                            {"first_byte_us", answer.first_byte_delay}});
}

void logResponseSetAside(const AttemptId& id, const std::string& endpoint, const HttpAnswer& answer,
                         Micros earliest_response) {
  log::write(log::Event::attempt_response_set_aside, {{"message", id.message_id},
                                                      {"endpoint", endpoint},
                                                      {"attempt", id.attempt},
                                                      {"status", answer.head_status},
                                                      {"first_byte_us", answer.first_byte_delay},
                                                      {"earliest_us", earliest_response}});
}

}  // namespace

HttpTransport::HttpTransport(asio::io_context& io, Limits limits, OnOutcome on_outcome)
    : io_(io), limits_(limits), on_outcome_(std::move(on_outcome)), sweeper_(io) {}

void HttpTransport::setAddress(const std::string& endpoint, const std::string& address, Micros started_at) {
  EndpointProcess& known = processes_[endpoint];
  const bool is_listed = known.number != 0;
  if (is_listed && known.address == address && known.started_at == started_at)
    return;
  known = {address, started_at, ++last_process_number_};
  response_times_.forget(endpoint);
  closeIdleConnections(endpoint);
}

void HttpTransport::removeEndpoint(const std::string& endpoint) {
  closeIdleConnections(endpoint);
  response_times_.forget(endpoint);
  processes_.erase(endpoint);
}

void HttpTransport::cancelUnwritten(const std::string& endpoint) {
  cancelUnwrittenIf([&](const Attempt& attempt) { return attempt.endpoint == endpoint; });
}

// Returns the most recently used idle connection that is still usable and has rested, or null.
std::unique_ptr<HttpConnection> HttpTransport::takeIdleConnection(const std::string& endpoint) {
  const auto pool = idle_connections_.find(endpoint);
  if (pool == idle_connections_.end())
    return nullptr;
  auto& idle = pool->second;
  const Micros rested_since = monotonicNow() - response_times_.restAfterResponse(endpoint);
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (idle[i].since > rested_since)
      continue;
    std::unique_ptr<HttpConnection> freshest = std::move(idle[i].connection);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    --idle_count_;
    if (freshest->isReusable())
      return freshest;
  }
  return nullptr;
}

HttpRequest HttpTransport::buildRequest(const AttemptRequest& request) {
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
  http.needs_response_body = false;  // the outcome depends on the head alone
  http.write_within = request.write_within;
  http.earliest_response = response_times_.earliestPlausible(request.endpoint);
  http.on_set_aside = [this, id = AttemptId{message.id, request.attempt}, endpoint = request.endpoint,
                       earliest = http.earliest_response](const HttpAnswer& answer) {
    logResponseSetAside(id, endpoint, answer, earliest);
    onResponseSetAside(id, endpoint, answer);
  };
  if (is_send_allowed_)
    http.is_write_allowed = [this, endpoint = request.endpoint] { return is_send_allowed_(endpoint); };
  return http;
}

void HttpTransport::startAttempt(const AttemptRequest& request) {
  const AttemptId id{request.message.id, request.attempt};
  Attempt attempt;
  attempt.endpoint = request.endpoint;
  const auto listed = processes_.find(request.endpoint);
  if (listed != processes_.end()) {
    attempt.address = listed->second.address;
    attempt.process_number = listed->second.number;
  }
  attempt.started_at = monotonicNow();
  if (request.write_within != kNoWriteLimit)
    attempt.write_deadline = attempt.started_at + request.write_within;
  // An endpoint may answer at once for a message that it has executed before. On a new connection such a
  // response can't be mistaken for a late copy of another one.
  attempt.is_repeat = request.may_have_run;
  if (!request.may_have_run)
    attempt.connection = takeIdleConnection(request.endpoint);
  try {
    if (!attempt.connection)
      attempt.connection = std::make_unique<HttpConnection>(io_, parseAddress(attempt.address),
                                                            attempt.address, kMaxResponseBodyBytes);
  } catch (const std::invalid_argument&) {
    HttpAnswer none;
    return postOutcome(outcomeOf(id, attempt, none));
  }
  HttpConnection& connection = *attempt.connection;
  attempts_[id] = std::move(attempt);
  connection.exchange(buildRequest(request), limits_.dial_timeout, request.timeout,
                      [this, id](const HttpAnswer& answer) { onAttemptFinished(id, answer); });
}

// Cancels attempts whose request has not been fully written, for example because the connect was slow.
// Attempts that were fully written continue: the endpoint may already be executing them.
void HttpTransport::cancelUnwrittenIf(const std::function<bool(const Attempt&)>& matches) {
  std::vector<AttemptId> unwritten;
  for (const auto& [id, attempt] : attempts_)
    if (!attempt.connection->isWritten() && matches(attempt))
      unwritten.push_back(id);
  for (const AttemptId& id : unwritten) {
    const auto attempt = attempts_.find(id);
    AttemptOutcome outcome = outcomeOf(id, attempt->second, {});
    outcome.result = AttemptResult::not_sent;
    logAttemptFinished(id, attempt->second.endpoint, outcome.result, {});
    attempts_.erase(attempt);  // closes the connection
    postOutcome(std::move(outcome));
  }
}

AttemptOutcome HttpTransport::outcomeOf(const AttemptId& id, const Attempt& attempt,
                                        const HttpAnswer& answer) const {
  constexpr int kDelivered = 200, kFinishedEarlier = 410;
  const Micros now = monotonicNow();
  AttemptOutcome outcome;
  outcome.id = id.message_id;
  outcome.attempt = id.attempt;
  outcome.result = attemptResult(answer);
  // Missing the write deadline is not evidence against the endpoint.
  if (answer.how == ExchangeResult::not_written && now >= attempt.write_deadline)
    outcome.result = AttemptResult::not_sent;
  outcome.already_finished = answer.how == ExchangeResult::answered &&
                             (answer.status == kDelivered || answer.status == kFinishedEarlier);
  outcome.is_unverified = answer.was_set_aside && !outcome.already_finished;
  outcome.retry_after = std::max<Micros>(0, retryAfterOf(answer) - answer.set_aside_for);
  outcome.round_trip = std::max<Micros>(1, now - attempt.started_at - answer.set_aside_for);
  outcome.limit_report = limitReportOf(answer);
  outcome.stale_connection =
      outcome.result == AttemptResult::reset && answer.reused && !answer.response_started;
  return outcome;
}

// Cancels the unwritten attempts in the scope of an endpoint that sent a Retry-After; 0: the endpoint sent
// none.
void HttpTransport::applyRetryAfter(const std::string& endpoint, Micros retry_after) {
  if (retry_after == 0 || !scope_of_)
    return;
  const std::string scope = scope_of_(endpoint);
  cancelUnwrittenIf([&](const Attempt& other) { return scope_of_(other.endpoint) == scope; });
}

// A wait counts from the moment in which its response arrived, whoever it was for: a late copy repeats a wait
// that was kept before.
void HttpTransport::onResponseSetAside(const AttemptId& id, const std::string& endpoint,
                                       const HttpAnswer& answer) {
  const Micros retry_after = retryAfterOf(answer);
  if (on_set_aside_)
    on_set_aside_({id.message_id, id.attempt, retry_after});
  applyRetryAfter(endpoint, retry_after);
}

// Only responses of first executions count. Those that may be late copies only lower what is plausible.
void HttpTransport::recordResponseTime(const Attempt& attempt, const HttpAnswer& answer) {
  const bool is_first_execution = isOfListedProcess(attempt) && !attempt.is_repeat;
  if (!is_first_execution || !answer.complete || answer.first_byte_delay < 0)
    return;
  if (answer.was_set_aside)
    response_times_.recordSetAside(attempt.endpoint, answer.first_byte_delay);
  else if (answer.repeats_earlier)
    response_times_.recordRepeated(attempt.endpoint, answer.first_byte_delay);
  else if (!answer.discarded_copy)
    response_times_.record(attempt.endpoint, answer.first_byte_delay, answer.reused);
}

AttemptOutcome HttpTransport::finishAttempt(const AttemptId& id, Attempt& attempt, const HttpAnswer& answer) {
  recordResponseTime(attempt, answer);
  AttemptOutcome outcome = outcomeOf(id, attempt, answer);
  // The decision module counts idle connections itself: the condition here must match it.
  const bool reusable = outcome.result == AttemptResult::ok || outcome.result == AttemptResult::error ||
                        outcome.result == AttemptResult::rejected;
  if (reusable)
    returnToPool(attempt);
  return outcome;
}

void HttpTransport::onAttemptFinished(const AttemptId& id, const HttpAnswer& answer) {
  const auto known = attempts_.find(id);
  if (known == attempts_.end())
    return;
  Attempt attempt = std::move(known->second);
  attempts_.erase(known);
  AttemptOutcome outcome = finishAttempt(id, attempt, answer);
  logAttemptFinished(id, attempt.endpoint, outcome.result, answer);
  applyRetryAfter(attempt.endpoint, outcome.retry_after);
  on_outcome_(std::move(outcome));
}

void HttpTransport::postOutcome(AttemptOutcome outcome) {
  unreported_outcomes_.insert({outcome.id, outcome.attempt});
  asio::post(io_, [this, outcome = std::move(outcome)]() mutable {
    unreported_outcomes_.erase({outcome.id, outcome.attempt});
    on_outcome_(std::move(outcome));
  });
}

// A response that has arrived but was not read yet takes precedence: it may report delivery, or a time to
// wait. An attempt with a response that is set aside goes on: only the response behind it, or that none
// comes, tells whose response that is.
void HttpTransport::cancelAttempt(const std::string& id, int attempt_number) {
  const AttemptId attempt_id{id, attempt_number};
  const auto known = attempts_.find(attempt_id);
  if (known == attempts_.end())
    return;
  const std::optional<HttpAnswer> last = known->second.connection->cancel();
  if (last)
    finishEarly(known, *last, true);
}

void HttpTransport::settleResponsesSetAside() {
  std::vector<AttemptId> settled;
  for (const auto& [id, attempt] : attempts_)
    if (attempt.connection->hasResponseSetAside())
      settled.push_back(id);
  for (const AttemptId& id : settled) {
    const auto known = attempts_.find(id);
    finishEarly(known, known->second.connection->settle(), false);
  }
}

// Reports an attempt whose exchange was ended here.
void HttpTransport::finishEarly(std::map<AttemptId, Attempt>::iterator known, const HttpAnswer& last,
                                bool cancelled) {
  const AttemptId id = known->first;
  Attempt attempt = std::move(known->second);
  attempts_.erase(known);
  AttemptOutcome outcome = finishAttempt(id, attempt, last);
  if (cancelled && last.how != ExchangeResult::answered)
    outcome.result = AttemptResult::cancelled;
  logAttemptFinished(id, attempt.endpoint, outcome.result, last);
  const Micros retry_after = outcome.retry_after;
  postOutcome(std::move(outcome));  // before those of the attempts that applyRetryAfter() cancels
  applyRetryAfter(attempt.endpoint, retry_after);
}

std::vector<AttemptId> HttpTransport::unreportedAttempts() const {
  std::vector<AttemptId> all(unreported_outcomes_.begin(), unreported_outcomes_.end());
  for (const auto& [id, attempt] : attempts_)
    all.push_back(id);
  return all;
}

void HttpTransport::closeAllIdle() {
  idle_connections_.clear();
  idle_count_ = 0;
}

void HttpTransport::closeIdleConnections(const std::string& endpoint) {
  auto it = idle_connections_.find(endpoint);
  if (it == idle_connections_.end())
    return;
  idle_count_ -= it->second.size();
  idle_connections_.erase(it);
}

// Whether the endpoint is still listed with the process to which the attempt was made. An address alone
// doesn't tell: another process may have come up there.
bool HttpTransport::isOfListedProcess(const Attempt& attempt) const {
  const auto listed = processes_.find(attempt.endpoint);
  return listed != processes_.end() && listed->second.number == attempt.process_number;
}

void HttpTransport::returnToPool(Attempt& attempt) {
  if (!isOfListedProcess(attempt) || !attempt.connection->isReusable())
    return;
  if (idle_count_ >= limits_.max_idle)
    return;
  idle_connections_[attempt.endpoint].push_back({std::move(attempt.connection), monotonicNow()});
  ++idle_count_;
  sweep();
}

// Closes connections shortly before the endpoint would: a request that crosses the close would be reset.
void HttpTransport::sweep() {
  if (sweeping_ || limits_.conn_idle <= 0)
    return;
  const Micros max_idle_time = limits_.conn_idle - limits_.conn_idle / 20;
  Micros next = 0;
  const Micros now = monotonicNow();
  for (auto& [endpoint, idle] : idle_connections_) {
    while (!idle.empty() && now - idle.front().since >= max_idle_time) {
      idle.pop_front();
      --idle_count_;
    }
    if (!idle.empty() && (next == 0 || idle.front().since + max_idle_time < next))
      next = idle.front().since + max_idle_time;
  }
  if (next == 0)
    return;
  sweeping_ = true;
  sweeper_.expires_after(std::chrono::microseconds(next - now));
  sweeper_.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    sweeping_ = false;
    sweep();
  });
}

}  // namespace grademux
