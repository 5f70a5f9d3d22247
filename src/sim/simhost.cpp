// Adapter between the simulator's protocol (lines of JSON on standard input and output) and the decision
// module. The adapter translates events and actions for many isolated Sender instances and makes no
// decisions.
#include <algorithm>
#include <iostream>
#include <map>
#include <stdexcept>

#include "../core/settings.h"

using namespace grademux;

namespace {

AttemptResult readResult(const json& reply) {
  return oneOf<AttemptResult>(text(reply, "How"),
                              {{"success", AttemptResult::ok},
                               {"failure", AttemptResult::error},
                               {"overloaded", AttemptResult::rejected},
                               {"timed_out", AttemptResult::timeout},
                               {"unreachable", AttemptResult::connect_failed},
                               {"broken", AttemptResult::reset},
                               {"withdrawn", AttemptResult::cancelled},
                               {"void", AttemptResult::not_sent}},
                              "How");
}

struct Instance {
  explicit Instance(Settings settings, std::uint64_t seed, int remaining_position, int limit_position)
      : sender(std::move(settings), seed), remaining_index(remaining_position), limit_index(limit_position) {}
  Sender sender;
  int remaining_index, limit_index;  // positions of both values in a load report ("Gauge"); -1: not reported
  std::vector<Event> events;         // of the current batch
  std::int64_t last_timer_label = 0;
};

class Host {
 public:
  // Handles one line of input, a batch of events, and returns the line of commands that answers it. Throws
  // BadInput that names the malformed event and field.
  std::string handleBatch(const std::string& line) {
    json batch = json::parse(line, nullptr, false);
    if (batch.is_discarded())
      bad("not JSON");
    if (!batch.is_object())
      bad("not an object");
    const Micros now = span(batch, "SimTimeMs");
    instances_with_events_.clear();
    exceptions_.clear();
    for (const json& event : array(batch, "arrivals"))
      readEvent(event);
    json commands = json::array();
    for (std::int64_t instance_id : instances_with_events_)
      decide(instance_id, now, commands);
    for (const auto& [instance_id, what] : exceptions_)
      commands.push_back({{"Fatal", {{"Who", instance_id}, {"Words", what}}}});
    return json{{"cmds", std::move(commands)}}.dump();
  }

 private:
  void readEvent(const json& event) {
    if (!event.is_object() || event.size() != 1)
      bad("an event is an object of one key");
    const std::string name = event.begin().key();
    try {
      applyEvent(name, event.begin().value());
    } catch (const BadInput& error) {
      bad(name + ": " + error.what());
    }
  }

  void applyEvent(const std::string& name, const json& fields) {
    if (!fields.is_object())
      bad("not an object");
    if (name == "Roster")
      return storeEndpointList(fields);
    const std::int64_t instance_id = integer(fields, "Who");
    if (name == "Attach")
      return startInstance(instance_id, fields);
    auto found = instances_.find(instance_id);
    if (found == instances_.end())
      bad("instance never attached: " + std::to_string(instance_id));
    if (name == "PowerOff") {
      instances_.erase(found);
      return;
    }
    Instance& instance = found->second;
    if (std::find(instances_with_events_.begin(), instances_with_events_.end(), instance_id) ==
        instances_with_events_.end())
      instances_with_events_.push_back(instance_id);
    if (name == "Members") {
      instance.events.push_back(readEndpointListUpdate(fields));
    } else if (name == "Call") {
      instance.events.push_back(readArrival(fields));
    } else if (name == "TimeoutFired") {
      integer(fields, "Label");
      instance.events.push_back(TimerFired{});
    } else if (name == "CheckResult") {
      text(fields, "Endpoint");  // the adapter never requests a health check, so the result is ignored
    } else if (name == "Established") {
      text(fields, "OpId");  // no message class has streamed answers, so the event is ignored
      integer(fields, "Attempt");
    } else if (name == "Left") {
      instance.events.push_back(MessageWithdrawn{text(fields, "OpId")});
    } else if (name == "Reply") {
      instance.events.push_back(readOutcome(instance, fields));
    } else if (name != "Whisper") {
      bad("unknown event");
    }
  }

