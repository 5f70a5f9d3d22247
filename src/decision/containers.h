// grademux: containers that the decision module keeps its state in, so that a turn costs what has changed.
// They hold and order; they decide nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

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
    if (it == items_.end()) return;
    first_.erase({it->second.first, id});
    second_.erase({it->second.second, id});
    items_.erase(it);
  }
  T* at(Id id) const { return items_.at(id).item; }  // it must be there
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

// The median of the latest number of each key, of those that are not too old. Each change takes O(log n).
template <class Key>
class RecentMedian {
 public:
  std::size_t size() const { return low_.size() + high_.size(); }
  // `at` never goes back.
  void set(Key key, double value, std::int64_t at) {
    const auto known = latest_.find(key);
    if (known != latest_.end()) erase(known->second.first);
    latest_[key] = {value, at};
    (high_.empty() || value >= *high_.begin() ? high_ : low_).insert(value);
    balance();
    order_.emplace_back(at, key);
  }
  // Numbers of `until` and from before go.
  void expire(std::int64_t until) {
    for (; !order_.empty() && order_.front().first <= until; order_.pop_front()) {
      const auto known = latest_.find(order_.front().second);
      if (known == latest_.end() || known->second.second != order_.front().first) continue;
      erase(known->second.first);
      latest_.erase(known);
    }
  }
  // The number at place size / 2 of all in order, counted from 0; there must be one.
  double median() const { return *high_.begin(); }

 private:
  void erase(double value) {
    auto& half = value >= *high_.begin() ? high_ : low_;  // the upper half is empty only if both are
    half.erase(half.find(value));
    balance();
  }
  // The lower half has size / 2 of them, rounded down.
  void balance() {
    for (; low_.size() > size() / 2; low_.erase(std::prev(low_.end()))) high_.insert(*low_.rbegin());
    for (; low_.size() < size() / 2; high_.erase(high_.begin())) low_.insert(*high_.begin());
  }
  std::multiset<double> low_, high_;
  std::unordered_map<Key, std::pair<double, std::int64_t>> latest_;
  std::deque<std::pair<std::int64_t, Key>> order_;
};

}  // namespace grademux
