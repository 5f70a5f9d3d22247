// Containers for the state of the decision module, indexed so that the cost of decide() depends on the number
// of changes, not of items. They order items and make no decisions. The caller owns the items pointed to.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace grademux {

// Items by id, and in the order of either of two numbers; equal numbers in the order of ids. Each change and
// look-up takes O(log n).
template <class T>
class TwoKeyIndex {
 public:
  using Id = std::int64_t;
  using Order = std::set<std::pair<double, Id>>;
  bool empty() const { return items_.empty(); }
  std::size_t size() const { return items_.size(); }
  void put(Id id, T* item, double first, double second) {
    drop(id);
    items_[id] = {item, first, second};
    first_.insert({first, id});
    second_.insert({second, id});
  }
  void drop(Id id) {
    const auto it = items_.find(id);
    if (it == items_.end())
      return;
    first_.erase({it->second.first, id});
    second_.erase({it->second.second, id});
    items_.erase(it);
  }
  T* at(Id id) const { return items_.at(id).item; }  // `id` must be present
  const Order& byFirst() const { return first_; }
  const Order& bySecond() const { return second_; }

  struct Item {
    T* item;
    double first, second;
  };
  auto begin() const { return items_.begin(); }  // by id
  auto end() const { return items_.end(); }

 private:
  std::map<Id, Item> items_;
  Order first_, second_;
};

// The median over the latest value of each key, without expired values. Each change takes O(log n).
template <class Key>
class RecentMedian {
 public:
  std::size_t size() const { return low_.size() + high_.size(); }
  // Sets the latest value of the key. `at` must not decrease.
  void set(Key key, double value, std::int64_t at) {
    const auto known = latest_.find(key);
    if (known != latest_.end())
      erase(known->second.first);
    latest_[key] = {value, at};
    (high_.empty() || value >= *high_.begin() ? high_ : low_).insert(value);
    balance();
    order_.emplace_back(at, key);
  }
  // Removes the values set at `until` or earlier.
  void expire(std::int64_t until) {
    for (; !order_.empty() && order_.front().first <= until; order_.pop_front()) {
      const auto known = latest_.find(order_.front().second);
      if (known == latest_.end() || known->second.second != order_.front().first)
        continue;
      erase(known->second.first);
      latest_.erase(known);
    }
  }
  // The value at index size / 2 in ascending order; size() must not be 0.
  double median() const { return *high_.begin(); }

 private:
  void erase(double value) {
    auto& half = value >= *high_.begin() ? high_ : low_;  // the upper half is empty only if both halves are
    half.erase(half.find(value));
    balance();
  }
  // Moves values so that the lower half holds size / 2 of them, rounded down.
  void balance() {
    for (; low_.size() > size() / 2; low_.erase(std::prev(low_.end())))
      high_.insert(*low_.rbegin());
    for (; low_.size() < size() / 2; high_.erase(high_.begin()))
      low_.insert(*high_.begin());
  }
  std::multiset<double> low_, high_;
  std::unordered_map<Key, std::pair<double, std::int64_t>> latest_;
  std::deque<std::pair<std::int64_t, Key>> order_;
};

// Events a second, as an average that decays by the factor e in one span. Times in microseconds, spans in
// seconds.
class Rate {
 public:
  double perSecond(std::int64_t now, double span) const {
    return rate_ * std::exp(-static_cast<double>(now - at_) / 1e6 / span);
  }
  void count(std::int64_t now, double span) {
    rate_ = perSecond(now, span) + 1 / span;
    at_ = now;
  }
  void set(std::int64_t now, double rate) {
    rate_ = rate;
    at_ = now;
  }
  std::int64_t latest() const { return at_; }

 private:
  double rate_ = 0;
  std::int64_t at_ = 0;
};

// Items in the order of an ascending member. Adding takes O(1), removal a binary search and a move of
// pointers; a linked list removes in O(1), but is slower to traverse.
template <class T, std::uint64_t T::*Place>
class OrderedList {
 public:
  void add(T* item) { items_.push_back(item); }
  void remove(const T* item) {
    items_.erase(
        std::lower_bound(items_.begin(), items_.end(), item->*Place,
                         [](const T* queued, std::uint64_t place) { return queued->*Place < place; }));
  }
  bool empty() const { return items_.empty(); }
  std::size_t size() const { return items_.size(); }
  auto begin() const { return items_.begin(); }
  auto end() const { return items_.end(); }

 private:
  std::vector<T*> items_;
};

// Keys with a due time. Scheduling a key again before its due time has no effect.
template <class Key>
class RevisitQueue {
 public:
  void schedule(std::int64_t when, const Key& key) {
    if (waiting_.insert(key).second)
      order_.insert({when, key});
  }
  // Removes the first key that is due at `now` and copies it to `key`. Returns false if no key is due.
  bool popDue(std::int64_t now, Key& key) {
    if (order_.empty() || order_.begin()->first > now)
      return false;
    key = order_.begin()->second;
    order_.erase(order_.begin());
    waiting_.erase(key);
    return true;
  }
  std::size_t size() const { return order_.size(); }

 private:
  std::set<std::pair<std::int64_t, Key>> order_;
  std::set<Key> waiting_;
};

}  // namespace grademux
