// State that all modules of a Sender share during a call of decide(): settings, time, the actions decided so
// far, and the time scales derived from the settings. The Sender owns the context; the modules hold
// references to it.
#pragma once

#include <random>
#include <vector>

#include "class_versions.h"
#include "target_state.h"

namespace grademux::decision {

constexpr double kRareSenderFraction = 0.05;  // a sender with less than this share of a limit is rare
constexpr double kTimeoutRatio = 8;           // longest attempt time-out, in expected latencies
constexpr double kRetentionSpans = 3;         // shortest retention of unused state, in slow start times

struct DecisionContext {
  DecisionContext(Settings initial_settings, std::uint64_t seed);

  // Whether the target is down, or in slow start after an outage.
  bool isCold(const TargetState& target) const {
    return target.outlier.is_down || now < slowStartEnd(target);
  }
  // Moment at which slow start ends, if the target is not down.
  Micros slowStartEnd(const TargetState& target) const {
    return target.outlier.warming_since + settings.slow_start_time;
  }
  // Whether so many senders share the destinations that each sender sees only a small part of the traffic.
  bool isLargeFleet() const { return kRareSenderFraction * settings.sender_count > 1; }
  // Shortest time that state of removed endpoints and destinations is retained.
  Micros retentionTime() const;
  // Settings::overload_collapse_time in microseconds, 1 at least.
  double collapseTime() const;
  // Span over which rates are averaged: Settings::slow_start_time in seconds.
  double rateSpanSeconds() const {
    return static_cast<double>(std::max<Micros>(1, settings.slow_start_time)) / kSecond;
  }
  double perSecond(const Rate& rate) const { return rate.perSecond(now, rateSpanSeconds()); }
  void countEvent(Rate& rate) const { rate.count(now, rateSpanSeconds()); }
  // Requests another call of decide() at `when` at the latest.
  void requestTimer(Micros when) { next_timer_at = std::min(next_timer_at, when); }

  Settings settings;
  std::vector<ClassVersion> class_versions;  // of the settings
  double shortest_objective = 0;             // shortest latency objective of all classes, microseconds
  std::mt19937_64 random;
  Micros now = 0;
  std::uint64_t iteration = 0;  // number of the current dispatch
  std::vector<Action> actions;  // decided in this call
  Micros next_timer_at = kNever;
  Micros shutdown_at = kNever;   // outcomes that arrive after this time are lost
  DestinationKind default_kind;  // of endpoints whose kind is not in the settings
};

}  // namespace grademux::decision
