// The engine around the decision module: hands it events in iterations, carries out its actions, and writes
// the journal before anything that the journal promises is done. It knows the order of things and has no
// policy of its own.
//
// Used from the loop thread alone. What the constructor is given must outlive the engine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "action_guard.h"
#include "delivery_notifier.h"
#include "endpoint_updates.h"
#include "final_outcomes.h"
#include "iteration_scheduler.h"
#include "journal.h"
#include "learned_state.h"
#include "message_registry.h"
#include "settings.h"
#include "transport.h"

namespace grademux {

class DeliveryEngine : public SubmissionHandler {
 public:
  // Called after each iteration with the events that the decision module got and the actions that it
  // returned.
  using Observer = std::function<void(Micros now, const std::vector<Event>&, const std::vector<Action>&)>;
  DeliveryEngine(boost::asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
                 Transport& transport, DeliveryNotifier& notifier);

  // Takes over what the journal, the configured endpoint list and an earlier process's learned state hold, as
  // far as `policy` still trusts it. To be called before clients are served. `in_flight`: attempts whose
  // outcome is still to come from the earlier process.
  void recover(const json& configured_list, const TrustPolicy& policy, const LearnedState& learned = {},
               const std::set<AttemptId>& in_flight = {});

  // Runs a last iteration and releases the journal. From then on submissions are rejected and events wait for
  // resume().
  void suspend();
  // To be called once the journal is reacquired.
  void resume();
  bool isSuspended() const { return scheduler_.isSuspended(); }

  // `guard` can forbid actions at any time; null: nothing does.
  void setActionGuard(ActionGuard* guard);
  // Acting is forbidden: no message is accepted and no attempt started until open(). The decision module sees
  // all endpoints as draining, so that open messages wait, and fail at their deadlines.
  void close();
  void open();
  bool isClosed() const { return closed_; }
  // The guard shows these endpoints in other states than before.
  void refreshEndpoints(const std::vector<std::string>& endpoints);

  // Exports what the decision module has learned, in Unix time, of at most `max_destinations` destinations
  // above `after`; `callback` is called in one of the next iterations. One export at a time.
  using ExportCallback = std::function<void(std::vector<LearnedRecord>, const LearnedExported&)>;
  void exportLearned(std::int64_t after, int max_destinations, ExportCallback callback);
  // All that the decision module has learned, at once: for the end of the process.
  LearnedState learnedState();
  // `callback` is called when the health of a destination was recorded.
  void onHealthChanged(std::function<void()> callback) { on_health_changed_ = std::move(callback); }

  // An answer of the membership source. Returns the version to continue from. The decision module gets a long
  // answer in slices, one an iteration, so that deliveries continue meanwhile.
  std::int64_t onEndpointList(EndpointListAnswer answer);
  std::int64_t listVersion() const { return endpoints_.list().index(); }
  bool hasEndpoints() const { return endpoints_.list().size() > 0; }
  // Endpoints with the same scope share a Retry-After: all of a destination, or one alone where its kind has
  // separate routes.
  std::string retryAfterScope(const std::string& endpoint) const;

  void submit(Submission submission, SubmissionCallback reply) override;
  MessageStatus status(const std::string& id) const override { return registry_.status(id); }
  void notifyWhenFinished(const std::string& id, FinalOutcomeCallback callback) override {
    registry_.notifyWhenFinished(id, std::move(callback));
  }
  void onAttemptFinished(AttemptOutcome outcome);
  void onNoticeDelivered(const std::string& id) { outcomes_.onNoticeDelivered(id, max_lifetime_); }

  void setObserver(Observer observer) { observer_ = std::move(observer); }
  // New settings, already validated, for submissions from now on and for all decisions. Open messages keep
  // their class version.
  void applySettings(Settings settings);
  // The process ends at this moment of the monotonic clock.
  void scheduleStop(Micros at);
  bool isIdle() const { return events_.empty() && !registry_.hasOpen(); }

 private:
  static constexpr std::size_t kListSliceChanges = 1000;  // of the endpoint list, in one iteration

  // An attempt that is recorded in the journal and not started yet.
  struct PlannedAttempt {
    const StartAttempt* action;
    int attempt;
    std::uint32_t version;
  };

  // Submissions
  Result<ClassVersion, SubmissionResult> classOf(const Submission& submission) const;
  void acceptSubmission(Submission submission, std::uint64_t digest, SubmissionCallback reply);

  // Iterations
  void enqueueEvent(Event event);
  void runIteration();
  void applyActions(const std::vector<Action>& actions);
  void applyFinalActions(const std::vector<Action>& actions);
  void rejectOrFail(const std::string& id, FinalStatus status, Micros retry_after);
  void recordHealth(DestinationHealth health);
  std::set<std::string> rejectNewArrivals();
  std::vector<PlannedAttempt> recordAttempts(const std::vector<Action>& actions,
                                             const std::set<std::string>& rejected);
  void answerNewArrivals(bool journaled);
  void performActions(const std::vector<Action>& actions, const std::vector<PlannedAttempt>& planned,
                      bool journaled);
  void startAttempt(const PlannedAttempt& planned, bool journaled);
  bool isAttemptAllowed(const AttemptId& id, const OpenMessage& open, const std::string& endpoint);
  void reportNotSent(const std::string& id, int attempt);
  void completeExport(const std::vector<Action>& actions);

  // Endpoints
  void enqueueListSlice(std::size_t max_changes, EndpointListKind kind);
  void enqueueEndpointSnapshot();
  EndpointState visibleState(const Endpoint& endpoint) const;

  void raiseMaxLifetime();

  Settings settings_;
  std::vector<ClassVersion> classes_;  // of the settings
  Sender sender_;
  Journal& journal_;
  Transport& transport_;
  MessageRegistry registry_;
  EndpointUpdates endpoints_;
  FinalOutcomes outcomes_;
  IterationScheduler scheduler_;
  std::vector<Event> events_;  // for the next iteration
  Micros max_lifetime_ = 0;    // the longest that a message may last; never lowered
  ActionGuard* action_guard_ = nullptr;
  bool closed_ = false;
  Observer observer_;
  ExportCallback export_callback_;
  std::function<void()> on_health_changed_;
};

}  // namespace grademux
