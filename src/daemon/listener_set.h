// The listeners that the daemon file configures, all but the platform's own. They are added, moved and
// removed when the file changes. Used on the loop thread alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <vector>

#include "daemon_file.h"

namespace grademux {

/// Owns the listeners of the daemon file. `memory`, of which all listeners take theirs, outlives this object.
class ListenerSet {
 public:
  ListenerSet(boost::asio::io_context& io, ClientMemory& memory)
      : io_(io), memory_(memory), reap_timer_(io) {}

  /// Binds all listeners; none accepts connections yet. Throws std::runtime_error with the address when one
  /// can't be bound.
  void bind(const std::vector<ListenerConfig>& configs);
  /// Starts accepting. Both outlive this object.
  void start(SubmissionHandler& handler, const operate::ServiceState& state);
  /// Binds and starts listeners that are new or have another address, then drains those that the
  /// configuration no longer has. Throws std::runtime_error when a listener can't be started; nothing has
  /// changed then. Does nothing while the process stops.
  void applyConfig(const std::vector<ListenerConfig>& configs);
  /// Tells all listeners to send their clients away, after the state given to start() has changed.
  void drain(DrainReason reason);
  /// Closes the listening sockets for a process that takes over the addresses, and drains the listeners.
  /// Clients that are not accepted yet get no answer.
  void releaseAddresses();
  /// Binds the released addresses again when no process has taken them over. Throws std::runtime_error when
  /// an address can't be bound.
  void reacquireAddresses();
  /// Requests without an answer, including those of listeners that are being drained.
  std::size_t openRequests() const;
  /// What the buffers of all connections have allocated, including listeners that are being drained.
  BufferUsage bufferUsage() const;
  std::size_t count() const { return listeners_.size(); }

 private:
  struct Entry {
    ListenerConfig config;
    std::unique_ptr<Listener> listener;  // null: released
  };
  std::unique_ptr<Listener> createListener(const ListenerConfig& config);
  void scheduleReap();

  boost::asio::io_context& io_;
  ClientMemory& memory_;
  boost::asio::steady_timer reap_timer_;
  std::vector<Entry> listeners_;
  // With the monotonic time at which each is closed at the latest.
  std::vector<std::pair<Micros, std::unique_ptr<Listener>>> draining_;
  SubmissionHandler* handler_ = nullptr;
  const operate::ServiceState* state_ = nullptr;
  bool reap_scheduled_ = false;
};

}  // namespace grademux
