// See client_memory.h.
#include "client_memory.h"

#include <algorithm>

#include "../log/log.h"

namespace grademux {

namespace {

// A client that sends a request in one go has sent all of it after this time.
constexpr Micros kMinClientWait = 20'000;
// A connection that waits for memory for longer than this is itself shed, if it holds the most.
constexpr Micros kMaxMemoryWait = 500'000;
// Reservations of this size are not queued behind larger ones, and connections with so little are not shed:
// all of them together take no more than the connections themselves.
constexpr std::size_t kSmallReservation = 2048;

const char* nameOf(ClientWait wait) {
  return wait == ClientWait::read_reply ? "unread_reply" : "unfinished_request";
}

}  // namespace

// ---- the memory of all connections

void ClientMemory::setLimit(std::size_t limit, Micros now) {
  limit_ = limit;
  shed(0, 0, now);
  grantWaiters();
}

ClientMemory::Usage ClientMemory::usage() const {
  Usage usage;
  usage.connections = connections_;
  usage.shed_requests = shed_requests_;
  usage.shed_replies = shed_replies_;
  for (const Account* account : accounts_)
    (account->client_wait_ == ClientWait::read_reply ? usage.replies : usage.requests) += account->bytes_;
  return usage;
}

void ClientMemory::relieve(Micros now) {
  for (std::size_t waiting = waiters_.size() + 1; !waiters_.empty() && waiters_.size() < waiting;) {
    waiting = waiters_.size();
    shed(waiters_.front()->missingBytes(), kMinClientWait, now);
    grantWaiters();
  }
  const bool waits_too_long = std::any_of(waiters_.begin(), waiters_.end(), [now](const Account* account) {
    return now - account->wanted_since_ >= kMaxMemoryWait;
  });
  if (waits_too_long)
    shedLargestWaiter(now);
}

// Sheds connections that have waited for their client for `min_wait` until `needed_bytes` fit.
void ClientMemory::shed(std::size_t needed_bytes, Micros min_wait, Micros now) {
  if (fits(needed_bytes))
    return;
  for (Account* account : shedCandidates(min_wait, now)) {
    const bool still_waits = accounts_.count(account) > 0 && account->client_wait_ != ClientWait::none;
    if (still_waits && account->holder_.isWaitingForClient())
      shedAccount(*account);
    if (fits(needed_bytes))
      return;
  }
}

// In the order in which they are shed.
std::vector<ClientMemory::Account*> ClientMemory::shedCandidates(Micros min_wait, Micros now) const {
  std::vector<Account*> candidates;
  for (Account* account : accounts_)
    if (account->client_wait_ != ClientWait::none && account->bytes_ > kSmallReservation &&
        now - account->client_wait_since_ >= min_wait)
      candidates.push_back(account);
  const auto cost = [now](const Account& account) {
    return static_cast<double>(account.bytes_) * static_cast<double>(now - account.client_wait_since_ + 1);
  };
  std::sort(candidates.begin(), candidates.end(), [&cost](const Account* first, const Account* second) {
    if (first->client_wait_ != second->client_wait_)
      return first->client_wait_ == ClientWait::send_request;
    return cost(*first) > cost(*second);
  });
  return candidates;
}

void ClientMemory::shedAccount(Account& account) {
  const ClientWait wait = account.client_wait_;
  ++(wait == ClientWait::read_reply ? shed_replies_ : shed_requests_);
  log::write(log::Event::memory_client_shed, {{"cause", nameOf(wait)}, {"bytes", account.bytes_}});
  account.client_wait_ = ClientWait::none;
  account.holder_.shedMemory();
}

void ClientMemory::shedLargestWaiter(Micros now) {
  const auto largest = std::max_element(
      waiters_.begin(), waiters_.end(),
      [](const Account* first, const Account* second) { return first->bytes_ < second->bytes_; });
  Account& account = **largest;
  if (account.bytes_ <= kSmallReservation)
    return;
  account.client_wait_ = ClientWait::send_request;
  account.client_wait_since_ = now;
  shedAccount(account);
  grantWaiters();
}

void ClientMemory::grantWaiters() {
  while (!waiters_.empty()) {
    Account& first = *waiters_.front();
    const std::size_t growth = first.missingBytes();
    if (!fits(growth))
      return;
    first.cancelWait();
    first.bytes_ += growth;
    buffers_ += growth;
    first.holder_.onMemoryAvailable();
  }
}

// ---- the memory of one connection

ClientMemory::Account::Account(ClientMemory& memory, MemoryHolder& holder, std::size_t connection_bytes)
    : memory_(&memory), holder_(holder), connection_bytes_(connection_bytes) {
  memory_->connections_ += connection_bytes_;
  memory_->accounts_.insert(this);
}

bool ClientMemory::Account::reserve(std::size_t bytes, Micros now) {
  if (bytes <= bytes_)
    return true;
  const std::size_t growth = bytes - bytes_;
  client_wait_ = ClientWait::none;
  const bool is_small = growth <= kSmallReservation;
  const bool is_first = memory_->waiters_.empty() || is_small;
  if (is_first)
    memory_->shed(growth, kMinClientWait, now);
  if (is_first && memory_->fits(growth)) {
    cancelWait();
    bytes_ = bytes;
    memory_->buffers_ += growth;
    return true;
  }
  wanted_bytes_ = bytes;
  if (!is_waiter_) {
    wanted_since_ = now;
    is_waiter_ = true;
    memory_->waiters_.insert(is_small ? memory_->waiters_.begin() : memory_->waiters_.end(), this);
  }
  memory_->relieve(now);
  return false;
}

void ClientMemory::Account::set(std::size_t bytes, Micros now) {
  if (!memory_)
    return;
  cancelWait();
  client_wait_ = ClientWait::none;
  const bool shrinks = bytes < bytes_;
  memory_->buffers_ += bytes - bytes_;  // modulo 2^64, also if the account shrinks
  bytes_ = bytes;
  if (shrinks)
    memory_->grantWaiters();
  else
    memory_->shed(0, 0, now);
}

void ClientMemory::Account::waitForClient(ClientWait wait, Micros since) {
  client_wait_ = wait;
  client_wait_since_ = since;
}

void ClientMemory::Account::cancelWait() {
  if (!is_waiter_)
    return;
  is_waiter_ = false;
  memory_->waiters_.remove(this);
}

void ClientMemory::Account::close() {
  if (!memory_)
    return;
  cancelWait();
  memory_->accounts_.erase(this);
  memory_->connections_ -= connection_bytes_;
  memory_->buffers_ -= bytes_;
  ClientMemory& memory = *memory_;
  memory_ = nullptr;
  memory.grantWaiters();
}

}  // namespace grademux
