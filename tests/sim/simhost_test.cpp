// The adapter on bad and odd input: one plain line on standard error and a status that is not zero, or
// carries on.
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

struct Ran {
  int status = 0;
  std::string out, err;
};

std::string slurp(const std::string& path) {
  std::ifstream f(path);
  std::stringstream s;
  s << f.rdbuf();
  return s.str();
}

Ran host(const std::string& input, const std::string& adapter = simulatorHostProgram()) {
  const std::string base = ::testing::TempDir() + "simhost-" + std::to_string(::getpid());
  std::ofstream(base + ".in") << input;
  const std::string cmd = std::string(adapter) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  const int raw = std::system(cmd.c_str());
  Ran r;
  r.status = WEXITSTATUS(raw);
  r.out = slurp(base + ".out");
  r.err = slurp(base + ".err");
  for (const char* end : {".in", ".out", ".err"})
    std::remove((base + end).c_str());
  return r;
}

json options() {
  return json::parse(
      R"({"Azs":["z"],"Balancers":1,"Categories":[{"AimMs":1000.0,"DeadlineMs":8000.0,"Group":"all",
    "Idempotency":"idempotent","LateWorth":0.3,"MemorySpanMs":0.0,"Name":"c","Stream":false,"Worth":1.0}],
    "Ceilings":{"MaxAttempts":3,"MaxOpen":50},"Domain":{"CallSlots":4,"Late":"line","PerCall":[1],
    "RoutesApart":[false]},"Kinds":["k"],"Rules":{"AnswerSlackMs":20.0},"Tenants":null,"TickMs":5.0,
    "Stats":{"Fields":["x0","x1"],"How":"piggyback"},"WeightKind":"silent","NeverHeardOf":{"a":1}})");
}

std::string batch(double t, const json& events) {
  return json{{"SimTimeMs", t}, {"arrivals", events}}.dump() + "\n";
}
json attach(json o = options(), int who = 0) {
  return {{"Attach", {{"Who", who}, {"RandomSeed", 1}, {"Options", std::move(o)}}}};
}
json roster() {
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
json members(int kind = 2) {
  return {{"Members", {{"Who", 0}, {"Kind", kind}, {"Epoch", 1}, {"Sheet", 0}}}};
}
json call(const std::string& id) {
  return {{"Call",
           {{"Who", 0},
            {"OpId", id},
            {"EstimateMs", nullptr},
            {"TierClass", "c"},
            {"FarEnd", 5},
            {"Billing", 0},
            {"GiveUpAtMs", 9000.0}}}};
}

TEST(Simhost, SendsWhatArrivesAndEndsWithInput) {
  const Ran r = host(batch(1000, {attach(), roster(), members(), call("00000000000000aa")}) +
                     batch(1001, json::array()));
  EXPECT_EQ(r.status, 0) << r.err;
  std::istringstream lines(r.out);
  std::string first, second;
  std::getline(lines, first);
  std::getline(lines, second);
  EXPECT_EQ(json::parse(first)["cmds"][0]["SubmitTo"]["OpId"], "00000000000000aa");
  EXPECT_EQ(second, R"({"cmds":[]})");
}

TEST(Simhost, RestartInTheSameBatchLeavesNothingOfTheEarlierLife) {
  const json off = {{"PowerOff", {{"Who", 0}}}};
  const json late = {{"Reply",
                      {{"Who", 0},
                       {"OpId", "a"},
                       {"Finished", false},
                       {"Attempt", 0},
                       {"Endpoint", "h:1"},
                       {"How", "timed_out"},
                       {"Detail", nullptr},
                       {"RttMs", 3.0},
                       {"Gauge", nullptr}}}};
  const Ran r = host(batch(1000, {attach(), roster(), members(), call("a")}) +
                     batch(2000, {off, attach(), members()}) + batch(2005, json::array({late})));
  EXPECT_EQ(r.status, 0) << r.err;
  EXPECT_EQ(r.out.find("FinishError"), std::string::npos) << r.out;
}

TEST(Simhost, BadInputIsNamedOnOneLine) {
  json mistyped = options();
  mistyped["Categories"][0]["AimMs"] = "soon";
  json negative = options();
  negative["TickMs"] = -1;
  json unlisted = members();
  unlisted["Members"]["Sheet"] = 9;
  json bare = call("x");
  bare["Call"].erase("TierClass");
  const std::pair<std::string, const char*> cases[] = {
      {"nonsense\n", "JSON"},
      {"[]\n", "object"},
      {R"({"arrivals":[]})"
       "\n",
       "SimTimeMs"},
      {batch(1, json::array({json{{"Surprise", {{"Who", 0}}}}})), "Surprise"},
      {batch(1, json::array({call("x")})), "never attached"},
      {batch(1, {attach(), unlisted}), "list number never given: 9"},
      {batch(1, {attach(), roster(), members(), bare}), "TierClass"},
      {batch(1, json::array({attach(mistyped)})), "AimMs"},
      {batch(1, json::array({attach(negative)})), "tick"},
  };
  for (const auto& [input, names] : cases) {
    const Ran r = host(input);
    EXPECT_NE(r.status, 0) << input;
    EXPECT_EQ(r.out, "") << input;
    EXPECT_NE(r.err.find(names), std::string::npos) << r.err;
    EXPECT_EQ(std::count(r.err.begin(), r.err.end(), '\n'), 1) << r.err;
  }
}

TEST(Simhost, AnExceptionInTheModuleIsAFaultWithItsTextAndTheHostGoesOn) {
  const Ran r = host(batch(1000, {attach(), roster(), members()}) + batch(1001, json::array()),
                     throwingSimulatorHostProgram());
  EXPECT_EQ(r.status, 0) << r.err;
  EXPECT_EQ(r.out,
            "{\"cmds\":[{\"Fatal\":{\"Who\":0,\"Words\":\"tag without a message\"}}]}\n{\"cmds\":[]}\n");
}

TEST(Simhost, HundredsOfSendersKilledAndAttachedInOneBatchKeepNothing) {
  json first = json::array({roster()}), again = json::array();
  for (int who = 0; who < 300; ++who) {
    first.push_back(attach(options(), who));
    json list = members(), message = call("m" + std::to_string(who));
    list["Members"]["Who"] = message["Call"]["Who"] = who;
    first.push_back(list);
    first.push_back(message);
    again.push_back({{"PowerOff", {{"Who", who}}}});
    again.push_back(attach(options(), who));
    again.push_back(list);
  }
  const Ran r = host(batch(1000, first) + batch(2000, again) + batch(20000, json::array()));
  EXPECT_EQ(r.status, 0) << r.err;
  std::istringstream lines(r.out);
  std::string line;
  std::size_t sends = 0, answers = 0;
  while (std::getline(lines, line)) {
    const json reply = json::parse(line);
    for (const json& c : reply["cmds"]) {
      sends += c.contains("SubmitTo");
      answers += c.contains("FinishError") || c.contains("Decline");
    }
  }
  EXPECT_EQ(sends, 300u) << r.err;
  EXPECT_EQ(answers, 0u);  // the messages of the earlier life are not this life's to answer
}

}  // namespace
