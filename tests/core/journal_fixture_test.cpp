// Reads journals that program version 0.4 wrote, before its types were renamed. Guards against an unintended
// change of the stored format.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

#include "../../src/core/journal.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

constexpr std::uint64_t kDiskBudgetBytes = 3'000'000;

struct StoredJournal {
  const char* fixture;
  std::int64_t epoch_of_reader;
};

// Opens a copy of a stored journal, as the next process would open the original.
class JournalFixture : public ::testing::TestWithParam<StoredJournal> {
 protected:
  JournalFixture() {
    std::filesystem::copy_file(sourceFolder() + "/tests/core/fixtures/" + GetParam().fixture,
                               folder_.path() + "/journal");
    journal_ = std::make_unique<Journal>(folder_.path(), kDiskBudgetBytes);
  }

  const JournalEntry& entry(const std::string& id) const {
    const auto& entries = journal_->recovered().entries;
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const JournalEntry& entry) { return entry.message.id == id; });
    if (found == entries.end())
      throw std::runtime_error("not recovered: " + id);
    return *found;
  }

  loopback::TempFolder folder_;
  std::unique_ptr<Journal> journal_;
};

TEST_P(JournalFixture, ReadsWithoutDamageAndCountsTheEpoch) {
  EXPECT_EQ(journal_->recovered().damaged_ranges, 0u);
  EXPECT_FALSE(journal_->recovered().torn_tail);
  EXPECT_EQ(journal_->epoch(), GetParam().epoch_of_reader);
}

TEST_P(JournalFixture, RecoversOpenMessagesInTheOrderOfAcceptance) {
  std::vector<std::string> ids;
  for (const JournalEntry& entry : journal_->recovered().entries)
    ids.push_back(entry.message.id);
  EXPECT_EQ(ids, (std::vector<std::string>{"open", "repeated", "returned", "unclassed", "failed"}));
}

