// grademux harness: the ledger. What was submitted, answered, received by endpoints and ended, kept apart
// from the sender, so that its promises can be held against it. Written to from several threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux::harness {

using nlohmann::json;

// An answer that was written has been read after this, on a busy machine too.
constexpr Micros kAnswerReadWithin = 400'000;

enum class Via : std::uint8_t { resp, http };
enum class Reply : std::uint8_t {
  nothing,  // not yet, or the connection ended first
  accepted,
  refused,
  failed,  // any other answer
  cut      // the process was killed meanwhile: no answer is owed
};

struct Record {
  Idempotency effect = Idempotency::idempotent;
  Via by = Via::resp;
  Micros submitted = 0;
  std::atomic<Micros> answered{0}, ended{0};
  std::atomic<Micros> delivered_at{0}, noticed_at{0};  // first
  std::atomic<Reply> said{Reply::nothing};
  std::atomic<std::uint16_t> runs{0}, delivered{0}, notices{0};
  std::atomic<bool> doubt{false};  // the sender may not have had an outcome, or had it spoilt
};

class DeliveryChecker {
 public:
  explicit DeliveryChecker(std::size_t capacity);

  // -1 when it is full.
  std::int64_t open(Idempotency effect, Via by, Micros now);
  std::string id(std::int64_t index) const;
  // Null for an id that was never submitted.
  Record* find(const std::string& id);
  Record& at(std::int64_t index) { return records_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return size_; }

  void answered(Record& r, Reply said, Micros now);
  void delivered(Record& r, Micros now);
  void notice(const std::string& id, Micros now);
  // A call with the message has come to an endpoint. It counts in `called_after_end` if the sender knew then
  // that the message had ended.
  void called(const Record& r, Micros first_byte);
  // The sender died: an outcome that it may not have heard is in doubt, and a notice beside such a delivery
  // is what the rules ask for.
  void died(Micros at);
  // Links to endpoints were cut or reset: the same for what endpoints had begun.
  void cutOff(Micros at);
  std::atomic<std::uint64_t> unknown_messages{0};  // calls or notices for ids that nobody submitted
  std::atomic<std::uint64_t> drained{0};           // calls begun at a drained endpoint after the grace
  std::atomic<std::uint64_t> misrouted{0};         // calls at an endpoint of another destination
  std::atomic<std::uint64_t> called_after_end{0};  // calls with a message that had been delivered or given up

  // Messages that were taken on and have no end yet; open ones that wait for an answer.
  std::size_t unended() const;
  std::size_t unanswered() const;
  std::size_t failedAnswers() const;  // neither taken on nor refused: an error
  // Ids of messages that were taken on and have no end yet.
  std::vector<std::string> open() const;
  std::atomic<std::int64_t> in_flight{0};    // accepted and without an end
  std::atomic<std::uint64_t> deliveries{0};  // messages delivered, each counted once

  // Counts of all, and the invariants among them; `holds` is set if they do. Of the first messages with two
  // ends it tells when: beside their coming, and beside the last death or cut before the delivery.
  json summary(bool& holds) const;
  // Of answers or of ends, in milliseconds: p50, p99, p99_9, the longest, and
  // their number.
  json answerTimes(Via by, Micros from = 0) const;
  json endTimes(Micros from = 0) const;

 private:
  std::uint32_t run_;
  std::size_t capacity_;
  std::unique_ptr<Record[]> records_;
  std::atomic<std::size_t> size_{0};
  mutable std::mutex mutex_;
  std::vector<Micros> shocks_;  // when the sender died, or links to endpoints were cut

  void shock(Micros at);
  json twoEnds(const Record& r) const;
};

// What a message asks for and what it got, by the worlds' classes: whole within 4 s of its coming, then less
// and less, 0.3 of it at 20 s.
double offeredWeight(const Record& r);
double deliveredWeight(const Record& r);

json percentiles(std::vector<Micros> spans);

}  // namespace grademux::harness
