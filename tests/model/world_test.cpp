// Files of worlds and experiments: every mistake with its place; resumed and parallel experiments.
#include <filesystem>
#include <fstream>

#include "../../model/experiment.h"
#include "../support/command.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"
#include "spoilt.h"

namespace grademux::model {
namespace {

namespace fs = std::filesystem;
using loopback::outputOf;
using loopback::TempFolder;

std::string told(const std::string& text) {
  std::string all;
  for (const Mistake& m : readWorldText(text, "w").mistakes)
    all += m.format("w") + "\n";
  return all;
}

TEST(World, AllMistakesAreToldWithTheirPlaces) {
  const std::string all = told(R"([run]
length = 60
[fleet]
senders = 0
partnerz = 4
[traffic]
rate = 10
load = [0.9, 0.5]
[[kind]]
name = "partner"
wait = ["1 s", "2 parsecs"]
[[trouble]]
kind = "hung"
partners = "partners"
)");
  EXPECT_NE(all.find("w:2:10: run.length: a time with its unit"), std::string::npos) << all;
  EXPECT_NE(all.find("w:4:11: fleet.senders: a whole number from 1"), std::string::npos) << all;
  EXPECT_NE(all.find("unknown key partnerz in fleet"), std::string::npos) << all;
  EXPECT_NE(all.find("partners may be meant"), std::string::npos) << all;
  EXPECT_NE(all.find("w:8:8: traffic.load: a number from"), std::string::npos) << all;
  EXPECT_NE(all.find("w:11:8: kind.wait: a time"), std::string::npos) << all;
  EXPECT_NE(all.find("w:13:8: trouble.kind"), std::string::npos) << all;
  EXPECT_NE(all.find("w:14:12: trouble.partners: the name of a [[kind]]"), std::string::npos) << all;
}

TEST(World, WithoutEndOrSizeItIsRefused) {
  const std::string all = told("[run]\n[fleet]\nsenders = 2\n");
  EXPECT_NE(all.find("run.length: it must be there"), std::string::npos) << all;
  EXPECT_NE(all.find("fleet.partners: it must be there"), std::string::npos) << all;
  EXPECT_NE(all.find("[traffic] is expected"), std::string::npos) << all;
}

TEST(World, AllThatComeWithTheProjectAreGood) {
  std::size_t n = 0;
  for (const auto& f : fs::directory_iterator(sourceFolder() + "/model/worlds")) {
    if (f.path().filename() == "site.toml")
      continue;
    const Reading r = readWorld(f.path().string());
    for (const Mistake& m : r.mistakes)
      ADD_FAILURE() << m.format(f.path().string());
    EXPECT_EQ(r.world.classes.size(), 3u);
    ++n;
  }
  EXPECT_GE(n, 10u);
  for (const auto& f : fs::directory_iterator(sourceFolder() + "/model/experiments"))
    for (const Mistake& m : readExperiment(f.path().string()).mistakes)
      ADD_FAILURE() << m.format(f.path().string());
}

TEST(World, ReadsTheBaseOfItsBase) {
  const TempFolder folder;
  std::ofstream(folder.path() + "/first.toml") << "[run]\nlength = \"60 s\"\n[traffic]\nrate = 10.0\n";
  std::ofstream(folder.path() + "/second.toml")
      << "base = \"first.toml\"\n[fleet]\nsenders = 3\npartners = 4\n";
  std::ofstream(folder.path() + "/third.toml") << "base = \"second.toml\"\n[traffic]\nrate = 20.0\n";
  const Reading reading = readWorld(folder.path() + "/third.toml");
  for (const Mistake& mistake : reading.mistakes)
    ADD_FAILURE() << mistake.format("third.toml");
  EXPECT_EQ(reading.world.length, 60'000'000);
  EXPECT_EQ(reading.world.senders, 3);
  EXPECT_EQ(reading.world.rate, 20);
}

TEST(World, ReportsBasesThatFormACycle) {
  const TempFolder folder;
  std::ofstream(folder.path() + "/one.toml") << "base = \"other.toml\"\n";
  std::ofstream(folder.path() + "/other.toml") << "base = \"one.toml\"\n";
  const Reading reading = readWorld(folder.path() + "/one.toml");
  ASSERT_EQ(reading.mistakes.size(), 1u);
  EXPECT_NE(reading.mistakes[0].what.find("cycle"), std::string::npos) << reading.mistakes[0].what;
}

struct Experiments : ::testing::Test {
  Experiments() {
    std::ofstream(folder.path() + "/w.toml") << kTroubled;
    std::ofstream(folder.path() + "/e.toml") << R"(name = "e"
worlds = ["w.toml"]
seeds = 4
baseline = "module"
[[variant]]
name = "module"
[[variant]]
name = "one_try"
policy = "one_try"
[[variant]]
name = "more"
set = { "fleet.senders" = 3, "traffic.rate" = 50.0 }
)";
    const ExperimentReading r = readExperiment(folder.path() + "/e.toml");
    for (const Mistake& m : r.mistakes)
      ADD_FAILURE() << m.format("e.toml");
    e = r.experiment;
  }
  std::string summaryIn(const std::string& name, int jobs) {
    return summary(e, play(e, folder.path() + "/" + name, jobs, nullptr)).dump();
  }
  TempFolder folder;
  Experiment e;
};

TEST_F(Experiments, GiveTheSameAtAnyNumberOfJobsAndAfterAResume) {
  const std::string one = summaryIn("one", 1);
  EXPECT_EQ(one, summaryIn("four", 4));
  // Ended in the midst of writing its seventh run.
  fs::create_directory(folder.path() + "/resumed");
  std::ifstream in(folder.path() + "/one/runs.jsonl");
  std::ofstream out(folder.path() + "/resumed/runs.jsonl");
  std::string line;
  for (int i = 0; i < 6 && std::getline(in, line); ++i)
    out << line << '\n';
  std::getline(in, line);
  out << line.substr(0, line.size() / 2);
  out.close();
  std::size_t played_now = 0;
  const auto runs =
      play(e, folder.path() + "/resumed", 2, [&](std::size_t done, std::size_t) { played_now = done; });
  EXPECT_EQ(played_now, 6u);
  EXPECT_EQ(one, summary(e, runs).dump());
}

// One page that needs nothing beside it: no script, no address; plots, and each variant in a table.
TEST_F(Experiments, AReportStandsAlone) {
  const std::string out = folder.path() + "/out";
  int status = 0;
  const std::string said = outputOf({modelProgram(), "experiment", folder.path() + "/e.toml", "--jobs", "4",
                                     "--out", folder.path() + "/report"},
                                    out, status);
  EXPECT_EQ(status, 0) << said;
  std::ifstream in(folder.path() + "/report/report.html");
  const std::string page{std::istreambuf_iterator<char>(in), {}};
  for (const char* part : {"<td>module", "<td>one_try", "<td>more", "<svg", "share of worth delivered"})
    EXPECT_NE(page.find(part), std::string::npos) << part;
  for (const char* part : {"<script", "src=", "href=\"http"})
    EXPECT_EQ(page.find(part), std::string::npos) << part;
  std::ifstream csv(folder.path() + "/report/worth.csv");
  std::size_t lines = 0;
  for (std::string line; std::getline(csv, line);)
    ++lines;
  EXPECT_EQ(lines, 13u);
  EXPECT_NE(outputOf({modelProgram(), "compare", folder.path() + "/report", "one_try", "module"}, out, status)
                .find("over 4 pairs; no difference seen"),
            std::string::npos);  // four pairs are too few to tell
  EXPECT_EQ(status, 0);
  outputOf({modelProgram(), "compare", folder.path() + "/report", "one_tri", "module"}, out, status);
  EXPECT_EQ(status, 2);
}

// Risk: figures of a world as it was are taken for those of the world as it is.
TEST_F(Experiments, AChangedWorldIsPlayedAgain) {
  std::size_t played_now = 0;
  const auto again = [&] {
    played_now = 0;
    return summary(e, play(e, folder.path() + "/changed", 4,
                           [&](std::size_t done, std::size_t) { played_now = done; }))
        .dump();
  };
  const std::string before = again();
  EXPECT_EQ(played_now, 12u);
  EXPECT_EQ(again(), before);
  EXPECT_EQ(played_now, 0u);
  std::string text = kTroubled;
  text.replace(text.find("rate = 40"), 9, "rate = 55");
  std::ofstream(folder.path() + "/w.toml") << text;
  EXPECT_NE(again(), before);
  EXPECT_EQ(played_now, 12u);
}

TEST_F(Experiments, AVariantsSettingsAreInForce) {
  const auto runs = play(e, folder.path() + "/set", 2, nullptr);
  std::map<std::string, double> offered;
  for (const json& r : runs)
    offered[r["variant"]] += r["offered"].get<double>();
  EXPECT_EQ(offered["module"], offered["one_try"]);
  EXPECT_GT(offered["more"], 1.1 * offered["module"]);
  Variant wrong;
  wrong.set = {{"fleet.sendrs", "3"}};
  const auto mistakes = varied(folder.path() + "/w.toml", wrong).mistakes;
  ASSERT_EQ(mistakes.size(), 1u);
  EXPECT_NE(mistakes[0].what.find("senders may be meant"), std::string::npos) << mistakes[0].what;
}

TEST(Compare, TellsADifferenceFromNone) {
  Stream random(7, "test");
  std::vector<double> a, b, c;
  for (int i = 0; i < 30; ++i) {
    const double day = random.uniform();
    a.push_back(day + 0.01 * random.normal());
    b.push_back(day + 0.01 * random.normal());
    c.push_back(day + 0.02 + 0.01 * random.normal());
  }
  EXPECT_FALSE(compare(a, b).seen());
  const Difference d = compare(c, a);
  EXPECT_TRUE(d.seen());
  EXPECT_GT(d.least, 0);
  EXPECT_NEAR(d.median, 0.02, 0.01);
  EXPECT_FALSE(compare({1, 1, 1}, {0, 0, 0}).seen());  // too few pairs to tell
}

TEST(ModelProgram, TellsFiguresMistakesAndUnknownPolicies) {
  TempFolder folder;
  const std::string out = folder.path() + "/out", small = sourceFolder() + "/model/worlds/small.toml";
  int status = 0;
  const json f =
      json::parse(outputOf({modelProgram(), "run", small, "--seed", "2"}, out, status), nullptr, false);
  EXPECT_EQ(status, 0);
  ASSERT_TRUE(f.is_object());
  EXPECT_EQ(f["broken"], 0);
  EXPECT_NE(outputOf({modelProgram(), "run", small, "--policy", "modul"}, out, status).find("no such policy"),
            std::string::npos);
  EXPECT_EQ(status, 2);
  std::ofstream(folder.path() + "/bad.toml") << "[run\n";
  EXPECT_NE(outputOf({modelProgram(), "check", folder.path() + "/bad.toml"}, out, status).find("bad.toml:1:"),
            std::string::npos);
  EXPECT_EQ(status, 2);
}

}  // namespace
}  // namespace grademux::model
