// The messages that the engine is responsible for: open ones, finished ones whose outcome is not written yet,
// and those whose notice has still to be delivered. Answers what is known of an id. On the loop thread; no
// I/O of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "journal.h"
#include "message.h"

namespace grademux {

using FinalOutcomeCallback = std::function<void(const FinalOutcome&)>;

// A message that was submitted and has no final outcome yet.
struct OpenMessage {
  AcceptedMessage message;
  std::uint64_t digest = 0;  // contentDigest() of the message
  int attempts = 0;
  std::vector<SubmissionCallback>
      replies;  // of submissions that are not answered yet; empty once it is accepted
  std::vector<FinalOutcomeCallback> watchers;
};

class MessageRegistry {
 public:
  // `journal` knows the finished messages; it must outlive the registry.
  explicit MessageRegistry(const Journal& journal) : journal_(journal) {}

  // Null if the message is not open. The pointer is valid until the message is erased or finished.
  OpenMessage* findOpen(const std::string& id);
  const OpenMessage* findOpen(const std::string& id) const;
  OpenMessage& addOpen(OpenMessage message);
  void eraseOpen(const std::string& id) { open_.erase(id); }
  bool hasOpen() const { return !open_.empty(); }

  // Messages that were submitted since the last iteration.
  void addArrival(const std::string& id) { new_arrivals_.insert(id); }
  void removeArrival(const std::string& id) { new_arrivals_.erase(id); }
  const std::set<std::string>& newArrivals() const { return new_arrivals_; }
  std::set<std::string> takeNewArrivals();

  // The answer to a submission of an id that is known; nothing if the id is new. `reply` is taken where the
  // message waits for its first answer: it is then called with that.
  enum class Known : std::uint8_t { no, answered, waiting };
  Known findSubmission(const AcceptedMessage& message, std::uint64_t digest, SubmissionCallback& reply,
                       SubmissionResult& result);

  MessageStatus status(const std::string& id) const;
  // See SubmissionHandler::notifyWhenFinished().
  void notifyWhenFinished(const std::string& id, FinalOutcomeCallback callback);

  // An open message has its final outcome. It counts as open to all outside until publishFinished().
  void finish(const std::string& id, const FinalOutcome& outcome);
  // The outcomes are written: calls those that wait for them.
  void publishFinished();

  void addPendingNotice(const std::string& id, const FinishedMessage& finished);
  // The message, once its notice was delivered; nothing if no notice was pending.
  std::optional<FinishedMessage> takePendingNotice(const std::string& id);

 private:
  struct FinishedUnwritten {
    FinalOutcome outcome;
    std::vector<FinalOutcomeCallback> watchers;
  };
  const FinishedMessage* findFinished(const std::string& id) const;

  const Journal& journal_;
  std::unordered_map<std::string, OpenMessage> open_;
  std::set<std::string> new_arrivals_;
  std::unordered_map<std::string, FinishedUnwritten> finished_unwritten_;
  std::unordered_map<std::string, FinishedMessage> pending_notices_;
};

}  // namespace grademux
