// Bounds the memory that the client connections of all listeners hold together: connections, unfinished
// requests, requests that the engine has not answered, and replies that clients have not read.
//
// A connection reserves memory before it reads, so that the bytes for which there is no room stay with the
// client. When memory is short, connections that wait for their client are shed: unfinished requests before
// unread replies, and of each kind first those that hold the most bytes for the longest time. A client whose
// whole request has arrived is never shed. No I/O and no clock. Loop thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_set>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

// Implemented by the connections that have an account of ClientMemory.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  // Memory that was refused is reserved now. Called from within calls of other connections: the connection
  // must not read before it returns to the loop.
  virtual void onMemoryAvailable() = 0;
  // Whether the connection can do nothing before its client sends or reads bytes. Called only between
  // waitForClient() and the next set().
  virtual bool isWaitingForClient() const = 0;
  // Gives all buffers back: the client gets an error, if no reply is being written, and then the close of its
  // connection.
  virtual void shedMemory() = 0;
};

// What a connection waits for its client to do.
enum class ClientWait : std::uint8_t { none, send_request, read_reply };

class ClientMemory {
 public:
  class Account;

  // Sizes in bytes; the unit of all functions.
  struct Usage {
    std::size_t connections = 0;  // the connections themselves, without their buffers
    std::size_t requests = 0;     // requests, from their first byte until the engine has answered
    std::size_t replies = 0;      // replies that clients have not read
    std::size_t shed_requests = 0, shed_replies = 0;  // number of connections shed since the start
  };

  explicit ClientMemory(std::size_t limit) : limit_(limit) {}
  ClientMemory(const ClientMemory&) = delete;
  ClientMemory& operator=(const ClientMemory&) = delete;

  std::size_t limit() const { return limit_; }
  // A lower limit sheds connections, as far as there are any that wait for their client.
  void setLimit(std::size_t limit, Micros now);
  // The part of the limit that connections may take without their buffers.
  std::size_t connectionLimit() const { return limit_ / kConnectionShareDivisor; }
  // Whether one more connection of this size fits.
  bool hasRoomForConnection(std::size_t bytes) const { return connections_ + bytes <= connectionLimit(); }
  // Sheds connections for those that wait for memory. Called periodically.
  void relieve(Micros now);
  Usage usage() const;

 private:
  // A third is for connections, a third for the first bytes of their requests, which are at most as large,
  // and the rest for long requests.
  static constexpr std::size_t kConnectionShareDivisor = 3;

  std::size_t total() const { return connections_ + buffers_; }
  bool fits(std::size_t bytes) const { return total() + bytes <= limit_; }
  void shed(std::size_t needed_bytes, Micros min_wait, Micros now);
  std::vector<Account*> shedCandidates(Micros min_wait, Micros now) const;
  void shedAccount(Account& account);
  void shedLargestWaiter(Micros now);
  void grantWaiters();

  std::size_t limit_;
  std::size_t connections_ = 0, buffers_ = 0;
  std::size_t shed_requests_ = 0, shed_replies_ = 0;
  std::unordered_set<Account*> accounts_;
  std::list<Account*> waiters_;  // for memory, in the order of their requests
};

// The memory of one connection. Counts the connection itself from its construction to close().
class ClientMemory::Account {
 public:
  Account(ClientMemory& memory, MemoryHolder& holder, std::size_t connection_bytes);
  ~Account() { close(); }
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  // Reserves memory, so that the buffers may have `bytes` in all. Returns false if there is no room now:
  // the account then waits for it until the next set(). `now`: monotonic, microseconds.
  bool reserve(std::size_t bytes, Micros now);
  // The buffers have `bytes` in all now, which is never refused: connections that wait for their client are
  // shed for what is too much.
  void set(std::size_t bytes, Micros now);
  // The connection waits for its client since the given time, until the next set().
  void waitForClient(ClientWait wait, Micros since);
  // The connection is closed. No further call is made.
  void close();

 private:
  friend class ClientMemory;

  // What a waiting account needs beside what it has.
  std::size_t missingBytes() const { return wanted_bytes_ > bytes_ ? wanted_bytes_ - bytes_ : 0; }
  void cancelWait();

  ClientMemory* memory_;  // null once closed
  MemoryHolder& holder_;
  const std::size_t connection_bytes_;
  std::size_t bytes_ = 0, wanted_bytes_ = 0;
  ClientWait client_wait_ = ClientWait::none;
  Micros client_wait_since_ = 0, wanted_since_ = 0;
  bool is_waiter_ = false;
};

}  // namespace grademux
