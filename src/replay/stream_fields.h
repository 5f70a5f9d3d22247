// The fields of the recorded types, by the names that a recording has. Each type has one table, which serves
// encoding and decoding: each visited member is written or read under the given name.
#pragma once

#include "grademux/sender.h"
#include "grademux/settings.h"

namespace grademux::replay {

template <class T>
struct Fields;
#define GRADEMUX_FIELDS(Type)   \
  template <>                   \
  struct Fields<Type> {         \
    template <class V, class T> \
    static void visit([[maybe_unused]] V& v, [[maybe_unused]] T& x)
#define GRADEMUX_END }

GRADEMUX_FIELDS(MessageClass) {
  v("name", x.name);
  v("aim", x.latency_objective);
  v("deadline", x.deadline);
  v("aim_stretch", x.latency_objective_stretch);
  v("worth", x.priority_weight);
  v("late_worth", x.late_weight_fraction);
  v("effect", x.idempotency);
  v("group", x.idempotency_scope);
  v("memory", x.idempotency_window);
  v("ordered", x.ordered);
  v.optionalField("max_attempts", x.max_attempts);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Tenant) {
  v("name", x.name);
  v("quota", x.quota);
  v("share", x.share);
}
GRADEMUX_END;
GRADEMUX_FIELDS(DestinationKind) {
  v("name", x.name);
  v("routes_apart", x.has_separate_routes);
  v("per_call", x.messages_per_call);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Settings) {
  v("classes", x.classes);
  v("tenants", x.tenants);
  v("kinds", x.kinds);
  v("zone_fee", x.zone_cost);
  v("zones", x.zones);
  v("late", x.lateness_penalty);
  v("weights", x.weight_kind);
  v("list", x.list_mode);
  v("senders", x.sender_count);
  v("slots", x.max_in_flight);
  v("max_open", x.max_open_messages);
  v("max_attempts", x.max_attempts);
  v("may_cancel", x.cancel_allowed);
  v("may_copy", x.hedging_allowed);
  v("told_pause", x.retry_after_supported);
  v("tick", x.min_decide_interval);
  v("ask_within", x.poll_notified_within);
  v("drain_grace", x.drain_grace);
  v("fall_span", x.overload_collapse_time);
  v("ramp_time", x.slow_start_time);
  v("order_pause", x.ordering_backoff);
  v("dial_timeout", x.connect_timeout);
  v("conn_idle", x.idle_connection_timeout);
  v("max_pause", x.max_retry_after);
  v("cold_share", x.cold_capacity_fraction);
  v("overload_factor", x.overload_factor);
  v("over_share_worth", x.over_quota_weight);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Endpoint) {
  v("id", x.id);
  v("zone", x.zone);
  v("kind", x.kind);
  v("destination", x.destination);
  v("state", x.state);
  v("weight", x.weight);
}
GRADEMUX_END;
GRADEMUX_FIELDS(LimitReport) {
  v("left", x.remaining_fraction);
  v("limit", x.rate_limit);
}
GRADEMUX_END;
GRADEMUX_FIELDS(MessageArrival) {
  v("id", x.id);
  v("class", x.message_class);
  v("tenant", x.tenant);
  v("order_key", x.ordering_key);
  v("destination", x.destination);
  v("give_up_at", x.deadline);
  v("estimate", x.estimated_work);
  v("repeat", x.resubmitted);
}
GRADEMUX_END;
GRADEMUX_FIELDS(PastAttempt) {
  v("endpoint", x.endpoint);
  v("sent", x.sent_at);
  v("may_have_run", x.may_have_run);
  v.optionalField("out", x.in_flight);
  v.optionalField("lost", x.outcome_lost);
}
GRADEMUX_END;
GRADEMUX_FIELDS(RecoveredMessage) {
  v("message", x.message);
  v("attempts", x.attempts);
  v.optionalField("rules", x.class_version);
}
GRADEMUX_END;
GRADEMUX_FIELDS(OrderingKeyBlocked) {
  v("order_key", x.ordering_key);
  v("until", x.until);
  v("message", x.finished_message);
  v("out", x.attempts_in_flight);
}
GRADEMUX_END;
GRADEMUX_FIELDS(DestinationHealth) {
  v("endpoint", x.endpoint);
  v("destination", x.destination);
  v("down", x.down);
  v("cold_since", x.warming_since);
  v.optionalField("wait_until", x.retry_after_until);
  v.optionalField("noted", x.observed_at);
}
GRADEMUX_END;
GRADEMUX_FIELDS(LearnedEndpoint) {
  v("endpoint", x.endpoint);
  v("destination", x.destination);
  v("limit", x.rate_limit);
  v("told", x.limit_is_reported);
  v("part", x.quota_fraction);
  v("usual", x.typical_latency);
  v("samples", x.samples);
  v("risk", x.unknown_outcome_fraction);
  v("traffic", x.message_rate);
  v("heard", x.last_outcome_at);
  v("came", x.last_message_at);
}
GRADEMUX_END;
GRADEMUX_FIELDS(LearnedPool) {
  v("typical", x.mean_latency);
  v("typical_of", x.latency_samples);
  v("dead_score", x.stale_connection_score);
  v("dead_least", x.stale_after_idle);
  v("dead_at", x.stale_observed_at);
  v("heard", x.last_outcome_at);
}
GRADEMUX_END;
GRADEMUX_FIELDS(ExportLearned) {
  v("after", x.after);
  v("most", x.max_destinations);
}
GRADEMUX_END;
GRADEMUX_FIELDS(LearnedExported) {
  v("after", x.after);
  v("all", x.complete);
  v("pool", x.pool);
}
GRADEMUX_END;
GRADEMUX_FIELDS(ShutdownScheduled) {
  v("at", x.at);
}
GRADEMUX_END;
GRADEMUX_FIELDS(MessageWithdrawn) {
  v("id", x.id);
}
GRADEMUX_END;
GRADEMUX_FIELDS(SettingsChanged) {
  v("settings", x.settings);
}
GRADEMUX_END;
GRADEMUX_FIELDS(AttemptOutcome) {
  v("id", x.id);
  v("attempt", x.attempt);
  v("result", x.result);
  v("finished", x.already_finished);
  v("wait", x.retry_after);
  v("rtt", x.round_trip);
  v("report", x.limit_report);
  v.optionalField("stale", x.stale_connection);
  v.optionalField("unverified", x.is_unverified);
}
GRADEMUX_END;
GRADEMUX_FIELDS(ResponseSetAside) {
  v("id", x.id);
  v("attempt", x.attempt);
  v("wait", x.retry_after);
}
GRADEMUX_END;
GRADEMUX_FIELDS(EndpointListUpdate) {
  v("kind", x.kind);
  v("endpoints", x.endpoints);
}
GRADEMUX_END;
GRADEMUX_FIELDS(TimerFired) {}
GRADEMUX_END;
GRADEMUX_FIELDS(StartAttempt) {
  v("id", x.id);
  v("endpoint", x.endpoint);
  v("timeout", x.timeout);
  v.optionalField("write_within", x.write_within);
}
GRADEMUX_END;
GRADEMUX_FIELDS(CancelAttempt) {
  v("id", x.id);
  v("attempt", x.attempt);
}
GRADEMUX_END;
GRADEMUX_FIELDS(RejectMessage) {
  v("id", x.id);
  v("pause", x.retry_after);
}
GRADEMUX_END;
GRADEMUX_FIELDS(FailMessage) {
  v("id", x.id);
}
GRADEMUX_END;
GRADEMUX_FIELDS(WatchEndpoints) {}
GRADEMUX_END;
GRADEMUX_FIELDS(CloseIdleConnections) {
  v("endpoint", x.endpoint);
}
GRADEMUX_END;
GRADEMUX_FIELDS(SetTimer) {
  v("span", x.delay);
}
GRADEMUX_END;

#undef GRADEMUX_FIELDS
#undef GRADEMUX_END

// The last value of each enumeration, for range checks.
constexpr Idempotency lastValue(Idempotency) {
  return Idempotency::non_idempotent;
}
constexpr IdempotencyScope lastValue(IdempotencyScope) {
  return IdempotencyScope::cell;
}
constexpr LatenessPenalty lastValue(LatenessPenalty) {
  return LatenessPenalty::halving;
}
constexpr WeightKind lastValue(WeightKind) {
  return WeightKind::rough;
}
constexpr ListMode lastValue(ListMode) {
  return ListMode::poll;
}
constexpr EndpointState lastValue(EndpointState) {
  return EndpointState::gone;
}
constexpr AttemptResult lastValue(AttemptResult) {
  return AttemptResult::not_sent;
}
constexpr EndpointListKind lastValue(EndpointListKind) {
  return EndpointListKind::failed;
}

}  // namespace grademux::replay
