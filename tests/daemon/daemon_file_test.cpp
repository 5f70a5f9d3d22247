// Reading of the daemon file: each mistake is reported with its position and what was expected. Also the exit
// status and the output of `grademux_sender check`.
#include "../../src/daemon/daemon_file.h"

#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

std::vector<std::string> mistakesOf(const std::string& text) {
  std::vector<Mistake> mistakes;
  readDaemonText(text, "f.toml", mistakes);
  std::vector<std::string> lines;
  for (const Mistake& mistake : mistakes)
    lines.push_back(mistake.format("f.toml"));
  return lines;
}

TEST(DaemonFile, ReadsListenersAndTheirDefaults) {
  std::vector<Mistake> mistakes;
  const DaemonFile file = readDaemonText(R"(
[[door]]
kind = "http"
listen = "127.0.0.1:8080"
max_wait_s = 7
[[door]]
kind = "resp"
listen = "[::1]:6380"
max_connections = 9
)",
                                         "f", mistakes);
  ASSERT_TRUE(mistakes.empty()) << mistakes[0].what;
  ASSERT_EQ(2u, file.listeners.size());
  EXPECT_EQ(ListenerKind::http, file.listeners[0].kind);
  EXPECT_EQ(8080, file.listeners[0].listen.port());
  EXPECT_EQ(7'000'000, file.listeners[0].limits.max_wait);
  EXPECT_EQ(128u, file.listeners[0].limits.connections);
  EXPECT_EQ(ListenerKind::resp, file.listeners[1].kind);
  EXPECT_EQ(137, file.maxConnections());
}

TEST(DaemonFile, AcceptsTheExampleInDeploy) {
  std::vector<Mistake> mistakes;
  const DaemonFile file = readDaemonFile(sourceFolder() + "/deploy/daemon.toml", mistakes);
  for (const Mistake& mistake : mistakes)
    ADD_FAILURE() << mistake.format("deploy/daemon.toml");
  EXPECT_FALSE(file.listeners.empty());
}

// The mistake in a valid file to which a partner with these lines is added; empty if there is none.
std::string zonesMistake(const std::string& partner) {
  const auto lines = mistakesOf(
      "[[region]]\nname = \"n\"\nzones = [\"buda\", \"pest\"]\n[[door]]\nkind = \"resp\"\nlisten = "
      "\"127.0.0.1:6390\"\n[[class]]\nname = \"x\"\neffect = \"safe\"\naim = \"1 s\"\ndeadline = \"9 s\"\n"
      "[[partner]]\nname = \"p\"\n" +
      partner);
  EXPECT_LE(lines.size(), 1u) << lines[1];
  return lines.empty() ? "" : lines[0];
}

TEST(DaemonFile, ChecksZonesOfEndpointsAgainstRegions) {
  const std::string endpoints = "endpoints = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n";
  EXPECT_EQ("", zonesMistake(endpoints + "zone = \"buda\"\nzones = { pest = [\"127.0.0.1:2\"] }\n"));
  EXPECT_EQ("", zonesMistake("dns = \"shop.example:1\"\nzone = \"buda\"\n"));
  EXPECT_EQ(0u,
            zonesMistake(endpoints + "zone = \"budda\"\n")
                .find("f.toml:15:8: partner.zone: a zone of a [[region]] is expected, not \"budda\"; buda?"));
  EXPECT_EQ(0u, zonesMistake(endpoints + "zones = { west = [\"127.0.0.1:2\"] }\n")
                    .find("f.toml:15:18: partner.zones.west"));
  EXPECT_NE(std::string::npos, zonesMistake(endpoints + "zones = { pest = [\"127.0.0.1:3\"] }\n")
                                   .find("127.0.0.1:3 is not one of the endpoints"));
  EXPECT_NE(std::string::npos,
            zonesMistake(endpoints + "zones = { buda = [\"127.0.0.1:2\"], pest = [\"127.0.0.1:2\"] }\n")
                .find("127.0.0.1:2 stands in buda"));
  EXPECT_EQ(0u,
            zonesMistake(endpoints + "zones = 3\n").find("f.toml:15:9: partner.zones: a table is expected"));
}

struct Case {
  const char *name, *text, *expected;
  friend void PrintTo(const Case& test_case, std::ostream* out) { *out << test_case.name; }
};
class DaemonFileMistakes : public ::testing::TestWithParam<Case> {};

TEST_P(DaemonFileMistakes, AreReportedWithTheirPosition) {
  const auto lines = mistakesOf(GetParam().text);
  ASSERT_EQ(1u, lines.size()) << (lines.empty() ? "" : lines[1]);
  EXPECT_EQ(0u, lines[0].find(GetParam().expected)) << lines[0];
}

