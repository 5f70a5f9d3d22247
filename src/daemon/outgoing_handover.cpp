// Source side of a handover; see outgoing_handover.h.
#include "outgoing_handover.h"

#include <utility>

#include "../log/log.h"

namespace grademux {

OutgoingHandover::OutgoingHandover(SenderComponents& components, GracefulShutdown& shutdown)
    : components_(components), shutdown_(shutdown) {}

void OutgoingHandover::listen() {
  components_.handover_source =
      std::make_unique<handover::HandoverSource>(components_.io, components_.folder_lock.fd(), callbacks());
}

void OutgoingHandover::onAttemptFinished(AttemptOutcome outcome) {
  if (components_.isDelivering())
    return components_.engine->onAttemptFinished(std::move(outcome));
  components_.handover_source->onAttemptFinished(outcome);
  if (components_.handover_source->state().step() != handover::HandoverStep::departed)
    unrecorded_.push_back(std::move(outcome));
}

handover::HandoverSource::Callbacks OutgoingHandover::callbacks() {
  handover::HandoverSource::Callbacks callbacks;
  callbacks.rejection_reason = [this] { return rejectionReason(); };
  callbacks.close = [this] { stopAccepting(); };
  callbacks.is_quiescent = [this] { return isQuiescent(); };
  callbacks.release = [this] { return releaseOwnership(); };
  callbacks.reacquire = [this] { return reacquireOwnership(); };
  callbacks.resume = [this] { resume(); };
  callbacks.cancel = [this](const AttemptId& attempt) {
    components_.transport->cancelAttempt(attempt.message_id, attempt.attempt);
  };
  callbacks.cancel_all = [this] {
    components_.transport->settleResponsesSetAside();
    for (const AttemptId& attempt : components_.transport->unreportedAttempts())
      components_.transport->cancelAttempt(attempt.message_id, attempt.attempt);
  };
  callbacks.on_complete = [this] { onCompleted(); };
  return callbacks;
}

std::string OutgoingHandover::rejectionReason() const {
  if (shutdown_.hasBegun())
    return "stopping";
  return components_.attempts->inherited().empty() ? "" : "calls of an earlier process are out still";
}

void OutgoingHandover::stopAccepting() {
  if (components_.platform_listener)
    components_.platform_listener->pause();
  components_.listeners.releaseAddresses();
  components_.shareClientMemory(true);
}

bool OutgoingHandover::isQuiescent() const {
  const RespListener* listener = components_.platform_listener.get();
  return components_.openRequests() == 0 && (!listener || listener->partialRequests() == 0);
}

handover::OwnershipReleased OutgoingHandover::releaseOwnership() {
  if (components_.endpoint_watcher)
    components_.endpoint_watcher->pause();
  if (components_.fleet)
    components_.fleet->release("handed over");
  if (components_.daemon_file.knowledge.enabled)
    components_.learned_state->finish(components_.engine->learnedState());
  components_.engine->suspend();
  components_.transport->closeAllIdle();
  handover::OwnershipReleased released{components_.state.isStandby(),
                                       components_.transport->unreportedAttempts(),
                                       components_.journal->epoch()};
  log::write(log::Event::handover_released, {{"calls", released.in_flight.size()}});
  components_.folder_lock.unlock();
  return released;
}

bool OutgoingHandover::reacquireOwnership() {
  if (components_.folder_lock.tryLock() && components_.journal->reacquire())
    return true;
  components_.folder_lock.unlock();
  return false;
}

void OutgoingHandover::resume() {
  log::write(log::Event::handover_resumed);
  if (!components_.isDelivering())
    resumeDelivery();
  if (components_.platform_listener)
    components_.platform_listener->resume();
  components_.listeners.reacquireAddresses();
  components_.shareClientMemory(false);
}

void OutgoingHandover::resumeDelivery() {
  components_.engine->resume();
  for (AttemptOutcome& outcome : std::exchange(unrecorded_, {}))
    components_.engine->onAttemptFinished(std::move(outcome));
  components_.learned_state->resume();
  if (components_.endpoint_watcher)
    components_.endpoint_watcher->start(components_.engine->listVersion());
  if (components_.fleet) {
    components_.fleet->resume();
    components_.engine->setActionGuard(&components_.fleet->actionGuard());
  }
}

void OutgoingHandover::onCompleted() {
  unrecorded_.clear();
  shutdown_.beginAfterHandover();
}

}  // namespace grademux
