// grademux, decision 4, attempts: what may be sent where, when again, and how long it may take.
#pragma once

#include "outlier_detector.h"

namespace grademux::decision {

constexpr double kNonIdempotentTimeoutFactor = 2;  // a call that can't be repeated waits so many times longer
constexpr double kMaxUnknownOutcomeFraction =
    0.3;  // no unsafe message where so many calls ended in the unknown
constexpr double kStaleConnectionThreshold =
    2.5;  // signs in RampTimeMs that connections die idle; half among many senders
constexpr Micros kStaleConnectionSpans =
    3;                                    // of RampTimeMs: so long a sign against idle connections is heeded
constexpr double kMinExpectedReuses = 2;  // an idle connection with fewer uses to expect is closed ...
constexpr double kReuseSenderCount =
    10;  // ... where so many senders share an endpoint; in proportion for others

struct RetryPolicy : OutlierDetector {
  using OutlierDetector::OutlierDetector;
  static bool mayHaveExecuted(const Message& message);

  // THE effect rule. No repeat of what may have run, but: safe ones at will; keyed ones only where and while
  // the destination drops repeats; never two out at once unless the site allows copies.
  bool isAttemptAllowed(const Message& message, const EndpointEntry& endpoint) const;

  // Until then a destination drops a repeat of a keyed message: counted from the first try that may have run.
  Micros retryAllowedUntil(const Message& message) const;

  // A refusal promises that handing the message in again does no harm.
  bool mayReject(const Message& message) const;

  bool isAttemptPossible(const Message& message) const;

  bool isFirstInOrder(const Message& message) const;

  // Time-out: many usual latencies, stretched by what the destination and everything show now. An unsafe
  // message could not be sent again, so it waits longer; but not for all its time, or the calls at a hanging
  // destination would hold the slots of all others.
  Micros attemptTimeout(const Message& message, const EndpointEntry& endpoint) const;

  // Idle connections may die unseen (no answer, no reset: a firewall forgets them): a call on a reused one is
  // lost, the next there, on a fresh one, answered. Then what has idled about as long is closed before the
  // next call. Harm: more handshakes while a hang is mistaken for it.
  void recordConnectionUse(Destination& destination, Micros idled, bool lost);

  Micros staleIdleThreshold() const;

  // Where kept connections were found dead of late, what can't be repeated and further tries go on a fresh
  // one; the kept ones are closed for it, as endpoints take only so many. Harm: a handshake for each.
  Micros reserveConnection(EndpointEntry& endpoint, const Message& message);

  // An endpoint takes so many connections, idle ones counted: none is kept for a call that won't come soon,
  // nor where a connect failed of late. Guards against tables full of the idle ones of many, which look like
  // an outage to all others. Harm: a handshake a call after a crash.
  void returnConnection(EndpointEntry& endpoint);

  void startAttempt(Message& message, EndpointEntry& endpoint, bool global_phase);

  void recordAttempt(Message& message, EndpointEntry& endpoint, std::uint64_t call, Micros sent,
                     Micros idled);

  void finishAttempt(Message& message, Attempt& attempt);

  bool isEndpointEligible(EndpointEntry& endpoint, const Message& message);

  // The fewest calls out; then a kept connection, then the one that rested longest, at first a random one:
  // else all senders would crowd the endpoint that the list names first.
  EndpointEntry* chooseEndpoint(Destination& destination, const Message& message);

  using Pick = std::pair<Message*, EndpointEntry*>;
  Pick chooseMessage(Destination& destination);

  Micros queueDrainTime(Destination& destination);

  void dispatchMessages();

  void fillBatch(Destination& destination, EndpointEntry& endpoint);

  void onAttemptOutcome(const AttemptOutcome& outcome);

  // A further try: fresh tags, after pauses that double so that the attempts last for the time left; among
  // many senders an aim later at least: they would take the place of first tries still in time, and those
  // of a clump came back as one and pushed over what returned. Also guards against limits that eat all tries.
  void scheduleRetry(Message& message, EndpointEntry& endpoint);

  void closeMessage(Message& message);

  void finishMessage(Message& message, bool worth_a_return);

  void eraseIfUnused(Message& message);
};

}  // namespace grademux::decision