TEST_P(JournalFixture, RecoversEveryFieldOfAnAcceptedMessage) {
  const AcceptedMessage& message = entry("open").message;
  EXPECT_EQ(message.message_class, "payment");
  EXPECT_EQ(message.ordering_key, "order-open");
  EXPECT_EQ(message.idempotency_key, "key-open");
  EXPECT_EQ(message.body, std::string(20, 'b') + std::string("\0\r\n", 3));
  EXPECT_EQ(message.destination, 7);
  EXPECT_EQ(message.deadline, 1'800'000'000'000'000);
  EXPECT_FALSE(message.resubmitted);
  EXPECT_TRUE(entry("repeated").message.resubmitted);
}

TEST_P(JournalFixture, RecoversTheClassVersionOfEachMessage) {
  const ClassVersion& strict = entry("open").message.class_version;
  ASSERT_TRUE(strict);
  EXPECT_EQ(strict->name, "payment");
  EXPECT_EQ(strict->latency_objective, 4'000'000);
  EXPECT_EQ(strict->deadline, 28'000'000);
  EXPECT_EQ(strict->priority_weight, 2.5);
  EXPECT_EQ(strict->late_weight_fraction, 0.3);
  EXPECT_EQ(strict->idempotency, Idempotency::non_idempotent);
  EXPECT_EQ(strict->idempotency_scope, IdempotencyScope::cell);
  EXPECT_EQ(strict->idempotency_window, 12'000'000);
  EXPECT_TRUE(strict->ordered);
  EXPECT_EQ(strict->max_attempts, 7);
  const ClassVersion& lax = entry("repeated").message.class_version;
  ASSERT_TRUE(lax);
  EXPECT_EQ(lax->idempotency, Idempotency::idempotent);
  EXPECT_EQ(lax->max_attempts, 3);
  EXPECT_FALSE(entry("unclassed").message.class_version);
}

TEST_P(JournalFixture, RecoversAttemptsWithTheirDecisionVersions) {
  const std::vector<JournaledAttempt>& attempts = entry("open").attempts;
  ASSERT_EQ(attempts.size(), 2u);
  EXPECT_EQ(attempts[0].endpoint, "e1");
  EXPECT_EQ(attempts[0].sent_at, 55);
  EXPECT_TRUE(attempts[0].never_executed);
  EXPECT_EQ(journal_->versions().at(attempts[0].version), "{\"plan\":1}");
  EXPECT_EQ(attempts[1].endpoint, "e3");
  EXPECT_EQ(attempts[1].sent_at, 66);
  EXPECT_FALSE(attempts[1].never_executed);
  EXPECT_EQ(journal_->versions().at(attempts[1].version), "{\"plan\":2}");
  ASSERT_EQ(entry("repeated").attempts.size(), 1u);
  EXPECT_EQ(entry("repeated").attempts[0].version, 0u);
}

TEST_P(JournalFixture, RecoversPendingNotices) {
  const JournalEntry& returned = entry("returned");
  EXPECT_TRUE(returned.notice_pending);
  EXPECT_TRUE(returned.notice.returned);
  EXPECT_EQ(returned.notice.retry_after_ms, 250);
  EXPECT_EQ(returned.notice.at, 1000);
  const JournalEntry& failed = entry("failed");
  EXPECT_TRUE(failed.notice_pending);
  EXPECT_FALSE(failed.notice.returned);
  EXPECT_EQ(failed.notice.at, 2000);
  EXPECT_FALSE(entry("open").notice_pending);
}

TEST_P(JournalFixture, RemembersFinishedMessages) {
  const FinishedMessage* delivered = journal_->findFinished("delivered");
  ASSERT_NE(delivered, nullptr);
  EXPECT_EQ(delivered->outcome.status, FinalStatus::delivered);
  EXPECT_EQ(delivered->outcome.at, 5);
  EXPECT_EQ(delivered->digest, 77u);
  EXPECT_EQ(delivered->remember_until, INT64_MAX / 2);
  EXPECT_FALSE(delivered->legacy_digest);
  EXPECT_EQ(journal_->versions().at(delivered->version), "{\"plan\":2}");
  const FinishedMessage* withdrawn = journal_->findFinished("withdrawn");
  ASSERT_NE(withdrawn, nullptr);
  EXPECT_EQ(withdrawn->outcome.status, FinalStatus::withdrawn);
  EXPECT_EQ(withdrawn->version, 0u);
  EXPECT_EQ(journal_->findFinished("dropped"), nullptr);
}

TEST_P(JournalFixture, RecoversTheEndpointList) {
  EXPECT_EQ(journal_->recovered().list_index, 5);
  EXPECT_EQ(journal_->recovered().endpoint_list,
            (std::vector<std::string>{R"({"name":"e1","group":1})", R"({"name":"e3","group":33})"}));
}

TEST_P(JournalFixture, RecoversDestinationHealth) {
  const std::vector<DestinationHealth>& health = journal_->recovered().health;
  ASSERT_EQ(health.size(), 2u);
  EXPECT_EQ(health[0].endpoint, "e1");
  EXPECT_EQ(health[0].destination, 7);
  EXPECT_TRUE(health[0].down);
  EXPECT_EQ(health[0].warming_since, 99);
  EXPECT_EQ(health[0].retry_after_until, 0);
  EXPECT_EQ(health[0].observed_at, 120);
  EXPECT_EQ(health[1].endpoint, "");
  EXPECT_EQ(health[1].destination, 8);
  EXPECT_FALSE(health[1].down);
  EXPECT_EQ(health[1].retry_after_until, 900);
}

INSTANTIATE_TEST_SUITE_P(Version04, JournalFixture,
                         ::testing::Values(StoredJournal{"journal-0.4-appended", 2},
                                           StoredJournal{"journal-0.4-compacted", 3}),
                         [](const auto& tested) {
                           return std::string(tested.index == 0 ? "Appended" : "Compacted");
                         });

}  // namespace
}  // namespace grademux
