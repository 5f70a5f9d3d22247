// See notice_client.h.
#include "notice_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "../log/log.h"
#include "poll_schedule.h"

namespace grademux {

using nlohmann::json;

namespace {

constexpr int kBadRequest = 400;
// The agent answers notices at once; after the timeout the batch is sent again on a new connection. A notice
// is useless 300 ms after its message's deadline.
constexpr Micros kNoticeTimeout = 150'000;
constexpr Micros kNoticeRetryDelay = 50'000;
static_assert(kNoticeTimeout + kNoticeRetryDelay <= 200'000, "the second attempt leaves 100 ms for itself");
// How long a late acknowledgement is awaited beside later batches.
constexpr Micros kAcknowledgementLimit = 10'000'000;
constexpr Micros kMicrosPerMilli = 1000;

void logFailedBatch(std::size_t notices, const char* result, int status, const ExchangeProgress& progress) {
  const Micros first = progress.since_first_byte, last = progress.since_last_byte;
  log::write(log::Event::discovery_notices_failed,
             {{"notices", notices},
              {"result", result},
              {"status", status},
              {"bytes", progress.bytes_received},
              {"since_start_ms", progress.since_start / kMicrosPerMilli},
              {"since_first_ms", first < 0 ? first : first / kMicrosPerMilli},
              {"since_last_ms", last < 0 ? last : last / kMicrosPerMilli}});
}

}  // namespace

NoticeClient::NoticeClient(Agent agent, OnDelivered on_delivered)
    : agent_(std::move(agent)), on_delivered_(std::move(on_delivered)), timer_(agent_.io()) {}

void NoticeClient::enqueueNotice(const std::string& id, const Notice& notice) {
  pending_.emplace(++last_sequence_, PendingNotice{id, notice, true});
  unsent_.push_back(last_sequence_);
  sendNext();
}

void NoticeClient::moveTo(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  stopWaiting();
  is_backing_off_ = false;
  batches_.clear();
  unsent_.clear();
  resend_.clear();
  for (auto& [sequence, pending] : pending_) {
    pending.is_queued = true;
    unsent_.push_back(sequence);
  }
  sendNext();
}

void NoticeClient::sendNext() {
  if (is_waiting_ || is_backing_off_)
    return;
  std::vector<Sequence> notices = takeNextNotices();
  if (!notices.empty())
    sendBatch(std::move(notices));
}

std::vector<NoticeClient::Sequence> NoticeClient::takeNextNotices() {
  std::vector<Sequence> taken;
  takeFrom(unsent_, taken);
  takeFrom(resend_, taken);
  return taken;
}

void NoticeClient::takeFrom(std::deque<Sequence>& queue, std::vector<Sequence>& taken) {
  while (!queue.empty() && taken.size() < max_batch_) {
    const Sequence sequence = queue.front();
    queue.pop_front();
    const auto pending = pending_.find(sequence);
    if (pending == pending_.end())
      continue;
    pending->second.is_queued = false;
    taken.push_back(sequence);
  }
}

HttpRequest NoticeClient::buildRequest(const std::vector<Sequence>& notices) const {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/notices";
  request.fields.emplace_back("Content-Type", "application/json");
  for (const Sequence sequence : notices) {
    const PendingNotice& pending = pending_.at(sequence);
    json line{{"message", pending.id}, {"outcome", pending.notice.returned ? "handed_back" : "given_up"}};
    if (pending.notice.returned && pending.notice.retry_after_ms > 0)
      line["retry_in_ms"] = pending.notice.retry_after_ms;
    request.body += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  }
  request.stall_limit = kAcknowledgementLimit;
  request.is_body_awaited = [](int) { return false; };
  return request;
}

void NoticeClient::sendBatch(std::vector<Sequence> notices) {
  if (batches_.size() >= kMaxBatches)
    batches_.pop_back();
  Batch batch;
  batch.number = ++last_batch_;
  batch.connection = agent_.newConnection();
  HttpConnection& connection = *batch.connection;
  HttpRequest request = buildRequest(notices);
  batch.notices = std::move(notices);
  batches_.push_back(std::move(batch));
  is_waiting_ = true;
  setTimer(kNoticeTimeout, &NoticeClient::onBatchLate);
  connection.exchange(
      std::move(request), PollSchedule::kConnectTimeout, kAcknowledgementLimit,
      [this, number = last_batch_](const HttpAnswer& answer) { onBatchEnded(number, answer); });
}

void NoticeClient::stopWaiting() {
  is_waiting_ = false;
  ++timer_number_;
  timer_.cancel();
}

void NoticeClient::onBatchLate() {
  const Batch& late = batches_.back();
  logFailedBatch(late.notices.size(), "late", 0, late.connection->progress());
  stopWaiting();
  sendAgainAfterDelay(late.notices);
}

void NoticeClient::onBatchEnded(std::uint64_t number, const HttpAnswer& answer) {
  const auto found = std::find_if(batches_.begin(), batches_.end(),
                                  [number](const Batch& batch) { return batch.number == number; });
  if (found == batches_.end())
    return;
  const Batch batch = std::move(*found);
  batches_.erase(found);
  const bool was_waited_for = is_waiting_ && number == last_batch_;
  if (was_waited_for)
    stopWaiting();
  const bool is_answered = answer.how == ExchangeResult::answered;
  if (is_answered && answer.status / 100 == 2) {
    acknowledge(batch.notices);
    return sendNext();
  }
  logFailedBatch(batch.notices.size(), nameOf(answer.how), answer.status, answer.progress);
  if (is_answered && answer.status == kBadRequest)
    return onBatchRejected(batch);
  if (was_waited_for)
    sendAgainAfterDelay(batch.notices);
}

// One malformed notice must not block the others.
void NoticeClient::onBatchRejected(const Batch& batch) {
  if (batch.notices.size() > 1) {
    max_batch_ = 1;
    requeue(batch.notices, unsent_);
    return sendNext();
  }
  const auto pending = pending_.find(batch.notices.front());
  if (pending != pending_.end())
    log::write(log::Event::discovery_notice_rejected, {{"message", pending->second.id}});
  acknowledge(batch.notices);
  sendNext();
}

void NoticeClient::acknowledge(const std::vector<Sequence>& notices) {
  for (const Sequence sequence : notices) {
    const auto pending = pending_.find(sequence);
    if (pending == pending_.end())
      continue;
    const std::string id = std::move(pending->second.id);
    pending_.erase(pending);
    on_delivered_(id);
  }
  closeSettledBatches();
  if (pending_.empty())
    max_batch_ = kMaxNotices;
}

void NoticeClient::closeSettledBatches() {
  const auto is_settled = [this](const Batch& batch) {
    const bool is_current = is_waiting_ && batch.number == last_batch_;
    return !is_current && std::none_of(batch.notices.begin(), batch.notices.end(),
                                       [this](Sequence sequence) { return pending_.count(sequence) > 0; });
  };
  batches_.erase(std::remove_if(batches_.begin(), batches_.end(), is_settled), batches_.end());
}

void NoticeClient::requeue(const std::vector<Sequence>& notices, std::deque<Sequence>& queue) {
  for (const Sequence sequence : notices) {
    const auto pending = pending_.find(sequence);
    if (pending == pending_.end() || pending->second.is_queued)
      continue;
    pending->second.is_queued = true;
    queue.push_back(sequence);
  }
}

void NoticeClient::sendAgainAfterDelay(const std::vector<Sequence>& notices) {
  requeue(notices, resend_);
  is_backing_off_ = true;
  setTimer(kNoticeRetryDelay, &NoticeClient::onDelayOver);
}

void NoticeClient::onDelayOver() {
  is_backing_off_ = false;
  sendNext();
}

void NoticeClient::setTimer(Micros delay, void (NoticeClient::*handler)()) {
  timer_.expires_after(std::chrono::microseconds(delay));
  timer_.async_wait([this, handler, number = ++timer_number_](const boost::system::error_code& error) {
    if (!error && number == timer_number_)
      (this->*handler)();
  });
}

}  // namespace grademux
