// The commands that show the plan and the senders' reports.
#include <algorithm>
#include <iostream>

#include "../core/clock.h"
#include "fleet_snapshot.h"

namespace grademux::fleet {

namespace {

// Widths of the columns in characters.
constexpr std::size_t kNameWidth = 6;
constexpr std::size_t kComplianceWidth = 11;
constexpr std::size_t kNumberWidth = 6;
constexpr std::size_t kProgramWidth = 8;
constexpr std::size_t kDigestWidth = 16;
constexpr std::size_t kTimeWidth = 20;

std::string cell(std::string text, std::size_t width) {
  text.resize(std::max(text.size(), width), ' ');
  return text + "  ";
}

void printJson(const FleetSnapshot& fleet) {
  json senders = json::array();
  for (const SenderReport& sender : fleet.senders) {
    senders.push_back(toJson(sender));
    senders.back()["live"] = sender.live;
  }
  std::cout << json{{"plan", fleet.plan.number > 0 ? toJson(fleet.plan) : json()},
                    {"behind", fleet.laggingSenders()},
                    {"senders", std::move(senders)}}
                   .dump()
            << '\n';
}

void printHeader(std::size_t name_width) {
  std::cout << cell("sender", name_width) << cell("standing", kComplianceWidth) << cell("plan", kNumberWidth)
            << cell("program", kProgramWidth) << cell("settings", kDigestWidth)
            << cell("daemon file", kDigestWidth) << cell("list", kNumberWidth) << cell("since", kTimeWidth)
            << cell("last seen", kTimeWidth) << "why\n";
}

void printSender(const SenderReport& sender, std::size_t name_width) {
  const RunningVersions& versions = sender.versions;
  const bool shows_compliance = sender.live || sender.compliance == kFencedName;
  std::cout << cell(sender.name, name_width)
            << cell(shows_compliance ? sender.compliance : "gone", kComplianceWidth)
            << cell(std::to_string(versions.plan), kNumberWidth) << cell(versions.program, kProgramWidth)
            << cell(versions.settings, kDigestWidth) << cell(versions.daemon, kDigestWidth)
            << cell(versions.list_version < 0 ? "-" : std::to_string(versions.list_version), kNumberWidth)
            << cell(utcText(sender.since, false), kTimeWidth) << cell(utcText(sender.at, false), kTimeWidth)
            << sender.reason << '\n';
}

}  // namespace

std::vector<SenderReport> reports(const StoreLocation& location) {
  return readFleet(location).senders;
}

int status(const StoreLocation& location, bool as_json) {
  const FleetSnapshot fleet = readFleet(location);
  if (as_json) {
    printJson(fleet);
    return 0;
  }
  std::cout << describePlan(fleet);
  std::size_t live = 0;
  std::size_t fenced = 0;
  std::size_t name_width = kNameWidth;
  for (const SenderReport& sender : fleet.senders) {
    live += sender.live ? 1 : 0;
    fenced += sender.compliance == kFencedName ? 1 : 0;
    name_width = std::max(name_width, sender.name.size());
  }
  if (!fleet.senders.empty())
    printHeader(name_width);
  for (const SenderReport& sender : fleet.senders)
    printSender(sender, name_width);
  std::cout << live << " of " << fleet.senders.size() << " senders live, " << fleet.laggingSenders()
            << " behind, " << fenced << " shut out\n";
  return 0;
}

int showPlan(const StoreLocation& location, bool as_json) {
  const FleetSnapshot fleet = readFleet(location);
  std::cout << (as_json ? toJson(fleet.plan).dump() + "\n" : describePlan(fleet));
  return fleet.plan.number > 0 ? 0 : 1;
}

}  // namespace grademux::fleet
