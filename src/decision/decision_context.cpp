#include "decision_context.h"

namespace grademux::decision {

DecisionContext::DecisionContext(Settings initial_settings, std::uint64_t seed)
    : settings(std::move(initial_settings)),
      class_versions(classVersionsOf(settings)),
      shortest_objective(shortestLatencyObjective(settings)),
      random(seed) {}

Micros DecisionContext::retentionTime() const {
  return 1 + std::max(2 * settings.overload_collapse_time,
                      static_cast<Micros>(kRetentionSpans * rateSpanSeconds() * kSecond));
}

double DecisionContext::collapseTime() const {
  return static_cast<double>(std::max<Micros>(1, settings.overload_collapse_time));
}

}  // namespace grademux::decision
