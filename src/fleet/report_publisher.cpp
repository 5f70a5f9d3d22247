#include "report_publisher.h"

#include "../core/clock.h"
#include "../log/log.h"

namespace grademux::fleet {

namespace {

constexpr Micros kMinRetryDelay = 100'000;
// A session is renewed three times within its TTL, and sooner after a failed renewal.
constexpr int kRenewalsPerTtl = 3;
constexpr int kRetriesPerTtl = 8;

bool isFenced(const SenderReport& report) {
  return report.compliance == kFencedName;
}

}  // namespace

ReportPublisher::ReportPublisher(boost::asio::io_context& io, const CallbackScope& scope, Store& store,
                                 const FleetConfig& config, Backoff& backoff, Callbacks callbacks)
    : scope_(scope),
      store_(store),
      config_(config),
      backoff_(backoff),
      callbacks_(std::move(callbacks)),
      renew_timer_(io) {}

void ReportPublisher::publish() {
  if (shut_down_)
    return;
  SenderReport report = callbacks_.report();
  const bool fenced = isFenced(report);
  report.versions.list_version = -1;  // A list that changes each second is no reason to write.
  const std::string text = toJson(report).dump();
  if (publishing_) {
    publish_again_ = publish_again_ || text != published_;
    return;
  }
  const bool needs_session = !fenced && session_.empty();
  if (text == published_ && !needs_session)
    return;
  if (!callbacks_.is_store_reachable())
    return;
  publishing_ = true;
  published_ = text;
  if (session_.empty())
    openSession();
  else
    writeReport();
}

void ReportPublisher::openSession() {
  store_.openSession("grademux " + config_.name, config_.session_ttl,
                     scope_.wrap([this](const StoreResult& result) {
                       if (!wasApplied(result) || shut_down_)
                         return onPublished(false);
                       session_ = result.value().session;
                       renewAfter(config_.session_ttl / kRenewalsPerTtl);
                       writeReport();
                     }));
}

void ReportPublisher::writeReport() {
  SenderReport report = callbacks_.report();
  const bool fenced = isFenced(report);
  report.at = unixNow();
  store_.acquireKey(config_.reportKey(), toJson(report).dump(), session_,
                    scope_.wrap([this, fenced](const StoreResult& result) {
                      if (!result.has_value()) {  // Whether the report was written, and whether the session
                                                  // has ended, is unknown.
                        renewAfter(kMinRetryDelay);
                        return onPublished(false);
                      }
                      if (!result.value().applied)
                        return claimKey();
                      if (fenced)
                        endSession();
                      onPublished(true);
                    }));
}

// Another session holds the report's key: the session of an earlier process of this sender, or a session of
// this process whose opening was not answered. After its end, writes still under way with that session have
// no effect.
void ReportPublisher::claimKey() {
  store_.listPrefix(config_.reportKey(), scope_.wrap([this](const StoreResult& result) {
    if (!result.has_value())
      return onPublished(false);
    for (const StoreEntry& entry : result.value().entries)
      if (entry.key == config_.reportKey() && !entry.session.empty() && entry.session != session_)
        endSessionOfEarlierProcess(entry);
    onPublished(false);
  }));
}

void ReportPublisher::endSessionOfEarlierProcess(const StoreEntry& entry) {
  try {
    const SenderReport holder = parseReport(json::parse(entry.value));
    const SenderReport own = callbacks_.report();
    if (holder.epoch < own.epoch || holder.process == own.process)
      store_.destroySession(entry.session, [](const StoreResult&) {});
    else
      log::write(log::Event::fleet_name_conflict, {{"name", config_.name}, {"host", holder.host}});
  } catch (const std::exception&) {
    return;  // Not a report: the session of whoever wrote the value continues.
  }
}

void ReportPublisher::onPublished(bool written) {
  publishing_ = false;
  if (!written)
    published_.clear();
  if (!written || !publish_again_)
    return;
  publish_again_ = false;
  publish();
}

void ReportPublisher::renewSession() {
  if (session_.empty())
    return;
  store_.renewSession(session_, scope_.wrap([this, session = session_](const StoreResult& result) {
    if (session != session_)
      return;
    if (result.has_value() && !result.value().applied) {  // The session has ended at the store.
      session_.clear();
      published_.clear();
      return publish();
    }
    renewAfter(result.has_value() ? config_.session_ttl / kRenewalsPerTtl
                                  : backoff_.next(kMinRetryDelay, config_.session_ttl / kRetriesPerTtl));
  }));
}

void ReportPublisher::renewAfter(Micros delay) {
  scope_.runAfter(renew_timer_, delay, [this] { renewSession(); });
}

void ReportPublisher::endSession() {
  if (!session_.empty())
    store_.destroySession(session_, [](const StoreResult&) {});
  session_.clear();
}

void ReportPublisher::shutDown() {
  shut_down_ = true;
  endSession();
}

}  // namespace grademux::fleet
