// One running sender; see service.h.
#include "service.h"

#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

#include "../core/clock.h"
#include "../knowledge/trust_decay.h"
#include "../log/log.h"
#include "../net/address.h"
#include "../operate/admin_server.h"
#include "config_reloader.h"
#include "connection_budget.h"
#include "graceful_shutdown.h"
#include "memory_monitor.h"
#include "notify.h"
#include "outgoing_handover.h"
#include "readiness.h"
#include "sender_components.h"

namespace grademux {

namespace {

// A process that was killed may keep its state folder locked for this long.
constexpr Micros kFolderLockTimeout = 2'000'000;
constexpr std::chrono::milliseconds kFolderLockRetryInterval{20};
constexpr Micros kHandoverTimeout = 12'000'000;

class Service {
 public:
  Service(boost::asio::io_context& io, boost::asio::signal_set& signals, Config config,
          DaemonFile daemon_file, const Recording& recording);

 private:
  void bindPlatformListener();
  void bindAdminServer();
  void openRecorder(const Recording& recording);
  bool lockFolder();
  void startHandoverTarget();
  void onFolderAcquired(const handover::OwnershipReleased* released);
  void recover(const handover::OwnershipReleased* released);
  void startServing();
  ComponentCallbacks componentCallbacks();
  void onPermissionChanged(bool allowed, const std::string& reason);
  void onCatchUpRequired(bool endpoint_list);
  operate::CommandResult onAdminCommand(operate::AdminCommand command);
  void awaitSignal();
  void onSignal(int number);

