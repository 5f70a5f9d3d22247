// See admission.h.
#include "admission.h"

#include "../core/clock.h"
#include "../log/log.h"

namespace grademux {

Admission::Admission(boost::asio::io_context& io, SubmissionHandler& core, Micros chain_timeout,
                     Micros retry_after)
    : core_(core), chain_timeout_(chain_timeout), retry_after_(retry_after), timer_(io) {}

void Admission::add(std::unique_ptr<AdmissionStep> step) {
  steps_.push_back(std::move(step));
}

void Admission::submit(Submission submission, SubmissionCallback reply) {
  if (steps_.empty())
    return core_.submit(std::move(submission), std::move(reply));
  const std::uint64_t ticket = ++next_ticket_;
  pending_[ticket] = {std::make_shared<Submission>(std::move(submission)), std::move(reply), 0,
                      monotonicNow() + chain_timeout_};
  runNextStep(ticket);
  if (draining_)
    drain();
  scheduleTimeout();
}

void Admission::runNextStep(std::uint64_t ticket) {
  auto found = pending_.find(ticket);
  if (found == pending_.end())
    return;
  Pending& pending = found->second;
  if (pending.step == steps_.size()) {
    Pending admitted = std::move(pending);
    pending_.erase(found);
    const Micros waited = monotonicNow() - (admitted.deadline - chain_timeout_);
    admitted.submission->time_to_live = std::max<Micros>(0, admitted.submission->time_to_live - waited);
    return core_.submit(std::move(*admitted.submission), std::move(admitted.reply));
  }
  const std::size_t step = pending.step;
  const std::shared_ptr<Submission> submission = pending.submission;
  try {
    steps_[step]->take(submission,
                       [this, ticket, step](const Verdict& verdict) { onVerdict(ticket, step, verdict); });
  } catch (const std::exception& error) {
    // A step that throws must not end the process or leave the client without its answer.
    log::write(log::Event::admission_step_failed, {{"step", steps_[step]->name()}, {"cause", error.what()}});
    onVerdict(ticket, step, Verdict::refuse(retry_after_));
  }
}

void Admission::onVerdict(std::uint64_t ticket, std::size_t step, const Verdict& verdict) {
  auto found = pending_.find(ticket);
  if (found == pending_.end() || found->second.step != step)
    return;  // the submission has been answered, or the step has given its verdict already
  if (verdict.kind == Verdict::Kind::pass) {
    ++found->second.step;
    return runNextStep(ticket);
  }
  const SubmissionCallback reply = std::move(found->second.reply);
  pending_.erase(found);
  reply(verdict.kind == Verdict::Kind::refuse ? SubmissionResult::rejected(verdict.retry_after)
                                              : SubmissionResult::invalid(verdict.code, verdict.reason));
}

void Admission::refuseOverdue(std::uint64_t ticket) {
  auto found = pending_.find(ticket);
  if (found == pending_.end())
    return;
  log::write(log::Event::admission_step_late, {{"step", steps_[found->second.step]->name()}});
  onVerdict(ticket, found->second.step, Verdict::refuse(retry_after_));
}

void Admission::drain() {
  draining_ = true;
  while (!pending_.empty())
    onVerdict(pending_.begin()->first, pending_.begin()->second.step, Verdict::refuse(retry_after_));
}

void Admission::scheduleTimeout() {
  if (timeout_scheduled_ || pending_.empty())
    return;
  timeout_scheduled_ = true;
  timer_.expires_after(
      std::chrono::microseconds(std::max<Micros>(0, pending_.begin()->second.deadline - monotonicNow())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    timeout_scheduled_ = false;
    const Micros now = monotonicNow();
    while (!pending_.empty() && pending_.begin()->second.deadline <= now)
      refuseOverdue(pending_.begin()->first);
    scheduleTimeout();
  });
}

}  // namespace grademux
