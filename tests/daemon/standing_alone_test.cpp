// The standalone program: the mistakes that reading of its daemon file reports, and the real program with
// such a file.
#include <sys/un.h>

#include <cstring>

#include "../../src/daemon/daemon_file.h"
#include "../support/command.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

using namespace loopback;

// A daemon file and its mistakes.
struct ReadResult {
  std::vector<Mistake> mistakes;  // declared first, since the initialisation of `file` fills it
  DaemonFile file;
  explicit ReadResult(const std::string& text) : file(readDaemonText(text, "f.toml", mistakes)) {}
};

const char* const kDoor = "[[door]]\nkind = \"resp\"\nlisten = \"127.0.0.1:6390\"\n";
const char* const kClass = "[[class]]\nname = \"notice\"\neffect = \"safe\"\n";
const char* const kPartner = "[[partner]]\nname = \"shop\"\nendpoints = [\"127.0.0.1:1\"]\n";

TEST(StandaloneConfigFile, ReadsTheStarterFile) {
  const ReadResult result(starter_file);
  for (const Mistake& mistake : result.mistakes)
    ADD_FAILURE() << mistake.format("starter");
  ASSERT_TRUE(result.file.standalone);
  const StandaloneConfig& standalone = *result.file.standalone;
  EXPECT_EQ(standalone.disk_bytes, 256u << 20);
  ASSERT_EQ(standalone.settings.classes.size(), 3u);
  EXPECT_EQ(standalone.settings.classes[1].idempotency_window, 600'000'000);
  EXPECT_EQ(standalone.settings.classes[2].idempotency, Idempotency::non_idempotent);
  EXPECT_EQ(standalone.settings.classes[2].priority_weight, 4);
  ASSERT_EQ(standalone.sources.partners.size(), 1u);
  EXPECT_EQ(standalone.sources.partners[0].name, "print-shop");
}

TEST(StandaloneConfigFile, FileWithListenersAloneConfiguresNoStandaloneProgram) {
  const ReadResult result(kDoor);
  EXPECT_TRUE(result.mistakes.empty());
  EXPECT_FALSE(result.file.standalone);
}

struct Case {
  const char *name, *text, *expected;
  friend void PrintTo(const Case& test_case, std::ostream* out) { *out << test_case.name; }
};
class StandaloneConfigMistakes : public ::testing::TestWithParam<Case> {};
TEST_P(StandaloneConfigMistakes, AreReportedWithTheirPosition) {
  const ReadResult result(std::string(kDoor) + kClass + kPartner +
                          GetParam().text);  // the text begins at line 11
  ASSERT_EQ(1u, result.mistakes.size());
  const std::string message = result.mistakes[0].format("f");
  EXPECT_EQ(message.substr(0, std::strlen(GetParam().expected)), GetParam().expected) << message;
}
INSTANTIATE_TEST_SUITE_P(
    Table, StandaloneConfigMistakes,
    ::testing::Values(
        Case{"limit", "[limits]\ncalls = 0", "f:11:9: limits.calls: a whole number from 1 to 10000"},
        Case{"unit", "[limits]\nidle = \"5 parsec\"",
             "f:11:8: limits.idle: a time with its unit (us, ms, s, min, h, d)"},
        Case{"bare", "[limits]\nidle = 5", "f:11:8: limits.idle: a time with its unit"},
        Case{"size", "[journal]\ndisk = \"1 KiB\"", "f:11:8: journal.disk: a size with its unit"},
        Case{"unknown", "[limits]\ncolour = 1", "f:11:1: unknown key colour in limits: one of calls, "},
        Case{"table", "limits = 5", "f:10:"},
        Case{"effect", "[[class]]\nname = \"x\"\neffect = \"maybe\"", "f:12:10: class.effect: \"safe\" or"},
        Case{"memory", "[[class]]\nname = \"x\"\neffect = \"keyed\"",
             "f:10:1: class.memory: how long partners"},
        Case{"deadline", "[[class]]\nname = \"x\"\neffect = \"safe\"\naim = \"2 h\"\ndeadline = \"90 min\"",
             "f:14:12: class.deadline: no less than aim"},
        Case{"same class", "[[class]]\nname = \"notice\"\neffect = \"safe\"",
             "f:11:8: class.name: another class"},
        Case{"same partner", "[[partner]]\nname = \"shop\"\nendpoints = [\"127.0.0.1:2\"]",
             "f:11:8: partner.name: another partner"},
        Case{"same number",
             "[[partner]]\nname = \"a\"\nnumber = 5\nendpoints = [\"127.0.0.1:2\"]\n[[partner]]\nname = "
             "\"b\"\n"
             "number = 5\nendpoints = [\"127.0.0.1:3\"]",
             "f:16:10: partner.number: a number of its own is expected, a has 5"},
        Case{"same endpoint", "[[partner]]\nname = \"b\"\nendpoints = [\"127.0.0.1:1\"]",
             "f:12:13: partner.endpoints: 127.0.0.1:1 is an endpoint of shop"},
        Case{"address", "[[partner]]\nname = \"b\"\nendpoints = [\"shop.example\"]",
             "f:12:13: partner.endpoints: an address and a port are expected, not \"shop.example\""},
        Case{"digits", "[[partner]]\nname = \"12\"\nendpoints = [\"127.0.0.1:2\"]",
             "f:11:8: partner.name: printable"},
        Case{"draining",
             "[[partner]]\nname = \"b\"\nendpoints = [\"127.0.0.1:2\"]\ndraining = [\"127.0.0.1:4\"]",
             "f:13:12: partner.draining: 127.0.0.1:4 is not one"}));

