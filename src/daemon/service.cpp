// grademux: one running sender; see service.h.
#include "service.h"

#include <csignal>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "../admission/admission.h"
#include "../core/clock.h"
#include "../core/delivery_engine.h"
#include "../discovery/discovery.h"
#include "../handover/folder_lock.h"
#include "../handover/handover_source.h"
#include "../handover/handover_target.h"
#include "../handover/inherited_attempts.h"
#include "../knowledge/learned_state_store.h"
#include "../knowledge/trust_decay.h"
#include "../listener/resp/resp_listener.h"
#include "../log/log.h"
#include "../membership/partner_names.h"
#include "../membership/sources.h"
#include "../net/address.h"
#include "../operate/admin_server.h"
#include "../replay/recorder.h"
#include "../transport/http/http_transport.h"
#include "fleet_membership.h"
#include "listener_set.h"
#include "notify.h"
#include "version.h"

namespace grademux {

namespace {

// After SIGTERM: no call is started that would last longer, and the process is gone well before the 3.7 s at
// which it may be killed. New clients come for up to 0.4 s.
constexpr Micros kStopAfter = 3'400'000, kLateClients = 600'000, kLook = 20'000;
// The last connections are ended in order within this, which fits before the kill.
constexpr Micros kFarewell = 200'000;
// Clients hold a third of the descriptors at most: those that hand messages in are held to less, so that one
// more can always come.
constexpr std::int64_t kProvenPart = 4;
constexpr std::int64_t kLeastClients = 8;
// A client comes back after this while a partner's name has no address yet.
constexpr Micros kUnresolved = 1'000'000;
// A process that was killed may keep its folder for so long; one that is replaced has so long to hand it
// over.
constexpr Micros kDying = 2'000'000, kTakeOver = 12'000'000;
// A step of the admission chain has so long: a client waits 400 ms for its answer.
constexpr Micros kPatience = 300'000;

// Descriptors: the calls out, then a fifth of the rest for idle connections, all else for clients; the doors
// of the daemon file have theirs out of these.
std::int64_t leftOf(const Config& c) {
  return c.sockets - spareSockets(c) - c.settings.max_in_flight;
}
std::int64_t clientsBeside(const Config& c, const DaemonFile& d, std::int64_t least) {
  const std::int64_t most = leftOf(c) - leftOf(c) / 5;
  if (d.connections() > most - least)
    throw std::runtime_error("the doors' max_connections are " + std::to_string(d.connections()) +
                             " together: at most " + std::to_string(most - least) +
                             " are expected with limits.sockets " + std::to_string(c.sockets) +
                             (d.site ? " and limits.calls " + std::to_string(c.settings.max_in_flight) : ""));
  return most - d.connections();
}
// Of the platform's door. Standing alone there is none: all clients come by the doors of the daemon file.
RespListener::Limits clientLimits(const Config& c, const DaemonFile& d) {
  const std::int64_t clients = clientsBeside(c, d, kLeastClients);
  return {static_cast<std::size_t>(clients),
          static_cast<std::size_t>(std::min(clients, c.sockets / kProvenPart))};
}

HttpTransport::Limits transportLimits(const Config& c) {
  return {c.settings.connect_timeout, c.settings.idle_connection_timeout,
          static_cast<std::size_t>(leftOf(c) / 5)};
}

// Where nobody is told of ends: they are on record, and clients ask.
class OnRecordAlone : public DeliveryNotifier {
 public:
  OnRecordAlone(boost::asio::io_context& io, std::function<void(const std::string&)> told)
      : io_(io), told_(std::move(told)) {}
  void enqueueNotice(const std::string& id, const Notice&) override {
    ++owed_;
    boost::asio::post(io_, [this, id] {
      --owed_;
      told_(id);
    });
  }
  std::size_t pendingNotices() const override { return owed_; }

