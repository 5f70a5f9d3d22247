// grademux: the host of the decision module: hands it events in turns, carries out its actions, and has the
// journal written before what it promises. It owns no policy.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../knowledge/learned_state_file.h"
#include "../membership/endpoint_list.h"
#include "action_guard.h"
#include "delivery_notifier.h"
#include "journal.h"
#include "settings.h"
#include "transport.h"

namespace grademux {

class DeliveryEngine : public SubmissionHandler {
 public:
  // Sees each turn of the decision module, after it: the events, and what they were answered with.
  using Observer = std::function<void(Micros now, const std::vector<Event>&, const std::vector<Action>&)>;
  DeliveryEngine(boost::asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
                 Transport& transport, DeliveryNotifier& notices);

  // Takes over what the journal, the configuration and an earlier process's book know, each as far as it is
  // still trusted: before clients are served.
  // `out`: attempts whose outcome is still to come from the earlier process.
  void recover(const json& known, const knowledge::LearnedStateFile& learned = {},
               const std::set<AttemptId>& out = {});
  // This process decides no more: what waits has its last turn, and the journal is given up. What comes later
  // is refused, or kept for resume().
  void suspend();
  void resume();  // the journal was taken back
  bool isSuspended() const { return suspended_; }
  // Where the right to act can end; null: it can't. It outlives the host's turns.
  void setActionGuard(ActionGuard* right);
  // The right has ended: nothing new is taken on or called until open(). The module hears that all endpoints
  // drain, so that what is held waits, and ends as its class says.
  void close();
  void open();
  bool isClosed() const { return closed_; }
  // The right shows these endpoints otherwise than before.
  void refreshEndpoints(const std::vector<std::string>& endpoints);
  // What the module has learned, in Unix time and with the addresses of endpoints, of `most` destinations
  // above `after`: in one of the next turns. One survey at a time.
  using Learned = std::function<void(std::vector<knowledge::LearnedRecord>, const LearnedExported&)>;
  void exportLearned(std::int64_t after, int most, Learned then);
  // The same of all, at once: when the process ends.
  knowledge::LearnedStateFile learnedState();
  // Called when health or waits were given to be kept.
  void onHealthChanged(std::function<void()> then) { on_health_changed_ = std::move(then); }
  // An answer of the source of membership; gives the version to go on from. The module hears of a long one in
  // slices, one a turn, so that calls go on meanwhile.
  std::int64_t onEndpointList(EndpointListAnswer answer);
  std::int64_t listVersion() const { return endpoint_list_.index(); }
  bool hasEndpoints() const { return endpoint_list_.size() > 0; }  // any endpoint
  void submit(Submission s, SubmissionCallback reply) override;
  MessageStatus status(const std::string& id) const override;
  void notifyWhenFinished(const std::string& id, std::function<void(const FinalOutcome&)> then) override;
  void onAttemptFinished(AttemptOutcome o);
  // The endpoints with the same name here are bound by each other's waits: all of a destination, or one alone
  // where its kind has routes apart.
  std::string retryAfterScope(const std::string& endpoint) const;
  void onNoticeDelivered(const std::string& id);  // a notice was answered
  void setObserver(Observer tap) { observer_ = std::move(tap); }
  // Other settings, which have been checked, hold for what is handed in from now on, and for all decisions;
  // messages that are open keep the class they came under.
  void applySettings(Settings settings);
  void scheduleStop(Micros at);  // the process ends then, on the monotonic clock
  bool isIdle() const { return events_.empty() && open_messages_.empty(); }

 private:
  struct OpenMessage {  // taken on and not over
    AcceptedMessage message;
    std::uint64_t digest = 0;
    int attempts = 0;
    std::vector<SubmissionCallback>
        replies;  // not answered yet; several if it was handed in at several doors at once
    std::vector<std::function<void(const FinalOutcome&)>> watchers;
  };
  void enqueueEvent(Event e);
  void runIteration();
  void applyActions(const std::vector<Action>& actions);
  void finishMessage(const std::string& id, bool handed_back, Micros pause);
  void armTimer();
  void completeExport(const std::vector<Action>& actions);
  void restoreLearned(const knowledge::LearnedStateFile& learned, Micros ahead);
  knowledge::LearnedRecord shown(const LearnedEndpoint& lesson) const;
  void forwardListSlice(std::size_t most, EndpointListKind kind);
  bool knowsDestination(std::int64_t destination) const;
  EndpointState shown(const Endpoint& e) const;
  bool isAttemptAllowed(const AttemptId& id, const OpenMessage& h, const std::string& endpoint);
  std::set<std::string> rejectNewArrivals();
  void reportNotSent(const std::string& id, int attempt);
  void recordFinalOutcome(const std::string& id, const FinalOutcome& end);
  void logIfOrphaned(const AcceptedMessage& m, const FinalOutcome& end) const;
  void publishFinished();
  const FinishedMessage* findFinished(
      const std::string& id) const;  // its end, told or not; null if it has none

  boost::asio::io_context& io_;
  Settings settings_;
  std::vector<ClassVersion> classes_;  // of these
  Sender sender_;
  Observer observer_;
  Learned export_callback_;
  std::function<void()> on_health_changed_;
  Journal& journal_;
  Transport& transport_;
  DeliveryNotifier& notices_;
  EndpointList endpoint_list_;
  bool slice_pending_ = false;  // a slice waits for its turn
  std::unordered_map<std::string, OpenMessage> open_messages_;
  std::set<std::string> new_arrivals_;  // arrived since the last turn
  // Destinations that are listed no more, and since when: they are known as long as a message that was meant
  // for them may last. In the order of leaving, too; one that left again stands there twice.
  std::unordered_map<std::int64_t, Micros> unlisted_since_;
  std::deque<std::pair<Micros, std::int64_t>> unlisted_order_;
  Micros max_deadline_ = 0;  // that a message may last
  // Ended since the last write: open to all outside until that is on record, then their watchers hear of it.
  struct Ended {
    FinalOutcome end;
    std::vector<std::function<void(const FinalOutcome&)>> watchers;
  };
  std::unordered_map<std::string, Ended> finished_unwritten_;
  // Their notice is owed; what is remembered of them goes to the journal once it was told.
  std::unordered_map<std::string, FinishedMessage> pending_notifications_;
  std::vector<Event> events_;
  std::set<Micros> timers_;
  boost::asio::steady_timer iteration_timer_, decision_timer_;
  Micros last_iteration_ = INT64_MIN / 4;
  ActionGuard* action_guard_ = nullptr;
  bool iteration_due_ = false, suspended_ = false, closed_ = false;
};

}  // namespace grademux