TEST(StandaloneConfigFile, ReportsAllMistakesOfAFile) {
  const ReadResult result(
      "[limits]\ncalls = 0\nidle = 5\n[[class]]\neffect = \"safe\"\n[[partner]]\nname = \"a b\"\n");
  EXPECT_EQ(result.mistakes.size(), 6u);  // calls, idle, class.name, partner.name, partner.endpoints, no door
}

// Guards against a message in the journal that goes to another partner after a restart or an upgrade.
TEST(Partners, NumberOfANameNeverChanges) {
  EXPECT_EQ(numberOfName("print-shop"), numberOfName("print-shop"));
  EXPECT_EQ(numberOfName("shop"), 609384977);
  EXPECT_NE(numberOfName("shop"), numberOfName("shop2"));
}

// The real program with a daemon file, and with a folder that persists over restarts.
struct StandaloneProgram {
  StandaloneProgram() : port(harness::ownPort()) {}
  ~StandaloneProgram() {
    if (child.running()) {
      child.signal(SIGKILL);
      child.wait();
    }
  }
  std::string daemonFilePath() const { return folder.path() + "/grademux.toml"; }
  void writeDaemonFile(const std::string& partners) const {
    std::ofstream(daemonFilePath())
        << "[[door]]\nkind = \"resp\"\nlisten = \"127.0.0.1:" << port << "\"\n"
        << "[[class]]\nname = \"notice\"\neffect = \"safe\"\ndeadline = \"20 s\"\n"
        << "[[class]]\nname = \"payment\"\neffect = \"unsafe\"\n"
        << partners;
  }
  static std::string partnerTable(const std::string& name, const std::string& address,
                                  const std::string& more = "") {
    return "[[partner]]\nname = \"" + name + "\"\nendpoints = [\"" + address + "\"]\n" + more;
  }
  void start() {
    child.start({senderProgram(), "run", "--daemon", daemonFilePath()}, {}, folder.path() + "/log");
    ASSERT_TRUE(child.waitForPort(port, 30)) << log();
  }
  std::string log() const {
    std::ifstream file(folder.path() + "/log");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Waits until the log has these words.
  bool waitForLog(const std::string& words) const {
    return eventually([&] { return log().find(words) != std::string::npos; });
  }
  std::string put(const std::string& id, const std::string& partner,
                  const std::string& message_class = "notice", int deadline_ms = 20000) const {
    return Client(port).ask({"MSG.PUT", "0", id,
                             "c=" + message_class + ",d=" + std::to_string(deadline_ms) + ",dest=" + partner,
                             "body"});
  }
  // Waits for the final outcome of a message, and returns its state.
  std::string waitForFinalState(const std::string& id) const {
    Client client(port);
    if (client.ask({"MSG.WAIT", id, "25000"}) == "*-1")
      return "unknown";
    client.line(), client.line(), client.line();
    return client.line();
  }
  TempFolder folder;
  int port;
  harness::SenderProcess child;
};

Act deliver(const Seen&) {
  return {answer("200 OK")};
}

TEST(StandaloneSender, DeliversToAPartnerByNameAndRemembersAfterAKill) {
  Server shop(deliver);
  StandaloneProgram program;
  program.writeDaemonFile(StandaloneProgram::partnerTable("shop", shop.address()));
  program.start();
  EXPECT_EQ(program.put("m1", "shop"), "+OK");
  EXPECT_EQ(program.waitForFinalState("m1"), "delivered");
  EXPECT_EQ(program.put("m2", "nobody"), "-ERR unknown partner");
  program.child.signal(SIGKILL);
  program.child.wait();
  program.start();
  EXPECT_EQ(program.waitForFinalState("m1"), "delivered");
  // The partner's number is accepted as a destination as well.
  EXPECT_EQ(program.put("m3", std::to_string(numberOfName("shop"))), "+OK");
  EXPECT_EQ(program.waitForFinalState("m3"), "delivered");
  program.child.signal(SIGTERM);
  EXPECT_EQ(program.child.wait(), 0);
}

TEST(StandaloneSender, ReloadMovesDrainsAndRemovesPartnersOrChangesNothing) {
  Server first(deliver), second(deliver);
  StandaloneProgram program;
  program.writeDaemonFile(StandaloneProgram::partnerTable("shop", first.address()));
  program.start();
  EXPECT_EQ(program.put("m1", "shop"), "+OK");
  EXPECT_EQ(program.waitForFinalState("m1"), "delivered");
  const std::size_t before = first.seen().size();
  program.writeDaemonFile(StandaloneProgram::partnerTable("shop", second.address()));
  program.child.signal(SIGHUP);
  ASSERT_TRUE(program.waitForLog("daemon.file_reloaded doors=1 partners=1")) << program.log();
  EXPECT_EQ(program.put("m2", "shop"), "+OK");
  EXPECT_EQ(program.waitForFinalState("m2"), "delivered");
  EXPECT_EQ(first.seen().size(), before);
  EXPECT_EQ(second.seen().size(), 1u);

  program.writeDaemonFile("[[partner]]\nname = 5\n");
  program.child.signal(SIGHUP);
  ASSERT_TRUE(program.waitForLog("daemon.file_rejected")) << program.log();
  EXPECT_EQ(program.put("m3", "shop"), "+OK");
  EXPECT_EQ(program.waitForFinalState("m3"), "delivered");

  // All endpoints of the partner drain, a second partner is added, then the first is removed: its waiting
  // message gets a final outcome.
  program.writeDaemonFile(StandaloneProgram::partnerTable("shop", second.address(),
                                                          "draining = [\"" + second.address() + "\"]\n") +
                          StandaloneProgram::partnerTable("bank", first.address()));
  program.child.signal(SIGHUP);
  ASSERT_TRUE(program.waitForLog("file_reloaded doors=1 partners=2")) << program.log();
  EXPECT_EQ(program.put("m4", "shop", "notice", 3000), "+OK");
  EXPECT_EQ(program.put("m5", "bank", "payment"), "+OK");
  EXPECT_EQ(program.waitForFinalState("m5"), "delivered");
  EXPECT_EQ(second.seen().size(), 2u);
  program.writeDaemonFile(StandaloneProgram::partnerTable("bank", first.address()));
  program.child.signal(SIGHUP);
  ASSERT_TRUE(eventually([&] { return program.put("m6", "shop") == "-ERR unknown partner"; }));
  EXPECT_EQ(program.waitForFinalState("m4"), "given_up");
}

TEST(StandaloneSender, ReportsWhyItCannotStart) {
  StandaloneProgram program;
  program.writeDaemonFile(StandaloneProgram::partnerTable("shop", "127.0.0.1:1"));
  harness::SenderProcess on_platform;
  on_platform.start({senderProgram(), "run", "--daemon", program.daemonFilePath()}, {"GW_CONFIG=/somewhere"},
                    program.folder.path() + "/log");
  EXPECT_EQ(WEXITSTATUS(on_platform.wait()), 2);
  EXPECT_NE(program.log().find("GW_CONFIG is set and gives classes"), std::string::npos) << program.log();
  harness::SenderProcess unconfigured;
  unconfigured.start({senderProgram()}, {}, program.folder.path() + "/log");
  EXPECT_EQ(WEXITSTATUS(unconfigured.wait()), 2);
  EXPECT_NE(program.log().find("grademux_sender init"), std::string::npos) << program.log();
  harness::SenderProcess first_init, second_init;
  first_init.start({senderProgram(), "init", program.folder.path() + "/new"}, {},
                   program.folder.path() + "/log");
  EXPECT_EQ(first_init.wait(), 0);
  second_init.start({senderProgram(), "init", program.folder.path() + "/new"}, {},
                    program.folder.path() + "/log");
  EXPECT_EQ(WEXITSTATUS(second_init.wait()), 2);
  harness::SenderProcess check;
  check.start({senderProgram(), "check", program.folder.path() + "/new/grademux.toml"}, {},
              program.folder.path() + "/log");
  EXPECT_EQ(check.wait(), 0);
}

TEST(Check, PrintsEffectiveValuesAndTheirOrigin) {
  StandaloneProgram program;
  std::ofstream(program.daemonFilePath()) << "[limits]\ncalls = 7\n" << kDoor << kClass << kPartner;
  int status = 0;
  const std::string log = program.folder.path() + "/out",
                    out = outputOf({senderProgram(), "check", "--effective", program.daemonFilePath()}, log,
                                   status);
  EXPECT_EQ(status, 0);
  for (const std::string& row :
       {std::string("limits.calls = 7 "), std::string("# ") + program.daemonFilePath() + ":2\n",
        std::string("limits.max_open = 20000 "), std::string("# default\n"),
        std::string("class.deadline = \"1 min\" "), std::string("partner.name = \"shop\" ")})
    EXPECT_NE(out.find(row), std::string::npos) << row << "\n" << out;
}

TEST(Check, ReadsTheFilesOfSourcesAndReportsConflicts) {
  StandaloneProgram program;
  std::filesystem::create_directory(program.folder.path() + "/p");
  std::ofstream(program.daemonFilePath())
      << kDoor << kClass << kPartner << "[[source]]\nkind = \"folder\"\npath = \"p\"\n";
  std::ofstream(program.folder.path() + "/p/bad.toml")
      << "[[partner]]\nname = \"x\"\nendpoint = [\"127.0.0.1:5\"]\n";
  std::ofstream(program.folder.path() + "/p/more.toml")
      << "[[partner]]\nname = \"shop\"\nendpoints = [\"127.0.0.1:6\"]\n"
      << "[[partner]]\nname = \"thief\"\nendpoints = [\"127.0.0.1:1\"]\n";
  int status = 0;
  const std::string out =
      outputOf({senderProgram(), "check", program.daemonFilePath()}, program.folder.path() + "/out", status);
  EXPECT_EQ(status, 2);
  for (const char* words : {"bad.toml:3:1: unknown key endpoint in a partner", "endpoints may be meant",
                            "more.toml: partner shop", "127.0.0.1:1 is an endpoint of shop"})
    EXPECT_NE(out.find(words), std::string::npos) << words << "\n" << out;
}

TEST(StandaloneConfigFile, SuggestsTheNearestKnownName) {
  EXPECT_EQ(nearestName("lisen", {"kind", "listen", "idle_s"}), "listen");
  EXPECT_EQ(nearestName("colour", {"kind", "listen", "idle_s"}), "");
  const ReadResult result(std::string(kDoor) + kPartner + "[[class]]\nname = \"x\"\neffect = \"unsave\"\n");
  ASSERT_EQ(result.mistakes.size(), 1u);
  EXPECT_NE(result.mistakes[0].what.find("\"unsafe\" may be meant"), std::string::npos)
      << result.mistakes[0].what;
}

TEST(StandaloneSender, NotifiesTheServiceManagerOfReadinessReloadAndStop) {
  StandaloneProgram program;
  program.writeDaemonFile(StandaloneProgram::partnerTable("shop", "127.0.0.1:1"));
  const std::string path = program.folder.path() + "/notify";
  const int fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  ASSERT_LT(path.size(), sizeof address.sun_path);
  std::memcpy(address.sun_path, path.c_str(), path.size());
  ASSERT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  const auto next_notification = [fd] {
    pollfd readable{fd, POLLIN, 0};
    char text[256];
    const bool received =
        ::poll(&readable, 1, static_cast<int>(std::chrono::milliseconds(kLong).count())) > 0;
    const ssize_t size = received ? ::recv(fd, text, sizeof text, 0) : 0;
    return std::string(text, static_cast<std::size_t>(std::max<ssize_t>(0, size)));
  };
  program.child.start({senderProgram(), "run", "--daemon", program.daemonFilePath()},
                      {"NOTIFY_SOCKET=" + path}, program.folder.path() + "/log");
  EXPECT_EQ(next_notification(), "READY=1");
  EXPECT_TRUE(Client(program.port).connected());
  program.child.signal(SIGHUP);
  EXPECT_EQ(next_notification().substr(0, 27), "RELOADING=1\nMONOTONIC_USEC=");
  EXPECT_EQ(next_notification(), "READY=1");
  program.child.signal(SIGTERM);
  EXPECT_EQ(next_notification(), "STOPPING=1");
  EXPECT_EQ(program.child.wait(), 0);
  ::close(fd);
}

// When sources can't be read at start, the sender uses the partners of the earlier process and logs that. A
// partner whose name was never resolved is not an unknown partner.
TEST(StandaloneSender, LastKnownPartnersServeWhenSourcesAreUnreadableAtStart) {
  Server shop(deliver);
  StandaloneProgram program;
  const std::string source = program.folder.path() + "/p";
  std::filesystem::create_directory(source);
  std::ofstream(source + "/shop.toml") << StandaloneProgram::partnerTable("shop", shop.address());
  program.writeDaemonFile("[[source]]\nkind = \"folder\"\npath = \"p\"\n[dns]\nservers = [\"" +
                          closedAddress() +
                          "\"]\ntries = 1\n[[partner]]\nname = \"named\"\ndns = \"shop.test:1\"\n");
  program.start();
  EXPECT_EQ(program.put("m1", "shop"), "+OK");
  EXPECT_EQ(program.waitForFinalState("m1"), "delivered");
  EXPECT_EQ(program.put("m2", "named").substr(0, 5), "-BUSY");
  program.child.signal(SIGKILL);
  program.child.wait();
  std::filesystem::rename(source, source + "-away");
  program.start();
  EXPECT_TRUE(program.waitForLog("membership.stale partner=shop"));
  EXPECT_EQ(program.put("m3", "shop"), "+OK");
  EXPECT_EQ(program.waitForFinalState("m3"), "delivered");
  std::filesystem::rename(source + "-away", source);
  EXPECT_TRUE(program.waitForLog("membership.readable"));
}

// Payments are in flight while their partner is renamed, split and listed twice: each is sent once and has
// one final outcome, and the new name keeps the messages of the old one.
TEST(StandaloneSender, PaymentsSurviveARenameASplitAndADuplicateListing) {
  std::atomic<bool> hold{true};
  const auto slow = [&](const Seen&) {
    while (hold)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return Act{answer("200 OK")};
  };
  Server shop(slow), other(deliver);
  StandaloneProgram program;
  program.writeDaemonFile(StandaloneProgram::partnerTable("shop", shop.address()));
  program.start();
  EXPECT_EQ(program.put("p1", "shop", "payment"), "+OK");
  ASSERT_TRUE(eventually([&] { return shop.seen().size() == 1; }));
  program.writeDaemonFile(StandaloneProgram::partnerTable("store", shop.address(), "formerly = \"shop\"\n"));
  program.child.signal(SIGHUP);
  ASSERT_TRUE(eventually([&] { return program.put("p2", "store", "payment") == "+OK"; })) << program.log();
  EXPECT_EQ(program.put("p3", "shop", "payment"), "+OK");  // both names are accepted
  // Split: the partner keeps its endpoint, and a new partner has another endpoint. A file lists the first
  // partner again, with the endpoint of the second.
  const std::string source = program.folder.path() + "/p";
  std::filesystem::create_directory(source);
  std::ofstream(source + "/again.toml") << StandaloneProgram::partnerTable("store", other.address());
  program.writeDaemonFile(StandaloneProgram::partnerTable("store", shop.address(), "formerly = \"shop\"\n") +
                          StandaloneProgram::partnerTable("branch", other.address()) +
                          "[[source]]\nkind = \"folder\"\npath = \"p\"\n");
  program.child.signal(SIGHUP);
  ASSERT_TRUE(program.waitForLog("membership.partner_conflict partner=store")) << program.log();
  EXPECT_EQ(program.put("p4", "branch", "payment"), "+OK");
  EXPECT_EQ(program.waitForFinalState("p4"), "delivered");
  hold = false;
  EXPECT_EQ(program.waitForFinalState("p1"), "delivered");
  EXPECT_EQ(program.waitForFinalState("p2"), "delivered");
  EXPECT_EQ(program.waitForFinalState("p3"), "delivered");
  EXPECT_EQ(shop.seen().size(), 3u);  // each of its three payments once
  EXPECT_EQ(other.seen().size(), 1u);
}

// Messages that an earlier process accepted for a class or a partner that the file no longer has get a final
// outcome, and the log has the reason.
TEST(StandaloneSender, MessagesOfRemovedClassesAndPartnersEndWithALoggedReason) {
  StandaloneProgram program;
  const std::string partners = StandaloneProgram::partnerTable("shop", closedAddress()) +
                               StandaloneProgram::partnerTable("bank", closedAddress());
  program.writeDaemonFile(partners + "[[class]]\nname = \"old\"\neffect = \"safe\"\n");
  program.start();
  EXPECT_EQ(program.put("m1", "shop", "old", 6000), "+OK");
  EXPECT_EQ(program.put("m2", "bank", "notice", 6000), "+OK");
  EXPECT_EQ(program.put("m3", "shop", "notice", 6000), "+OK");
  program.child.signal(SIGKILL);
  program.child.wait();
  program.writeDaemonFile(StandaloneProgram::partnerTable("shop", closedAddress()));
  program.start();
  EXPECT_EQ(program.waitForFinalState("m1"), "given_up");
  EXPECT_EQ(program.waitForFinalState("m2"), "given_up");
  EXPECT_EQ(program.waitForFinalState("m3"), "given_up");
  EXPECT_TRUE(program.waitForLog("message.orphaned message=m2")) << program.log();
  EXPECT_TRUE(program.waitForLog("its partner is no longer listed"));
  EXPECT_EQ(program.log().find("message.orphaned message=m3"), std::string::npos);
  // The class version of m1 stays in force for m1, which ends as any other message.
  EXPECT_EQ(program.log().find("message.orphaned message=m1"), std::string::npos);
}

}  // namespace
}  // namespace grademux
