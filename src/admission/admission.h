// grademux: the chain of steps between the doors and the core. Identity, contracts, hooks and queues are
// steps; each decides in a module of its own that does no I/O. An empty chain hands everything straight on.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../core/message.h"

namespace grademux {

struct Verdict {
  enum class Kind {
    pass,    // on to the next step, as the submission now is
    refuse,  // nothing ran; the client may come again after `pause`
    reject   // it can't be used; `code` and `why` tell
  };
  Kind kind = Kind::pass;
  Micros pause = 0;
  std::string code, why;

  static Verdict pass() { return {}; }
  static Verdict refuse(Micros pause) { return {Kind::refuse, pause, {}, {}}; }
  static Verdict reject(std::string code, std::string why) {
    return {Kind::reject, 0, std::move(code), std::move(why)};
  }
};

// One step. Called on the loop thread alone.
class AdmissionStep {
 public:
  using Next = std::function<void(Verdict)>;
  virtual ~AdmissionStep() = default;
  // For the log: who is meant when a submission ends here.
  virtual const char* name() const = 0;
  // Called once for each submission. The step may alter `*s` until it calls `next`, which it does once, at
  // once or later; a second call, and one after the chain's patience, does nothing. One that throws has the
  // submission refused.
  virtual void take(const std::shared_ptr<Submission>& s, Next next) = 0;
};

class Admission : public SubmissionHandler {
 public:
  // What a step has not answered after `patience` is refused: a client waits no longer for its answer.
  Admission(boost::asio::io_context& io, SubmissionHandler& core, Micros patience, Micros pause);
  void add(std::unique_ptr<AdmissionStep> step);

  void submit(Submission s, SubmissionCallback reply) override;
  MessageStatus status(const std::string& id) const override { return core_.status(id); }
  void notifyWhenFinished(const std::string& id, std::function<void(const FinalOutcome&)> then) override {
    core_.notifyWhenFinished(id, std::move(then));
  }
  // The process ends: what waits in a step is refused, and so is what would have to wait from now on.
  void drain();
  void setPause(Micros pause) { pause_ = pause; }  // told to clients that a step refuses
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Pending {
    std::shared_ptr<Submission> submission;  // shared: a step may hold it past the chain's patience
    SubmissionCallback reply;
    std::size_t step = 0;
    Micros until = 0;
  };
  void go(std::uint64_t ticket);
  void judged(std::uint64_t ticket, std::size_t step, const Verdict& v);
  void refuse(std::uint64_t ticket);
  void arm();

  SubmissionHandler& core_;
  Micros patience_, pause_;
  std::vector<std::unique_ptr<AdmissionStep>> steps_;
  std::map<std::uint64_t, Pending> waiting_;  // by ticket: the oldest first
  std::uint64_t next_ticket_ = 0;
  boost::asio::steady_timer timer_;
  bool armed_ = false, draining_ = false;
};

}  // namespace grademux
