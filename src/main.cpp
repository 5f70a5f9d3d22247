// grademux: the real sender: reads its configuration, wires the parts together, and handles signals.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "net/host.h"
#include "settings.h"

using namespace grademux;

namespace {

// After SIGTERM: no call is started that would last longer, and the process is gone well before the 3.7 s at
// which it may be killed. New clients come for up to 0.4 s.
constexpr Micros kStopAfter = 3'400'000, kLateClients = 600'000, kLook = 20'000;
constexpr std::int64_t kSpareSockets = 32;  // files, the agent's connections and the listener

struct Config {
  std::string listen, discovery, state;
  std::uint64_t seed = 0, disk_bytes = 0;
  std::int64_t sockets = 0;
  json known;
  Settings settings;
};

std::string variable(const char* name, const std::string& otherwise) {
  const char* v = std::getenv(name);
  return v && *v ? v : otherwise;
}

std::uint64_t seedOf(const json& o) {
  if (absent(o, "seed")) return 0;
  const json& s = field(o, "seed");
  if (s.is_number_unsigned()) return s.get<std::uint64_t>();
  const std::string hex = text(o, "seed");
  if (hex.empty() || hex.size() > 16 || hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    bad("not a hexadecimal number: seed");
  return std::stoull(hex, nullptr, 16);
}

Config readConfig() {
  const std::string path = variable("GW_CONFIG", "");
  if (path.empty()) bad("GW_CONFIG is not set");
  std::ifstream file(path);
  if (!file) bad("can't be read: " + path);
  std::stringstream all;
  all << file.rdbuf();
  const json o = json::parse(all.str(), nullptr, false);
  if (!o.is_object()) bad("not a JSON object: " + path);
  Config c;
  c.listen = variable("GW_LISTEN", text(o, "listen", ""));
  c.discovery = variable("GW_DISCOVERY", text(o, "discovery", ""));
  c.state = variable("GW_STATE", "");
  if (c.state.empty()) bad("GW_STATE is not set");
  c.seed = seedOf(o);
  const json& limits = optionalObject(o, "limits");
  c.disk_bytes = static_cast<std::uint64_t>(std::max(0.0, number(limits, "disk_mb", 3)) * 1e6);
  c.sockets = static_cast<std::int64_t>(number(limits, "sockets", 1024));
  if (!absent(o, "known")) c.known = object(o, "known");
  c.settings = readSettings(object(o, "settings"));
  return c;
}

void run(const Config& c) {
  boost::asio::io_context io(1);
  Journal journal(c.state, c.disk_bytes);
  const tcp::endpoint agent = parseAddress(c.discovery);
  // Descriptors: the calls out, then half of the rest for clients, a quarter for idle connections.
  const std::int64_t left = c.sockets - kSpareSockets - c.settings.slots;
  if (left < 8) bad("limits.sockets is too small");
  Host* to_host = nullptr;
  Notices notices(Agent(io, agent, c.discovery), [&](const std::string& id) { to_host->told(id); });
  Endpoints endpoints(io, {c.settings.dial_timeout, c.settings.conn_idle, static_cast<std::size_t>(left / 4)},
                      [&](Outcome o) { to_host->outcome(std::move(o)); });
  Host host(io, c.settings, c.seed, journal, endpoints, notices);
  to_host = &host;
  host.recover(c.known);
  Watcher watcher(Agent(io, agent, c.discovery), [&](const json& answer) { return host.list(answer); });
  watcher.start(host.version());
  Clients clients(io, parseAddress(c.listen), static_cast<std::size_t>(left / 2),
                  [&](Clients::Put p, Clients::Reply r) { host.put(std::move(p), std::move(r)); });

  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  boost::asio::steady_timer look(io);
  Micros stop_from = 0;
  std::function<void()> lookAgain = [&] {
    const Micros since = monotonicNow() - stop_from;
    const bool quiet = since > kLateClients && clients.unanswered() == 0 && endpoints.out() == 0 &&
                       notices.owed() == 0 && host.idle();
    if (quiet || since >= kStopAfter) return io.stop();
    look.expires_after(std::chrono::microseconds(kLook));
    look.async_wait([&](const boost::system::error_code& e) {
      if (!e) lookAgain();
    });
  };
  signals.async_wait([&](const boost::system::error_code& e, int) {
    if (e) return;
    stop_from = monotonicNow();
    std::cerr << "stopping\n";
    clients.drain();
    host.stopAt(stop_from + kStopAfter);
    lookAgain();
  });
  std::cerr << "ready\n";
  io.run();
}

}  // namespace

int main() {
  try {
    run(readConfig());
  } catch (const std::exception& e) {
    std::cerr << "grademux: " << e.what() << '\n';
    return 2;
  }
  return 0;
}
