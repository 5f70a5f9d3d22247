// The order of the responses on one HTTP connection, and of the results of one batch.
#include <gtest/gtest.h>

#include "../../src/listener/http/batch.h"
#include "../../src/listener/http/response_queue.h"

namespace grademux::http_listener {
namespace {

void renderNothing(const ResponseQueue::Pointer&, const Response&) {}

void finish(PendingResponse& response, const std::string& bytes) {
  response.bytes = bytes;
  response.complete = true;
}

TEST(ResponseQueue, HoldsALaterResponseUntilEarlierOnesAreComplete) {
  ResponseQueue queue;
  const auto first = queue.append(), second = queue.append();
  finish(*second, "second");
  EXPECT_EQ("", queue.takeReady(renderNothing).bytes);
  EXPECT_EQ(6u, queue.heldBytes());
  finish(*first, "first,");
  const ResponseQueue::Ready ready = queue.takeReady(renderNothing);
  EXPECT_EQ("first,second", ready.bytes);
  EXPECT_EQ(2u, ready.completed);
  EXPECT_TRUE(queue.empty());
}

TEST(ResponseQueue, ReleasesThePartsOfTheFirstResponse) {
  ResponseQueue queue;
  queue.append()->bytes = "part";
  const ResponseQueue::Ready ready = queue.takeReady(renderNothing);
  EXPECT_EQ("part", ready.bytes);
  EXPECT_EQ(0u, ready.completed);
  EXPECT_EQ(1u, queue.size());
}

TEST(ResponseQueue, StopsAfterTheResponseThatClosesTheConnection) {
  ResponseQueue queue;
  const auto first = queue.append(), second = queue.append();
  finish(*first, "first");
  finish(*second, "second");
  first->closes_connection = true;
  const ResponseQueue::Ready ready = queue.takeReady(renderNothing);
  EXPECT_EQ("first", ready.bytes);
  EXPECT_TRUE(ready.closes_connection);
  EXPECT_EQ(1u, queue.size());
}

TEST(ResponseQueue, MakesADeferredResponseOnceItIsTheFirst) {
  ResponseQueue queue;
  const auto first = queue.append(), second = queue.append();
  int made = 0;
  second->deferred = [&made] {
    ++made;
    return Response{};
  };
  const auto render = [](const ResponseQueue::Pointer& response, const Response&) {
    finish(*response, "made");
  };
  queue.takeReady(render);
  EXPECT_EQ(0, made);
  finish(*first, "first,");
  EXPECT_EQ("first,made", queue.takeReady(render).bytes);
  EXPECT_EQ(1, made);
}

struct BatchTest : ::testing::Test {
  void addInput(const std::string& bytes) {
    batch.addInput(
        bytes, 8, 0, [this](const Batch::Line& line) { lines.push_back(line.too_long ? "!" : line.text); },
        [] { return true; });
  }

  ResponseQueue::Pointer response = std::make_shared<PendingResponse>();
  Batch batch{response, 0};
  std::vector<std::string> lines;
};

TEST_F(BatchTest, SplitsLinesWhereverTheInputIsCut) {
  for (const char letter : std::string("one\ntwo\r\n \r\n\nthree"))
    addInput(std::string(1, letter));
  EXPECT_EQ((std::vector<std::string>{"one", "two\r"}), lines);
  EXPECT_TRUE(batch.isInLine());
  batch.finishInput([this](const Batch::Line& line) { lines.push_back(line.text); });
  EXPECT_EQ("three", lines.back());
  EXPECT_TRUE(batch.isInputComplete());
}

TEST_F(BatchTest, SkipsTheRestOfALineThatIsTooLong) {
  addInput("12345678\n123456789 and more");
  addInput(" and more\nnext\n");
  EXPECT_EQ((std::vector<std::string>{"12345678", "!", "next"}), lines);
}

TEST_F(BatchTest, ReleasesResultsInTheOrderOfLines) {
  const auto first = batch.appendResult(), second = batch.appendResult();
  *second = {"second\n", true};
  batch.releaseResults();
  EXPECT_EQ("", response->bytes);
  *first = {"first\n", true};
  batch.releaseResults();
  EXPECT_EQ("d\r\nfirst\nsecond\n\r\n", response->bytes);
  EXPECT_FALSE(response->complete);
  batch.abortInput();
  batch.releaseResults();
  EXPECT_TRUE(response->complete);
  EXPECT_EQ("d\r\nfirst\nsecond\n\r\n0\r\n\r\n", response->bytes);
}

}  // namespace
}  // namespace grademux::http_listener
