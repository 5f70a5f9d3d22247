// grademux harness: the ledger; see ledger.h.
#include "delivery_checker.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace grademux::harness {

namespace {
// Of all classes of the worlds, from when a message is handed in, and how near to it its notice may come.
constexpr Micros kDeadline = 20'000'000, kAtDeadline = 50'000;
constexpr std::uint64_t kShown = 8;  // messages with two ends
// An answer that is on its way when the message's time is over: the sender gives it up then, and may not have
// heard it.
bool crossed(const Record& r) {
  const Micros over = r.submitted + kDeadline;
  return r.delivered_at > over - kAnswerReadWithin && r.noticed_at > over - kAtDeadline;
}
}  // namespace

DeliveryChecker::DeliveryChecker(std::size_t capacity)
    : run_(static_cast<std::uint32_t>(::getpid())), capacity_(capacity), records_(new Record[capacity]) {}

std::int64_t DeliveryChecker::open(Idempotency effect, Via by, Micros now) {
  const std::size_t i = size_;
  if (i >= capacity_)
    return -1;
  records_[i].effect = effect;
  records_[i].by = by;
  records_[i].submitted = now;
  size_ = i + 1;
  return static_cast<std::int64_t>(i);
}

std::string DeliveryChecker::id(std::int64_t index) const {
  char text[20];
  std::snprintf(text, sizeof text, "%08x%08x", run_, static_cast<unsigned>(index));
  return text;
}

Record* DeliveryChecker::find(const std::string& id) {
  if (id.size() != 16)
    return nullptr;
  const std::uint64_t n = std::strtoull(id.c_str(), nullptr, 16);
  const std::size_t i = n & 0xffffffff;
  return n >> 32 == run_ && i < size_ ? &records_[i] : nullptr;
}

// An end may overtake the answer that it was taken on: the message counts as in flight from the first to
// the last of both.
void DeliveryChecker::answered(Record& r, Reply said, Micros now) {
  r.answered = now;
  r.said = said;
  if (said == Reply::accepted)
    ++in_flight;
}

void DeliveryChecker::delivered(Record& r, Micros now) {
  if (r.delivered++ > 0)
    return;
  r.delivered_at = now;
  ++deliveries;
  if (r.notices == 0) {
    r.ended = now;
    --in_flight;
  }
}

void DeliveryChecker::notice(const std::string& id, Micros now) {
  Record* r = find(id);
  if (!r) {
    ++unknown_messages;
    return;
  }
  if (r->notices++ > 0)
    return;
  r->noticed_at = now;
  if (r->delivered == 0) {
    r->ended = now;
    --in_flight;
  }
}

// A delivery is known once its answer has been read. A notice is known before it is sent, also to the next
// process; a call that was on its way then is let through.
void DeliveryChecker::called(const Record& r, Micros first_byte) {
  const bool was_delivered =
      r.delivered_at != 0 && !r.doubt && first_byte > r.delivered_at + kAnswerReadWithin;
  const bool was_given_up = r.noticed_at != 0 && first_byte > r.noticed_at + kAnswerReadWithin;
  if (was_delivered || was_given_up)
    ++called_after_end;
}

void DeliveryChecker::shock(Micros at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  shocks_.push_back(at);
}

json DeliveryChecker::twoEnds(const Record& r) const {
  const auto ms = [&](Micros at) { return at == 0 ? json() : json((at - r.submitted) / 1000); };
  json o = {{"effect", static_cast<int>(r.effect)}, {"runs", r.runs.load()},
            {"answered_ms", ms(r.answered)},        {"delivered_ms", ms(r.delivered_at)},
            {"noticed_ms", ms(r.noticed_at)},       {"shocks_ms", json::array()}};
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Micros at : shocks_)
    if (at >= r.submitted && at <= std::max(r.delivered_at, r.noticed_at) + 1'000'000)
      o["shocks_ms"].push_back(ms(at));
  return o;
}

void DeliveryChecker::died(Micros at) {
  shock(at);
  for (std::size_t i = 0; i < size_; ++i)
    if (records_[i].ended == 0 || records_[i].ended > at - kAnswerReadWithin)
      records_[i].doubt = true;
}

void DeliveryChecker::cutOff(Micros at) {
  shock(at);
  for (std::size_t i = 0; i < size_; ++i)
    if (records_[i].runs > 0 && (records_[i].ended == 0 || records_[i].ended > at - kAnswerReadWithin))
      records_[i].doubt = true;
}

std::size_t DeliveryChecker::unended() const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < size_; ++i)
    n += records_[i].said == Reply::accepted && records_[i].delivered + records_[i].notices == 0;
  return n;
}