  // Replaces an instance with the same id.
  void startInstance(std::int64_t instance_id, const json& fields) {
    const json& seed = field(fields, "RandomSeed");
    if (!seed.is_number_integer())
      bad("not a whole number: RandomSeed");
    const json& options = object(fields, "Options");
    int remaining_index = -1, limit_index = -1, index = 0;
    const json& stats = optionalObject(options, "Stats");
    if (!absent(stats, "Fields"))
      for (const json& stat_name : array(stats, "Fields")) {
        if (stat_name == "x0")
          remaining_index = index;
        if (stat_name == "x1")
          limit_index = index;
        ++index;
      }
    Settings settings = readSettings(options, SettingsSource::simulator);
    instances_.erase(instance_id);
    try {
      instances_.emplace(std::piecewise_construct, std::forward_as_tuple(instance_id),
                         std::forward_as_tuple(std::move(settings), seed.get<std::uint64_t>(),
                                               remaining_index, limit_index));
    } catch (const std::invalid_argument& error) {
      bad(error.what());
    }
  }

  // Stores an endpoint list under its number ("Sheet"), to which "Members" events refer.
  void storeEndpointList(const json& fields) {
    std::vector<Endpoint> endpoints;
    for (const json& member : array(fields, "Members")) {
      Endpoint endpoint;
      endpoint.id = text(member, "Endpoint");
      endpoint.zone = text(member, "Hall", "");
      endpoint.kind = text(member, "Hw", "");
      endpoint.destination = integer(member, "Cell");
      const std::int64_t mode = integer(member, "Mode");
      if (mode < 1 || mode > 3)
        bad("unknown value of Mode");
      endpoint.state = mode == 3   ? EndpointState::ready
                       : mode == 2 ? EndpointState::draining
                                   : EndpointState::gone;
      endpoint.weight = number(member, "Share", 0);
      endpoints.push_back(std::move(endpoint));
    }
    endpoint_lists_[integer(fields, "Sheet")] = std::move(endpoints);
  }

  EndpointListUpdate readEndpointListUpdate(const json& fields) {
    const std::int64_t kind = integer(fields, "Kind");
    if (kind < 0 || kind > 3)
      bad("unknown value of Kind");
    const EndpointListKind kinds[] = {EndpointListKind::delta, EndpointListKind::snapshot,
                                      EndpointListKind::cached, EndpointListKind::failed};
    EndpointListUpdate update;
    update.kind = kinds[kind];
    if (update.kind == EndpointListKind::failed)
      return update;
    const std::int64_t list_number = integer(fields, "Sheet");
    auto found = endpoint_lists_.find(list_number);
    if (found == endpoint_lists_.end())
      bad("list number never given: " + std::to_string(list_number));
    update.endpoints = found->second;
    return update;
  }

  static MessageArrival readArrival(const json& fields) {
    MessageArrival arrival;
    arrival.id = text(fields, "OpId");
    arrival.message_class = text(fields, "TierClass");
    if (!absent(fields, "Billing") && fields["Billing"].is_string())
      arrival.tenant = text(fields, "Billing");
    arrival.ordering_key = text(fields, "RouteKey", "");
    arrival.destination = static_cast<std::int64_t>(number(fields, "FarEnd"));
    arrival.deadline = span(fields, "GiveUpAtMs");
    arrival.estimated_work = span(fields, "EstimateMs", 0);
    arrival.resubmitted = truth(fields, "Retry", false) || truth(fields, "Reconnect", false);
    return arrival;
  }

  // Returns no report if the reply carries none or the instance's settings name neither value. A
  // missing or non-numeric value is read as 0.
  static std::optional<LimitReport> readLimitReport(const Instance& instance, const json& fields) {
    if (absent(fields, "Gauge"))
      return std::nullopt;
    const json& values = array(fields, "Gauge");
    auto value_at = [&](int index) {
      return index >= 0 && index < static_cast<int>(values.size()) &&
                     values[static_cast<std::size_t>(index)].is_number()
                 ? values[static_cast<std::size_t>(index)].get<double>()
                 : 0.0;
    };
    if (instance.remaining_index < 0 && instance.limit_index < 0)
      return std::nullopt;
    return LimitReport{value_at(instance.remaining_index), value_at(instance.limit_index)};
  }

