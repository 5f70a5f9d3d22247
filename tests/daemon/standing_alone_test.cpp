// A program that stands alone: its file with all mistakes named, and the real program run by it.
#include <sys/un.h>

#include <cstring>

#include "../../src/daemon/daemon_file.h"
#include "../support/command.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

using namespace loopback;

struct Read {
  std::vector<Mistake> mistakes;  // first: reading fills it
  DaemonFile file;
  explicit Read(const std::string& text) : file(readDaemonText(text, "f.toml", mistakes)) {}
};

const char* const kDoor = "[[door]]\nkind = \"resp\"\nlisten = \"127.0.0.1:6390\"\n";
const char* const kClass = "[[class]]\nname = \"notice\"\neffect = \"safe\"\n";
const char* const kPartner = "[[partner]]\nname = \"shop\"\nendpoints = [\"127.0.0.1:1\"]\n";

TEST(Site, TheStarterIsGoodAndSaysWhatItSays) {
  const Read r(starter_file);
  for (const Mistake& m : r.mistakes)
    ADD_FAILURE() << m.in("starter");
  ASSERT_TRUE(r.file.site);
  const Site& s = *r.file.site;
  EXPECT_EQ(s.disk_bytes, 256u << 20);
  ASSERT_EQ(s.settings.classes.size(), 3u);
  EXPECT_EQ(s.settings.classes[1].idempotency_window, 600'000'000);
  EXPECT_EQ(s.settings.classes[2].idempotency, Idempotency::non_idempotent);
  EXPECT_EQ(s.settings.classes[2].priority_weight, 4);
  ASSERT_EQ(s.sources.partners.size(), 1u);
  EXPECT_EQ(s.sources.partners[0].name, "print-shop");
}

TEST(Site, AFileWithDoorsAloneIsForAPlatform) {
  const Read r(kDoor);
  EXPECT_TRUE(r.mistakes.empty());
  EXPECT_FALSE(r.file.site);
}

