// Converts what an earlier process left (journal, endpoint list, learned state) into events of the decision
// module, each as far as it is still trusted, and learned state back into records. Offsets are between the
// monotonic clock and Unix time.
#pragma once

#include <set>
#include <vector>

#include "endpoint_list.h"
#include "grademux/sender.h"
#include "journal_types.h"
#include "json_fields.h"
#include "learned_state.h"

namespace grademux {

// The newer one of the configured endpoint list and the journal's, so that an endpoint that was draining
// before the restart still is. Null or an empty object if there is neither.
json newestEndpointList(const json& configured, const RecoveredJournal& journal);

// `in_flight`: attempts whose outcome is still to come from the earlier process.
RecoveredMessage toRecoveredMessage(const JournalEntry& entry, Micros to_monotonic,
                                    const std::set<AttemptId>& in_flight);

// The final outcome of a message whose notice is pending.
FinishedMessage toFinishedMessage(const JournalEntry& entry);

// Appends events for what is still trusted and concerns destinations and endpoints at addresses that are
// listed.
void appendTrustedState(std::vector<Event>& events, const LearnedState& learned,
                        const EndpointList& endpoints, const TrustPolicy& policy, Micros to_monotonic);
void appendTrustedHealth(std::vector<Event>& events, const std::vector<DestinationHealth>& health,
                         const TrustPolicy& policy, Micros slow_start_time, Micros to_monotonic);

// What was learned, in Unix time and with the endpoint's address.
LearnedRecord toLearnedRecord(const LearnedEndpoint& learned, const EndpointList& endpoints, Micros to_unix);

}  // namespace grademux