 private:
  boost::asio::io_context& io_;
  std::function<void(const std::string&)> told_;
  std::size_t owed_ = 0;
};

class Service {
 public:
  Service(boost::asio::io_context& io, boost::asio::signal_set& signals, Config config, DaemonFile daemon,
          const Recording& recording)
      : io_(io),
        signals_(signals),
        config_(std::move(config)),
        daemon_(std::move(daemon)),
        look_(io),
        worker_(io),
        lock_(config_.state),
        doors_(io) {
    if (alone())
      clientsBeside(config_, daemon_, 0);
    else
      clients_ = std::make_unique<RespListener>(io, parseAddress(config_.listen),
                                                clientLimits(config_, daemon_), config_.passed);
    if (!config_.mgmt.empty())
      operators_ = std::make_unique<operate::AdminServer>(
          io, parseAddress(config_.mgmt), [this](operate::AdminCommand call) { return operatorsCall(call); });
    if (!recording.path.empty())
      recorder_ = std::make_unique<replay::Recorder>(recording.path, recording.most_bytes, config_.settings,
                                                     config_.seed);
    nextSignal();
    if (ownsFolder()) {
      open(nullptr);
      return;
    }
    taker_ = std::make_unique<handover::HandoverTarget>(
        io, lock_, [this](const handover::OwnershipReleased* given) { open(given); },
        [this](const AttemptOutcome& o) { calls_->ended(o); }, [this] { calls_->gone(); },
        [this](const std::string& why) {
          throw std::runtime_error(config_.state +
                                   ": another process has this folder and does not hand it over: " + why);
        });
    taker_->start(kTakeOver);
  }

  void tellReady() const {
    notifyManager("READY=1");
    std::string listen = clients_ ? "resp:" + config_.listen : "";
    for (const ListenerConfig& d : daemon_.listeners) {
      std::ostringstream address;
      address << (listen.empty() ? "" : " ") << (d.kind == ListenerKind::resp ? "resp:" : "http:")
              << d.listen;
      listen += address.str();
    }
    log::write(log::Event::daemon_ready,
               {{"version", programVersion()}, {"listen", listen}, {"partners", partners()}});
  }

