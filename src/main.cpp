// grademux: the real sender: wires the parts together, and handles signals.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "config.h"
#include "net/host.h"

using namespace grademux;

namespace {

// After SIGTERM: no call is started that would last longer, and the process is gone well before the 3.7 s at
// which it may be killed. New clients come for up to 0.4 s.
constexpr Micros kStopAfter = 3'400'000, kLateClients = 600'000, kLook = 20'000;
// Clients hold a third of the descriptors at most: those that hand messages in are held to less, so that one
// more can always come.
constexpr std::int64_t kProvenPart = 4;

void run(boost::asio::io_context& io, boost::asio::signal_set& signals, Config c) {
  Journal journal(c.state, c.disk_bytes);
  const tcp::endpoint agent = parseAddress(c.discovery);
  // Descriptors: the calls out, then a fifth of the rest for idle connections, all else for clients.
  const std::int64_t left = c.sockets - kSpareSockets - c.settings.slots;
  Host* to_host = nullptr;
  Notices notices(Agent(io, agent, c.discovery), [&](const std::string& id) { to_host->told(id); });
  Endpoints endpoints(io, {c.settings.dial_timeout, c.settings.conn_idle, static_cast<std::size_t>(left / 5)},
                      [&](Outcome o) { to_host->outcome(std::move(o)); });
  Host host(io, c.settings, c.seed, journal, endpoints, notices);
  to_host = &host;
  host.recover(c.known);
  Watcher watcher(Agent(io, agent, c.discovery), [&](const json& answer) { return host.list(answer); });
  watcher.start(host.version());
  Clients clients(
      io, parseAddress(c.listen),
      {static_cast<std::size_t>(left - left / 5), static_cast<std::size_t>(c.sockets / kProvenPart)},
      [&](Clients::Put p, Clients::Reply r) { host.put(std::move(p), std::move(r)); });

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
  auto stop = [&] {
    if (stop_from != 0) return;
    stop_from = monotonicNow();
    std::cerr << "stopping\n";
    clients.drain();
    host.stopAt(stop_from + kStopAfter);
    lookAgain();
  };
  // A new configuration: what can't be read or used leaves the old one in force.
  auto reload = [&] {
    try {
      Config fresh = readConfig();
      const std::string later = needsRestart(c, fresh);
      std::cerr << "reloaded, discovery at " << fresh.discovery
                << (later.empty() ? "" : "; changed and needs a restart: ") << later << '\n';
      if (fresh.discovery != c.discovery) {
        const tcp::endpoint moved = parseAddress(fresh.discovery);
        watcher.moveTo(moved, fresh.discovery);
        notices.moveTo(moved, fresh.discovery);
      }
      c = std::move(fresh);
    } catch (const std::exception& e) {
      std::cerr << "the new configuration is not used: " << e.what() << '\n';
    }
  };
  std::function<void()> nextSignal = [&] {
    signals.async_wait([&](const boost::system::error_code& e, int number) {
      if (e) return;
      number == SIGHUP ? reload() : stop();
      nextSignal();
    });
  };
  nextSignal();
  std::cerr << "ready\n";
  io.run();
}

}  // namespace

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    // Signals are taken over before anything else: one that comes early waits until the loop runs.
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGHUP, SIGTERM, SIGINT);
    run(io, signals, readConfig());
  } catch (const std::exception& e) {
    std::cerr << "grademux: " << e.what() << '\n';
    return 2;
  }
  return 0;
}
