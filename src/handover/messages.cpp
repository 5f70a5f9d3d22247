// grademux: what two processes of one sender say to each other; see messages.h.
#include "messages.h"

#include "../core/json_fields.h"

namespace grademux::handover {

namespace {

json idOf(const AttemptId& c) {
  return json::array({c.message_id, c.attempt});
}

AttemptId readId(const json& j) {
  if (!j.is_array() || j.size() != 2 || !j[0].is_string() || !j[1].is_number_integer())
    bad("a call is its message's id and a number");
  return {j[0].get<std::string>(), j[1].get<int>()};
}

struct Writer {
  json operator()(const HandoverRequest& m) const { return {{"take", {{"version", m.version}}}}; }
  json operator()(const OwnershipAcquired&) const { return {{"taken", json::object()}}; }
  json operator()(const CancelInherited& m) const { return {{"cancel", {{"call", idOf(m.attempt)}}}}; }
  json operator()(const HandoverRejected& m) const { return {{"refused", {{"why", m.reason}}}}; }
  json operator()(const OwnershipReleased& m) const {
    json out = json::array();
    for (const AttemptId& c : m.in_flight)
      out.push_back(idOf(c));
    return {{"given", {{"standby", m.standby}, {"out", std::move(out)}}}};
  }
  json operator()(const AttemptFinished& m) const {
    const AttemptOutcome& o = m.outcome;
    json j{{"call", idOf({o.id, o.attempt})},
           {"result", static_cast<int>(o.result)},
           {"finished", o.already_finished},
           {"wait", o.retry_after},
           {"rtt", o.round_trip},
           {"stale", o.stale_connection}};
    if (o.limit_report)
      j["report"] = {{"left", o.limit_report->remaining_fraction}, {"limit", o.limit_report->rate_limit}};
    return {{"ended", std::move(j)}};
  }
};

AttemptOutcome readOutcome(const json& j) {
  AttemptOutcome o;
  AttemptId id = readId(field(j, "call"));
  o.id = std::move(id.message_id);
  o.attempt = id.attempt;
  const std::int64_t result = integer(j, "result");
  if (result < 0 || result > static_cast<std::int64_t>(AttemptResult::not_sent))
    bad("unknown result");
  o.result = static_cast<AttemptResult>(result);
  o.already_finished = truth(j, "finished");
  o.retry_after = integer(j, "wait");
  o.round_trip = integer(j, "rtt");
  o.stale_connection = truth(j, "stale");
  if (!absent(j, "report")) {
    const json& r = object(j, "report");
    o.limit_report = LimitReport{number(r, "left"), number(r, "limit")};
  }
  return o;
}

}  // namespace

std::string serialize(const Message& m) {
  return std::visit(Writer{}, m).dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

Message parseMessage(const std::string& line) {
  const json j = json::parse(line, nullptr, false);
  if (!j.is_object() || j.size() != 1)
    bad("one message is expected");
  const std::string kind = j.begin().key();
  const json& m = object(j, kind.c_str());
  if (kind == "take")
    return HandoverRequest{integer(m, "version")};
  if (kind == "taken")
    return OwnershipAcquired{};
  if (kind == "cancel")
    return CancelInherited{readId(field(m, "call"))};
  if (kind == "refused")
    return HandoverRejected{text(m, "why")};
  if (kind == "ended")
    return AttemptFinished{readOutcome(m)};
  if (kind != "given")
    bad("unknown message: " + kind);
  OwnershipReleased g;
  g.standby = truth(m, "standby");
  for (const json& c : array(m, "out"))
    g.in_flight.push_back(readId(c));
  return g;
}

}  // namespace grademux::handover
