// Converts the state of an earlier process (journal, endpoint list, learned state) into events of the
// decision module, as far as the state is still trusted, and learned state back into records. Offsets convert
// times between the monotonic clock and Unix time; each is added to the times.
#pragma once

#include <set>
#include <vector>

#include "endpoint_list.h"
#include "grademux/sender.h"
#include "journal_types.h"
#include "json_fields.h"
#include "learned_state.h"

namespace grademux {

// The newer of the configured endpoint list and the journal's list, so that an endpoint that was draining
// before the restart is still draining. Null or an empty object if neither list exists.
json newestEndpointList(const json& configured, const RecoveredJournal& journal);

// What is known of the process that owned the journal before.
struct EarlierProcess {
  // The journal has all that followed from the outcomes that the process got, because the process released
  // it. Otherwise outcomes may be lost: the process was killed, or ended with attempts in flight.
  bool has_released = false;
  std::set<AttemptId> in_flight;  // attempts whose outcome it has still to report
};

RecoveredMessage toRecoveredMessage(const JournalEntry& entry, Micros to_monotonic,
                                    const EarlierProcess& earlier);
// Converts a block of an ordering key, with the attempts of its finished message that are still in flight.
OrderingKeyBlocked toRecoveredBlock(OrderingKeyBlocked block, Micros to_monotonic,
                                    const EarlierProcess& earlier);

// The final outcome of a message whose notice is pending.
FinishedMessage toFinishedMessage(const JournalEntry& entry);

// Appends events for the state that is still trusted. Records of destinations that are not listed, and of
// endpoints that are not listed at the same address, are skipped.
void appendTrustedState(std::vector<Event>& events, const LearnedState& learned,
                        const EndpointList& endpoints, const TrustPolicy& policy, Micros to_monotonic);
void appendTrustedHealth(std::vector<Event>& events, const std::vector<DestinationHealth>& health,
                         const TrustPolicy& policy, Micros slow_start_time, Micros to_monotonic);

// Converts learned state to Unix time and adds the endpoint's address.
LearnedRecord toLearnedRecord(const LearnedEndpoint& learned, const EndpointList& endpoints, Micros to_unix);

}  // namespace grademux
