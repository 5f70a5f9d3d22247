// The messages that the engine is responsible for: open messages, finished messages whose outcome is not
// written to the journal yet, and messages whose notice has not been delivered yet. Answers status queries by
// id. Used on the loop thread; does no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "journal.h"
#include "message.h"

namespace grademux {

using FinalOutcomeCallback = std::function<void(const FinalOutcome&)>;
using OutcomeWatchers = std::vector<std::weak_ptr<const FinalOutcomeCallback>>;

// A message that was submitted and has no final outcome yet.
struct OpenMessage {
  AcceptedMessage message;
  std::uint64_t digest = 0;  // contentDigest() of the message
  int attempts = 0;
  // Callbacks of the submissions that are not answered yet; empty once the message is accepted.
  std::vector<SubmissionCallback> replies;
  OutcomeWatchers watchers;         // called when the final outcome is published
  int attempts_never_executed = 0;  // of `attempts`, those whose outcome shows it
  // Submission::is_abandoned of the submissions in `replies`.
  std::vector<std::function<bool()>> abandoned_checks = {};
};

class MessageRegistry {
 public:
  // `journal` provides the finished messages; it must outlive the registry.
  explicit MessageRegistry(const Journal& journal) : journal_(journal) {}

  // Null if the message is not open. The pointer is valid until the message is erased or finished.
  OpenMessage* findOpen(const std::string& id);
  const OpenMessage* findOpen(const std::string& id) const;
  OpenMessage& addOpen(OpenMessage message);
  void eraseOpen(const std::string& id) { open_.erase(id); }
  bool hasOpen() const { return !open_.empty(); }

  // New arrivals: messages that were submitted since the last iteration, in the order in which they came.
  void addArrival(const std::string& id) { new_arrivals_.push_back(id); }
  // Removes arrivals that are no longer open.
  void dropFinishedArrivals();
  // New arrivals whose clients have all gone away.
  std::set<std::string> abandonedArrivals() const;
  const std::vector<std::string>& newArrivals() const { return new_arrivals_; }
  std::vector<std::string> takeNewArrivals();

  // Looks up the id of a submission. Returns `new_id` if the id is unknown; `answered` if `result` is the
  // answer to the submission; `waiting` if an earlier submission of the message is not answered yet: `reply`
  // is then moved into the registry and called with the same answer.
  enum class KnownSubmission : std::uint8_t { new_id, answered, waiting };
  KnownSubmission findSubmission(const Submission& submission, std::uint64_t digest,
                                 SubmissionCallback& reply, SubmissionResult& result);

  MessageStatus status(const std::string& id) const;
  // See SubmissionHandler::notifyWhenFinished().
  OutcomeSubscription notifyWhenFinished(const std::string& id, FinalOutcomeCallback callback);

  // Sets the final outcome of an open message. status() and submissions treat the message as open until
  // publishFinished().
  void finish(const std::string& id, const FinalOutcome& outcome);
  // The final outcomes are written to the journal: calls the callbacks that wait for them.
  void publishFinished();

  void addPendingNotice(const std::string& id, const FinishedMessage& finished);
  // Removes the pending notice, which was delivered, and returns its message; nothing if no notice was
  // pending.
  std::optional<FinishedMessage> takePendingNotice(const std::string& id);

 private:
  struct FinishedUnwritten {
    FinalOutcome outcome;
    OutcomeWatchers watchers;
  };
  const FinishedMessage* findFinished(const std::string& id) const;
  // The callbacks that wait for the final outcome of the message; null if its outcome is known or it is
  // unknown.
  OutcomeWatchers* findWatchers(const std::string& id);

  const Journal& journal_;
  std::unordered_map<std::string, OpenMessage> open_;
  std::vector<std::string> new_arrivals_;
  std::unordered_map<std::string, FinishedUnwritten> finished_unwritten_;
  std::unordered_map<std::string, FinishedMessage> pending_notices_;
};

}  // namespace grademux
