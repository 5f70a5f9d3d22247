// ConnectionTable: the order within groups, removal, and changes during an iteration.
#include "../../src/listener/connection_table.h"

#include <gtest/gtest.h>

namespace grademux {
namespace {

struct Connection {
  int number;
};

constexpr std::size_t kIdle = 0, kBusy = 1;

struct ConnectionTableTest : ::testing::Test {
  std::shared_ptr<Connection> add(int number, std::size_t group) {
    const auto connection = std::make_shared<Connection>(Connection{number});
    table.add(connection, group);
    return connection;
  }

  ConnectionTable<Connection, 2> table;
};

TEST_F(ConnectionTableTest, KeepsTheOrderInWhichConnectionsEnteredAGroup) {
  const auto first = add(1, kIdle), second = add(2, kIdle), third = add(3, kBusy);
  EXPECT_EQ(first, table.oldest(kIdle));
  table.move(*first, kBusy);
  EXPECT_EQ(second, table.oldest(kIdle));
  EXPECT_EQ(third, table.oldest(kBusy));
  table.move(*first, kIdle);
  EXPECT_EQ(second, table.oldest(kIdle));
  table.move(*second, kIdle);  // moves to the end of its own group
  EXPECT_EQ(first, table.oldest(kIdle));
}

TEST_F(ConnectionTableTest, ForgetsRemovedConnections) {
  const auto first = add(1, kIdle), second = add(2, kIdle);
  table.remove(*first);
  table.remove(*first);
  table.move(*first, kBusy);
  EXPECT_EQ(1u, table.size());
  EXPECT_EQ(1u, table.count(kIdle));
  EXPECT_EQ(0u, table.count(kBusy));
  EXPECT_EQ(second, table.oldest(kIdle));
  EXPECT_EQ(nullptr, table.oldest(kBusy));
  EXPECT_EQ(1, first.use_count());
}

TEST_F(ConnectionTableTest, AllowsMovesAndRemovalsDuringIteration) {
  for (int number = 1; number <= 4; ++number)
    add(number, kIdle);
  int sum = 0;
  table.forEach([&](Connection& connection) {
    sum += connection.number;
    connection.number % 2 ? table.remove(connection) : table.move(connection, kBusy);
  });
  EXPECT_EQ(10, sum);
  EXPECT_EQ(2u, table.count(kBusy));
  EXPECT_EQ(2u, table.size());
}

}  // namespace
}  // namespace grademux
