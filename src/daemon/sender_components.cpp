// The parts of one sending process and their wiring; see sender_components.h.
#include "sender_components.h"

#include <algorithm>
#include <utility>

#include "../core/clock.h"
#include "../core/record_time.h"
#include "../log/log.h"
#include "../membership/partner_names.h"
#include "../net/address.h"
#include "connection_budget.h"
#include "journal_only_notifier.h"
#include "memory_budget.h"

namespace grademux {

namespace {

// Retry-After for clients while a partner's name has no address.
constexpr Micros kUnresolvedRetryAfter = 1'000'000;
// Limit for the whole admission chain: a client waits 400 ms for its answer.
constexpr Micros kAdmissionTimeout = 300'000;

Agent platformAgent(SenderComponents& components) {
  const Config& config = components.config;
  return {components.io, parseAddress(config.discovery), config.discovery,
          divideMemory(config).discovery_answer};
}

void createNotifier(SenderComponents& components) {
  const auto on_delivered = [&components](const std::string& message_id) {
    components.engine->onNoticeDelivered(message_id);
  };
  if (components.isStandalone()) {
    components.notifier = std::make_unique<JournalOnlyNotifier>(components.io, on_delivered);
    return;
  }
  auto client = std::make_unique<NoticeClient>(platformAgent(components), on_delivered);
  components.notice_client = client.get();
  components.notifier = std::move(client);
}

void createTransport(SenderComponents& components, const ComponentCallbacks& callbacks) {
  components.transport = std::make_unique<HttpTransport>(components.io, transportLimits(components.config),
                                                         callbacks.on_attempt_finished);
  components.transport->setOnResponseSetAside([&components](ResponseSetAside response) {
    if (components.isDelivering())
      components.engine->onResponseSetAside(std::move(response));
  });
  components.attempts = std::make_unique<handover::InheritedAttempts>(
      *components.transport,
      [&components](AttemptOutcome outcome) { components.engine->onAttemptFinished(std::move(outcome)); },
      [&components](const handover::Message& message) {
        if (components.handover_target)
          components.handover_target->send(message);
      });
}

void createEngine(SenderComponents& components) {
  const Config& config = components.config;
  components.engine =
      std::make_unique<DeliveryEngine>(components.io, config.settings, config.seed, *components.journal,
                                       *components.attempts, *components.notifier);
  components.admission = std::make_unique<Admission>(components.io, *components.engine, kAdmissionTimeout,
                                                     config.settings.max_retry_after);
  if (components.recorder)
    components.engine->setObserver(
        [&components](Micros now, const std::vector<Event>& events, const std::vector<Action>& actions) {
          components.recorder->recordIteration(now, events, actions);
        });
}

void createMembership(SenderComponents& components) {
  const Config& config = components.config;
  const Membership::OnAnswer on_answer = [&components](EndpointListAnswer answer) {
    return components.engine->onEndpointList(std::move(answer));
  };
  if (components.isStandalone()) {
    auto sources = std::make_unique<PartnerSources>(components.io, components.worker,
                                                    components.daemon_file.standalone->sources,
                                                    components.journal->recovered().endpoint_list, on_answer);
    components.partner_sources = sources.get();
    components.membership = std::move(sources);
    components.admission->add(
        std::make_unique<PartnerNames>(components.partner_sources->table(), kUnresolvedRetryAfter));
    return;
  }
  auto watcher = std::make_unique<EndpointWatcher>(platformAgent(components), components.worker, on_answer,
                                                   config.settings.sender_count, config.seed);
  components.endpoint_watcher = watcher.get();
  components.membership = std::move(watcher);
}

void createLearnedState(SenderComponents& components) {
  using knowledge::LearnedStateStore;
  components.learned_state = std::make_unique<LearnedStateStore>(
      components.io, components.worker, components.daemon_file.knowledge, components.config.state_folder,
      components.config.name,
      [&components](std::int64_t after, int max_count, LearnedStateStore::ExportCallback then) {
        components.engine->exportLearned(after, max_count, std::move(then));
      },
      [&components] { return components.journal->spareBytes(); },
      [&components](std::uint64_t bytes) { components.journal->setOtherFilesBytes(bytes); });
  components.journal->onSpaceNeeded([&components] { return components.learned_state->freeSpace(); });
  components.engine->onHealthChanged([&components] { components.learned_state->scheduleWrite(); });
}

void createFleetMembership(SenderComponents& components, const ComponentCallbacks& callbacks) {
  components.fleet = std::make_unique<FleetMembership>(
      components.io, components.worker, *components.daemon_file.fleet, components.config,
      components.daemon_file, components.journal->epoch(),
      [&components] { return components.engine->listVersion(); }, callbacks.on_catch_up_required,
      callbacks.on_permission_changed,
      [&components](const std::vector<std::string>& endpoints) {
        components.engine->refreshEndpoints(endpoints);
      });
  components.engine->setActionGuard(&components.fleet->actionGuard());
  components.transport->setSendGuard([&components](const std::string& endpoint) {
    return components.fleet->actionGuard().isSendAllowed(endpoint);
  });
}

}  // namespace

SenderComponents::SenderComponents(boost::asio::io_context& io_context, Config initial_config,
                                   DaemonFile initial_daemon_file)
    : io(io_context),
      config(std::move(initial_config)),
      daemon_file(std::move(initial_daemon_file)),
      worker(io_context),
      folder_lock(config.state_folder),
      client_memory(divideMemory(config).clients),
      listeners(io_context, client_memory) {}

std::size_t SenderComponents::partnerCount() const {
  return partner_sources ? partner_sources->table().partners() : 0;
}

std::size_t SenderComponents::openRequests() const {
  return (platform_listener ? platform_listener->openRequests() : 0) + listeners.openRequests();
}

BufferUsage SenderComponents::bufferUsage() const {
  BufferUsage usage = listeners.bufferUsage();
  if (platform_listener)
    usage += platform_listener->bufferUsage();
  return usage;
}

void SenderComponents::shareClientMemory(bool shared) {
  const std::uint64_t limit = divideMemory(config).clients;
  client_memory.setLimit(shared ? limit / 2 : limit, monotonicNow());
}

void SenderComponents::drainListeners(DrainReason reason) {
  if (platform_listener)
    platform_listener->drain(reason);
  listeners.drain(reason);
}

void createComponents(SenderComponents& components, const ComponentCallbacks& callbacks) {
  const Config& config = components.config;
  checkRequestMemory(config, components.daemon_file);
  components.listeners.bind(components.daemon_file.listeners);
  const std::string error = useRecordTimeOf(config.state_folder);
  if (!error.empty())
    log::write(log::Event::journal_time_unstored, {{"cause", error}});
  // The journal is opened once every address is bound: a process that can't start leaves it unchanged.
  const std::uint64_t journal_bytes = divideMemory(config).journal;
  components.journal = std::make_unique<Journal>(
      config.state_folder, journal_bytes - std::min(journal_bytes, kRecordTimeDiskBytes));
  createNotifier(components);
  createTransport(components, callbacks);
  createEngine(components);
  createMembership(components);
  createLearnedState(components);
  components.transport->setScopes(
      [&components](const std::string& endpoint) { return components.engine->retryAfterScope(endpoint); });
  if (components.daemon_file.fleet)
    createFleetMembership(components, callbacks);
}

}  // namespace grademux
