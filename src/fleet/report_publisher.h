// Publishes one sender's report at the store, under a key that the sender's store session holds, and keeps
// the session alive. Used on the loop thread only; refers to its owner's scope, store and configuration.
//
// A fenced sender holds no session: its report remains readable, and a write still under way with the ended
// session has no effect.
#pragma once

#include <functional>
#include <string>

#include "../core/backoff.h"
#include "callback_scope.h"
#include "fleet_config.h"
#include "plan.h"
#include "store.h"

namespace grademux::fleet {

class ReportPublisher {
 public:
  struct Callbacks {
    std::function<SenderReport()> report;      ///< The report as it is now.
    std::function<bool()> is_store_reachable;  ///< Whether a plan is known and the store answers.
  };
  /// `backoff` is shared with the other calls to the store.
  ReportPublisher(boost::asio::io_context& io, const CallbackScope& scope, Store& store,
                  const FleetConfig& config, Backoff& backoff, Callbacks callbacks);

  /// Writes the report if it differs from the one written last, or if the session has ended.
  void publish();
  /// Writes the report with the next publish(), changed or not.
  void invalidate() { published_.clear(); }
  /// Ends the session and publishes nothing more.
  void shutDown();
  void cancelTimer() { renew_timer_.cancel(); }

 private:
  void openSession();
  void renewSession();
  void endSession();
  void writeReport();
  void claimKey();
  void endSessionOfEarlierProcess(const StoreEntry& entry);
  void onPublished(bool written);
  void renewAfter(Micros delay);

  const CallbackScope& scope_;
  Store& store_;
  const FleetConfig& config_;
  Backoff& backoff_;
  Callbacks callbacks_;
  boost::asio::steady_timer renew_timer_;
  std::string session_;    // empty: none
  std::string published_;  // the report that was written last
  bool publishing_ = false;
  bool publish_again_ = false;
  bool shut_down_ = false;
};

}  // namespace grademux::fleet