  boost::asio::signal_set& signals_;
  SenderComponents components_;
  GracefulShutdown shutdown_;
  OutgoingHandover outgoing_handover_;
  ConfigReloader reloader_;
  MemoryMonitor memory_monitor_;
  std::unique_ptr<operate::AdminServer> admin_server_;
};

Service::Service(boost::asio::io_context& io, boost::asio::signal_set& signals, Config config,
                 DaemonFile daemon_file, const Recording& recording)
    : signals_(signals),
      components_(io, std::move(config), std::move(daemon_file)),
      shutdown_(components_, signals),
      outgoing_handover_(components_, shutdown_),
      reloader_(components_),
      memory_monitor_(io, [this] { return components_.bufferUsage(); }) {
  bindPlatformListener();
  bindAdminServer();
  openRecorder(recording);
  awaitSignal();
  if (lockFolder())
    onFolderAcquired(nullptr);
  else
    startHandoverTarget();
}

void Service::bindPlatformListener() {
  const Config& config = components_.config;
  if (components_.isStandalone())
    return checkListenerBudget(config, components_.daemon_file);
  components_.platform_listener = std::make_unique<RespListener>(
      components_.io, parseAddress(config.listen), clientLimits(config, components_.daemon_file),
      components_.client_memory, config.inherited_socket);
}

void Service::bindAdminServer() {
  if (components_.config.admin_address.empty())
    return;
  admin_server_ = std::make_unique<operate::AdminServer>(
      components_.io, parseAddress(components_.config.admin_address),
      [this](operate::AdminCommand command) { return onAdminCommand(command); });
}

void Service::openRecorder(const Recording& recording) {
  if (recording.path.empty())
    return;
  components_.recorder = std::make_unique<replay::Recorder>(
      recording.path, recording.most_bytes, components_.config.settings, components_.config.seed);
}

// Returns false if another process has the folder and this process, which inherited the clients' socket, is
// to replace it; without an inherited socket, throws if that process doesn't end in time.
bool Service::lockFolder() {
  handover::FolderLock& lock = components_.folder_lock;
  const bool replaces_process = components_.config.inherited_socket >= 0;
  if (lock.tryLock() || replaces_process)
    return lock.isLocked();
  for (const Micros deadline = monotonicNow() + kFolderLockTimeout; !lock.tryLock();) {
    if (monotonicNow() >= deadline)
      throw std::runtime_error(components_.config.state_folder +
                               ": another process of a sender has this folder");
    std::this_thread::sleep_for(kFolderLockRetryInterval);
  }
  return true;
}

void Service::startHandoverTarget() {
  handover::HandoverTarget::Callbacks callbacks;
  callbacks.on_acquired = [this](const handover::OwnershipReleased* released) { onFolderAcquired(released); };
  callbacks.on_attempt_finished = [this](const AttemptOutcome& outcome) {
    components_.attempts->onAttemptFinished(outcome);
  };
  callbacks.on_peer_closed = [this] {
    components_.shareClientMemory(false);
    components_.attempts->onPeerClosed();
  };
  callbacks.on_failed = [this](const std::string& reason) {
    throw std::runtime_error(components_.config.state_folder +
                             ": another process has this folder and does not hand it over: " + reason);
  };
  components_.handover_target = std::make_unique<handover::HandoverTarget>(
      components_.io, components_.folder_lock, std::move(callbacks));
  components_.handover_target->start(kHandoverTimeout);
}

// `released` is null when no process handed the folder over.
void Service::onFolderAcquired(const handover::OwnershipReleased* released) {
  createComponents(components_, componentCallbacks());
  recover(released);
  startServing();
  announceReady(components_);
  reloader_.runPendingReload();
}

void Service::recover(const handover::OwnershipReleased* released) {
  if (released) {
    components_.shareClientMemory(true);
    components_.attempts->inherit(released->in_flight);
  }
  // Another process may have owned the folder since the release.
  const bool released_last = released && released->journal_epoch + 1 == components_.journal->epoch();
  const EarlierProcess earlier{released_last, components_.attempts->inherited()};
  components_.engine->recover(components_.config.configured_list, knowledge::TrustDecayPolicy(),
                              components_.learned_state->load(), earlier);
  if (released && released->standby)
    components_.state.inheritStandby();
  if (!components_.handover_target)
    return;
  components_.handover_target->confirmOwnership();
  log::write(log::Event::handover_acquired, {{"epoch", components_.journal->epoch()},
                                             {"calls", components_.attempts->inherited().size()},
                                             {"cause", released ? "given" : "the earlier process is gone"}});
}

void Service::startServing() {
  components_.learned_state->start();
  components_.membership->start(components_.engine->listVersion());
  if (components_.platform_listener)
    components_.platform_listener->start(*components_.admission, components_.state);
  components_.listeners.start(*components_.admission, components_.state);
  components_.state.setReady();
  memory_monitor_.start();
  if (components_.fleet)
    components_.fleet->start(components_.handover_target ? "handover" : "start",
                             components_.journal->versions());
  if (components_.config.inherited_socket >= 0)
    outgoing_handover_.listen();
}

ComponentCallbacks Service::componentCallbacks() {
  ComponentCallbacks callbacks;
  callbacks.on_attempt_finished = [this](AttemptOutcome outcome) {
    outgoing_handover_.onAttemptFinished(std::move(outcome));
  };
  callbacks.on_catch_up_required = [this](bool endpoint_list) { onCatchUpRequired(endpoint_list); };
  callbacks.on_permission_changed = [this](bool allowed, const std::string& reason) {
    onPermissionChanged(allowed, reason);
  };
  return callbacks;
}

void Service::onPermissionChanged(bool allowed, const std::string& reason) {
  if (allowed) {
    components_.state.unfence();
    return components_.engine->open();
  }
  components_.state.fence(reason);
  components_.engine->close();
  components_.drainListeners(DrainReason::standby);
}

void Service::onCatchUpRequired(bool endpoint_list) {
  reloader_.reload();
  if (endpoint_list && components_.endpoint_watcher)
    components_.endpoint_watcher->start(-1);
}

operate::CommandResult Service::onAdminCommand(operate::AdminCommand command) {
  operate::ServiceState& state = components_.state;
  const operate::Phase before = state.phase();
  const bool has_endpoints = components_.engine && components_.engine->hasEndpoints();
  operate::CommandResult result = state.handleCommand(command, has_endpoints);
  const operate::Phase after = state.phase();
  if (after != before) {
    log::write(log::Event::operate_changed, {{"phase", operate::toString(after)}});
    if (after == operate::Phase::standby)
      components_.drainListeners(DrainReason::standby);
  }
  return result;
}

void Service::awaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int number) {
    if (error)
      return;
    onSignal(number);
    awaitSignal();
  });
}

void Service::onSignal(int number) {
  if (number != SIGHUP)
    return shutdown_.begin();
  notifyReloading();
  reloader_.requestReload();
  notifyServiceManager("READY=1");
}

}  // namespace

void serve(boost::asio::io_context& io, boost::asio::signal_set& signals, Config config,
           DaemonFile daemon_file, const Recording& recording) {
  Service service(io, signals, std::move(config), std::move(daemon_file), recording);
  io.run();
  log::writeSuppressedCounts();
}

}  // namespace grademux
