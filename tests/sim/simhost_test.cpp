// Simulator adapter: malformed input ends it with one line on standard error and a non-zero status; valid but
// unusual input does not end it.
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "../decision/sender_fixture.h"
#include "../support/program_paths.h"

using nlohmann::json;

namespace {

using grademux::simulatorHostProgram;
using grademux::throwingSimulatorHostProgram;

struct ProgramResult {
  int status = 0;
  std::string out, err;
};

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

ProgramResult runAdapter(const std::string& input, const std::string& adapter = simulatorHostProgram()) {
  const std::string base = ::testing::TempDir() + "simhost-" + std::to_string(::getpid());
  std::ofstream(base + ".in") << input;
  const std::string command = std::string(adapter) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  const int wait_status = std::system(command.c_str());
  ProgramResult result;
  result.status = WEXITSTATUS(wait_status);
  result.out = readFile(base + ".out");
  result.err = readFile(base + ".err");
  for (const char* extension : {".in", ".out", ".err"})
    std::remove((base + extension).c_str());
  return result;
}

json makeOptions() {
  return json::parse(
      R"({"Azs":["z"],"Balancers":1,"Categories":[{"AimMs":1000.0,"DeadlineMs":8000.0,"Group":"all",
    "Idempotency":"idempotent","LateWorth":0.3,"MemorySpanMs":0.0,"Name":"c","Stream":false,"Worth":1.0}],
    "Ceilings":{"MaxAttempts":3,"MaxOpen":50},"Domain":{"CallSlots":4,"Late":"line","PerCall":[1],
    "RoutesApart":[false]},"Kinds":["k"],"Rules":{"AnswerSlackMs":20.0},"Tenants":null,"TickMs":5.0,
    "Stats":{"Fields":["x0","x1"],"How":"piggyback"},"WeightKind":"silent","NeverHeardOf":{"a":1}})");
}

std::string batch(double time_ms, const json& events) {
  return json{{"SimTimeMs", time_ms}, {"arrivals", events}}.dump() + "\n";
}
json attachInstance(json instance_options = makeOptions(), int instance_id = 0) {
  return {{"Attach", {{"Who", instance_id}, {"RandomSeed", 1}, {"Options", std::move(instance_options)}}}};
}
json endpointList() {
  return {{"Roster",
           {{"Sheet", 0},
            {"Members",
             {{{"Endpoint", "h:1"},
               {"Hall", "z"},
               {"Hw", "k"},
               {"Cell", 5},
               {"Mode", 3},
               {"Share", 1},
               {"BootTimeMs", nullptr}}}}}}};
}
json endpointListEvent(int kind = 2) {
  return {{"Members", {{"Who", 0}, {"Kind", kind}, {"Epoch", 1}, {"Sheet", 0}}}};
}
json arrivalEvent(const std::string& id) {
  return {{"Call",
           {{"Who", 0},
            {"OpId", id},
            {"EstimateMs", nullptr},
            {"TierClass", "c"},
            {"FarEnd", 5},
            {"Billing", 0},
            {"GiveUpAtMs", 9000.0}}}};
}

TEST(Simhost, SubmitsArrivalAndExitsAtEndOfInput) {
  const ProgramResult result = runAdapter(
      batch(1000, {attachInstance(), endpointList(), endpointListEvent(), arrivalEvent("00000000000000aa")}) +
      batch(1001, json::array()));
  EXPECT_EQ(result.status, 0) << result.err;
  std::istringstream lines(result.out);
  std::string first, second;
  std::getline(lines, first);
  std::getline(lines, second);
  EXPECT_EQ(json::parse(first)["cmds"][0]["SubmitTo"]["OpId"], "00000000000000aa");
  EXPECT_EQ(second, R"({"cmds":[]})");
}

