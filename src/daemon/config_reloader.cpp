// Reloading of configuration; see config_reloader.h.
#include "config_reloader.h"

#include <stdexcept>
#include <utility>

#include "../log/log.h"
#include "../net/address.h"
#include "connection_budget.h"

namespace grademux {

namespace {

void appendName(std::string& names, const char* name) {
  if (!names.empty())
    names += ", ";
  names += name;
}

}  // namespace

void ConfigReloader::requestReload() {
  if (components_.isDelivering())
    reload();
  else
    reload_pending_ = true;
}

void ConfigReloader::runPendingReload() {
  if (reload_pending_)
    reload();
}

void ConfigReloader::reload() {
  rejection_.clear();
  const bool standalone = components_.isStandalone();
  if (!standalone)
    reloadPlatformConfig();
  if (standalone || !components_.daemon_file.path.empty())
    reloadDaemonFile();
  if (!standalone)
    components_.membership->refresh();
  if (components_.fleet)
    components_.fleet->onConfigApplied(components_.config, components_.daemon_file, rejection_);
}

void ConfigReloader::reloadPlatformConfig() {
  try {
    std::string needs_restart;
    Config fresh = loadPlatformConfig(needs_restart);
    const bool settings_changed = fresh.document.at("settings") != components_.config.document.at("settings");
    log::write(log::Event::daemon_reloaded, {{"discovery", fresh.discovery},
                                             {"settings", settings_changed ? "new" : "same"},
                                             {"needs_restart", needs_restart}});
    if (settings_changed)
      applySettings(fresh);
    applyPlatformConfig(std::move(fresh));
  } catch (const std::exception& error) {
    log::write(log::Event::daemon_config_rejected, {{"cause", error.what()}});
    rejection_ = components_.config.path + ": " + error.what();
  }
}

// Reads and checks the file. Parts that need a restart are returned as they are in force.
Config ConfigReloader::loadPlatformConfig(std::string& needs_restart) const {
  Config fresh = readConfig();
  const std::string missing = missingSetting(components_.config, fresh);
  if (!missing.empty())
    throw std::runtime_error("settings: missing: " + missing);
  needs_restart = partsNeedingRestart(components_.config, fresh);
  retainPartsNeedingRestart(components_.config, fresh);
  // Throws if the listeners leave too few connections for clients.
  clientLimits(fresh, components_.daemon_file);
  return fresh;
}

void ConfigReloader::applyPlatformConfig(Config fresh) {
  if (fresh.discovery != components_.config.discovery) {
    const tcp::endpoint address = parseAddress(fresh.discovery);
    components_.endpoint_watcher->moveTo(address, fresh.discovery);
    components_.notice_client->moveTo(address, fresh.discovery);
  }
  components_.config = std::move(fresh);
}

// All settings change between two iterations of the loop, so that no decision sees a part of them.
void ConfigReloader::applySettings(const Config& fresh) {
  components_.engine->applySettings(fresh.settings);
  components_.transport->setLimits(transportLimits(fresh));
  components_.admission->setPause(fresh.settings.max_retry_after);
  if (components_.platform_listener)
    components_.platform_listener->setLimits(clientLimits(fresh, components_.daemon_file));
  if (components_.endpoint_watcher)
    components_.endpoint_watcher->setSenderCount(fresh.settings.sender_count);
}

void ConfigReloader::reloadDaemonFile() {
  const std::string& path = components_.daemon_file.path;
  std::vector<Mistake> mistakes;
  DaemonFile fresh = readDaemonFile(path, mistakes);
  try {
    if (!mistakes.empty())
      throw std::runtime_error(mistakes[0].format(path));
    applyDaemonFile(std::move(fresh));
  } catch (const std::exception& error) {
    log::write(log::Event::daemon_file_rejected, {{"cause", error.what()}, {"mistakes", mistakes.size()}});
    rejection_ = error.what();
  }
}

// Steps that can fail come first, and each leaves everything unchanged if it does.
void ConfigReloader::applyDaemonFile(DaemonFile fresh) {
  checkMode(fresh);
  const bool standalone = components_.isStandalone();
  Config config = components_.config;
  RespListener::Limits limits;
  if (standalone) {
    config.settings = fresh.standalone->settings;
    checkListenerBudget(config, fresh);
  } else {
    limits = clientLimits(config, fresh);
  }
  applyLogAndListeners(fresh);
  if (components_.platform_listener)
    components_.platform_listener->setLimits(limits);
  const std::string needs_restart = retainUntilRestart(fresh);
  if (standalone)
    applyStandaloneConfig(*fresh.standalone, std::move(config));
  components_.daemon_file = std::move(fresh);
  components_.learned_state->applyConfig(components_.daemon_file.knowledge);
  if (components_.partner_sources)
    components_.partner_sources->change(components_.daemon_file.standalone->sources);
  log::write(log::Event::daemon_file_reloaded, {{"doors", components_.listeners.count()},
                                                {"partners", components_.partnerCount()},
                                                {"needs_restart", needs_restart}});
}

void ConfigReloader::checkMode(const DaemonFile& fresh) const {
  const bool standalone = components_.isStandalone();
  if (fresh.standalone.has_value() == standalone)
    return;
  if (standalone)
    throw std::runtime_error("it has no [[class]] and [[partner]] any more");
  throw std::runtime_error(
      "[[class]], [[partner]], [[source]], [dns], [limits] and [journal] are given by GW_CONFIG");
}

void ConfigReloader::applyLogAndListeners(const DaemonFile& fresh) {
  log::configure(fresh.log);
  try {
    if (components_.isStandalone())
      DnsClient(components_.io, fresh.standalone->sources.dns);  // throws when its servers can't be used
    components_.listeners.applyConfig(fresh.listeners);
  } catch (...) {
    log::configure(components_.daemon_file.log);
    throw;
  }
}

// Parts that need a restart stay in `fresh` as they are in force, so that a later reload reports them again.
// Returns the names of those that differ.
std::string ConfigReloader::retainUntilRestart(DaemonFile& fresh) const {
  const DaemonFile& current = components_.daemon_file;
  std::string names;
  if (components_.isStandalone())
    names = partsNeedingRestart(*current.standalone, *fresh.standalone);
  if (fresh.admin_address != current.admin_address)
    appendName(names, "operators");
  fresh.admin_address = current.admin_address;
  if (FleetMembership::differs(fresh.fleet, current.fleet))
    appendName(names, "fleet");
  fresh.fleet = current.fleet;
  return names;
}

// `config` has the settings of `fresh`. The parts of `fresh` that need a restart become those in force.
void ConfigReloader::applyStandaloneConfig(StandaloneConfig& fresh, Config config) {
  const StandaloneConfig& current = *components_.daemon_file.standalone;
  if (!haveSameSettings(current, fresh)) {
    applySettings(config);
    components_.config = std::move(config);
  }
  StandaloneConfig applied = current;
  applied.sources = std::move(fresh.sources);
  applied.settings = std::move(fresh.settings);
  fresh = std::move(applied);
}

}  // namespace grademux
