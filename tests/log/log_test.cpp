// The log: line format, rate limit, reopening of the file, and its event table in the operators' pages.
#include "../../src/log/log.h"

#include <set>

#include "../../src/log/rate.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

using log::Event;
using loopback::json;

std::string read(const std::string& path) {
  std::ifstream f(path);
  return {std::istreambuf_iterator<char>(f), {}};
}
std::size_t count(const std::string& text, const std::string& words) {
  std::size_t n = 0;
  for (std::size_t at = 0; (at = text.find(words, at)) != std::string::npos; at += words.size())
    ++n;
  return n;
}

struct LogTest : ::testing::Test {
  ~LogTest() override { log::configure({}); }
  void open(double rate = 0, bool as_json = false) {
    config.file = folder.path() + "/log";
    config.rate = rate;
    config.burst = 3;
    config.json = as_json;
    log::configure(config);
  }
  std::string text() const { return read(config.file); }
  loopback::TempFolder folder;
  log::Config config;
};

TEST_F(LogTest, EscapesValuesSoThatEachEventIsOneLine) {
  const std::string odd = "a b=\"c\"\nd\x01\xff";
  EXPECT_EQ(log::formatLine(Event::discovery_malformed, {{"cause", "plain"}}, false),
            "warning discovery.malformed cause=plain");
  const std::string text =
      log::formatLine(Event::discovery_malformed, {{"cause", odd}, {"n", -5}, {"e", ""}}, false);
  EXPECT_EQ(text, "warning discovery.malformed cause=\"a b=\\\"c\\\"\\nd\\u0001\\ufffd\" n=-5");
  const json j =
      json::parse("{" + log::formatLine(Event::discovery_malformed, {{"cause", odd}, {"n", 5}}, true) + "}");
  EXPECT_EQ(j["event"], "discovery.malformed");
  EXPECT_EQ(j["level"], "warning");
  EXPECT_EQ(j["n"], 5);
  EXPECT_EQ(j["cause"].get<std::string>().substr(0, 10), odd.substr(0, 10));
}

TEST_F(LogTest, WritesJsonLinesWithTime) {
  open(0, true);
  log::write(Event::daemon_ready, {{"version", "1"}, {"doors", 2}});
  const json j = json::parse(text());
  EXPECT_EQ(j["doors"], 2);
  EXPECT_EQ(j["time"].get<std::string>().size(), 24u);
  EXPECT_EQ(j["time"].get<std::string>().back(), 'Z');
}

// Guards against a fault that is logged ten thousand times a second, fills the disk and stalls the loop.
TEST_F(LogTest, SuppressesAndCountsLinesOfOneEventAboveItsRate) {
  open(0.001);
  for (int i = 0; i < 5000; ++i)
    log::write(Event::journal_write_failed);
  log::write(Event::journal_tail_truncated);
  EXPECT_EQ(count(text(), "journal.write_failed"), 3u);
  EXPECT_EQ(count(text(), "journal.tail_truncated"), 1u);
  log::writeSuppressedCounts();
  EXPECT_EQ(count(text(), "log.suppressed event=journal.write_failed lines=4997"), 1u) << text();
  log::writeSuppressedCounts();
  EXPECT_EQ(count(text(), "log.suppressed"), 1u);
}

TEST(LogRate, RefillsTokensWithTime) {
  log::LineRateLimiter r(2, 10, 2);
  EXPECT_TRUE(r.allow(0, 0));
  EXPECT_TRUE(r.allow(0, 0));
  EXPECT_FALSE(r.allow(0, 0));
  EXPECT_TRUE(r.allow(1, 0));
  EXPECT_FALSE(r.hasToken(0, 50'000));
  EXPECT_TRUE(r.hasToken(0, 100'000));
  EXPECT_TRUE(r.allow(0, 100'000));
  EXPECT_FALSE(r.allow(0, 90'000));  // a clock that goes back adds no token
  EXPECT_EQ(r.takeSuppressed(0), 2u);
  EXPECT_FALSE(r.hasSuppressed());
}

TEST_F(LogTest, AppliesLevelsByPart) {
  config.level = log::Level::error;
  config.parts["journal"] = log::Level::info;
  config.parts["attempt"] = log::Level::debug;
  config.parts["membership"] = log::Level::off;
  open();
  EXPECT_TRUE(log::isEnabled(Event::journal_tail_truncated));
  EXPECT_TRUE(log::isEnabled(Event::attempt_finished));
  EXPECT_FALSE(log::isEnabled(Event::message_finished));
  EXPECT_FALSE(log::isEnabled(Event::daemon_ready));
  EXPECT_TRUE(log::isEnabled(Event::daemon_file_rejected));
  EXPECT_FALSE(log::isEnabled(Event::membership_file_rejected));
}

TEST_F(LogTest, ReopensRenamedFileAndKeepsConfigurationWhenFileCantBeOpened) {
  open();
  log::write(Event::journal_tail_truncated);
  std::filesystem::rename(config.file, config.file + ".1");
  log::configure(config);
  log::write(Event::daemon_stopping);
  EXPECT_EQ(count(read(config.file + ".1"), "journal.tail_truncated"), 1u);
  EXPECT_EQ(count(text(), "daemon.stopping"), 1u);
  log::Config bad = config;
  bad.file = folder.path() + "/no/such/folder\0/log";
  std::ofstream(folder.path() + "/no") << "a file";
  EXPECT_THROW(log::configure(bad), std::runtime_error);
  log::write(Event::journal_tail_truncated);
  EXPECT_EQ(count(text(), "journal.tail_truncated"), 1u);
}

// The page lists each event of the code with its level and fields, and no other event.
TEST(LogTable, MatchesOperatorsPage) {
  const std::string page = read(sourceFolder() + "/docs/operate/log.md");
  std::set<std::string> lines;
  std::istringstream in(page);
  for (std::string l; std::getline(in, l);)
    if (l.rfind("| `", 0) == 0 && l.find('.') < l.find('`', 3))
      lines.insert(l);
  for (std::size_t i = 0; i < std::size(log::kEvents); ++i) {
    const log::EventSpec& e = log::kEvents[i];
    EXPECT_EQ(static_cast<std::size_t>(e.event), i) << e.name;
    std::string fields;
    std::istringstream words(e.fields);
    for (std::string w; words >> w;)
      fields += (fields.empty() ? "`" : ", `") + w + "`";
    const std::string row = "| `" + std::string(e.name) + "` | " + log::nameOf(e.level) + " | " + fields +
                            " | " + e.description + " |";
    EXPECT_EQ(lines.erase(row), 1u) << "missing: " << row;
  }
  for (const std::string& l : lines)
    ADD_FAILURE() << "row without an event: " << l;
}

}  // namespace
}  // namespace grademux
