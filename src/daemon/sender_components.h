// The long-lived parts of one sending process, and how they are connected to each other. Used on the loop
// thread alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "../admission/admission.h"
#include "../core/delivery_engine.h"
#include "../discovery/endpoint_watcher.h"
#include "../discovery/notice_client.h"
#include "../handover/folder_lock.h"
#include "../handover/handover_source.h"
#include "../handover/handover_target.h"
#include "../handover/inherited_attempts.h"
#include "../knowledge/learned_state_store.h"
#include "../listener/resp/resp_listener.h"
#include "../membership/sources.h"
#include "../replay/recorder.h"
#include "../transport/http/http_transport.h"
#include "fleet_membership.h"
#include "listener_set.h"

namespace grademux {

/// Owns the parts of the process. The order of the members is the order of their construction; each may refer
/// to those above it, and listeners come last since they hold requests that the parts above still have to
/// answer.
struct SenderComponents {
  /// Opens the state folder, without locking it. Throws std::exception when the folder can't be opened.
  SenderComponents(boost::asio::io_context& io_context, Config initial_config,
                   DaemonFile initial_daemon_file);

  /// True without a platform: classes and partners come from the daemon file.
  bool isStandalone() const { return config.discovery.empty(); }
  /// True from when this process owns the state folder until it hands the folder over.
  bool isDelivering() const { return engine && !engine->isSuspended(); }
  /// Partners known from the daemon file and its sources; 0 on a platform.
  std::size_t partnerCount() const;
  /// Requests of clients, at all listeners, that have no answer yet.
  std::size_t openRequests() const;
  /// What the buffers of client connections have allocated, at all listeners.
  BufferUsage bufferUsage() const;
  /// Sets the limit of the clients' memory: while two processes serve (`shared`), each has half.
  void shareClientMemory(bool shared);
  /// Tells all listeners to send their clients away.
  void drainListeners(DrainReason reason);

  boost::asio::io_context& io;
  Config config;
  DaemonFile daemon_file;
  Worker worker;
  operate::ServiceState state;
  handover::FolderLock folder_lock;
  std::unique_ptr<replay::Recorder> recorder;  // null: nothing is recorded
  std::unique_ptr<Journal> journal;
  std::unique_ptr<DeliveryNotifier> notifier;
  NoticeClient* notice_client = nullptr;  // `notifier` on a platform, else null
  std::unique_ptr<HttpTransport> transport;
  std::unique_ptr<handover::InheritedAttempts> attempts;
  std::unique_ptr<handover::HandoverTarget> handover_target;  // null: the folder was free at the start
  std::unique_ptr<FleetMembership> fleet;                     // null: this sender is in no fleet
  std::unique_ptr<DeliveryEngine> engine;
  std::unique_ptr<knowledge::LearnedStateStore> learned_state;
  std::unique_ptr<Admission> admission;
  std::unique_ptr<Membership> membership;
  PartnerSources* partner_sources = nullptr;    // `membership` of a standalone program, else null
  EndpointWatcher* endpoint_watcher = nullptr;  // `membership` on a platform, else null
  ClientMemory client_memory;                   // of all listeners
  ListenerSet listeners;
  std::unique_ptr<RespListener> platform_listener;  // null: standalone
  std::unique_ptr<handover::HandoverSource> handover_source;
};

/// What the components report to the process that owns them.
struct ComponentCallbacks {
  /// An attempt of this process's transport has finished.
  std::function<void(AttemptOutcome)> on_attempt_finished;
  /// The fleet's plan requires configuration, or (`endpoint_list`) a list of endpoints, that this process
  /// lacks.
  std::function<void(bool endpoint_list)> on_catch_up_required;
  /// The fleet's plan allows this process to accept and send messages, or forbids it.
  std::function<void(bool allowed, const std::string& reason)> on_permission_changed;
};

/// Builds and connects the parts that need the journal. The state folder must be locked by this process.
/// Throws std::exception when the journal or an address can't be used.
void createComponents(SenderComponents& components, const ComponentCallbacks& callbacks);

}  // namespace grademux
