// Drops asynchronous callbacks that arrive after their owner has ended. Used on the loop thread only.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "grademux/sender.h"

namespace grademux::fleet {

/// Wraps callbacks; none of them runs after close() or after the scope is destroyed.
class CallbackScope {
 public:
  CallbackScope() = default;
  ~CallbackScope() { close(); }
  CallbackScope(const CallbackScope&) = delete;
  CallbackScope& operator=(const CallbackScope&) = delete;

  void close() { *open_ = false; }

  template <class Callback>
  auto wrap(Callback callback) const {
    return [open = open_, callback = std::move(callback)](auto&&... arguments) {
      if (*open)
        callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Runs the callback once after `delay`; cancels the earlier wait of the timer.
  template <class Callback>
  void runAfter(boost::asio::steady_timer& timer, Micros delay, Callback callback) const {
    timer.expires_after(std::chrono::microseconds(delay));
    timer.async_wait(wrap([callback = std::move(callback)](const boost::system::error_code& error) {
      if (!error)
        callback();
    }));
  }

 private:
  std::shared_ptr<bool> open_ = std::make_shared<bool>(true);
};

}  // namespace grademux::fleet
