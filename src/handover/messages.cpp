// grademux: what two processes of one sender say to each other; see messages.h.
#include "messages.h"

#include "../core/json_fields.h"

namespace grademux::handover {

namespace {

json idOf(const CallId& c) {
  return json::array({c.first, c.second});
}

CallId readId(const json& j) {
  if (!j.is_array() || j.size() != 2 || !j[0].is_string() || !j[1].is_number_integer())
    bad("a call is its message's id and a number");
  return {j[0].get<std::string>(), j[1].get<int>()};
}

struct Writer {
  json operator()(const Take& m) const { return {{"take", {{"version", m.version}}}}; }
  json operator()(const Taken&) const { return {{"taken", json::object()}}; }
  json operator()(const CancelCall& m) const { return {{"cancel", {{"call", idOf(m.call)}}}}; }
  json operator()(const Refused& m) const { return {{"refused", {{"why", m.why}}}}; }
  json operator()(const Given& m) const {
    json out = json::array();
    for (const CallId& c : m.out)
      out.push_back(idOf(c));
    return {{"given", {{"standby", m.standby}, {"out", std::move(out)}}}};
  }
  json operator()(const Ended& m) const {
    const Outcome& o = m.outcome;
    json j{{"call", idOf({o.id, o.attempt})},
           {"result", static_cast<int>(o.result)},
           {"finished", o.finished},
           {"wait", o.wait},
           {"rtt", o.rtt},
           {"stale", o.stale}};
    if (o.report)
      j["report"] = {{"left", o.report->left}, {"limit", o.report->limit}};
    return {{"ended", std::move(j)}};
  }
};

Outcome readOutcome(const json& j) {
  Outcome o;
  std::tie(o.id, o.attempt) = readId(field(j, "call"));
  const std::int64_t result = integer(j, "result");
  if (result < 0 || result > static_cast<std::int64_t>(Result::not_sent))
    bad("unknown result");
  o.result = static_cast<Result>(result);
  o.finished = truth(j, "finished");
  o.wait = integer(j, "wait");
  o.rtt = integer(j, "rtt");
  o.stale = truth(j, "stale");
  if (!absent(j, "report")) {
    const json& r = object(j, "report");
    o.report = LimitReport{number(r, "left"), number(r, "limit")};
  }
  return o;
}

}  // namespace

std::string lineOf(const Message& m) {
  return std::visit(Writer{}, m).dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

Message readMessage(const std::string& line) {
  const json j = json::parse(line, nullptr, false);
  if (!j.is_object() || j.size() != 1)
    bad("one message is expected");
  const std::string kind = j.begin().key();
  const json& m = object(j, kind.c_str());
  if (kind == "take")
    return Take{integer(m, "version")};
  if (kind == "taken")
    return Taken{};
  if (kind == "cancel")
    return CancelCall{readId(field(m, "call"))};
  if (kind == "refused")
    return Refused{text(m, "why")};
  if (kind == "ended")
    return Ended{readOutcome(m)};
  if (kind != "given")
    bad("unknown message: " + kind);
  Given g;
  g.standby = truth(m, "standby");
  for (const json& c : array(m, "out"))
    g.out.push_back(readId(c));
  return g;
}

}  // namespace grademux::handover
