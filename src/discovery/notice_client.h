// Sends notices of final outcomes to the platform, in batches, until each is acknowledged. Loop thread only.
//
// Each batch has a connection of its own, on which no late copy of another acknowledgement can arrive. A
// batch that is not acknowledged in time stays open, since its acknowledgement may only be slow; its notices
// are sent again beside it, after those that have not been sent yet. A second notice of one message does no
// harm.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../core/delivery_notifier.h"
#include "agent.h"

namespace grademux {

class NoticeClient : public DeliveryNotifier {
 public:
  using OnDelivered = std::function<void(const std::string& id)>;
  NoticeClient(Agent agent, OnDelivered on_delivered);
  void enqueueNotice(const std::string& id, const Notice& notice) override;
  void moveTo(tcp::endpoint peer, std::string host);  // sends all pending notices there
  std::size_t pendingNotices() const override { return pending_.size(); }

 private:
  static constexpr std::size_t kMaxNotices = 64;  // per batch
  static constexpr std::size_t kMaxBatches = 4;   // open at once; the last one is replaced

  using Sequence = std::uint64_t;  // order in which notices were enqueued
  struct PendingNotice {
    std::string id;
    Notice notice;
    bool is_queued = false;  // in `unsent_` or `resend_`
  };
  struct Batch {
    std::uint64_t number = 0;
    std::vector<Sequence> notices;
    std::unique_ptr<HttpConnection> connection;
  };

  // Sends the next batch, unless one is waited for or a delay runs.
  void sendNext();
  std::vector<Sequence> takeNextNotices();
  void takeFrom(std::deque<Sequence>& queue, std::vector<Sequence>& taken);
  HttpRequest buildRequest(const std::vector<Sequence>& notices) const;
  void sendBatch(std::vector<Sequence> notices);
  // Ends waiting for the current batch: it was acknowledged, failed, or is late.
  void stopWaiting();
  void onBatchLate();
  void onBatchEnded(std::uint64_t number, const HttpAnswer& answer);
  // The agent can't read the batch: its notices are sent one by one, or the single one is dropped.
  void onBatchRejected(const Batch& batch);
  void acknowledge(const std::vector<Sequence>& notices);
  void requeue(const std::vector<Sequence>& notices, std::deque<Sequence>& queue);
  void sendAgainAfterDelay(const std::vector<Sequence>& notices);
  // Batches whose notices have all been acknowledged in others.
  void closeSettledBatches();
  void setTimer(Micros delay, void (NoticeClient::*handler)());
  void onDelayOver();

  Agent agent_;
  OnDelivered on_delivered_;
  std::map<Sequence, PendingNotice> pending_;
  std::deque<Sequence> unsent_, resend_;  // may name notices that have been acknowledged since
  std::vector<Batch> batches_;            // in the order of their start
  Sequence last_sequence_ = 0;
  std::uint64_t last_batch_ = 0;
  bool is_waiting_ = false;  // for the latest batch, which is not late
  bool is_backing_off_ = false;
  std::size_t max_batch_ = kMaxNotices;  // 1 after the agent rejected a batch as malformed
  boost::asio::steady_timer timer_;      // of the latest batch, or of the delay
  std::uint64_t timer_number_ = 0;       // a handler of an earlier timer is ignored
};

}  // namespace grademux