std::size_t DeliveryChecker::unanswered() const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < size_; ++i)
    n += records_[i].said == Reply::nothing;
  return n;
}

std::size_t DeliveryChecker::failedAnswers() const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < size_; ++i)
    n += records_[i].said == Reply::failed;
  return n;
}

std::vector<std::string> DeliveryChecker::open() const {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < size_; ++i)
    if (records_[i].said == Reply::accepted && records_[i].delivered + records_[i].notices == 0)
      ids.push_back(id(static_cast<std::int64_t>(i)));
  return ids;
}

json DeliveryChecker::summary(bool& holds) const {
  std::uint64_t accepted = 0, refused = 0, failed = 0, cut = 0, lost_answers = 0, lost = 0, delivered = 0,
                notices = 0, twice = 0, double_ends = 0, after_refusal = 0;
  json two_ends = json::array();
  for (std::size_t i = 0; i < size_; ++i) {
    const Record& r = records_[i];
    accepted += r.said == Reply::accepted;
    refused += r.said == Reply::refused;
    failed += r.said == Reply::failed;
    cut += r.said == Reply::cut;
    lost_answers += r.said == Reply::nothing;
    delivered += r.delivered > 0;
    notices += r.notices > 0;
    lost += r.said == Reply::accepted && r.delivered == 0 && r.notices == 0;
    twice += r.effect == Idempotency::non_idempotent && r.runs > 1;
    // A notice that is told again after a kill is the same one; one beside a delivery that was heard is not.
    if (r.delivered > 0 && r.notices > 0 && !r.doubt && !crossed(r) && ++double_ends <= kShown)
      two_ends.push_back(twoEnds(r));
    after_refusal += r.said == Reply::refused && r.runs > 0;
  }
  holds = lost_answers == 0 && lost == 0 && twice == 0 && double_ends == 0 && after_refusal == 0 &&
          unknown_messages == 0 && drained == 0 && misrouted == 0 && called_after_end == 0;
  json all = {{"submitted", size_.load()},
              {"accepted", accepted},
              {"refused", refused},
              {"failed", failed},
              {"cut", cut},
              {"delivered", delivered},
              {"noticed", notices},
              {"answers_lost", lost_answers},
              {"messages_lost", lost},
              {"double_ends", double_ends},
              {"unsafe_twice", twice},
              {"run_after_refusal", after_refusal},
              {"strangers", unknown_messages.load()},
              {"misrouted", misrouted.load()},
              {"calls_after_end", called_after_end.load()},
              {"calls_after_drain", drained.load()}};
  if (!two_ends.empty())
    all["two_ends"] = std::move(two_ends);
  return all;
}

double offeredWeight(const Record& r) {
  return r.effect == Idempotency::non_idempotent ? 4 : 1;
}
double deliveredWeight(const Record& r) {
  if (r.delivered == 0 || r.ended == 0)
    return 0;
  const double age = static_cast<double>(r.ended - r.submitted) / 1e6;
  return offeredWeight(r) * (age <= 4 ? 1 : std::max(0.0, 1 - 0.7 * (age - 4) / 16));
}

json percentiles(std::vector<Micros> spans) {
  std::sort(spans.begin(), spans.end());
  auto at = [&](double share) {
    if (spans.empty())
      return 0.0;
    const auto i = static_cast<std::size_t>(std::ceil(share * static_cast<double>(spans.size())));
    return static_cast<double>(spans[std::min(spans.size() - 1, i > 0 ? i - 1 : 0)]) / 1000.0;
  };
  return {{"n", spans.size()},
          {"p50_ms", at(0.5)},
          {"p99_ms", at(0.99)},
          {"p99_9_ms", at(0.999)},
          {"most_ms", at(1)}};
}

json DeliveryChecker::answerTimes(Via by, Micros from) const {
  std::vector<Micros> spans;
  for (std::size_t i = 0; i < size_; ++i) {
    const Record& r = records_[i];
    if (r.by == by && r.submitted >= from && r.answered != 0 && r.said != Reply::cut)
      spans.push_back(r.answered - r.submitted);
  }
  return percentiles(std::move(spans));
}

json DeliveryChecker::endTimes(Micros from) const {
  std::vector<Micros> spans;
  for (std::size_t i = 0; i < size_; ++i) {
    const Record& r = records_[i];
    if (r.submitted >= from && r.delivered > 0 && r.ended != 0)
      spans.push_back(r.ended - r.submitted);
  }
  return percentiles(std::move(spans));
}

}  // namespace grademux::harness
