// The admission chain: the steps that each submission passes between the listeners and the engine. Identity,
// contracts, hooks and queues are steps; each makes its decisions in its own module that does no I/O. An
// empty chain passes each submission directly to the engine. Loop thread only.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../core/message.h"

namespace grademux {

// The decision of a step on one submission.
struct Verdict {
  enum class Kind {
    pass,    // the submission, as the step has altered it, continues to the next step
    refuse,  // the submission is rejected; the client may submit again after `retry_after`
    reject   // the submission is invalid; `code` and `reason` say why
  };
  Kind kind = Kind::pass;
  Micros retry_after = 0;
  std::string code, reason;

  static Verdict pass() { return {}; }
  static Verdict refuse(Micros retry_after) { return {Kind::refuse, retry_after, {}, {}}; }
  static Verdict reject(std::string code, std::string reason) {
    return {Kind::reject, 0, std::move(code), std::move(reason)};
  }
};

// One step of the chain. Called on the loop thread.
class AdmissionStep {
 public:
  using Next = std::function<void(Verdict)>;
  virtual ~AdmissionStep() = default;
  // The step's name in log events.
  virtual const char* name() const = 0;
  // Called once for each submission. The step calls `next` exactly once, immediately or later, and may alter
  // `*submission` until then. A second call, or a call after the chain's timeout, has no effect. If
  // take() throws, the submission is refused.
  virtual void take(const std::shared_ptr<Submission>& submission, Next next) = 0;
};

class Admission : public SubmissionHandler {
 public:
  // A submission that has not passed the chain after `chain_timeout` is refused, because its client does not
  // wait longer for an answer. `retry_after` is sent to clients whose submission the chain refuses by itself.
  Admission(boost::asio::io_context& io, SubmissionHandler& core, Micros chain_timeout, Micros retry_after);
  void add(std::unique_ptr<AdmissionStep> step);

  void submit(Submission submission, SubmissionCallback reply) override;
  MessageStatus status(const std::string& id) const override { return core_.status(id); }
  OutcomeSubscription notifyWhenFinished(const std::string& id,
                                         std::function<void(const FinalOutcome&)> callback) override {
    return core_.notifyWhenFinished(id, std::move(callback));
  }
  // Called when the process ends: refuses the submissions that wait in a step, and from now on each
  // submission that would have to wait.
  void drain();
  // Changes `retry_after` of the constructor.
  void setPause(Micros retry_after) { retry_after_ = retry_after; }
  // The number of submissions that wait in a step.
  std::size_t pendingCount() const { return pending_.size(); }

 private:
  struct Pending {
    std::shared_ptr<Submission> submission;  // shared: a step may hold it beyond the timeout
    SubmissionCallback reply;
    std::size_t step = 0;
    Micros deadline = 0;  // of the chain; monotonic
  };
  void runNextStep(std::uint64_t ticket);
  void onVerdict(std::uint64_t ticket, std::size_t step, const Verdict& verdict);
  void refuseOverdue(std::uint64_t ticket);
  void scheduleTimeout();

  SubmissionHandler& core_;
  Micros chain_timeout_, retry_after_;
  std::vector<std::unique_ptr<AdmissionStep>> steps_;
  std::map<std::uint64_t, Pending> pending_;  // by ticket, so that the oldest is first
  std::uint64_t next_ticket_ = 0;
  boost::asio::steady_timer timer_;
  bool timeout_scheduled_ = false, draining_ = false;
};

}  // namespace grademux