INSTANTIATE_TEST_SUITE_P(
    Table, DaemonFileMistakes,
    ::testing::Values(
        Case{"syntax", "[[door]\n", "f.toml:1:8: TOML is expected"},
        Case{"region_without_zones", "[[region]]\nname = \"n\"\n",
             "f.toml:1:1: region.zones: names of zones"},
        Case{"zone_of_two_regions",
             "[[region]]\nname = \"n\"\nzones = [\"a\"]\n[[region]]\nname = \"s\"\nzones = [\"a\"]\n",
             "f.toml:6:9: region.zones: a is a zone of n"},
        Case{"region_twice",
             "[[region]]\nname = \"n\"\nzones = [\"a\"]\n[[region]]\nname = \"n\"\nzones = [\"b\"]\n",
             "f.toml:5:8: region.name: another region has this name"},
        Case{"stand_by_of_itself", "[[region]]\nname = \"n\"\nzones = [\"a\"]\nstand_by = \"n\"\n",
             "f.toml:4:12: region.stand_by: the name of another [[region]]"},
        Case{"unknown_stand_by", "[[region]]\nname = \"n\"\nzones = [\"a\"]\nstand_by = \"s\"\n",
             "f.toml:4:12: region.stand_by: the name of another [[region]]"},
        Case{"unknown_table", "[doors]\n", "f.toml:1:2: unknown key doors"},
        Case{"unknown_key", "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:1\"\n  colour = 3\n",
             "f.toml:4:3: unknown key colour"},
        Case{"http_key_at_resp", "[[door]]\nkind = \"resp\"\nlisten = \"127.0.0.1:1\"\nidle_s = 3\n",
             "f.toml:4:1: unknown key idle_s in a door of kind resp"},
        Case{"wrong_type", "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:1\"\nmax_wait_s = \"7\"\n",
             "f.toml:4:14: door.max_wait_s: a whole number from 0 to 3600"},
        Case{"fraction", "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:1\"\nidle_s = 2.5\n",
             "f.toml:4:10: door.idle_s"},
        Case{"out_of_range", "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:1\"\nmax_connections = 0\n",
             "f.toml:4:19: door.max_connections: a whole number from 1"},
        Case{"unknown_kind", "[[door]]\nkind = \"ftp\"\nlisten = \"127.0.0.1:1\"\n",
             "f.toml:2:8: door.kind: \"http\" or \"resp\" is expected"},
        Case{"no_kind", "[[door]]\nlisten = \"127.0.0.1:1\"\n", "f.toml:1:"},
        Case{"no_port", "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1\"\n", "f.toml:3:10: door.listen"},
        Case{"port_0", "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:0\"\n", "f.toml:3:10: door.listen"},
        Case{"no_listen", "[[door]]\nkind = \"http\"\n", "f.toml:1:"},
        Case{"not_tables", "door = [1, 2]\n", "f.toml:1:8: door: tables are expected"},
        Case{"one_table", "[door]\nkind = \"http\"\n", "f.toml:1:1: door: tables are expected"},
        Case{"one_address",
             "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:9\"\n[[door]]\nkind = \"resp\"\n"
             "listen = \"127.0.0.1:9\"\n",
             "f.toml:6:10: door.listen: an address of its own"},
        Case{"any_address",
             "[[door]]\nkind = \"http\"\nlisten = \"0.0.0.0:9\"\n[[door]]\nkind = \"resp\"\n"
             "listen = \"127.0.0.1:9\"\n",
             "f.toml:6:10: door.listen: an address of its own"}),
    [](const auto& test_info) { return std::string(test_info.param.name); });

TEST(DaemonFile, ReportsAllMistakesInOrderOfPosition) {
  const auto lines = mistakesOf("a = 1\n[[door]]\nkind = \"x\"\nlisten = 5\nidle_s = 0\n[b]\n");
  ASSERT_EQ(5u, lines.size());
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const int line[] = {1, 3, 4, 5, 6};
    EXPECT_EQ(0u, lines[i].find("f.toml:" + std::to_string(line[i]) + ":")) << lines[i];
  }
}

// Runs the program and returns its exit status; -1 if a signal ended it.
int exitStatusOf(const std::vector<std::string>& arguments, const std::string& log) {
  int status = 0;
  const pid_t pid = loopback::Program::spawn("", "", {}, arguments, log);
  EXPECT_GT(::waitpid(pid, &status, 0), 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(CommandLine, CheckPrintsMistakesAndReturnsAStatus) {
  loopback::TempFolder folder;
  const std::string path = folder.path() + "/d.toml", log = folder.path() + "/log";
  std::ofstream(path) << "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:8080\"\n";
  EXPECT_EQ(0, exitStatusOf({"check", path}, log));
  std::ofstream(path) << "[[door]]\nkind = 1\nlisten = 2\n";
  EXPECT_EQ(2, exitStatusOf({"check", path}, log));
  EXPECT_EQ(2, exitStatusOf({"--daemon", path}, log));
  EXPECT_EQ(2, exitStatusOf({"check", folder.path() + "/none"}, log));
  EXPECT_EQ(2, exitStatusOf({"check"}, log));
  EXPECT_EQ(2, exitStatusOf({"--nonsense"}, log));
  EXPECT_EQ(0, exitStatusOf({"--help"}, log));
  std::ifstream log_file(log);
  const std::string output{std::istreambuf_iterator<char>(log_file), {}};
  EXPECT_NE(std::string::npos, output.find(path + ":2:8: door.kind")) << output;
  EXPECT_NE(std::string::npos, output.find(path + ":3:10: door.listen"));
}

}  // namespace
}  // namespace grademux
