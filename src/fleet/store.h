// grademux fleet: the seam of where the fleet's plan and the senders' reports live: an existing agreement
// engine with compare-and-swap and sessions that expire. Consul stands behind it (consul.h); etcd's or a
// database's interface would be one file more.
//
// All functions are called on the loop thread. Each calls `done` once, from the loop and never from within
// the call, unless the store object is gone first. `ok` false: no answer that can be trusted came (no
// connection, silence, 5xx); a change may have been made or not, and the caller reads to know. A caller waits
// and tries again; the next try goes to the next address.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux::fleet {

struct StoreEntry {
  std::string key, value, session;  // session: that holds it; empty: nobody
  std::int64_t modify_index = 0;    // pass it to swap()
};

struct StoreResult {
  bool ok = false;
  std::string error;                // not ok: for people
  std::vector<StoreEntry> entries;  // of read(), in the order of keys; none: there is no such key
  std::int64_t index = 0;           // of read(): to wait for what comes after it
  bool applied = false;             // of what changes something: it was done; else somebody came first
  std::string session;              // of open()
  Micros store_time = 0;            // Unix time of the store, to the second; 0: not told
};

class Store {
 public:
  using Callback = std::function<void(const StoreResult&)>;
  virtual ~Store() = default;

  // The key as it is now: what was changed before the call was made is seen, whichever node answers (a read
  // that a lagging node may answer is no use: a lease hangs on it). With `after` above 0 the answer may be
  // held back for `wait` until there is something newer than that index. One such read at a time.
  virtual void read(const std::string& key, std::int64_t after, Micros wait, Callback done) = 0;
  // All keys that begin so.
  virtual void listPrefix(const std::string& prefix, Callback done) = 0;
  // Puts the value in place if the key was last changed at `changed`; 0: if there is no such key.
  virtual void compareAndSwap(const std::string& key, const std::string& value, std::int64_t changed,
                              Callback done) = 0;
  // A session that ends by itself when it is not renewed for `ttl`; renew() answers not done when it has.
  virtual void openSession(const std::string& name, Micros ttl, Callback done) = 0;
  virtual void renewSession(const std::string& session, Callback done) = 0;
  // Ends it, whoever's it is: what it holds is held by nobody, and it can hold nothing more.
  virtual void destroySession(const std::string& session, Callback done) = 0;
  // Puts the value in place and holds the key, if nobody else does and the session stands.
  virtual void acquireKey(const std::string& key, const std::string& value, const std::string& session,
                          Callback done) = 0;
};

}  // namespace grademux::fleet
