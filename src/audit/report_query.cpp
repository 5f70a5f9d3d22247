// Answers a query on a sender whose folder is not given, from its last report at the store.
#include "../core/clock.h"
#include "query_output.h"

namespace grademux::audit {

namespace {

using ActionPeriod = SenderSummary::ActionPeriod;

std::string unknownSince(const SenderSummary& report) {
  return report.live ? "" : ", gone since: unknown from " + utcText(report.at, true) + " on";
}

const ActionPeriod* periodAt(const SenderSummary& report, Micros time) {
  const ActionPeriod* last = nullptr;
  for (const ActionPeriod& period : report.action_history)
    if (period.from <= time)
      last = &period;
  return last;
}

bool queryTime(const AuditQuery& query, const SenderSummary& report) {
  const ActionPeriod* period = periodAt(report, *query.at);
  const bool known = period && (report.live || *query.at <= report.at);
  const std::string description = !period ? "unknown: nothing is on record before"
                                          : "plan " + std::to_string(period->plan) +
                                                (period->allowed ? "" : ", might not act") + " since " +
                                                utcText(period->from, true);
  printResult(query,
              {{"sender", report.sender},
               {"from", "the store"},
               {"known", known},
               {"plan", period ? json(period->plan) : json()},
               {"may_act", period ? json(period->allowed) : json()},
               {"since", period ? period->from : 0},
               {"told", report.at},
               {"live", report.live}},
              report.sender + ", by the store: " + description + unknownSince(report));
  return known;
}

bool queryPlan(const AuditQuery& query, const SenderSummary& report) {
  for (const ActionPeriod& period : report.action_history) {
    if (period.plan != *query.plan || !period.allowed)
      continue;
    printResult(
        query,
        {{"sender", report.sender}, {"from", "the store"}, {"plan", period.plan}, {"since", period.from}},
        utcText(period.from, true) + "  " + report.sender + "  by the store: plan " +
            std::to_string(period.plan));
    break;
  }
  return report.live;
}

}  // namespace

bool queryReport(const AuditQuery& query, const SenderSummary& report) {
  if (query.at)
    return queryTime(query, report);
  if (query.plan)
    return queryPlan(query, report);
  if (query.gaps) {
    printGap(query, report.sender, {report.at, 0, "its folder is not here, and the store tells no more"});
    return false;
  }
  printResult(query,
              {{"sender", report.sender},
               {"from", "the store"},
               {"standing", report.compliance},
               {"why", report.reason},
               {"own", report.versions},
               {"told", report.at},
               {"live", report.live}},
              utcText(report.at, true) + "  " + report.sender + "  by the store: " + report.compliance + " " +
                  report.versions.dump() + (report.reason.empty() ? "" : " " + report.reason) +
                  unknownSince(report));
  return true;
}

}  // namespace grademux::audit
