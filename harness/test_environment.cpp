// grademux harness: the world; see world.h.
#include "test_environment.h"

#include <signal.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <stdexcept>

#include "../src/core/clock.h"

namespace grademux::harness {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct Class {
  const char *name, *effect;
  Idempotency kind;
  int share;  // of 100
};
constexpr Class kClasses[] = {{"status", "idempotent", Idempotency::idempotent, 50},
                              {"order", "deduplicated", Idempotency::idempotency_key, 32},
                              {"payment", "at_most_once", Idempotency::non_idempotent, 18}};
constexpr Micros kGrain = 1000;     // load is made in steps of this
constexpr std::size_t kBody = 200;  // bytes
constexpr int kStart = 30;          // seconds until its doors are open

int portOf(const std::string& address) {
  return std::atoi(address.c_str() + address.rfind(':') + 1);
}
tcp::endpoint at(int port) {
  return {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)};
}

}  // namespace

TestEnvironment::TestEnvironment(const std::string& program, std::uint64_t seed, EnvironmentConfig shape)
    : ledger(shape.capacity),
      random(seed),
      program_(program),
      shape_(shape),
      work_(asio::make_work_guard(stand_in_io_)),
      client_work_(asio::make_work_guard(client_io_)),
      look_(client_io_),
      process_seeds_(seed) {
  std::filesystem::create_directory(folder_.path() + "/state");
  discovery_ = std::make_unique<DiscoveryStandIn>(stand_in_io_, ledger);
  json all = json::array();
  for (int d = 0; d < shape_.destinations; ++d)
    for (int e = 0; e < shape_.endpoints_each; ++e) {
      const std::string name = "e" + std::to_string(d) + "-" + std::to_string(e);
      const bool shares = d == shape_.same_port;
      const int port = shares && e > 0 ? portOf(endpoints_.back()->address()) : 0;
      endpoints_.push_back(
          std::make_unique<EndpointStandIn>(stand_in_io_, ledger, name, d, shape_.behaviour, random(),
                                            shares ? "127.0.0." + std::to_string(2 + e) : "127.0.0.1", port));
      endpoints_.back()->zone = std::string(1, static_cast<char>('a' + e % shape_.zones));
      if (shape_.links) {
        endpoint_links_.push_back(std::make_unique<FaultProxy>(stand_in_io_, endpoints_.back()->address()));
        endpoints_.back()->at(endpoint_links_.back()->address());
      }
      all.push_back(endpoints_.back()->listed());
    }
  if (shape_.links)
    discovery_link_ = std::make_unique<FaultProxy>(stand_in_io_, discovery_->address());
  discovery_->tell(std::move(all), true);
  if (shape_.passed)
    listening_ = std::make_unique<ListeningSocket>();
  resp_port_ = listening_ ? listening_->port()
                          : ownPort();  // after the endpoints have theirs, or one of many might take it
  http_port_ = ownPort();
  thread_ = std::thread([this] { stand_in_io_.run(); });
}

TestEnvironment::~TestEnvironment() {
  resp_.reset();
  http_.reset();
  if (child_.running()) {
    child_.signal(SIGKILL);
    child_.wait();
  }
  stand_in_io_.stop();
  thread_.join();
}