TEST(Simhost, DiscardsStateOfInstanceThatRestartsInOneBatch) {
  const json power_off = {{"PowerOff", {{"Who", 0}}}};
  const json late_reply = {{"Reply",
                            {{"Who", 0},
                             {"OpId", "a"},
                             {"Finished", false},
                             {"Attempt", 0},
                             {"Endpoint", "h:1"},
                             {"How", "timed_out"},
                             {"Detail", nullptr},
                             {"RttMs", 3.0},
                             {"Gauge", nullptr}}}};
  const ProgramResult result =
      runAdapter(batch(1000, {attachInstance(), endpointList(), endpointListEvent(), arrivalEvent("a")}) +
                 batch(2000, {power_off, attachInstance(), endpointListEvent()}) +
                 batch(2005, json::array({late_reply})));
  EXPECT_EQ(result.status, 0) << result.err;
  EXPECT_EQ(result.out.find("FinishError"), std::string::npos) << result.out;
}

TEST(Simhost, NamesMalformedInputOnOneLine) {
  json mistyped = makeOptions();
  mistyped["Categories"][0]["AimMs"] = "soon";
  json negative = makeOptions();
  negative["TickMs"] = -1;
  json unknown_list = endpointListEvent();
  unknown_list["Members"]["Sheet"] = 9;
  json incomplete = arrivalEvent("x");
  incomplete["Call"].erase("TierClass");
  const std::pair<std::string, const char*> cases[] = {
      {"nonsense\n", "JSON"},
      {"[]\n", "object"},
      {R"({"arrivals":[]})"
       "\n",
       "SimTimeMs"},
      {batch(1, json::array({json{{"Surprise", {{"Who", 0}}}}})), "Surprise"},
      {batch(1, json::array({arrivalEvent("x")})), "never attached"},
      {batch(1, {attachInstance(), unknown_list}), "list number never given: 9"},
      {batch(1, {attachInstance(), endpointList(), endpointListEvent(), incomplete}), "TierClass"},
      {batch(1, json::array({attachInstance(mistyped)})), "AimMs"},
      {batch(1, json::array({attachInstance(negative)})), "tick"},
  };
  for (const auto& [input, named] : cases) {
    const ProgramResult result = runAdapter(input);
    EXPECT_NE(result.status, 0) << input;
    EXPECT_EQ(result.out, "") << input;
    EXPECT_NE(result.err.find(named), std::string::npos) << result.err;
    EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
  }
}

TEST(Simhost, ReportsExceptionOfDecisionModuleAndContinues) {
  const ProgramResult result = runAdapter(
      batch(1000, {attachInstance(), endpointList(), endpointListEvent()}) + batch(1001, json::array()),
      throwingSimulatorHostProgram());
  EXPECT_EQ(result.status, 0) << result.err;
  EXPECT_EQ(result.out,
            "{\"cmds\":[{\"Fatal\":{\"Who\":0,\"Words\":\"tag without a message\"}}]}\n{\"cmds\":[]}\n");
}

TEST(Simhost, DiscardsStateOfHundredsOfInstancesThatRestartInOneBatch) {
  json initial = json::array({endpointList()}), restarted = json::array();
  for (int instance_id = 0; instance_id < 300; ++instance_id) {
    initial.push_back(attachInstance(makeOptions(), instance_id));
    json list_event = endpointListEvent(), message = arrivalEvent("m" + std::to_string(instance_id));
    list_event["Members"]["Who"] = message["Call"]["Who"] = instance_id;
    initial.push_back(list_event);
    initial.push_back(message);
    restarted.push_back({{"PowerOff", {{"Who", instance_id}}}});
    restarted.push_back(attachInstance(makeOptions(), instance_id));
    restarted.push_back(list_event);
  }
  const ProgramResult result =
      runAdapter(batch(1000, initial) + batch(2000, restarted) + batch(20000, json::array()));
  EXPECT_EQ(result.status, 0) << result.err;
  std::istringstream lines(result.out);
  std::string line;
  std::size_t submits = 0, final_outcomes = 0;
  while (std::getline(lines, line)) {
    const json reply = json::parse(line);
    for (const json& command : reply["cmds"]) {
      submits += command.contains("SubmitTo");
      final_outcomes += command.contains("FinishError") || command.contains("Decline");
    }
  }
  EXPECT_EQ(submits, 300u) << result.err;
  EXPECT_EQ(final_outcomes, 0u);  // a restarted instance decides no outcome for messages of the earlier one
}

}  // namespace
