// grademux harness: partners that change in every way that a program without a platform can hear of: its own
// file, a watched folder, a name server; under load on both doors, with kills in between.
#include <fcntl.h>
#include <sys/stat.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

#include "../src/core/clock.h"
#include "dns_stand_in.h"
#include "scenarios.h"
#include "test_environment.h"

namespace grademux::harness {

namespace {

namespace fs = std::filesystem;
namespace asio = boost::asio;

constexpr Micros kSecond = 1'000'000, kStep = 150'000;
constexpr Micros kNever = INT64_MAX / 4;
// Which partners come from where; each has two endpoints.
constexpr int kPartners = 8, kFirstOfFolder = 2, kService = 6, kAddresses = 7;
const std::vector<Via> kBoth{Via::resp, Via::http};

// How long the door takes to answer a PING: no turn of the loop was longer than the longest.
class Pulse {
 public:
  explicit Pulse(int port) : port_(port), thread_([this] { run(); }) {}
  ~Pulse() {
    stop_ = true;
    thread_.join();
  }
  void pause(bool on) { paused_ = on; }
  Micros longest() const { return longest_; }
  void forget() { longest_ = 0; }

 private:
  void run() {
    while (!stop_) {
      try {
        asio::io_context io;
        asio::ip::tcp::socket s(io);
        s.connect({asio::ip::address_v4::loopback(), static_cast<unsigned short>(port_)});
        s.set_option(asio::ip::tcp::no_delay(true));
        asio::streambuf in;
        while (!stop_) {
          const Micros begun = monotonicNow();
          asio::write(s, asio::buffer("*1\r\n$4\r\nPING\r\n", 14));
          in.consume(asio::read_until(s, in, "\r\n"));
          if (!paused_)
            longest_ = std::max<Micros>(longest_, monotonicNow() - begun);
          std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
      } catch (const std::exception&) {  // killed, or its place was given to another
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
  }
  int port_;
  std::atomic<bool> stop_{false}, paused_{false};
  std::atomic<Micros> longest_{0};
  std::thread thread_;
};

class Sources {
 public:
  Sources(TestEnvironment& w, int crowd) : w_(w), crowd_(crowd), listed_(kPartners, {true, true}) {
    w_.onStandIns([this] { dns_ = std::make_unique<DnsStandIn>(w_.standInIo()); });
    tellDns(DnsFault::none);
    writeVersion();
    swap("v1");
    w_.setDaemonText([this] { return daemonText(); });
  }
  ~Sources() {
    w_.onStandIns([this] { dns_.reset(); });
  }

  // One change of a random kind. What an endpoint is told no more is counted against it from then on.
  void change() {
    const int partner = static_cast<int>(w_.random() % kPartners);
    Row& row = listed_[static_cast<std::size_t>(partner)];
    Row next = row;
    if (row.first && row.second)
      (w_.random() % 2 ? next.first : next.second) = false;
    else
      next = {true, true};
    const Row before = row;
    row = next;
    ++changes;
    if (partner < kFirstOfFolder) {
      stopCalls(partner, before, next);
      w_.writeDaemonFile();
      w_.child().signal(SIGHUP);
    } else if (partner < kService) {
      changeFolder(partner, before, next);
    } else {
      pending_ = {partner, before, next};
      tellDns(DnsFault::none);
    }
  }

  // What must change nothing: files that are broken, half written or gone, name servers that fail or lie.
  void fault() {
    ++faults;
    switch (w_.random() % 9) {
      case 0:  // the daemon file, half written
        spoilDaemonFile();
        break;
      case 1:
        put(folder() + "/p2.toml", fileOf(2).substr(0, fileOf(2).size() / 2));
        w_.run(kStep);
        put(folder() + "/p2.toml", fileOf(2));
        break;
      case 2:
        fs::rename(link(), link() + ".away");
        w_.run(kStep);
        fs::rename(link() + ".away", link());
        break;
      case 3: {  // an empty version of the folder
        const std::string empty = w_.folder() + "/empty";
        fs::create_directories(empty);
        swap("empty");
        w_.run(kStep);
        swap("v" + std::to_string(version_));
        break;
      }
      case 4:  // a partner in two files, then in the second alone, then back
        put(folder() + "/z3.toml", fileOf(3));
        w_.run(kStep);
        fs::remove(folder() + "/p3.toml");
        w_.run(2 * kStep);
        put(folder() + "/p3.toml", fileOf(3));
        w_.run(kStep);
        fs::remove(folder() + "/z3.toml");
        break;
      case 5:  // a burst
        for (int i = 0; i < 500; ++i)
          put(folder() + "/p4.toml", fileOf(4));
        break;
      case 6:  // another partner claims an endpoint that it has no right to
        put(folder() + "/thief.toml",
            "[[partner]]\nname = \"thief\"\nendpoints = [\"" + w_.endpoint(2 * 2).address() + "\"]\n");
        w_.run(kStep);
        fs::remove(folder() + "/thief.toml");
        break;
      default: {
        static constexpr DnsFault kFaults[] = {DnsFault::silent,    DnsFault::no_name, DnsFault::no_data,
                                               DnsFault::failed,    DnsFault::refused, DnsFault::cut_off,
                                               DnsFault::truncated, DnsFault::garbled, DnsFault::other_name,
                                               DnsFault::other_id};
        tellDns(kFaults[w_.random() % std::size(kFaults)]);
        w_.load(0, kSecond, kBoth);
        tellDns(DnsFault::none);
      }
    }
  }

  // The program is killed; when it comes back, its folder can't be read and the name server is silent.
  void kill() {
    w_.expectCuts(true);
    const Micros killed = monotonicNow();
    w_.kill();
    w_.ledger.died(killed);
    tellDns(DnsFault::silent);
    fs::rename(link(), link() + ".away");
    w_.run(200'000);
    w_.start();
    w_.run(50'000);
    w_.expectCuts(false);
    w_.load(kBlindRate, kSecond, kBoth);
    fs::rename(link() + ".away", link());
    tellDns(DnsFault::none);
    ++kills;
  }

  // One file of the crowd changes; what that costs the program, in processor seconds.
  json oneOfMany(Pulse& pulse) {
    w_.run(kSecond);
    pulse.forget();
    const double before = w_.child().cpuSeconds();
    constexpr int kTimes = 20;
    for (int i = 0; i < kTimes; ++i) {
      put(folder() + "/crowd0.toml", crowdFile(0, i % 2 == 0));
      w_.run(100'000);
    }
    const double each = (w_.child().cpuSeconds() - before) / kTimes * 1000;
    return {{"files", crowd_ + kService - kFirstOfFolder},
            {"cpu_ms_each", each},
            {"longest_turn_ms", static_cast<double>(pulse.longest()) / 1000}};
  }

  int changes = 0, faults = 0, kills = 0;

 private:
  static constexpr double kBlindRate = 100;
  struct Row {
    bool first, second;
  };
  struct Pending {
    int partner;
    Row before, next;
  };

  std::string link() const { return w_.folder() + "/partners"; }
  std::string folder() const { return link(); }
  EndpointStandIn& endpoint(int partner, int which) {
    return w_.endpoint(static_cast<std::size_t>(2 * partner + which));
  }

  void stopCalls(int partner, Row before, Row next) {
    const Micros now = monotonicNow();
    w_.onStandIns([&] {
      for (const int which : {0, 1}) {
        const bool was = which ? before.second : before.first, is = which ? next.second : next.first;
        if (was && !is)
          endpoint(partner, which).drainedAt(now);
        if (is)
          endpoint(partner, which).drainedAt(kNever);
      }
    });
  }

  std::string endpointsOf(int partner) {
    const Row row = listed_[static_cast<std::size_t>(partner)];
    std::string all;
    for (const int which : {0, 1})
      if (which ? row.second : row.first)
        all += (all.empty() ? "\"" : ", \"") + endpoint(partner, which).address() + "\"";
    return "[" + all + "]";
  }
  std::string head(int partner) const {
    return "[[partner]]\nname = \"p" + std::to_string(partner) + "\"\nnumber = " + std::to_string(partner) +
           "\n";
  }
  std::string fileOf(int partner) { return head(partner) + "endpoints = " + endpointsOf(partner) + "\n"; }
  static std::string crowdFile(int i, bool other) {
    return "[[partner]]\nname = \"crowd" + std::to_string(i) +
           "\"\nnumber = " + std::to_string(1'000'000 + i) + "\nendpoints = [\"127.9." +
           std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + (other ? ":81" : ":80") + "\"]\n";
  }

  std::string daemonText() {
    std::string text =
        "[dns]\nservers = [\"" + dns_->address() +
        "\"]\ntimeout = \"150 ms\"\ntries = 1\nallow = [\"127.0.0.0/8\"]\nleast_ttl = \"200 ms\"\n"
        "least_retry = \"200 ms\"\nmost_retry = \"400 ms\"\n"
        "[[source]]\nkind = \"folder\"\npath = \"partners\"\nrescan = \"2 s\"\n";
    for (int p = 0; p < kFirstOfFolder; ++p)
      text += fileOf(p);
    text += head(kService) + "srv = \"_print._tcp.rig.test\"\n";
    const std::string address = endpoint(kAddresses, 0).address();
    text += head(kAddresses) + "dns = \"shop.rig.test" + address.substr(address.rfind(':')) + "\"\n";
    return text;
  }

  void put(const std::string& path, const std::string& text) {
    std::ofstream(path + ".new") << text;
    fs::rename(path + ".new", path);
  }
  void swap(const std::string& to) {
    fs::create_symlink(to, link() + ".new");
    fs::rename(link() + ".new", link());
  }
  void writeVersion() {
    const std::string name = "v" + std::to_string(++version_), path = w_.folder() + "/" + name;
    fs::create_directories(path);
    for (int p = kFirstOfFolder; p < kService; ++p)
      put(path + "/p" + std::to_string(p) + ".toml", fileOf(p));
    for (int i = 0; i < crowd_; ++i) {  // unchanged files are one file in every version
      const std::string file = "/crowd" + std::to_string(i) + ".toml";
      if (version_ > 1)
        fs::create_hard_link(w_.folder() + "/v1" + file, path + file);
      else
        put(path + file, crowdFile(i, false));
    }
  }

  void changeFolder(int partner, Row before, Row next) {
    const std::string file = folder() + "/p" + std::to_string(partner) + ".toml";
    const bool anew = w_.random() % 3 == 0;
    if (anew)
      writeVersion();
    stopCalls(partner, before, next);
    if (anew)
      return swap("v" + std::to_string(version_));  // the whole folder at once
    switch (w_.random() % 2) {
      case 0: {  // told to drain, not taken out
        if (before.first && before.second) {
          const std::string drains = endpoint(partner, next.first ? 1 : 0).address();
          put(file, head(partner) + "endpoints = [\"" + endpoint(partner, 0).address() + "\", \"" +
                        endpoint(partner, 1).address() + "\"]\ndraining = [\"" + drains + "\"]\n");
          break;
        }
        [[fallthrough]];
      }
      default:
        put(file, fileOf(partner));
    }
  }

  void spoilDaemonFile() {
    const std::string whole = w_.daemonFileText();
    std::ofstream(w_.daemonFile()) << whole.substr(0, whole.size() - 20);
    w_.child().signal(SIGHUP);
    w_.run(kStep);
    w_.writeDaemonFile();
    w_.child().signal(SIGHUP);
  }

  // Rewrites the zone. What it names no more is counted from the first answer that says so.
  void tellDns(DnsFault fault) {
    w_.onStandIns([&] {
      DnsZoneEntry service, shop, first, second;
      const Row s = listed_[kService], a = listed_[kAddresses];
      const auto portOf = [&](int which) {
        const std::string address = endpoint(kService, which).address();
        return std::atoi(address.c_str() + address.rfind(':') + 1);
      };
      if (s.first)
        service.services.push_back({10, 0, portOf(0), "one.rig.test"});
      if (s.second)
        service.services.push_back({10, 0, portOf(1), "one.rig.test"});
      first.v4 = {"127.0.0.1"};
      if (a.first)
        shop.v4.push_back("127.0.0.2");
      if (a.second)
        shop.v4.push_back("127.0.0.3");
      service.ttl = shop.ttl = 0;
      first.ttl = 1;
      for (DnsZoneEntry* e : {&service, &shop, &first})
        e->fault = fault;
      dns_->set("_print._tcp.rig.test", service);
      dns_->set("shop.rig.test", shop);
      dns_->set("one.rig.test", first);
      const bool usable = fault == DnsFault::none;
      const Pending p = pending_;
      if (p.partner < 0 || !usable)
        return;
      const std::string asked = p.partner == kService ? "_print._tcp.rig.test" : "shop.rig.test";
      pending_.partner = -1;
      for (const int which : {0, 1})
        if (which ? p.next.second : p.next.first)
          endpoint(p.partner, which).drainedAt(kNever);
      dns_->onAnswer(asked, [this, p] {
        for (const int which : {0, 1}) {
          const bool was = which ? p.before.second : p.before.first,
                     is = which ? p.next.second : p.next.first;
          if (was && !is)
            endpoint(p.partner, which).drainedAt(monotonicNow());
        }
      });
    });
  }

  TestEnvironment& w_;
  int crowd_, version_ = 0;
  std::vector<Row> listed_;
  Pending pending_{-1, {true, true}, {true, true}};
  std::unique_ptr<DnsStandIn> dns_;
};

}  // namespace

json membership(const Options& o) {
  EnvironmentConfig shape;
  shape.alone = true;
  shape.destinations = kPartners;
  shape.same_port = kAddresses;
  TestEnvironment w(o.sender, o.seed, shape);
  Sources sources(w, o.destinations);
  w.start();
  Pulse pulse(w.respPort());
  const double rate = o.rate > 0 ? o.rate : 300;
  const Micros begun = monotonicNow(), until = begun + o.seconds * kSecond;
  Micros next_kill = begun + std::max<Micros>(2 * kSecond, o.seconds * kSecond / 4);
  Micros longest = 0;
  while (monotonicNow() < until) {
    w.load(rate, kStep, kBoth);
    sources.change();
    w.load(rate, 2 * kStep, kBoth);
    if (w.random() % 2)
      sources.fault();
    if (monotonicNow() < next_kill)
      continue;
    next_kill += std::max<Micros>(2 * kSecond, o.seconds * kSecond / 4);
    longest = std::max(longest, pulse.longest());
    pulse.pause(true);
    sources.kill();
    pulse.forget();
    pulse.pause(false);
  }
  longest = std::max(longest, pulse.longest());
  const json one = sources.oneOfMany(pulse);
  return finished(w, [&] {
    return json{{"rate", rate},
                {"reloads", sources.changes},
                {"faults", sources.faults},
                {"kills", sources.kills},
                {"emptied", w.ledger.failedAnswers()},
                {"late_drains", w.ledger.drained.load()},
                {"longest_turn_ms", static_cast<double>(longest) / 1000},
                {"one_of_many", one},
                {"holds", w.ledger.failedAnswers() == 0},
                {"answers", doors(w)}};
  });
}

}  // namespace grademux::harness
