#include "message_registry.h"

#include <algorithm>
#include <utility>

namespace grademux {

OpenMessage* MessageRegistry::findOpen(const std::string& id) {
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

const OpenMessage* MessageRegistry::findOpen(const std::string& id) const {
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

OpenMessage& MessageRegistry::addOpen(OpenMessage message) {
  OpenMessage& added = open_[message.message.id];
  added = std::move(message);
  return added;
}

void MessageRegistry::dropFinishedArrivals() {
  const auto is_finished = [this](const std::string& id) { return !findOpen(id); };
  new_arrivals_.erase(std::remove_if(new_arrivals_.begin(), new_arrivals_.end(), is_finished),
                      new_arrivals_.end());
}

std::set<std::string> MessageRegistry::abandonedArrivals() const {
  std::set<std::string> abandoned;
  for (const std::string& id : new_arrivals_) {
    const std::vector<std::function<bool()>>& checks = findOpen(id)->abandoned_checks;
    const auto is_abandoned = [](const std::function<bool()>& check) { return check && check(); };
    if (!checks.empty() && std::all_of(checks.begin(), checks.end(), is_abandoned))
      abandoned.insert(id);
  }
  return abandoned;
}

std::vector<std::string> MessageRegistry::takeNewArrivals() {
  return std::exchange(new_arrivals_, {});
}

const FinishedMessage* MessageRegistry::findFinished(const std::string& id) const {
  const auto pending = pending_notices_.find(id);
  return pending != pending_notices_.end() ? &pending->second : journal_.findFinished(id);
}

MessageRegistry::KnownSubmission MessageRegistry::findSubmission(const Submission& submission,
                                                                 std::uint64_t digest,
                                                                 SubmissionCallback& reply,
                                                                 SubmissionResult& result) {
  const AcceptedMessage& message = submission.message;
  if (OpenMessage* open = findOpen(message.id)) {
    if (open->digest != digest) {
      result.kind = SubmissionResult::Kind::conflict;
    } else if (!open->replies.empty()) {
      open->replies.push_back(std::move(reply));
      open->abandoned_checks.push_back(submission.is_abandoned);
      return KnownSubmission::waiting;
    }
    return KnownSubmission::answered;
  }
  const FinishedMessage* finished = findFinished(message.id);
  if (!finished)
    return KnownSubmission::new_id;
  if (finished->digest != (finished->legacy_digest ? legacyContentDigest(message) : digest))
    result.kind = SubmissionResult::Kind::conflict;
  else if (!finished_unwritten_.count(message.id))
    result.final_outcome = finished->outcome;
  return KnownSubmission::answered;
}

MessageStatus MessageRegistry::status(const std::string& id) const {
  MessageStatus status;
  if (const OpenMessage* open = findOpen(id)) {
    if (open->replies.empty())  // otherwise the message is not written yet and its state is unknown
      status.state = MessageStatus::State::open;
    return status;
  }
  const FinishedMessage* finished = findFinished(id);
  if (!finished)
    return status;
  status.state = finished_unwritten_.count(id) ? MessageStatus::State::open : MessageStatus::State::finished;
  status.outcome = finished->outcome;
  return status;
}

OutcomeWatchers* MessageRegistry::findWatchers(const std::string& id) {
  if (OpenMessage* open = findOpen(id))
    return &open->watchers;
  const auto finished = finished_unwritten_.find(id);
  return finished == finished_unwritten_.end() ? nullptr : &finished->second.watchers;
}

// Subscriptions that nobody holds any more are removed before the list grows.
OutcomeSubscription MessageRegistry::notifyWhenFinished(const std::string& id,
                                                        FinalOutcomeCallback callback) {
  OutcomeWatchers* watchers = findWatchers(id);
  if (!watchers)
    return nullptr;
  if (watchers->size() == watchers->capacity())
    watchers->erase(std::remove_if(watchers->begin(), watchers->end(),
                                   [](const auto& watcher) { return watcher.expired(); }),
                    watchers->end());
  auto subscription = std::make_shared<const FinalOutcomeCallback>(std::move(callback));
  watchers->push_back(subscription);
  return subscription;
}

void MessageRegistry::finish(const std::string& id, const FinalOutcome& outcome) {
  const auto open = open_.find(id);
  finished_unwritten_[id] = {outcome, std::move(open->second.watchers)};
  open_.erase(open);
}

void MessageRegistry::publishFinished() {
  const auto finished = std::exchange(finished_unwritten_, {});
  for (const auto& [id, message] : finished)
    for (const auto& watcher : message.watchers)
      if (const OutcomeSubscription subscription = watcher.lock())
        (*subscription)(message.outcome);
}

void MessageRegistry::addPendingNotice(const std::string& id, const FinishedMessage& finished) {
  pending_notices_[id] = finished;
}

std::optional<FinishedMessage> MessageRegistry::takePendingNotice(const std::string& id) {
  const auto pending = pending_notices_.find(id);
  if (pending == pending_notices_.end())
    return std::nullopt;
  const FinishedMessage finished = pending->second;
  pending_notices_.erase(pending);
  return finished;
}

}  // namespace grademux