 private:
  // A process that dies lets go of its folder in a moment; who is to be replaced listens, where the platform
  // holds the clients' socket over processes. Anybody else has it by mistake.
  bool ownsFolder() {
    if (lock_.take() || config_.passed >= 0)
      return lock_.held();
    for (const Micros until = monotonicNow() + kDying; !lock_.take();) {
      if (monotonicNow() >= until)
        throw std::runtime_error(config_.state + ": another process of a sender has this folder");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  // The folder is this process's from now on. What can fail without it comes first.
  void open(const handover::OwnershipReleased* given) {
    doors_.bind(daemon_.listeners);
    // Only now that every address is had: the journal of a process that can't begin stays as it is.
    journal_ = std::make_unique<Journal>(config_.state, config_.disk_bytes);
    const auto told = [this](const std::string& id) { host_->onNoticeDelivered(id); };
    const tcp::endpoint agent = alone() ? tcp::endpoint() : parseAddress(config_.discovery);
    if (alone()) {
      notices_ = std::make_unique<OnRecordAlone>(io_, told);
    } else {
      auto notices = std::make_unique<NoticeClient>(Agent(io_, agent, config_.discovery), told);
      platform_notices_ = notices.get();
      notices_ = std::move(notices);
    }
    transport_ = std::make_unique<HttpTransport>(io_, transportLimits(config_),
                                                 [this](AttemptOutcome o) { ended(std::move(o)); });
    calls_ = std::make_unique<handover::InheritedAttempts>(
        *transport_, [this](AttemptOutcome o) { host_->onAttemptFinished(std::move(o)); },
        [this](const handover::Message& m) {
          if (taker_)
            taker_->send(m);
        });
    host_ =
        std::make_unique<DeliveryEngine>(io_, config_.settings, config_.seed, *journal_, *calls_, *notices_);
    admission_ = std::make_unique<Admission>(io_, *host_, kPatience, config_.settings.max_retry_after);
    if (recorder_)
      host_->setObserver(
          [this](Micros now, const std::vector<Event>& events, const std::vector<Action>& actions) {
            recorder_->turn(now, events, actions);
          });
    const Membership::OnAnswer hear = [this](EndpointListAnswer answer) {
      return host_->onEndpointList(std::move(answer));
    };
    if (alone()) {
      auto sources = std::make_unique<PartnerSources>(io_, worker_, daemon_.site->sources,
                                                      journal_->recovered().endpoint_list, hear);
      sources_ = sources.get();
      membership_ = std::move(sources);
      admission_->add(std::make_unique<PartnerNames>(sources_->table(), kUnresolved));
    } else {
      auto watcher = std::make_unique<EndpointWatcher>(Agent(io_, agent, config_.discovery), worker_, hear,
                                                       config_.settings.sender_count, config_.seed);
      watcher_ = watcher.get();
      membership_ = std::move(watcher);
    }
    keeper_ = std::make_unique<knowledge::LearnedStateStore>(
        io_, worker_, daemon_.knowledge, config_.state, config_.name,
        [this](std::int64_t after, int most, knowledge::LearnedStateStore::Learned then) {
          host_->exportLearned(after, most, std::move(then));
        },
        [this] { return journal_->spareBytes(); },
        [this](std::uint64_t bytes) { journal_->setOtherFilesBytes(bytes); });
    journal_->onSpaceNeeded([this] { return keeper_->freeSpace(); });
    host_->onHealthChanged([this] { keeper_->writeSoon(); });
    transport_->setScopes([this](const std::string& endpoint) { return host_->retryAfterScope(endpoint); });
    if (daemon_.fleet) {
      fleet_ = std::make_unique<FleetMembership>(
          io_, worker_, *daemon_.fleet, config_, daemon_, journal_->epoch(),
          [this] { return host_->listVersion(); }, [this](bool list) { catchUp(list); },
          [this](bool may, const std::string& why) { mayAct(may, why); },
          [this](const std::vector<std::string>& endpoints) { host_->refreshEndpoints(endpoints); });
      host_->setActionGuard(&fleet_->actionGuard());
      transport_->setGuard(
          [this](const std::string& endpoint) { return fleet_->actionGuard().isSendAllowed(endpoint); });
    }
    if (given)
      calls_->inherit(given->in_flight);
    host_->recover(config_.known, knowledge::TrustDecayPolicy(), keeper_->load(), calls_->inherited());
    if (given && given->standby)
      state_.inheritStandby();
    if (taker_) {
      taker_->confirmOwnership();
      log::write(log::Event::handover_acquired, {{"epoch", journal_->epoch()},
                                                 {"calls", calls_->inherited().size()},
                                                 {"cause", given ? "given" : "the earlier process is gone"}});
    }
    keeper_->start();
    membership_->start(host_->listVersion());
    if (clients_)
      clients_->start(*admission_, state_);
    doors_.start(*admission_, state_);
    state_.setReady();
    if (fleet_)
      fleet_->start(taker_ ? "handover" : "start", journal_->versions());
    if (config_.passed >= 0)
      giver_ = std::make_unique<handover::HandoverSource>(io_, lock_.fd(), owner());
    tellReady();
    if (reload_due_)
      reload();
  }

  // ---- the fleet's plan

  void mayAct(bool may, const std::string& why) {
    if (may) {
      state_.unfence();
      return host_->open();
    }
    state_.fence(why);
    host_->close();
    sendAway(DrainReason::standby);
  }

  // Reads again what the plan asks for and this sender lacks; what can't be used is told to the fleet.
  void catchUp(bool list) {
    reload();
    if (list && watcher_)
      watcher_->start(-1);
  }

  // ---- replaced by another process

  handover::HandoverSource::Callbacks owner() {
    return {[this] { return refusesHandover(); },
            [this] {
              if (clients_)
                clients_->pause();
              doors_.releaseAddresses();
            },
            [this] {
              return (!clients_ || clients_->openRequests() + clients_->halfRead() == 0) &&
                     doors_.openRequests() == 0;
            },
            [this] { return give(); },
            [this] {
              if (lock_.take() && journal_->reacquire())
                return true;
              lock_.release();
              return false;
            },
            [this] { resume(); },
            [this](const AttemptId& id) { transport_->cancelAttempt(id.message_id, id.attempt); },
            [this] {
              state_.stop("another process has taken over");
              unreported_.clear();
              lookAgain();
            }};
  }

  std::string refusesHandover() const {
    if (stop_from_ != 0)
      return "stopping";
    return calls_->inherited().empty() ? "" : "calls of an earlier process are out still";
  }

  handover::OwnershipReleased give() {
    if (watcher_)
      watcher_->pause();
    if (fleet_)
      fleet_->release("handed over");
    if (daemon_.knowledge.enabled)
      keeper_->finish(host_->learnedState());
    host_->suspend();
    transport_->closeAllIdle();
    const handover::OwnershipReleased given{state_.isStandby(), transport_->outCalls()};
    log::write(log::Event::handover_released, {{"calls", given.in_flight.size()}});
    lock_.release();
    return given;
  }

  void resume() {
    log::write(log::Event::handover_resumed);
    if (host_->isSuspended()) {
      host_->resume();
      for (AttemptOutcome& o : std::exchange(unreported_, {}))
        host_->onAttemptFinished(std::move(o));
      keeper_->resume();
      if (watcher_)
        watcher_->start(host_->listVersion());
      if (fleet_) {
        fleet_->resume();
        host_->setActionGuard(&fleet_->actionGuard());
      }
    }
    if (clients_)
      clients_->resume();
    doors_.reacquireAddresses();
  }

  void ended(AttemptOutcome o) {
    if (!host_->isSuspended())
      return host_->onAttemptFinished(std::move(o));
    giver_->onAttemptFinished(o);
    if (giver_->steps().step() != handover::HandoverStep::departed)
      unreported_.push_back(std::move(o));
  }

  bool alone() const { return config_.discovery.empty(); }

  std::size_t partners() const { return sources_ ? sources_->table().partners() : 0; }

  operate::CommandResult operatorsCall(operate::AdminCommand call) {
    const operate::Phase before = state_.phase();
    const operate::CommandResult verdict = state_.handleCommand(call, host_ && host_->hasEndpoints());
    const operate::Phase now = state_.phase();
    if (now != before) {
      log::write(log::Event::operate_changed, {{"phase", operate::nameOf(now)}});
      if (now == operate::Phase::standby)
        sendAway(DrainReason::standby);
    }
    return verdict;
  }

  void sendAway(DrainReason how) {
    if (clients_)
      clients_->drain(how);
    doors_.drain(how);
  }

  void nextSignal() {
    signals_.async_wait([this](const boost::system::error_code& e, int number) {
      if (e)
        return;
      if (number == SIGHUP) {
        notifyReloading();
        if (host_ && !host_->isSuspended())
          reload();
        else
          reload_due_ = true;
        notifyManager("READY=1");
      } else {
        stop();
      }
      nextSignal();
    });
  }

  // What can't be read or used leaves the old configuration in force, each file by itself.
  void reload() {
    refused_.clear();
    if (alone()) {
      reloadDaemonFile();
      if (fleet_)
        fleet_->onConfigApplied(config_, daemon_, refused_);
      return;
    }
    try {
      Config fresh = readConfig();
      const std::string lacks = missingSetting(config_, fresh);
      if (!lacks.empty())
        throw std::runtime_error("settings: missing: " + lacks);
      const std::string later = needsRestart(config_, fresh);
      keepUntilRestart(config_, fresh);
      clientLimits(fresh, daemon_);
      const bool retuned = fresh.file.at("settings") != config_.file.at("settings");
      log::write(
          log::Event::daemon_reloaded,
          {{"discovery", fresh.discovery}, {"settings", retuned ? "new" : "same"}, {"needs_restart", later}});
      if (retuned)
        retune(fresh);
      if (fresh.discovery != config_.discovery) {
        const tcp::endpoint moved = parseAddress(fresh.discovery);
        watcher_->moveTo(moved, fresh.discovery);
        platform_notices_->moveTo(moved, fresh.discovery);
      }
      config_ = std::move(fresh);
    } catch (const std::exception& e) {
      log::write(log::Event::daemon_config_rejected, {{"cause", e.what()}});
      refused_ = config_.path + ": " + e.what();
    }
    if (!daemon_.path.empty())
      reloadDaemonFile();
    membership_->refresh();
    if (fleet_)
      fleet_->onConfigApplied(config_, daemon_, refused_);
  }

  // Whole, in one step between two turns: what comes after it is bound by the new settings.
  void retune(const Config& fresh) {
    host_->applySettings(fresh.settings);
    transport_->setLimits(transportLimits(fresh));
    admission_->setPause(fresh.settings.max_retry_after);
    if (clients_)
      clients_->setLimits(clientLimits(fresh, daemon_));
    if (watcher_)
      watcher_->setSenderCount(fresh.settings.sender_count);
  }

  void reloadDaemonFile() {
    std::vector<Mistake> mistakes;
    DaemonFile fresh = readDaemonFile(daemon_.path, mistakes);
    try {
      if (!mistakes.empty())
        throw std::runtime_error(mistakes[0].in(daemon_.path));
      if (fresh.site.has_value() != alone())
        throw std::runtime_error(
            alone() ? "it has no [[class]] and [[partner]] any more"
                    : "[[class]], [[partner]], [[source]], [dns], [limits] and [journal] are given by "
                      "GW_CONFIG");
      Config config = config_;
      if (alone()) {
        config.settings = fresh.site->settings;
        clientsBeside(config, fresh, 0);
      }
      const RespListener::Limits limits = alone() ? RespListener::Limits{} : clientLimits(config_, fresh);
      // What can fail first; each leaves all as it was if it does.
      log::configure(fresh.log);
      try {
        if (alone())
          DnsClient(io_, fresh.site->sources.dns);
        doors_.applyConfig(fresh.listeners);
      } catch (...) {
        log::configure(daemon_.log);
        throw;
      }
      if (clients_)
        clients_->setLimits(limits);
      std::string later = alone() ? needsRestart(*daemon_.site, *fresh.site) : "";
      if (fresh.operators != daemon_.operators)
        later += later.empty() ? "operators" : ", operators";
      fresh.operators = daemon_.operators;
      if (FleetMembership::differs(fresh.fleet, daemon_.fleet))
        later += later.empty() ? "fleet" : ", fleet";
      fresh.fleet = daemon_.fleet;
      if (alone()) {
        if (!sameSettings(*daemon_.site, *fresh.site)) {
          retune(config);
          config_ = std::move(config);
        }
        // What is heeded at the next start only stays as it was, so that it is told again.
        Site now = *daemon_.site;
        now.sources = std::move(fresh.site->sources);
        now.settings = std::move(fresh.site->settings);
        fresh.site = std::move(now);
      }
      daemon_ = std::move(fresh);
      keeper_->applyConfig(daemon_.knowledge);
      if (sources_)
        sources_->change(daemon_.site->sources);
      log::write(log::Event::daemon_file_reloaded,
                 {{"doors", doors_.count()}, {"partners", partners()}, {"needs_restart", later}});
    } catch (const std::exception& e) {
      log::write(log::Event::daemon_file_rejected, {{"cause", e.what()}, {"mistakes", mistakes.size()}});
      refused_ = e.what();
    }
  }

  void stop() {
    if (stop_from_ != 0)
      return;
    stop_from_ = monotonicNow();
    log::write(log::Event::daemon_stopping);
    notifyManager("STOPPING=1");
    state_.stop("SIGTERM");
    if (!host_)
      return io_.stop();  // it has not begun: nothing is owed
    if (!host_->isSuspended()) {
      if (fleet_)
        fleet_->announceShutdown();
      sendAway(DrainReason::stopping);
      admission_->drain();
      host_->scheduleStop(stop_from_ + kStopAfter);
    }
    lookAgain();
  }

  // Clients have ended their side of what was ended in order, or had long enough for it.
  bool farewellIsOver() const {
    if (!clients_ || clients_->connectionCount() == 0)
      return true;
    return monotonicNow() - farewell_from_ >= kFarewell;
  }

  void lookAgain() {
    const bool replaced = host_->isSuspended();
    const Micros since = stop_from_ == 0 ? 0 : monotonicNow() - stop_from_;
    const bool no_client = (!clients_ || clients_->openRequests() == 0) && doors_.openRequests() == 0;
    const bool quiet = replaced ? no_client && transport_->attemptsInFlight() == 0 && !giver_->hasUnsent()
                                : since > kLateClients && no_client && calls_->attemptsInFlight() == 0 &&
                                      notices_->pendingNotices() == 0 && host_->isIdle();
    if (farewell_from_ == 0 && (quiet || since >= kStopAfter)) {
      farewell_from_ = monotonicNow();
      if (clients_)
        clients_->finish();
    }
    if (farewell_from_ != 0 && farewellIsOver()) {
      signals_.cancel();
      if (daemon_.knowledge.enabled && !replaced)
        keeper_->finish(host_->learnedState());
      if (fleet_)
        fleet_->release("stopped");
      return static_cast<boost::asio::io_context&>(look_.get_executor().context()).stop();
    }
    look_.expires_after(std::chrono::microseconds(kLook));
    look_.async_wait([this](const boost::system::error_code& e) {
      if (!e)
        lookAgain();
    });
  }

  boost::asio::io_context& io_;
  boost::asio::signal_set& signals_;
  Config config_;
  DaemonFile daemon_;
  boost::asio::steady_timer look_;
  Worker worker_;
  operate::ServiceState state_;
  std::unique_ptr<operate::AdminServer> operators_;
  Micros stop_from_ = 0, farewell_from_ = 0;
  handover::FolderLock lock_;               // outlives the journal
  std::vector<AttemptOutcome> unreported_;  // since the folder was given, for the way back
  bool reload_due_ = false;
  std::string refused_;  // why a file can't be used, at the last look
  std::unique_ptr<replay::Recorder> recorder_;
  std::unique_ptr<Journal> journal_;
  std::unique_ptr<DeliveryNotifier> notices_;
  NoticeClient* platform_notices_ = nullptr;  // the same, on a platform
  std::unique_ptr<HttpTransport> transport_;
  std::unique_ptr<handover::InheritedAttempts> calls_;
  std::unique_ptr<handover::HandoverTarget> taker_;
  std::unique_ptr<FleetMembership> fleet_;
  std::unique_ptr<DeliveryEngine> host_;
  std::unique_ptr<knowledge::LearnedStateStore> keeper_;
  std::unique_ptr<Admission> admission_;
  std::unique_ptr<Membership> membership_;
  PartnerSources* sources_ = nullptr;      // the same, standing alone
  EndpointWatcher* watcher_ = nullptr;     // the same, on a platform
  ListenerSet doors_;                      // last: they hold answers that what stands above owes
  std::unique_ptr<RespListener> clients_;  // the platform's
  std::unique_ptr<handover::HandoverSource> giver_;
};

}  // namespace

void serve(boost::asio::io_context& io, boost::asio::signal_set& signals, Config config, DaemonFile daemon,
           const Recording& recording) {
  Service service(io, signals, std::move(config), std::move(daemon), recording);
  io.run();
  log::finish();
}

}  // namespace grademux