json TestEnvironment::config() const {
  json classes = json::array(), known = json::array(), zones = json::array();
  for (int z = 0; z < shape_.zones; ++z)
    zones.push_back(std::string(1, static_cast<char>('a' + z)));
  for (const Class& c : kClasses)
    classes.push_back({{"Name", c.name},
                       {"AimMs", shape_.aim_ms},
                       {"DeadlineMs", 20000.0},
                       {"Group", "all"},
                       {"Idempotency", c.effect},
                       {"LateWorth", 0.3},
                       {"MemorySpanMs", 30000.0},
                       {"Worth", c.kind == Idempotency::non_idempotent ? 4.0 : 1.0}});
  for (const auto& e : endpoints_)
    known.push_back(e->listed());
  return {{"name", "n0"},
          {"listen", "127.0.0.1:" + std::to_string(resp_port_)},
          {"discovery", discovery_link_ ? discovery_link_->address() : discovery_->address()},
          {"seed", process_seeds_()},
          {"limits",
           {{"cores", 1.0},
            {"memory_mb", shape_.memory_mb},
            {"sockets", shape_.sockets},
            {"disk_mb", shape_.disk_mb}}},
          {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", std::move(known)}}},
          {"settings",
           {{"Azs", std::move(zones)},
            {"Balancers", shape_.senders},
            {"Categories", std::move(classes)},
            {"Ceilings",
             {{"ConnIdleMs", 10000.0},
              {"DialTimeoutMs", 1000.0},
              {"MaxAttempts", 12},
              {"MaxOpen", shape_.max_open},
              {"MaxRetryAfterMs", 3000.0},
              {"MayCancel", true},
              {"ParallelTries", false},
              {"RetryAfter", true}}},
            {"Domain",
             {{"CallSlots", shape_.slots}, {"Late", "line"}, {"PerCall", {1}}, {"RoutesApart", {false}}}},
            {"Kinds", {"partner"}},
            {"Rules",
             {{"AnswerSlackMs", 20.0},
              {"ColdShare", 0.29},
              {"DrainGraceMs", 250.0},
              {"FallMs", 2000.0},
              {"OverloadFactor", 1.5},
              {"RampTimeMs", 11000.0}}},
            {"TickMs", shape_.tick_ms},
            {"WeightKind", "silent"}}}};
}

std::string TestEnvironment::daemonFileText() const {
  std::string text = "[journal]\nfolder = \"state\"\ndisk = \"" +
                     std::to_string(static_cast<int>(shape_.disk_mb)) +
                     " MB\"\n[limits]\ncalls = " + std::to_string(shape_.slots) +
                     "\nmax_open = " + std::to_string(shape_.max_open) + "\n";
  for (const Class& c : kClasses)
    text += "[[class]]\nname = \"" + std::string(c.name) + "\"\neffect = \"" +
            (c.kind == Idempotency::idempotent        ? "safe"
             : c.kind == Idempotency::idempotency_key ? "keyed"
                                                      : "unsafe") +
            "\"\naim = \"4 s\"\ndeadline = \"20 s\"\n" +
            (c.kind == Idempotency::idempotency_key ? "memory = \"30 s\"\n" : "") +
            (c.kind == Idempotency::non_idempotent ? "worth = 4\n" : "");
  for (const auto& [kind, port] : {std::pair<const char*, int>{"resp", resp_port_}, {"http", http_port_}})
    text += "[[door]]\nkind = \"" + std::string(kind) + "\"\nlisten = \"127.0.0.1:" + std::to_string(port) +
            "\"\n";
  return text + (daemon_text_ ? daemon_text_() : "");
}

void TestEnvironment::writeDaemonFile() const {
  std::ofstream(daemonFile() + ".new") << daemonFileText();
  std::filesystem::rename(daemonFile() + ".new", daemonFile());
}

std::vector<std::string> TestEnvironment::command(const std::string& program) {
  if (shape_.alone) {
    writeDaemonFile();
    return {program, "run", "--daemon", daemonFile()};
  }
  if (!shape_.http && !daemon_text_)
    return {program};
  std::ofstream file(daemonFile());
  if (shape_.http)
    file << "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:" << http_port_ << "\"\n";
  file << (daemon_text_ ? daemon_text_() : "");
  return {program, "--daemon", daemonFile()};
}

void TestEnvironment::writeConfig(bool whole) const {
  std::string text = config().dump();
  if (!whole)
    text.resize(text.size() / 2);
  std::ofstream(configFile() + ".new") << text;
  std::filesystem::rename(configFile() + ".new", configFile());
}

std::vector<std::string> TestEnvironment::variables() const {
  if (shape_.alone)
    return {};
  std::vector<std::string> all = {"GW_CONFIG=" + configFile(), "GW_STATE=" + state()};
  if (listening_)
    all.push_back("GW_PASSED_SOCKET=" + std::to_string(SenderProcess::kPassed));
  return all;
}

std::size_t TestEnvironment::readies() const {
  const std::string all = log();
  std::size_t n = 0;
  for (std::size_t at = all.find("daemon.ready"); at != std::string::npos;
       at = all.find("daemon.ready", at + 1))
    ++n;
  return n;
}

// With a socket of the rig's, clients get through before the program is ready: its log tells.
void TestEnvironment::launch(SenderProcess& child, const std::string& program) {
  const std::size_t before = readies();
  child.start(command(program), variables(), folder_.path() + "/log", listening_ ? listening_->fd() : -1);
  const Micros until = monotonicNow() + kStart * 1'000'000LL;
  while (readies() == before) {
    if (child.ended() || monotonicNow() > until)
      throw std::runtime_error("the program does not open its doors: " + log());
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

void TestEnvironment::restart(const std::string& program) {
  launch(child_, program.empty() ? program_ : program);
}

std::unique_ptr<SenderProcess> TestEnvironment::startSecond() {
  auto old = std::make_unique<SenderProcess>(child_.release());
  launch(child_, program_);
  return old;
}

void TestEnvironment::start() {
  if (!shape_.alone)
    writeConfig();
  if (!shape_.passed)
    return startWith(command(program_));
  restart();
  if (!resp_)
    resp_ = std::make_unique<Clients>(client_io_, at(resp_port_), respWire(), shape_.connections);
  lookAtJournal();
}

void TestEnvironment::startWith(const std::vector<std::string>& command) {
  if (!shape_.alone)
    writeConfig();
  child_.start(command, variables(), folder_.path() + "/log");
  if (!child_.waitForPort(resp_port_, kStart) || (shape_.http && !child_.waitForPort(http_port_, kStart)))
    throw std::runtime_error("the program does not open its doors: " + log());
  if (!resp_)
    resp_ = std::make_unique<Clients>(client_io_, at(resp_port_), respWire(), shape_.connections);
  if (!http_)
    http_ = std::make_unique<Clients>(client_io_, at(http_port_), httpWire(), shape_.connections);
  lookAtJournal();
}

void TestEnvironment::kill() {
  child_.signal(SIGKILL);
  child_.wait();
}

int TestEnvironment::stop() {
  child_.signal(SIGTERM);
  return child_.wait();
}

std::string TestEnvironment::log() const {
  std::ifstream f(folder_.path() + "/log");
  return {std::istreambuf_iterator<char>(f), {}};
}

// What it grows by was written; a smaller one was written anew.
void TestEnvironment::lookAtJournal() {
  std::error_code e;
  const auto size = std::filesystem::file_size(journal(), e);
  if (!e) {
    journal_bytes_ += size >= journal_size_ ? size - journal_size_ : size;
    journal_size_ = size;
  }
  look_.expires_after(std::chrono::milliseconds(10));
  look_.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped)
      lookAtJournal();
  });
}

