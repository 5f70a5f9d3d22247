// The engine around the decision module: passes events to the module in iterations, performs the module's
// actions, and writes the journal before it does anything that depends on a journal record. The engine
// defines the order of these steps and has no policy of its own.
//
// Used from the loop thread alone. The objects passed to the constructor by reference must outlive the
// engine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "action_guard.h"
#include "delivery_notifier.h"
#include "endpoint_updates.h"
#include "engine_recovery.h"
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
  // Called in each iteration, before the actions are performed, with the events that the decision module got
  // and the actions that it returned.
  using Observer = std::function<void(Micros now, const std::vector<Event>&, const std::vector<Action>&)>;
  DeliveryEngine(boost::asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
                 Transport& transport, DeliveryNotifier& notifier);

  // Restores the contents of the journal, the configured endpoint list, and the learned state of an earlier
  // process as far as `policy` still trusts it. Must be called before clients are served.
  void recover(const json& configured_list, const TrustPolicy& policy, const LearnedState& learned = {},
               const EarlierProcess& earlier = {});

  // Runs a last iteration and releases the journal. Until resume(), submissions are rejected and events stay
  // queued.
  void suspend();
  // Must be called after the journal has been reacquired.
  void resume();
  bool isSuspended() const { return scheduler_.isSuspended(); }

  // `guard` can forbid actions at any time; null: all actions are allowed.
  void setActionGuard(ActionGuard* guard);
  // Accepts no message and starts no attempt until open(). The decision module sees every ready endpoint as
  // draining, so that open messages wait, and fail at their deadlines.
  void close();
  void open();
  bool isClosed() const { return closed_; }
  // Passes the states that the guard now gives these endpoints to the decision module.
  void refreshEndpoints(const std::vector<std::string>& endpoints);

  // Exports the learned state of at most `max_destinations` destinations with numbers above `after`, with
  // times in Unix time. `callback` is called in one of the next iterations. Only one export can be pending.
  using ExportCallback = std::function<void(std::vector<LearnedRecord>, const LearnedExported&)>;
  void exportLearned(std::int64_t after, int max_destinations, ExportCallback callback);
  // The whole learned state, exported in an iteration that runs within this call: for the end of the process.
  LearnedState learnedState();
  // `callback` is called after the health of a destination was recorded.
  void onHealthChanged(std::function<void()> callback) { on_health_changed_ = std::move(callback); }

  // An answer of the membership source. Returns the list version from which the source should continue. The
  // decision module gets a long answer in slices, one in each iteration, so that deliveries continue
  // meanwhile.
  std::int64_t onEndpointList(EndpointListAnswer answer);
  std::int64_t listVersion() const { return endpoints_.list().index(); }
  bool hasEndpoints() const { return endpoints_.list().size() > 0; }
  // The scope of a Retry-After from this endpoint; endpoints with the same scope share the pause. The scope
  // is the destination, or the endpoint alone if its kind has separate routes.
  std::string retryAfterScope(const std::string& endpoint) const;

  void submit(Submission submission, SubmissionCallback reply) override;
  MessageStatus status(const std::string& id) const override { return registry_.status(id); }
  OutcomeSubscription notifyWhenFinished(const std::string& id, FinalOutcomeCallback callback) override {
    return registry_.notifyWhenFinished(id, std::move(callback));
  }
  void onAttemptFinished(AttemptOutcome outcome);
  void onResponseSetAside(ResponseSetAside response);
  void onNoticeDelivered(const std::string& id) { outcomes_.onNoticeDelivered(id, max_lifetime_); }

  void setObserver(Observer observer) { observer_ = std::move(observer); }
  // Applies validated settings to all later submissions and decisions. Open messages keep their class
  // version.
  void applySettings(Settings settings);
  // Tells the decision module that the process ends at this time of the monotonic clock.
  void scheduleStop(Micros at);
  bool isIdle() const { return events_.empty() && !registry_.hasOpen(); }

 private:
  static constexpr std::size_t kListSliceChanges = 1000;  // changes of the endpoint list in one iteration

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
  void dropAbandonedArrivals();
  void applyActions(const std::vector<Action>& actions);
  void applyFinalActions(const std::vector<Action>& actions);
  void rejectOrFail(const std::string& id, FinalStatus status, Micros retry_after);
  void recordHealth(DestinationHealth health);
  void recordOrderingBlock(OrderingKeyBlocked block);
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
  std::vector<ClassVersion> classes_;  // the classes of settings_
  Sender sender_;
  Journal& journal_;
  Transport& transport_;
  MessageRegistry registry_;
  EndpointUpdates endpoints_;
  FinalOutcomes outcomes_;
  IterationScheduler scheduler_;
  std::vector<Event> events_;  // for the next iteration
  Micros max_lifetime_ = 0;    // longest time that any message may stay open; never lowered
  ActionGuard* action_guard_ = nullptr;
  bool closed_ = false;
  Observer observer_;
  ExportCallback export_callback_;
  std::function<void()> on_health_changed_;
};

}  // namespace grademux
