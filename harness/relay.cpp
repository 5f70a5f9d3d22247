// grademux harness: the bare relay; see relay.h.
#include "relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <deque>
#include <map>

#include "../src/daemon/config.h"
#include "../src/listener/resp/resp_listener.h"
#include "../src/net/address.h"
#include "../src/transport/http/http_transport.h"

namespace grademux::harness {

namespace {

constexpr std::size_t kClientMemoryBytes = 256u << 20;

class Relay : public SubmissionHandler {
 public:
  Relay(boost::asio::io_context& io, const Config& c)
      : config_(c),
        transport_(io, {c.settings.connect_timeout, c.settings.idle_connection_timeout, 256},
                   [this](AttemptOutcome) { next(); }) {
    for (const json& e : c.configured_list["endpoints"]) {
      const std::string name = e["name"];
      transport_.setAddress(name, e["address"], 0);
      endpoints_[e["group"].get<std::int64_t>()].push_back(name);
    }
  }
  void submit(Submission s, SubmissionCallback reply) override {
    reply(SubmissionResult::accepted());
    waiting_.push_back(std::move(s.message));
    next();
  }
  MessageStatus status(const std::string&) const override { return {}; }
  OutcomeSubscription notifyWhenFinished(const std::string&,
                                         std::function<void(const FinalOutcome&)>) override {
    return nullptr;
  }

 private:
  void next() {
    while (!waiting_.empty() &&
           transport_.attemptsInFlight() < static_cast<std::size_t>(config_.settings.max_in_flight)) {
      const auto& all = endpoints_[waiting_.front().destination];
      transport_.startAttempt({waiting_.front(), 0, all[turn_++ % all.size()], 5'000'000});
      waiting_.pop_front();
    }
  }
  const Config& config_;
  std::map<std::int64_t, std::vector<std::string>> endpoints_;
  std::deque<AcceptedMessage> waiting_;
  std::size_t turn_ = 0;
  HttpTransport transport_;
};

}  // namespace

int relay() {
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  const Config c = readConfig();
  ClientMemory client_memory(kClientMemoryBytes);
  RespListener listener(io, parseAddress(c.listen), {512, 512}, client_memory);
  Relay relay(io, c);
  operate::ServiceState state;
  state.setReady();
  listener.start(relay, state);
  boost::asio::signal_set signals(io, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace grademux::harness
