// Compares the containers of the decision module with simple reference containers over random changes.
#include "../../src/decision/containers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace grademux {
namespace {

TEST(RecentMedian, EqualsMedianOfSortedRecentValues) {
  std::mt19937 random(7);
  RecentMedian<int> median;
  std::map<int, std::pair<double, std::int64_t>> reference;
  for (std::int64_t now = 1; now < 20'000; ++now) {
    const int key = static_cast<int>(random() % 40);
    const double value = static_cast<double>(random() % 25);  // ties are common
    if (random() % 3) {
      median.set(key, value, now);
      reference[key] = {value, now};
    }
    const std::int64_t until = now - 1 - static_cast<std::int64_t>(random() % 2) * 30;
    if (random() % 4 == 0) {
      median.expire(until);
      for (auto entry = reference.begin(); entry != reference.end();)
        entry = entry->second.second <= until ? reference.erase(entry) : std::next(entry);
    }
    ASSERT_EQ(reference.size(), median.size()) << now;
    if (reference.empty())
      continue;
    std::vector<double> sorted;
    for (const auto& [reference_key, latest] : reference)
      sorted.push_back(latest.first);
    std::sort(sorted.begin(), sorted.end());
    ASSERT_EQ(sorted[sorted.size() / 2], median.median()) << now;
  }
}

TEST(TwoKeyIndex, EqualsSortedListsInBothOrders) {
  std::mt19937 random(8);
  TwoKeyIndex<int> index;
  std::map<std::int64_t, std::pair<double, double>> reference;
  std::vector<int> items(50);
  for (int i = 0; i < 20'000; ++i) {
    const std::int64_t id = static_cast<std::int64_t>(random() % 50) - 25;
    if (random() % 3) {
      const double first_key = static_cast<double>(random() % 9) - 4,
                   second_key = static_cast<double>(random() % 9);
      index.put(id, &items[static_cast<std::size_t>(id + 25)], first_key, second_key);
      reference[id] = {first_key, second_key};
      ASSERT_EQ(&items[static_cast<std::size_t>(id + 25)], index.at(id));
    } else {
      index.drop(id);
      reference.erase(id);
    }
    ASSERT_EQ(reference.size(), index.size());
    ASSERT_EQ(reference.empty(), index.empty());
    if (i % 50)
      continue;
    std::vector<std::pair<double, std::int64_t>> first, second;
    for (const auto& [reference_id, keys] : reference) {
      first.emplace_back(keys.first, reference_id);
      second.emplace_back(keys.second, reference_id);
    }
    std::sort(first.begin(), first.end());
    std::sort(second.begin(), second.end());
    ASSERT_TRUE(std::equal(first.begin(), first.end(), index.byFirst().begin(), index.byFirst().end()));
    ASSERT_TRUE(std::equal(second.begin(), second.end(), index.bySecond().begin(), index.bySecond().end()));
  }
}

}  // namespace
}  // namespace grademux
