// The admission chain: each verdict, steps that answer late, twice, never or by throwing.
#include "../../src/admission/admission.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <stdexcept>

namespace grademux {
namespace {

constexpr Micros kPatience = 50'000, kPause = 700'000;

struct Core : SubmissionHandler {
  void submit(Submission s, SubmissionCallback reply) override {
    taken.push_back(std::move(s));
    reply(SubmissionResult::accepted());
  }
  MessageStatus status(const std::string&) const override { return {}; }
  void notifyWhenFinished(const std::string&, std::function<void(const FinalOutcome&)>) override {}
  std::vector<Submission> taken;
};

struct Step : AdmissionStep {
  using Take = std::function<void(const std::shared_ptr<Submission>&, Next)>;
  explicit Step(Take t) : take_(std::move(t)) {}
  const char* name() const override { return "scripted"; }
  void take(const std::shared_ptr<Submission>& s, Next next) override { take_(s, std::move(next)); }
  Take take_;
};

struct Chain {
  explicit Chain(const std::vector<Step::Take>& steps) : admission(io, core, kPatience, kPause) {
    for (const auto& s : steps)
      admission.add(std::make_unique<Step>(s));
  }
  void submit(const std::string& id = "m") {
    Submission s;
    s.message.id = id;
    s.time_to_live = 1'000'000;
    admission.submit(std::move(s), [this](const SubmissionResult& a) { answers.push_back(a); });
  }
  // Runs until so many answers have come.
  void answered(std::size_t count) {
    io.restart();
    while (answers.size() < count && io.run_one_for(std::chrono::seconds(60)) > 0) {
    }
    ASSERT_EQ(count, answers.size());
  }
  boost::asio::io_context io;
  Core core;
  Admission admission;
  std::vector<SubmissionResult> answers;
};

void pass(const std::shared_ptr<Submission>&, const AdmissionStep::Next& next) {
  next(Verdict::pass());
}

TEST(Admission, AnEmptyChainHandsOnAtOnce) {
  Chain c({});
  c.submit();
  ASSERT_EQ(1u, c.answers.size());
  EXPECT_EQ(1u, c.core.taken.size());
  EXPECT_EQ(1'000'000, c.core.taken[0].time_to_live);
}

TEST(Admission, StepsRunInOrderAndSeeWhatOthersAltered) {
  std::string seen;
  Chain c({[](auto& s, auto next) {
             s->message.body = "altered";
             next(Verdict::pass());
           },
           [&](auto& s, auto next) {
             seen = s->message.body;
             s->message.ordering_key = "k";
             next(Verdict::pass());
           }});
  c.submit();
  EXPECT_EQ("altered", seen);
  ASSERT_EQ(1u, c.core.taken.size());
  EXPECT_EQ("k", c.core.taken[0].message.ordering_key);
}

TEST(Admission, ARefusalOrRejectionEndsItThere) {
  Chain refuses({[](auto&, auto next) { next(Verdict::refuse(5000)); }, pass});
  refuses.submit();
  ASSERT_EQ(1u, refuses.answers.size());
  EXPECT_EQ(SubmissionResult::Kind::rejected, refuses.answers[0].kind);
  EXPECT_EQ(5000, refuses.answers[0].retry_after);
  EXPECT_TRUE(refuses.core.taken.empty());
  Chain rejects({pass, [](auto&, auto next) { next(Verdict::reject("no-right", "may not")); }});
  rejects.submit();
  ASSERT_EQ(1u, rejects.answers.size());
  EXPECT_EQ(SubmissionResult::Kind::invalid, rejects.answers[0].kind);
  EXPECT_EQ("no-right", rejects.answers[0].code);
  EXPECT_TRUE(rejects.core.taken.empty());
}

TEST(Admission, AStepMayAnswerLaterAndOthersGoOnMeanwhile) {
  AdmissionStep::Next kept;
  Chain c(
      {[&](auto& s, auto next) { s->message.id == "slow" ? (void)(kept = next) : next(Verdict::pass()); }});
  c.submit("slow");
  c.submit("quick");
  ASSERT_EQ(1u, c.core.taken.size());
  EXPECT_EQ("quick", c.core.taken[0].message.id);
  kept(Verdict::pass());
  ASSERT_EQ(2u, c.core.taken.size());
  EXPECT_LT(c.core.taken[1].time_to_live, 1'000'000);  // its wait counts
}

// Risk: a step that forgets a submission leaves its client without an answer, or answers it twice.
TEST(Admission, AStepThatNeverAnswersIsARefusalAndItsLateVerdictNothing) {
  AdmissionStep::Next kept;
  std::shared_ptr<Submission> held;
  Chain c({[&](auto& s, auto next) {
    held = s;
    kept = next;
  }});
  c.submit();
  c.answered(1);
  EXPECT_EQ(SubmissionResult::Kind::rejected, c.answers[0].kind);
  EXPECT_EQ(kPause, c.answers[0].retry_after);
  held->message.body = "it is still there";
  kept(Verdict::pass());
  EXPECT_EQ(1u, c.answers.size());
  EXPECT_TRUE(c.core.taken.empty());
  EXPECT_EQ(0u, c.admission.pendingCount());
}

TEST(Admission, AVerdictGivenTwiceCountsOnce) {
  Chain c({[](auto&, auto next) {
             next(Verdict::pass());
             next(Verdict::refuse(1));
             next(Verdict::pass());
           },
           [](auto&, auto next) { next(Verdict::pass()); }});
  c.submit();
  EXPECT_EQ(1u, c.answers.size());
  EXPECT_EQ(1u, c.core.taken.size());
}

TEST(Admission, AStepThatThrowsIsARefusal) {
  Chain c({[](auto&, auto) { throw std::runtime_error("broken"); }});
  c.submit();
  ASSERT_EQ(1u, c.answers.size());
  EXPECT_EQ(SubmissionResult::Kind::rejected, c.answers[0].kind);
}

TEST(Admission, ADrainRefusesWhatWaitsAndWhatWouldHaveTo) {
  Chain c({[](auto& s, auto next) {
    if (s->message.id == "quick")
      next(Verdict::pass());
  }});
  c.submit("first");
  c.admission.drain();
  ASSERT_EQ(1u, c.answers.size());
  c.submit("second");
  c.submit("quick");
  ASSERT_EQ(3u, c.answers.size());
  EXPECT_EQ(SubmissionResult::Kind::rejected, c.answers[0].kind);
  EXPECT_EQ(SubmissionResult::Kind::rejected, c.answers[1].kind);
  EXPECT_EQ(SubmissionResult::Kind::accepted, c.answers[2].kind);
}

}  // namespace
}  // namespace grademux
