// grademux: the admission chain; see admission.h.
#include "admission.h"

#include "../core/clock.h"
#include "../log/log.h"

namespace grademux {

Admission::Admission(boost::asio::io_context& io, SubmissionHandler& core, Micros patience, Micros pause)
    : core_(core), patience_(patience), pause_(pause), timer_(io) {}

void Admission::add(std::unique_ptr<AdmissionStep> step) {
  steps_.push_back(std::move(step));
}

void Admission::submit(Submission s, SubmissionCallback reply) {
  if (steps_.empty())
    return core_.submit(std::move(s), std::move(reply));
  const std::uint64_t ticket = ++next_ticket_;
  waiting_[ticket] = {std::make_shared<Submission>(std::move(s)), std::move(reply), 0,
                      monotonicNow() + patience_};
  go(ticket);
  if (draining_)
    drain();
  arm();
}

void Admission::go(std::uint64_t ticket) {
  auto it = waiting_.find(ticket);
  if (it == waiting_.end())
    return;
  Pending& p = it->second;
  if (p.step == steps_.size()) {
    Pending done = std::move(p);
    waiting_.erase(it);
    const Micros waited = monotonicNow() - (done.until - patience_);
    done.submission->time_to_live = std::max<Micros>(0, done.submission->time_to_live - waited);
    return core_.submit(std::move(*done.submission), std::move(done.reply));
  }
  const std::size_t step = p.step;
  const std::shared_ptr<Submission> submission = p.submission;
  try {
    steps_[step]->take(submission, [this, ticket, step](const Verdict& v) { judged(ticket, step, v); });
  } catch (const std::exception& e) {
    // Guards the process, and the client's one answer, against a step that fails.
    log::write(log::Event::admission_step_failed, {{"step", steps_[step]->name()}, {"cause", e.what()}});
    judged(ticket, step, Verdict::refuse(pause_));
  }
}

void Admission::judged(std::uint64_t ticket, std::size_t step, const Verdict& v) {
  auto it = waiting_.find(ticket);
  if (it == waiting_.end() || it->second.step != step)
    return;  // answered already
  if (v.kind == Verdict::Kind::pass) {
    ++it->second.step;
    return go(ticket);
  }
  const SubmissionCallback reply = std::move(it->second.reply);
  waiting_.erase(it);
  reply(v.kind == Verdict::Kind::refuse ? SubmissionResult::rejected(v.pause)
                                        : SubmissionResult::invalid(v.code, v.why));
}

void Admission::refuse(std::uint64_t ticket) {
  auto it = waiting_.find(ticket);
  if (it == waiting_.end())
    return;
  log::write(log::Event::admission_step_late, {{"step", steps_[it->second.step]->name()}});
  judged(ticket, it->second.step, Verdict::refuse(pause_));
}

void Admission::drain() {
  draining_ = true;
  while (!waiting_.empty())
    judged(waiting_.begin()->first, waiting_.begin()->second.step, Verdict::refuse(pause_));
}

void Admission::arm() {
  if (armed_ || waiting_.empty())
    return;
  armed_ = true;
  timer_.expires_after(
      std::chrono::microseconds(std::max<Micros>(0, waiting_.begin()->second.until - monotonicNow())));
  timer_.async_wait([this](const boost::system::error_code& e) {
    if (e)
      return;
    armed_ = false;
    const Micros now = monotonicNow();
    while (!waiting_.empty() && waiting_.begin()->second.until <= now)
      refuse(waiting_.begin()->first);
    arm();
  });
}

}  // namespace grademux