struct Case {
  const char *name, *text, *expected;
  friend void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }
};
class SiteMistakes : public ::testing::TestWithParam<Case> {};
TEST_P(SiteMistakes, AreNamedWithTheirPlace) {
  const Read r(std::string(kDoor) + kClass + kPartner + GetParam().text);  // ten lines come before
  ASSERT_EQ(1u, r.mistakes.size());
  const std::string said = r.mistakes[0].in("f");
  EXPECT_EQ(said.substr(0, std::strlen(GetParam().expected)), GetParam().expected) << said;
}
INSTANTIATE_TEST_SUITE_P(
    Table, SiteMistakes,
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

TEST(Site, AllMistakesOfOneFileAreToldAtOnce) {
  const Read r("[limits]\ncalls = 0\nidle = 5\n[[class]]\neffect = \"safe\"\n[[partner]]\nname = \"a b\"\n");
  EXPECT_EQ(r.mistakes.size(), 6u);  // calls, idle, class.name, partner.name, partner.endpoints, no door
}

// Risk: a message in the journal goes to another partner after a restart, or another version.
TEST(Partners, ANameHasTheSameNumberForEver) {
  EXPECT_EQ(numberOfName("print-shop"), numberOfName("print-shop"));
  EXPECT_EQ(numberOfName("shop"), 609384977);
  EXPECT_NE(numberOfName("shop"), numberOfName("shop2"));
}

// The real program, by a file of its own; with a folder that lasts.
struct Alone {
  Alone() : port(harness::ownPort()) {}
  ~Alone() {
    if (child.running()) {
      child.signal(SIGKILL);
      child.wait();
    }
  }
  std::string path() const { return folder.path() + "/grademux.toml"; }
  void write(const std::string& partners) const {
    std::ofstream(path()) << "[[door]]\nkind = \"resp\"\nlisten = \"127.0.0.1:" << port << "\"\n"
                          << "[[class]]\nname = \"notice\"\neffect = \"safe\"\ndeadline = \"20 s\"\n"
                          << "[[class]]\nname = \"payment\"\neffect = \"unsafe\"\n"
                          << partners;
  }
  static std::string partner(const std::string& name, const std::string& address,
                             const std::string& more = "") {
    return "[[partner]]\nname = \"" + name + "\"\nendpoints = [\"" + address + "\"]\n" + more;
  }
  void start() {
    child.start({senderProgram(), "run", "--daemon", path()}, {}, folder.path() + "/log");
    ASSERT_TRUE(child.waitForPort(port, 30)) << log();
  }
  std::string log() const {
    std::ifstream f(folder.path() + "/log");
    return {std::istreambuf_iterator<char>(f), {}};
  }
  bool logged(const std::string& words) const {
    return eventually([&] { return log().find(words) != std::string::npos; });
  }
  std::string put(const std::string& id, const std::string& partner, const std::string& cls = "notice",
                  int ms = 20000) const {
    return Client(port).ask(
        {"MSG.PUT", "0", id, "c=" + cls + ",d=" + std::to_string(ms) + ",dest=" + partner, "body"});
  }
  // The state of a message once it has ended.
  std::string end(const std::string& id) const {
    Client c(port);
    if (c.ask({"MSG.WAIT", id, "25000"}) == "*-1")
      return "unknown";
    c.line(), c.line(), c.line();
    return c.line();
  }
  TempFolder folder;
  int port;
  harness::SenderProcess child;
};

Act taken(const Seen&) {
  return {answer("200 OK")};
}

TEST(StandingAlone, DeliversToAPartnerByNameAndRemembersOverAKill) {
  Server shop(taken);
  Alone a;
  a.write(Alone::partner("shop", shop.address()));
  a.start();
  EXPECT_EQ(a.put("m1", "shop"), "+OK");
  EXPECT_EQ(a.end("m1"), "delivered");
  EXPECT_EQ(a.put("m2", "nobody"), "-ERR unknown partner");
  a.child.signal(SIGKILL);
  a.child.wait();
  a.start();
  EXPECT_EQ(a.end("m1"), "delivered");
  EXPECT_EQ(a.put("m3", std::to_string(numberOfName("shop"))), "+OK");  // the number works, too
  EXPECT_EQ(a.end("m3"), "delivered");
  a.child.signal(SIGTERM);
  EXPECT_EQ(a.child.wait(), 0);
}

TEST(StandingAlone, AReloadMovesDrainsAndRemovesPartnersOrLeavesAllAsItWas) {
  Server first(taken), second(taken);
  Alone a;
  a.write(Alone::partner("shop", first.address()));
  a.start();
  EXPECT_EQ(a.put("m1", "shop"), "+OK");
  EXPECT_EQ(a.end("m1"), "delivered");
  const std::size_t before = first.seen().size();
  a.write(Alone::partner("shop", second.address()));
  a.child.signal(SIGHUP);
  ASSERT_TRUE(a.logged("daemon.file_reloaded doors=1 partners=1")) << a.log();
  EXPECT_EQ(a.put("m2", "shop"), "+OK");
  EXPECT_EQ(a.end("m2"), "delivered");
  EXPECT_EQ(first.seen().size(), before);
  EXPECT_EQ(second.seen().size(), 1u);

  a.write("[[partner]]\nname = 5\n");
  a.child.signal(SIGHUP);
  ASSERT_TRUE(a.logged("daemon.file_rejected")) << a.log();
  EXPECT_EQ(a.put("m3", "shop"), "+OK");
  EXPECT_EQ(a.end("m3"), "delivered");

  // All of its endpoints drain, another comes, then the partner goes: what waits has its end.
  a.write(Alone::partner("shop", second.address(), "draining = [\"" + second.address() + "\"]\n") +
          Alone::partner("bank", first.address()));
  a.child.signal(SIGHUP);
  ASSERT_TRUE(a.logged("file_reloaded doors=1 partners=2")) << a.log();
  EXPECT_EQ(a.put("m4", "shop", "notice", 3000), "+OK");
  EXPECT_EQ(a.put("m5", "bank", "payment"), "+OK");
  EXPECT_EQ(a.end("m5"), "delivered");
  EXPECT_EQ(second.seen().size(), 2u);
  a.write(Alone::partner("bank", first.address()));
  a.child.signal(SIGHUP);
  ASSERT_TRUE(eventually([&] { return a.put("m6", "shop") == "-ERR unknown partner"; }));
  EXPECT_EQ(a.end("m4"), "given_up");
}

TEST(StandingAlone, WhatCantBeginSaysWhy) {
  Alone a;
  a.write(Alone::partner("shop", "127.0.0.1:1"));
  harness::SenderProcess c;
  c.start({senderProgram(), "run", "--daemon", a.path()}, {"GW_CONFIG=/somewhere"}, a.folder.path() + "/log");
  EXPECT_EQ(WEXITSTATUS(c.wait()), 2);
  EXPECT_NE(a.log().find("GW_CONFIG is set and gives classes"), std::string::npos) << a.log();
  harness::SenderProcess d;
  d.start({senderProgram()}, {}, a.folder.path() + "/log");
  EXPECT_EQ(WEXITSTATUS(d.wait()), 2);
  EXPECT_NE(a.log().find("grademux_sender init"), std::string::npos) << a.log();
  harness::SenderProcess e, again;
  e.start({senderProgram(), "init", a.folder.path() + "/new"}, {}, a.folder.path() + "/log");
  EXPECT_EQ(e.wait(), 0);
  again.start({senderProgram(), "init", a.folder.path() + "/new"}, {}, a.folder.path() + "/log");
  EXPECT_EQ(WEXITSTATUS(again.wait()), 2);
  harness::SenderProcess f;
  f.start({senderProgram(), "check", a.folder.path() + "/new/grademux.toml"}, {}, a.folder.path() + "/log");
  EXPECT_EQ(f.wait(), 0);
}

TEST(Check, TellsWhatIsInForceAndWhereItComesFrom) {
  Alone a;
  std::ofstream(a.path()) << "[limits]\ncalls = 7\n" << kDoor << kClass << kPartner;
  int status = 0;
  const std::string log = a.folder.path() + "/out",
                    out = outputOf({senderProgram(), "check", "--effective", a.path()}, log, status);
  EXPECT_EQ(status, 0);
  for (const std::string& row :
       {std::string("limits.calls = 7 "), std::string("# ") + a.path() + ":2\n",
        std::string("limits.max_open = 20000 "), std::string("# default\n"),
        std::string("class.deadline = \"1 min\" "), std::string("partner.name = \"shop\" ")})
    EXPECT_NE(out.find(row), std::string::npos) << row << "\n" << out;
}

TEST(Check, ReadsTheFilesOfItsSourcesAndTellsWhatStandsAgainstOneAnother) {
  Alone a;
  std::filesystem::create_directory(a.folder.path() + "/p");
  std::ofstream(a.path()) << kDoor << kClass << kPartner << "[[source]]\nkind = \"folder\"\npath = \"p\"\n";
  std::ofstream(a.folder.path() + "/p/bad.toml")
      << "[[partner]]\nname = \"x\"\nendpoint = [\"127.0.0.1:5\"]\n";
  std::ofstream(a.folder.path() + "/p/more.toml")
      << "[[partner]]\nname = \"shop\"\nendpoints = [\"127.0.0.1:6\"]\n"
      << "[[partner]]\nname = \"thief\"\nendpoints = [\"127.0.0.1:1\"]\n";
  int status = 0;
  const std::string out = outputOf({senderProgram(), "check", a.path()}, a.folder.path() + "/out", status);
  EXPECT_EQ(status, 2);
  for (const char* words : {"bad.toml:3:1: unknown key endpoint in a partner", "endpoints may be meant",
                            "more.toml: partner shop", "127.0.0.1:1 is an endpoint of shop"})
    EXPECT_NE(out.find(words), std::string::npos) << words << "\n" << out;
}

TEST(Site, TheNearestKnownNameIsTold) {
  EXPECT_EQ(nearest("lisen", {"kind", "listen", "idle_s"}), "listen");
  EXPECT_EQ(nearest("colour", {"kind", "listen", "idle_s"}), "");
  const Read r(std::string(kDoor) + kPartner + "[[class]]\nname = \"x\"\neffect = \"unsave\"\n");
  ASSERT_EQ(r.mistakes.size(), 1u);
  EXPECT_NE(r.mistakes[0].what.find("\"unsafe\" may be meant"), std::string::npos) << r.mistakes[0].what;
}

TEST(StandingAlone, AServiceManagerIsToldOfReadinessReloadsAndTheEnd) {
  Alone a;
  a.write(Alone::partner("shop", "127.0.0.1:1"));
  const std::string path = a.folder.path() + "/notify";
  const int fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  ASSERT_LT(path.size(), sizeof at.sun_path);
  std::memcpy(at.sun_path, path.c_str(), path.size());
  ASSERT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
  const auto told = [fd] {
    pollfd p{fd, POLLIN, 0};
    char text[256];
    const bool came = ::poll(&p, 1, static_cast<int>(std::chrono::milliseconds(kLong).count())) > 0;
    const ssize_t n = came ? ::recv(fd, text, sizeof text, 0) : 0;
    return std::string(text, static_cast<std::size_t>(std::max<ssize_t>(0, n)));
  };
  a.child.start({senderProgram(), "run", "--daemon", a.path()}, {"NOTIFY_SOCKET=" + path},
                a.folder.path() + "/log");
  EXPECT_EQ(told(), "READY=1");
  EXPECT_TRUE(Client(a.port).connected());
  a.child.signal(SIGHUP);
  EXPECT_EQ(told().substr(0, 27), "RELOADING=1\nMONOTONIC_USEC=");
  EXPECT_EQ(told(), "READY=1");
  a.child.signal(SIGTERM);
  EXPECT_EQ(told(), "STOPPING=1");
  EXPECT_EQ(a.child.wait(), 0);
  ::close(fd);
}

// Sources that can't be read at a start: what the earlier process had serves, and says so; a name that was
// never resolved is no unknown partner.
TEST(StandingAlone, TheLastKnownListServesWhereSourcesAreSilentAtAStart) {
  Server shop(taken);
  Alone a;
  const std::string source = a.folder.path() + "/p";
  std::filesystem::create_directory(source);
  std::ofstream(source + "/shop.toml") << Alone::partner("shop", shop.address());
  a.write("[[source]]\nkind = \"folder\"\npath = \"p\"\n[dns]\nservers = [\"" + closedAddress() +
          "\"]\ntries = 1\n[[partner]]\nname = \"named\"\ndns = \"shop.test:1\"\n");
  a.start();
  EXPECT_EQ(a.put("m1", "shop"), "+OK");
  EXPECT_EQ(a.end("m1"), "delivered");
  EXPECT_EQ(a.put("m2", "named").substr(0, 5), "-BUSY");
  a.child.signal(SIGKILL);
  a.child.wait();
  std::filesystem::rename(source, source + "-away");
  a.start();
  EXPECT_TRUE(a.logged("membership.stale partner=shop"));
  EXPECT_EQ(a.put("m3", "shop"), "+OK");
  EXPECT_EQ(a.end("m3"), "delivered");
  std::filesystem::rename(source + "-away", source);
  EXPECT_TRUE(a.logged("membership.readable"));
}

// Payments under way while their partner is renamed, moved, split and listed twice: each is called once and
// has one end, and the new name takes what the old one had.
TEST(StandingAlone, PaymentsOutlastARenameASplitAndASecondListing) {
  std::atomic<bool> hold{true};
  const auto slow = [&](const Seen&) {
    while (hold)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return Act{answer("200 OK")};
  };
  Server shop(slow), other(taken);
  Alone a;
  a.write(Alone::partner("shop", shop.address()));
  a.start();
  EXPECT_EQ(a.put("p1", "shop", "payment"), "+OK");
  ASSERT_TRUE(eventually([&] { return shop.seen().size() == 1; }));
  a.write(Alone::partner("store", shop.address(), "formerly = \"shop\"\n"));
  a.child.signal(SIGHUP);
  ASSERT_TRUE(eventually([&] { return a.put("p2", "store", "payment") == "+OK"; })) << a.log();
  EXPECT_EQ(a.put("p3", "shop", "payment"), "+OK");  // both names are known
  // Split: its old endpoint stays, and a partner of its own has another one; a file lists it once more.
  const std::string source = a.folder.path() + "/p";
  std::filesystem::create_directory(source);
  std::ofstream(source + "/again.toml") << Alone::partner("store", other.address());
  a.write(Alone::partner("store", shop.address(), "formerly = \"shop\"\n") +
          Alone::partner("branch", other.address()) + "[[source]]\nkind = \"folder\"\npath = \"p\"\n");
  a.child.signal(SIGHUP);
  ASSERT_TRUE(a.logged("membership.partner_conflict partner=store")) << a.log();
  EXPECT_EQ(a.put("p4", "branch", "payment"), "+OK");
  EXPECT_EQ(a.end("p4"), "delivered");
  hold = false;
  EXPECT_EQ(a.end("p1"), "delivered");
  EXPECT_EQ(a.end("p2"), "delivered");
  EXPECT_EQ(a.end("p3"), "delivered");
  EXPECT_EQ(shop.seen().size(), 3u);  // each of its three once
  EXPECT_EQ(other.seen().size(), 1u);
}

// What an earlier process took on for a class or a partner that the file no longer has ends, and the log says
// why.
TEST(StandingAlone, WhatTheFileHasNoPlaceForAnyMoreEndsWithItsReason) {
  Alone a;
  const std::string none = Alone::partner("shop", closedAddress()) + Alone::partner("bank", closedAddress());
  a.write(none + "[[class]]\nname = \"old\"\neffect = \"safe\"\n");
  a.start();
  EXPECT_EQ(a.put("m1", "shop", "old", 6000), "+OK");
  EXPECT_EQ(a.put("m2", "bank", "notice", 6000), "+OK");
  EXPECT_EQ(a.put("m3", "shop", "notice", 6000), "+OK");
  a.child.signal(SIGKILL);
  a.child.wait();
  a.write(Alone::partner("shop", closedAddress()));
  a.start();
  EXPECT_EQ(a.end("m1"), "given_up");
  EXPECT_EQ(a.end("m2"), "given_up");
  EXPECT_EQ(a.end("m3"), "given_up");
  EXPECT_TRUE(a.logged("message.orphaned message=m2")) << a.log();
  EXPECT_TRUE(a.logged("its partner is no longer listed"));
  EXPECT_EQ(a.log().find("message.orphaned message=m3"), std::string::npos);
  // The class that it came under went on for it: it ends as others do.
  EXPECT_EQ(a.log().find("message.orphaned message=m1"), std::string::npos);
}

}  // namespace
}  // namespace grademux
