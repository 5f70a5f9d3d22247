// grademux: every line that the program logs, in one table: docs/operate/log.md is held against it by a test.
// A name is PART.WHAT; the part is what levels are set for.
#pragma once

#include <cstddef>
#include <cstdint>

namespace grademux::log {

enum class Level : std::uint8_t { debug, info, warning, error, off };

enum class Event : std::uint8_t {
  daemon_ready,
  daemon_stopping,
  daemon_reloaded,
  daemon_config_refused,
  daemon_file_reloaded,
  daemon_file_refused,
  journal_resumed,
  journal_damaged,
  journal_torn,
  journal_list_too_large,
  journal_write_failed,
  operate_changed,
  handover_given,
  handover_taken,
  handover_resumed,
  discovery_garbled,
  discovery_notice_refused,
  admission_step_failed,
  admission_step_late,
  record_ended,
  membership_changed,
  membership_unreadable,
  membership_readable,
  membership_file_refused,
  membership_empty_refused,
  membership_partner_conflict,
  membership_endpoint_conflict,
  membership_dns_changed,
  membership_dns_failed,
  membership_dns_forbidden,
  membership_old,
  attempt_ended,
  message_ended,
  message_orphaned,
  knowledge_read,
  knowledge_refused,
  knowledge_damaged,
  knowledge_written,
  knowledge_write_failed,
  log_left_out,
  count  // of them
};

struct EventSpec {
  Event event;
  const char* name;
  Level level;
  const char* fields;  // that a line may have, in this order
  const char* says;
};

constexpr EventSpec kEvents[] = {
    {Event::daemon_ready, "daemon.ready", Level::info, "version listen partners", "the doors are open"},
    {Event::daemon_stopping, "daemon.stopping", Level::info, "", "SIGTERM or SIGINT is being carried out"},
    {Event::daemon_reloaded, "daemon.reloaded", Level::info, "discovery settings needs_restart",
     "GW_CONFIG's file was read again and holds"},
    {Event::daemon_config_refused, "daemon.config_refused", Level::error, "cause",
     "GW_CONFIG's file can't be used; what was in force stays"},
    {Event::daemon_file_reloaded, "daemon.file_reloaded", Level::info, "doors partners needs_restart",
     "the daemon file was read again and holds"},
    {Event::daemon_file_refused, "daemon.file_refused", Level::error, "cause mistakes",
     "the daemon file can't be used; what was in force stays"},
    {Event::journal_resumed, "journal.resumed", Level::info, "messages",
     "messages of an earlier process go on"},
    {Event::journal_damaged, "journal.damaged", Level::warning, "stretches",
     "damage in the middle was passed over; messages open there count as ones that may have run"},
    {Event::journal_torn, "journal.torn", Level::info, "",
     "a last write that was cut short was taken off; nothing was promised by it"},
    {Event::journal_list_too_large, "journal.list_too_large", Level::warning, "endpoints",
     "the list is not kept: after a restart the source has to tell it"},
    {Event::journal_write_failed, "journal.write_failed", Level::error, "",
     "nothing is taken on until the journal can be written"},
    {Event::operate_changed, "operate.changed", Level::info, "phase",
     "operators sent clients away (standby) or took that back (serving)"},
    {Event::handover_given, "handover.given", Level::info, "calls",
     "another process asked for folder and journal and has them; so many calls stay here to their end"},
    {Event::handover_taken, "handover.taken", Level::info, "epoch calls cause",
     "folder and journal are this process's now; so many calls are out with the earlier one"},
    {Event::handover_resumed, "handover.resumed", Level::warning, "",
     "the process that was to take over is gone; this one serves on"},
    {Event::discovery_garbled, "discovery.garbled", Level::warning, "cause",
     "an answer of the agent can't be read; the whole list is asked for"},
    {Event::discovery_notice_refused, "discovery.notice_refused", Level::error, "message",
     "the agent can't read a notice; it is not told again"},
    {Event::admission_step_failed, "admission.step_failed", Level::error, "step cause",
     "a step of the admission chain failed; the message was refused"},
    {Event::admission_step_late, "admission.step_late", Level::warning, "step",
     "a step gave no verdict in time; the message was refused"},
    {Event::record_ended, "record.ended", Level::warning, "file cause", "decisions are recorded no more"},
    {Event::membership_changed, "membership.changed", Level::info, "source partners endpoints",
     "so many partners and endpoints are in force after a change of this source"},
    {Event::membership_unreadable, "membership.unreadable", Level::warning, "source cause",
     "a file or folder can't be read; what it said last serves on"},
    {Event::membership_readable, "membership.readable", Level::info, "source", "it can be read again"},
    {Event::membership_file_refused, "membership.file_refused", Level::warning, "source cause mistakes",
     "a partners' file has mistakes or is half written; what it said last serves on"},
    {Event::membership_empty_refused, "membership.empty_refused", Level::warning, "source",
     "a folder that had partners has no file; what it said last serves on"},
    {Event::membership_partner_conflict, "membership.partner_conflict", Level::warning,
     "partner source owner", "a partner, or its number, is another source's; this one waits"},
    {Event::membership_endpoint_conflict, "membership.endpoint_conflict", Level::warning,
     "partner endpoint owner", "an endpoint is another partner's; this one goes without it"},
    {Event::membership_dns_changed, "membership.dns_changed", Level::info, "partner name endpoints",
     "a name has other addresses"},
    {Event::membership_dns_failed, "membership.dns_failed", Level::warning, "partner name cause endpoints",
     "no usable answer; the endpoints known last serve on"},
    {Event::membership_dns_forbidden, "membership.dns_forbidden", Level::warning, "partner name endpoint",
     "an answer names an address that `allow` rules out"},
    {Event::membership_old, "membership.old", Level::warning, "partner endpoints",
     "the list of an earlier process serves, marked as old, until the source answers"},
    {Event::attempt_ended, "attempt.ended", Level::debug, "message endpoint attempt outcome",
     "a call came to its end"},
    {Event::message_ended, "message.ended", Level::debug, "message outcome attempts", "a message's one end"},
    {Event::message_orphaned, "message.orphaned", Level::warning, "message class destination outcome cause",
     "it ends undelivered since what it was meant for is not there any more"},
    {Event::knowledge_read, "knowledge.read", Level::info, "records age_ms took_us",
     "what an earlier process learned is used, each as far as it is still trusted"},
    {Event::knowledge_refused, "knowledge.refused", Level::warning, "cause",
     "what an earlier process learned can't be used; the program begins without it"},
    {Event::knowledge_damaged, "knowledge.damaged", Level::warning, "records",
     "so many records, at least, are not used"},
    {Event::knowledge_written, "knowledge.written", Level::debug, "records left_out bytes took_us",
     "what was learned is kept"},
    {Event::knowledge_write_failed, "knowledge.write_failed", Level::warning, "cause",
     "what was learned can't be kept now; told once until it can"},
    {Event::log_left_out, "log.left_out", Level::warning, "event lines",
     "so many lines of a kind were over its rate"},
};
static_assert(sizeof kEvents / sizeof kEvents[0] == static_cast<std::size_t>(Event::count));

}  // namespace grademux::log