void TestEnvironment::onStandIns(const std::function<void()>& f) {
  std::promise<void> done;
  asio::post(stand_in_io_, [&] {
    f();
    done.set_value();
  });
  done.get_future().wait();
}

bool TestEnvironment::submit(Via by) {
  int draw = static_cast<int>(random() % 100);
  const Class* c = kClasses;
  while (draw >= c->share)
    draw -= (c++)->share;
  const std::int64_t index = ledger.open(c->kind, by, monotonicNow());
  if (index < 0)
    return false;
  Message m;
  m.id = ledger.id(index);
  m.cls = c->name;
  m.destination = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(shape_.destinations));
  if (shape_.alone)
    m.partner = shape_.names.empty() ? "p" + std::to_string(m.destination)
                                     : shape_.names[static_cast<std::size_t>(m.destination)];
  if (c->kind == Idempotency::idempotency_key)
    m.key = "k" + m.id;
  m.body = std::to_string(m.destination) + " ";
  m.body.resize(kBody, 'x');
  clients(by).submit(m,
                     [this, index](Reply said) { ledger.answered(ledger.at(index), said, monotonicNow()); });
  return true;
}

void TestEnvironment::run(Micros span) {
  client_io_.run_for(std::chrono::microseconds(span));
}

void TestEnvironment::load(double rate, Micros span, const std::vector<Via>& doors) {
  const Micros until = monotonicNow() + span;
  std::exponential_distribution<> gap(rate);
  if (rate <= 0)
    return run(span);
  double due = static_cast<double>(monotonicNow());
  std::size_t door = 0;
  for (Micros now = monotonicNow(); now < until; now = monotonicNow()) {
    for (; due <= static_cast<double>(now); due += gap(random) * 1e6)
      if (!submit(doors[door++ % doors.size()]))
        return;
    run(kGrain);
  }
}

void TestEnvironment::saturate(int window, Micros span, const std::vector<Via>& doors) {
  const Micros until = monotonicNow() + span;
  std::size_t door = 0;
  while (monotonicNow() < until) {
    const auto waiting = static_cast<std::int64_t>(busy());
    for (std::int64_t n = std::max<std::int64_t>(0, ledger.in_flight) + waiting; n < window; ++n)
      if (!submit(doors[door++ % doors.size()]))
        return;
    client_io_.run_one_for(std::chrono::microseconds(kGrain));
    client_io_.poll();
  }
}

// Nobody tells of ends where there is no platform: they are asked for.
void TestEnvironment::lookForEnds() {
  asio::io_context io;
  tcp::socket s(io);
  boost::system::error_code e;
  s.connect(at(resp_port_), e);
  asio::streambuf in;
  const auto line = [&] {
    const std::size_t n = asio::read_until(s, in, "\r\n", e);
    std::string l(asio::buffers_begin(in.data()),
                  asio::buffers_begin(in.data()) + static_cast<std::ptrdiff_t>(n));
    in.consume(n);
    return l.substr(0, l.find('\r'));
  };
  for (const std::string& id : ledger.open()) {
    asio::write(s, asio::buffer("*2\r\n$7\r\nMSG.GET\r\n$16\r\n" + id + "\r\n"), e);
    const std::string head = line();
    if (e)
      return;
    if (head == "*-1")
      continue;  // lost: the ledger will say so
    std::vector<std::string> words;
    for (int i = std::atoi(head.c_str() + 1); i > 0 && !e; --i) {
      const std::string next = line();
      words.push_back(next[0] == '$' ? line() : next);
    }
    if (words.size() > 1 && words[1] != "open" && words[1] != "delivered" && words[1] != "withdrawn")
      ledger.notice(id, monotonicNow());
  }
}

bool TestEnvironment::settle(Micros most) {
  const Micros until = monotonicNow() + most;
  while (monotonicNow() < until) {
    run(shape_.alone ? 200'000 : 20'000);
    if (shape_.alone)
      lookForEnds();
    if (busy() == 0 && ledger.unended() == 0) {
      run(200'000);  // what would come twice has time to
      return true;
    }
  }
  return false;
}

}  // namespace grademux::harness
