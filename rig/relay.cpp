// grademux rig: the bare relay; see relay.h.
#include "relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <deque>
#include <map>

#include "../src/daemon/config.h"
#include "../src/doors/resp/server.h"
#include "../src/net/address.h"
#include "../src/transport/http/http_transport.h"

namespace grademux::rig {

namespace {

class Relay : public Intake {
 public:
  Relay(boost::asio::io_context& io, const Config& c)
      : config_(c),
        transport_(io, {c.settings.dial_timeout, c.settings.conn_idle, 256}, [this](Outcome) { next(); }) {
    for (const json& e : c.known["endpoints"]) {
      const std::string name = e["name"];
      transport_.address(name, e["address"]);
      endpoints_[e["group"].get<std::int64_t>()].push_back(name);
    }
  }
  void submit(Submission s, Reply reply) override {
    reply(Answer::accepted());
    waiting_.push_back(std::move(s.message));
    next();
  }
  Status status(const std::string&) const override { return {}; }
  void whenEnded(const std::string&, std::function<void(const End&)>) override {}

 private:
  void next() {
    while (!waiting_.empty() && transport_.out() < static_cast<std::size_t>(config_.settings.slots)) {
      const auto& all = endpoints_[waiting_.front().destination];
      transport_.call({waiting_.front(), 0, all[turn_++ % all.size()], 5'000'000});
      waiting_.pop_front();
    }
  }
  const Config& config_;
  std::map<std::int64_t, std::vector<std::string>> endpoints_;
  std::deque<TakenOn> waiting_;
  std::size_t turn_ = 0;
  HttpTransport transport_;
};

}  // namespace

int relay() {
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  const Config c = readConfig();
  RespDoor door(io, parseAddress(c.listen), {512, 512});
  Relay relay(io, c);
  operate::State state;
  state.ready();
  door.start(relay, state);
  boost::asio::signal_set signals(io, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace grademux::rig
