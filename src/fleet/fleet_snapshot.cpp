#include "fleet_snapshot.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "../core/clock.h"
#include "consul.h"

namespace grademux::fleet {

namespace {

using Request = std::function<void(Store&, Store::Callback)>;

// Sends one request until it is answered: to each address once, and to the first address once more. Throws if
// none answers.
StoreReply call(const StoreLocation& location, const Request& request) {
  boost::asio::io_context io;
  Consul store(io, location.store);
  StoreResult last = StoreError{};
  for (std::size_t tries = 0; tries <= location.store.size() && !last.has_value(); ++tries) {
    io.restart();
    bool answered = false;
    request(store, [&](const StoreResult& result) {
      last = result;
      answered = true;
    });
    while (!answered && io.run_one() > 0)
      continue;
  }
  if (!last.has_value())
    throw std::runtime_error("the store does not answer: " + last.error().description);
  return last.value();
}

FleetConfig configOf(const StoreLocation& location) {
  FleetConfig config;
  config.prefix = location.prefix;
  return config;
}

bool startsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

void addReport(const StoreEntry& entry, std::vector<SenderReport>& senders) {
  try {
    senders.push_back(parseReport(json::parse(entry.value)));
    senders.back().live = !entry.session.empty();
  } catch (const std::exception& error) {
    std::cerr << "grademux: " << entry.key << " is no report: " << error.what() << '\n';
  }
}

std::string operatorName() {
  char host[256] = "";
  ::gethostname(host, sizeof host - 1);
  const char* user = std::getenv("USER");
  return std::string(user && *user ? user : "operator") + "@" + host;
}

std::string describeRequirements(const PlanRequirements& requirements) {
  std::string text;
  const auto add = [&](const std::string& name, const std::string& value) {
    if (!value.empty())
      text += (text.empty() ? "" : ", ") + name + " " + value;
  };
  add("program", requirements.program);
  add("settings", requirements.settings);
  add("daemon file", requirements.daemon);
  if (requirements.list_version >= 0)
    add("list", std::to_string(requirements.list_version));
  return text.empty() ? "nothing" : text;
}

// The plan that the next one follows. If the store has lost data, the reports show which numbers were used
// and which leases senders may still act on.
Plan newestKnownPlan(const FleetSnapshot& fleet) {
  Plan newest = fleet.plan;
  Micros lease = fleet.plan.number > 0 ? newest.lease : 0;
  for (const SenderReport& sender : fleet.senders) {
    newest.number = std::max({newest.number, sender.versions.plan, sender.newest_plan});
    if (sender.versions.plan <= fleet.plan.number)
      continue;
    lease = std::max(lease, sender.lease);
    newest.strict = newest.strict || sender.strict;
  }
  if (lease > 0)
    newest.lease = lease;
  return newest;
}

}  // namespace

std::size_t FleetSnapshot::laggingSenders() const {
  const auto lags = [this](const SenderReport& sender) {
    return sender.live && !plan.fenced.count(sender.name) && sender.versions.plan < plan.number;
  };
  return static_cast<std::size_t>(std::count_if(senders.begin(), senders.end(), lags));
}

FleetSnapshot readFleet(const StoreLocation& location) {
  const FleetConfig config = configOf(location);
  const StoreReply reply = call(location, [&](Store& store, Store::Callback done) {
    store.listPrefix(location.prefix + "/", std::move(done));
  });
  FleetSnapshot fleet;
  fleet.store_time = reply.store_time;
  for (const StoreEntry& entry : reply.entries) {
    if (entry.key == config.planKey()) {
      fleet.plan = parsePlan(json::parse(entry.value));
      fleet.modify_index = entry.modify_index;
    } else if (startsWith(entry.key, config.sendersPrefix())) {
      addReport(entry, fleet.senders);
    }
  }
  return fleet;
}

Plan draftNextPlan(const FleetSnapshot& fleet, const PlanChange& change) {
  if (change.reason.empty())
    throw std::runtime_error("--why is expected: it is stored in the plan and in every audit log");
  const std::string author = change.author.empty() ? operatorName() : change.author;
  Plan next = nextPlan(newestKnownPlan(fleet), author, change.reason, unixNow());
  if (change.strict)
    next.strict = *change.strict;
  if (change.lease)
    next.lease = *change.lease;
  if (change.effective_after)
    next.effective_after = *change.effective_after;
  if (change.max_fenced_fraction)
    next.max_fenced_fraction = *change.max_fenced_fraction;
  return next;
}

int replacePlan(const StoreLocation& location, const FleetSnapshot& fleet, const Plan& next) {
  parsePlan(toJson(next));  // Checks the ranges of the fields.
  if (const auto checked = checkTransition(newestKnownPlan(fleet), next); !checked.has_value())
    throw std::runtime_error("plan " + std::to_string(next.number) +
                             " is refused: " + checked.error().description);
  // Without an answer, whether the change was made is read from the plan in the store.
  std::string call_error;
  StoreReply reply;
  try {
    reply = call(location, [&](Store& store, Store::Callback done) {
      store.compareAndSwap(configOf(location).planKey(), toJson(next).dump(), fleet.modify_index,
                           std::move(done));
    });
  } catch (const std::exception& error) {
    call_error = error.what();
  }
  if (!reply.applied) {
    const FleetSnapshot now = readFleet(location);
    if (planDigest(now.plan) != planDigest(next)) {
      if (now.modify_index == fleet.modify_index)
        throw std::runtime_error(call_error.empty() ? "the store did not apply the change" : call_error);
      std::cerr << "grademux: not done: meanwhile " << now.plan.author << " made plan " << now.plan.number
                << " (" << now.plan.reason << "), which asks for "
                << describeRequirements(now.plan.requirements) << '\n';
      return 1;
    }
  }
  FleetSnapshot replaced = fleet;
  replaced.plan = next;
  replaced.store_time = 0;
  std::cout << describePlan(replaced);
  return 0;
}

std::string describePlan(const FleetSnapshot& fleet) {
  const Plan& plan = fleet.plan;
  if (plan.number == 0)
    return "no plan\n";
  std::string text = "plan " + std::to_string(plan.number) + (plan.halted ? " HALTED" : "") + ", " +
                     (plan.strict ? "strict" : "lenient") + ", lease " + std::to_string(plan.lease / 1000) +
                     " ms, binds after " + std::to_string(plan.effective_after / 1000) + " ms\n  asks for " +
                     describeRequirements(plan.requirements) + "\n  by " + plan.author + " at " +
                     utcText(plan.changed_at, false) + ": " + plan.reason + "\n";
  for (const std::string& name : plan.fenced)
    text += "  shut out by word: " + name + "\n";
  for (const auto& [zone, state] : plan.zones)
    text += "  zone " + zone + " " + grademux::zones::toString(state) + "\n";
  for (const std::string& field : plan.unknown_fields)
    text += "  a field this program does not know: " + field + "\n";
  if (!plan.strict || fleet.store_time <= 0)
    return text;
  const Micros effective_at = plan.changed_at + plan.effective_after;
  if (effective_at <= fleet.store_time)
    return text + "  binds\n";
  return text + "  binds in " + std::to_string((effective_at - fleet.store_time) / 1'000'000) + " s\n";
}

}  // namespace grademux::fleet
