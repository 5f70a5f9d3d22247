// Table of all log events of the program; a test compares docs/operate/log.md with it. An event name is
// PART.WHAT; log levels are configured per part.
#pragma once

#include <cstddef>
#include <cstdint>

namespace grademux::log {

enum class Level : std::uint8_t { debug, info, warning, error, off };

enum class Event : std::uint8_t {
  daemon_ready,
  daemon_stopping,
  daemon_reloaded,
  daemon_config_rejected,
  daemon_file_reloaded,
  daemon_file_rejected,
  journal_resumed,
  journal_damaged,
  journal_tail_truncated,
  journal_list_too_large,
  journal_write_failed,
  journal_time_unstored,
  operate_changed,
  handover_released,
  handover_acquired,
  handover_resumed,
  fleet_plan_received,
  fleet_plan_halted,
  fleet_compliance_changed,
  fleet_store_unreachable,
  fleet_store_recovered,
  fleet_name_conflict,
  fleet_audit_log_set_aside,
  fleet_audit_write_failed,
  fleet_baseline_write_failed,
  fleet_zone_changed,
  discovery_poll_ended,
  discovery_poll_failed,
  discovery_malformed,
  discovery_restarted,
  discovery_notice_rejected,
  discovery_notices_failed,
  admission_step_failed,
  admission_step_late,
  record_stopped,
  membership_changed,
  membership_unreadable,
  membership_readable,
  membership_file_rejected,
  membership_empty_rejected,
  membership_partner_conflict,
  membership_endpoint_conflict,
  membership_dns_changed,
  membership_dns_failed,
  membership_dns_forbidden,
  membership_stale,
  destination_health_changed,
  destination_health_restored,
  attempt_started,
  attempt_finished,
  attempt_response_set_aside,
  attempt_copy_discarded,
  message_finished,
  message_abandoned,
  message_orphaned,
  memory_usage,
  memory_client_shed,
  knowledge_read,
  knowledge_rejected,
  knowledge_damaged,
  knowledge_written,
  knowledge_write_failed,
  log_suppressed,
  count  // number of events
};

struct EventSpec {
  Event event;
  const char* name;
  Level level;
  const char* fields;  // fields that a line may have, in this order
  const char* description;
};

constexpr EventSpec kEvents[] = {
    {Event::daemon_ready, "daemon.ready", Level::info, "version listen partners",
     "the listeners accept connections"},
    {Event::daemon_stopping, "daemon.stopping", Level::info, "", "shutdown by SIGTERM or SIGINT has started"},
    {Event::daemon_reloaded, "daemon.reloaded", Level::info, "discovery settings needs_restart",
     "the file of GW_CONFIG was reloaded and is in effect"},
    {Event::daemon_config_rejected, "daemon.config_rejected", Level::error, "cause",
     "the file of GW_CONFIG is invalid; the previous configuration stays in effect"},
    {Event::daemon_file_reloaded, "daemon.file_reloaded", Level::info, "doors partners needs_restart",
     "the daemon file was reloaded and is in effect"},
    {Event::daemon_file_rejected, "daemon.file_rejected", Level::error, "cause mistakes",
     "the daemon file is invalid; the previous configuration stays in effect"},
    {Event::journal_resumed, "journal.resumed", Level::info, "messages",
     "messages of an earlier process were resumed from the journal; the field is their number"},
    {Event::journal_damaged, "journal.damaged", Level::warning, "stretches",
     "damaged stretches before the end of the journal were skipped; attempts of messages that were open "
     "there count as possibly executed"},
    {Event::journal_tail_truncated, "journal.tail_truncated", Level::info, "",
     "an incomplete write at the end of the journal was truncated; nothing had been acknowledged on the "
     "basis of it"},
    {Event::journal_list_too_large, "journal.list_too_large", Level::warning, "endpoints",
     "the endpoint list is too large to be journaled; after a restart it must come from its source"},
    {Event::journal_write_failed, "journal.write_failed", Level::error, "",
     "the journal can't be written; no message is accepted until it can"},
    {Event::journal_time_unstored, "journal.time_unstored", Level::warning, "cause",
     "the time base of the state folder can't be stored: after a step of the system clock the next process "
     "misjudges the age of what it reads back"},
    {Event::operate_changed, "operate.changed", Level::info, "phase",
     "operators put this process on standby (standby) or returned it to service (serving)"},
    {Event::handover_released, "handover.released", Level::info, "calls",
     "another process requested the state folder and the journal and now owns them; the field is the number "
     "of calls that finish in this process"},
    {Event::handover_acquired, "handover.acquired", Level::info, "epoch calls cause",
     "this process now owns the state folder and the journal; the field calls is the number of calls still "
     "in flight in the previous process"},
    {Event::handover_resumed, "handover.resumed", Level::warning, "",
     "the process that was to take over is gone; this process continues to serve"},
    {Event::fleet_plan_received, "fleet.plan_received", Level::info, "plan by why",
     "the store has a plan that is new to this sender"},
    {Event::fleet_plan_halted, "fleet.plan_halted", Level::error, "plan why",
     "the plan would have shut out too many senders; the previous plan is in effect again"},
    {Event::fleet_compliance_changed, "fleet.compliance_changed", Level::warning, "standing plan why",
     "the plan compliance of this sender, or the reason for it, has changed"},
    {Event::fleet_store_unreachable, "fleet.store_unreachable", Level::warning, "cause",
     "the plan store returns no usable response; logged once until it recovers"},
    {Event::fleet_store_recovered, "fleet.store_recovered", Level::info, "",
     "the plan store returns usable responses again"},
    {Event::fleet_name_conflict, "fleet.name_conflict", Level::error, "name host",
     "another process reports under this sender's name; logged repeatedly until the conflict ends"},
    {Event::fleet_audit_log_set_aside, "fleet.audit_log_set_aside", Level::warning, "folder",
     "the folder contained the audit log of another sender, which was set aside and is kept there"},
    {Event::fleet_audit_write_failed, "fleet.audit_write_failed", Level::warning, "",
     "an audit record can't be written; the audit log will show the gap"},
    {Event::fleet_baseline_write_failed, "fleet.baseline_write_failed", Level::warning, "cause",
     "the traffic baseline of evacuated zones can't be saved for the next process"},
    {Event::fleet_zone_changed, "fleet.zone_changed", Level::warning, "zone state",
     "the fleet's state for this zone has changed; a zone that is not listed is active"},
    {Event::discovery_poll_ended, "discovery.poll_ended", Level::debug,
     "from hold_ms result status bytes since_start_ms since_first_ms since_last_ms",
     "a poll of the discovery agent was answered with a list, or is not needed any more; the bytes that "
     "came, "
     "and the times since its start, its first and its last byte (-1: none came)"},
    {Event::discovery_poll_failed, "discovery.poll_failed", Level::warning,
     "from hold_ms result status bytes since_start_ms since_first_ms since_last_ms",
     "a poll of the discovery agent ended without a list: how its exchange ended, superseded by the answer "
     "to "
     "a later poll, or replaced by a later poll; the other fields are those of discovery.poll_ended"},
    {Event::discovery_malformed, "discovery.malformed", Level::warning, "cause",
     "a response of the discovery agent can't be parsed; the full list is requested"},
    {Event::discovery_restarted, "discovery.restarted", Level::warning, "index",
     "the discovery agent's list has a smaller version than before; the full list is requested"},
    {Event::discovery_notice_rejected, "discovery.notice_rejected", Level::error, "message",
     "the discovery agent rejected a notice as malformed; the notice is not sent again"},
    {Event::discovery_notices_failed, "discovery.notices_failed", Level::warning,
     "notices result status bytes since_start_ms since_first_ms since_last_ms",
     "a batch of notices was not acknowledged; those that are still open are sent again. A late batch goes "
     "on "
     "beside the next one"},
    {Event::admission_step_failed, "admission.step_failed", Level::error, "step cause",
     "an admission step failed; the message was refused"},
    {Event::admission_step_late, "admission.step_late", Level::warning, "step",
     "an admission step returned no verdict in time; the message was refused"},
    {Event::record_stopped, "record.stopped", Level::warning, "file cause",
     "decisions are no longer recorded"},
    {Event::membership_changed, "membership.changed", Level::info, "source partners endpoints",
     "a source has changed; the fields are the numbers of partners and endpoints now in effect"},
    {Event::membership_unreadable, "membership.unreadable", Level::warning, "source cause",
     "a file or folder can't be read; its last valid content stays in effect"},
    {Event::membership_readable, "membership.readable", Level::info, "source",
     "the source can be read again"},
    {Event::membership_file_rejected, "membership.file_rejected", Level::warning, "source cause mistakes",
     "a partner file is invalid or incomplete; its last valid content stays in effect"},
    {Event::membership_empty_rejected, "membership.empty_rejected", Level::warning, "source",
     "a folder that had partners contains no file; its last valid content stays in effect"},
    {Event::membership_partner_conflict, "membership.partner_conflict", Level::warning,
     "partner source owner",
     "a partner, or its number, belongs to another source; the definition of this source is not used until "
     "it is free"},
    {Event::membership_endpoint_conflict, "membership.endpoint_conflict", Level::warning,
     "partner endpoint owner", "an endpoint belongs to another partner; this partner is used without it"},
    {Event::membership_dns_changed, "membership.dns_changed", Level::info, "partner name endpoints",
     "a name resolves to other addresses"},
    {Event::membership_dns_failed, "membership.dns_failed", Level::warning, "partner name cause endpoints",
     "DNS returned no usable response; the last known endpoints stay in effect"},
    {Event::membership_dns_forbidden, "membership.dns_forbidden", Level::warning, "partner name endpoint",
     "a DNS response contains an address that `allow` excludes"},
    {Event::membership_stale, "membership.stale", Level::warning, "partner endpoints",
     "the endpoint list of an earlier process is in use, marked as stale, until the source responds"},
    {Event::destination_health_changed, "destination.health_changed", Level::info,
     "destination endpoint state slow_start_ms retry_after_ms",
     "a destination, or an endpoint with its own route, went down (down), came back (slow_start), or is "
     "healthy; the fields are how long slow start lasts from now on and what is left of a Retry-After"},
    {Event::destination_health_restored, "destination.health_restored", Level::info,
     "destination endpoint state slow_start_ms retry_after_ms",
     "the same, as an earlier process left it: this process starts with it"},
    {Event::attempt_started, "attempt.started", Level::debug, "message endpoint attempt pacing",
     "an attempt is made; pacing is what decided when: the rate limit (rate_limit), the slow start budget "
     "of a destination that is down (outage_trial) or has come back (slow_start), or nothing, as the "
     "message could not have waited (unpaced)"},
    {Event::attempt_finished, "attempt.finished", Level::debug,
     "message endpoint attempt outcome exchange status_line reused idle_us first_byte_us",
     "an attempt finished; the fields after outcome describe the HTTP exchange: how it ended, the status "
     "line as it was received, whether the connection was reused (1) after how long an idle time, and the "
     "time from the last byte written to the first byte received (-1: none)"},
    {Event::attempt_response_set_aside, "attempt.response_set_aside", Level::info,
     "message endpoint attempt status first_byte_us earliest_us",
     "a response repeats an earlier one of its connection and came sooner (first_byte_us) than the endpoint "
     "is known to answer (earliest_us): it may be a late copy, and is kept until another response comes or "
     "the attempt ends"},
    {Event::attempt_copy_discarded, "attempt.copy_discarded", Level::info, "message endpoint attempt",
     "the endpoint sent a late copy of an earlier response on a reused connection; it was not taken"},
    {Event::message_finished, "message.finished", Level::debug, "message outcome attempts",
     "a message reached its final outcome"},
    {Event::message_abandoned, "message.abandoned", Level::info, "messages",
     "submissions that were not accepted yet were dropped, because their clients have gone away"},
    {Event::message_orphaned, "message.orphaned", Level::warning, "message class destination outcome cause",
     "a message ended undelivered because its class or destination no longer exists"},
    {Event::memory_usage, "memory.usage", Level::debug,
     "resident anonymous heap_used heap_free requests replies idle_buffers",
     "the memory of the process, four times a second, in bytes: all pages and those of no file, what the "
     "program has "
     "allocated and what the allocator keeps of what was freed, and the buffers of client connections: "
     "unfinished requests, replies that were not read, and capacity that neither uses"},
    {Event::memory_client_shed, "memory.client_shed", Level::info, "cause bytes",
     "a client was cut off because memory is short; the cause is what it kept the sender waiting for "
     "(unfinished_request or unread_reply), and bytes what its buffers had taken"},
    {Event::knowledge_read, "knowledge.read", Level::info, "records age_ms took_us",
     "the learned state of an earlier process was loaded; each record is used as far as it is still trusted"},
    {Event::knowledge_rejected, "knowledge.rejected", Level::warning, "cause",
     "the learned state of an earlier process can't be used; this process starts without it"},
    {Event::knowledge_damaged, "knowledge.damaged", Level::warning, "records",
     "damaged records of learned state were skipped; the field is their minimum number"},
    {Event::knowledge_written, "knowledge.written", Level::debug, "records left_out bytes took_us",
     "the learned state was saved"},
    {Event::knowledge_write_failed, "knowledge.write_failed", Level::warning, "cause",
     "the learned state can't be saved; logged once until it can"},
    {Event::log_suppressed, "log.suppressed", Level::warning, "event lines",
     "lines of an event exceeded its rate limit; the field lines is the number of suppressed lines"},
};
static_assert(sizeof kEvents / sizeof kEvents[0] == static_cast<std::size_t>(Event::count));

}  // namespace grademux::log