  static AttemptOutcome readOutcome(const Instance& instance, const json& fields) {
    AttemptOutcome outcome;
    outcome.id = text(fields, "OpId");
    outcome.attempt = static_cast<int>(integer(fields, "Attempt"));
    outcome.result = readResult(fields);
    outcome.already_finished = truth(fields, "Finished", false);
    if (outcome.result == AttemptResult::rejected)
      outcome.retry_after = span(fields, "Detail", 0);
    outcome.round_trip = span(fields, "RttMs", 0);
    outcome.limit_report = readLimitReport(instance, fields);
    return outcome;
  }

  // Passes the events of the batch to the instance, and appends the commands for its actions. An exception of
  // the decision module is reported as a "Fatal" command; the host continues.
  void decide(std::int64_t instance_id, Micros now, json& commands) {
    auto found = instances_.find(instance_id);
    if (found == instances_.end())
      return;
    Instance& instance = found->second;
    std::vector<Event> events;
    events.swap(instance.events);
    if (events.empty())
      return;
    try {
      for (const Action& action : instance.sender.decide(now, events))
        if (json command = commandFor(instance, instance_id, action); !command.is_null())
          commands.push_back(std::move(command));
    } catch (const std::exception& error) {
      exceptions_.emplace_back(instance_id, error.what());
    }
  }

  // Returns null for an action that the protocol has no command for.
  static json commandFor(Instance& instance, std::int64_t instance_id, const Action& action) {
    struct CommandWriter {
      Instance& instance;
      std::int64_t instance_id;
      json operator()(const StartAttempt& start) const {
        return {{"SubmitTo",
                 {{"Who", instance_id},
                  {"OpId", start.id},
                  {"Endpoint", start.endpoint},
                  {"WithinMs", toMs(start.timeout)}}}};
      }
      json operator()(const CancelAttempt& cancel) const {
        return {{"StopAttempt", {{"Who", instance_id}, {"OpId", cancel.id}, {"Attempt", cancel.attempt}}}};
      }
      json operator()(const RejectMessage& rejection) const {
        return {
            {"Decline",
             {{"Who", instance_id}, {"OpId", rejection.id}, {"CoolDownMs", toMs(rejection.retry_after)}}}};
      }
      json operator()(const FailMessage& failure) const {
        return {{"FinishError", {{"Who", instance_id}, {"OpId", failure.id}}}};
      }
      // In the simulator no state outlasts a process.
      json operator()(const DestinationHealth&) const { return nullptr; }
      json operator()(const OrderingKeyBlocked&) const { return nullptr; }
      json operator()(const LearnedEndpoint&) const { return nullptr; }
      json operator()(const LearnedExported&) const { return nullptr; }
      json operator()(const grademux::WatchEndpoints&) const {
        return {{"Watch", {{"Who", instance_id}, {"Active", true}}}};
      }
      json operator()(const CloseIdleConnections& close) const {
        return {{"Disconnect", {{"Who", instance_id}, {"Endpoint", close.endpoint}}}};
      }
      json operator()(const SetTimer& timer) const {
        return {
            {"NotifyMe",
             {{"Who", instance_id}, {"Label", ++instance.last_timer_label}, {"SpanMs", toMs(timer.delay)}}}};
      }
    };
    return std::visit(CommandWriter{instance, instance_id}, action);
  }

  std::map<std::int64_t, Instance> instances_;
  std::map<std::int64_t, std::vector<Endpoint>> endpoint_lists_;  // by number
  std::vector<std::int64_t> instances_with_events_;               // in this batch, by first event
  std::vector<std::pair<std::int64_t, std::string>> exceptions_;  // in this batch, by instance
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  Host host;
  std::string line;
  for (long number = 1; std::getline(std::cin, line); ++number) {
    try {
      const std::string reply = host.handleBatch(line);
      std::cout << reply << '\n' << std::flush;
    } catch (const std::exception& error) {
      std::cerr << "line " << number << ": " << error.what() << '\n';
      return 2;
    }
  }
  return 0;
}
