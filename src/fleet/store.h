// Interface to the store of the fleet's plan and the senders' reports: an existing consensus store with
// compare-and-swap and sessions that expire. Consul implements it (consul.h).
//
// All functions are called on the loop thread. Each calls `done` once, from the loop and never from within
// the call, unless the store object is destroyed first. After an error a change may have been made or not;
// the caller reads to find out. The caller retries after a pause; the next request goes to the next address.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "../core/result.h"
#include "grademux/sender.h"

namespace grademux::fleet {

struct StoreEntry {
  std::string key;
  std::string value;
  std::string session;            ///< The session that holds the key; empty: none.
  std::int64_t modify_index = 0;  ///< For compareAndSwap().
};

/// What a request returned; each field belongs to the requests that it names.
struct StoreReply {
  std::vector<StoreEntry> entries;  ///< read(), listPrefix(): in the order of keys; empty: no such key.
  std::int64_t index = 0;           ///< read(): a blocking read waits for changes after this index.
  bool applied = false;             ///< Changes: whether the change was made; else another change came first.
  std::string session;              ///< openSession(): the ID of the new session.
  Micros store_time = 0;            ///< Unix time of the store, to the second; 0: unknown.
};

/// The store gave no usable answer: no connection, a timeout or a server error.
struct StoreError {
  std::string description;
};

using StoreResult = Result<StoreReply, StoreError>;

/// Whether the change is known to have been made.
inline bool wasApplied(const StoreResult& result) {
  return result.has_value() && result.value().applied;
}

class Store {
 public:
  using Callback = std::function<void(const StoreResult&)>;
  virtual ~Store() = default;

  /// Linearizable read of a key: the reply shows all changes made before the call, whichever node answers.
  /// With `index` above 0 the store may hold the answer for up to `wait` until there is a change after that
  /// index. One such read at a time.
  virtual void read(const std::string& key, std::int64_t index, Micros wait, Callback done) = 0;
  /// Reads all keys that start with `prefix`.
  virtual void listPrefix(const std::string& prefix, Callback done) = 0;
  /// Writes the value if the key was last changed at `modify_index`; 0: if the key does not exist.
  virtual void compareAndSwap(const std::string& key, const std::string& value, std::int64_t modify_index,
                              Callback done) = 0;
  /// Opens a session that ends when it is not renewed for `ttl`.
  virtual void openSession(const std::string& name, Micros ttl, Callback done) = 0;
  /// Renews a session; the reply is not applied if the session has ended.
  virtual void renewSession(const std::string& session, Callback done) = 0;
  /// Ends a session, also one of another process: its keys are released, and it can't acquire any more.
  virtual void destroySession(const std::string& session, Callback done) = 0;
  /// Writes the value and holds the key, if no other session holds the key and `session` has not ended.
  virtual void acquireKey(const std::string& key, const std::string& value, const std::string& session,
                          Callback done) = 0;
};

}  // namespace grademux::fleet
