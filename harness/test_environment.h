// grademux harness: a whole small world on loopback: discovery, endpoints, the program under test as a child,
// and clients at its doors. Stand-ins run on a thread of their own, clients on the caller's.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

#include "clients.h"
#include "fault_proxy.h"
#include "sender_process.h"
#include "stand_ins.h"

namespace grademux::harness {

struct EnvironmentConfig {
  int destinations = 4, endpoints_each = 2;
  EndpointBehaviour behaviour;
  int senders = 1;  // that the program is told of
  int slots = 64, max_open = 20000;
  double disk_mb = 256, tick_ms = 1;
  int memory_mb = 1024, sockets = 1024;
  std::size_t connections = 32;  // of clients to each door
  bool http = true;              // with an HTTP door
  std::size_t capacity = 1 << 20;
  bool alone = false;              // without a platform: by a daemon file, with partners p0, p1, ...
  std::vector<std::string> names;  // alone: of the partners, instead
  bool passed = false;             // the rig listens for the clients, and the program inherits the socket
  bool links = false;              // discovery and endpoints are reached over links
  double aim_ms = 4000;            // of each class; see setAim()
  int zones = 1;                   // the endpoints of each destination stand in a, b, c in turn
  int same_port = -1;              // this destination's endpoints differ in their addresses alone
};

class TestEnvironment {
 public:
  TestEnvironment(const std::string& program, std::uint64_t seed, EnvironmentConfig shape);
  ~TestEnvironment();

  void start();  // the program, until its doors are open; throws if they don't
  // The same from another thread than the one that runs the clients, once start() was. `program`: another.
  void restart(const std::string& program = "");
  // A second process beside the one that runs; it is that which child() tells of from then on.
  std::unique_ptr<SenderProcess> startSecond();
  // Other settings in the file that the program reads at SIGHUP; `whole` false: cut off in its middle.
  void setAim(double aim_ms) { shape_.aim_ms = aim_ms; }
  void writeConfig(bool whole = true) const;
  std::string configFile() const { return folder_.path() + "/config.json"; }
  std::string state() const { return folder_.path() + "/state"; }
  FaultProxy& endpointLink(std::size_t i) { return *endpoint_links_[i]; }
  FaultProxy& discoveryLink() { return *discovery_link_; }
  void startWith(const std::vector<std::string>& command);
  void kill();  // SIGKILL
  int stop();   // SIGTERM, until it has ended; its status
  SenderProcess& child() { return child_; }
  std::string journal() const { return folder_.path() + "/state/journal"; }
  std::uint64_t journalBytes() const { return journal_bytes_; }  // written so far, as seen by looking at it
  std::string log() const;

  // Alone: what the daemon file says beside doors, classes, limits and journal. It is asked anew each time
  // that the file is written.
  void setDaemonText(std::function<std::string()> text) { daemon_text_ = std::move(text); }
  std::string daemonFileText() const;
  std::string daemonFile() const { return folder_.path() + "/daemon.toml"; }
  void writeDaemonFile() const;
  std::string folder() const { return folder_.path(); }
  int respPort() const { return resp_port_; }
  int httpPort() const { return http_port_; }
  boost::asio::io_context& standInIo() { return stand_in_io_; }

  // On the stand-ins' thread, until it is done.
  void onStandIns(const std::function<void()>& f);
  EndpointStandIn& endpoint(std::size_t i) { return *endpoints_[i]; }
  std::size_t endpoints() const { return endpoints_.size(); }
  std::string zoneOf(std::size_t endpoint) const { return endpoints_[endpoint]->zone; }
  DiscoveryStandIn& discovery() { return *discovery_; }

  // One message of a random class to a random destination; false when the ledger is full.
  bool submit(Via by);
  Clients& clients(Via by) { return by == Via::resp ? *resp_ : *http_; }
  // At both doors: connections that end are the process's death, and no answer is owed.
  void expectCuts(bool on) {
    resp_->expectCuts(on);
    if (http_)
      http_->expectCuts(on);
  }
  std::size_t busy() const { return resp_->busy() + (http_ ? http_->busy() : 0); }
  // Open loop: so many a second at random moments, the doors in turn, for so long.
  void load(double rate, Micros span, const std::vector<Via>& doors);
  // Closed loop: as many as are ended, with so many on their way.
  void saturate(int window, Micros span, const std::vector<Via>& doors);
  // Runs clients until all is answered and ended, or for so long at most.
  bool settle(Micros most);
  void run(Micros span);

  DeliveryChecker ledger;
  std::mt19937_64 random;

 private:
  json config() const;
  std::vector<std::string> command(const std::string& program);
  std::vector<std::string> variables() const;
  void launch(SenderProcess& child, const std::string& program);
  std::size_t readies() const;
  void lookAtJournal();
  void lookForEnds();
  std::string program_;
  EnvironmentConfig shape_;
  TemporaryFolder folder_;
  boost::asio::io_context stand_in_io_{1}, client_io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_, client_work_;
  std::unique_ptr<DiscoveryStandIn> discovery_;
  std::vector<std::unique_ptr<EndpointStandIn>> endpoints_;
  std::vector<std::unique_ptr<FaultProxy>> endpoint_links_;
  std::unique_ptr<FaultProxy> discovery_link_;
  std::unique_ptr<ListeningSocket> listening_;
  std::thread thread_;
  std::function<std::string()> daemon_text_;
  int resp_port_ = 0, http_port_ = 0;
  SenderProcess child_;
  std::unique_ptr<Clients> resp_, http_;
  boost::asio::steady_timer look_;
  std::uint64_t journal_size_ = 0, journal_bytes_ = 0;
  mutable std::mt19937_64 process_seeds_;  // the platform gives each process a seed of its own
};

}  // namespace grademux::harness
