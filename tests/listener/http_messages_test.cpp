// Conversion of requests and responses of the HTTP listener: each field and each kind of error, without
// sockets.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "../../src/listener/http/request_messages.h"
#include "../../src/listener/http/response_messages.h"

namespace grademux::http_listener {
namespace {

using nlohmann::json;

// The submission; fails the test if the result is a problem.
const Submission& submissionOf(const std::variant<Submission, Problem>& result) {
  static const Submission none;
  if (const auto* problem = std::get_if<Problem>(&result)) {
    ADD_FAILURE() << problem->detail;
    return none;
  }
  return std::get<Submission>(result);
}
// The HTTP status of the problem; 0 if the result is a submission.
int problemStatus(const std::variant<Submission, Problem>& result) {
  const auto* problem = std::get_if<Problem>(&result);
  return problem ? problem->status : 0;
}

TEST(HttpMessages, ReadsAJsonDocument) {
  const auto result = readMessage("m", {{"content-type", "application/json; charset=utf-8"}},
                                  R"({"id":"m","class":"payment","destination":7,"deadline_ms":1500,"key":"k",
                                 "order_key":"o","repeat":true,"body":"h\u00e9"})");
  const Submission& submission = submissionOf(result);
  EXPECT_EQ("m", submission.message.id);
  EXPECT_EQ("payment", submission.message.message_class);
  EXPECT_EQ(7, submission.message.destination);
  EXPECT_EQ(1'500'000, submission.time_to_live);
  EXPECT_EQ("k", submission.message.idempotency_key);
  EXPECT_EQ("o", submission.message.ordering_key);
  EXPECT_TRUE(submission.message.resubmitted);
  EXPECT_EQ("h\xc3\xa9", submission.message.body);
}

TEST(HttpMessages, ReadsBodiesAsBase64OrRaw) {
  const std::string bytes("\0\r\n\xff", 4);
  EXPECT_EQ(
      bytes,
      submissionOf(
          readMessage("m", {}, R"({"class":"c","destination":7,"deadline_ms":1,"body_base64":"AA0K/w=="})"))
          .message.body);
  const Fields fields{{"grademux-class", "c"},  {"grademux-destination", "7"}, {"grademux-deadline-ms", "90"},
                      {"idempotency-key", "k"}, {"grademux-order-key", "o"},   {"grademux-repeat", "true"}};
  const auto raw = readMessage("m", fields, bytes);
  EXPECT_EQ(bytes, submissionOf(raw).message.body);
  EXPECT_EQ(90'000, submissionOf(raw).time_to_live);
  EXPECT_EQ("k", submissionOf(raw).message.idempotency_key);
  EXPECT_EQ("o", submissionOf(raw).message.ordering_key);
  EXPECT_TRUE(submissionOf(raw).message.resubmitted);
}

TEST(HttpMessages, ReportsUnusableMessagesAsProblems) {
  auto document = [](const char* name, const json& value) {
    json document_fields{{"class", "c"}, {"destination", 7}, {"deadline_ms", 1}};
    value.is_null() ? (void)document_fields.erase(name) : (void)(document_fields[name] = value);
    return problemStatus(readMessage("m", {}, document_fields.dump()));
  };
  EXPECT_EQ(0, document("body", ""));
  EXPECT_EQ(400, document("class", nullptr));
  EXPECT_EQ(400, document("class", 5));
  EXPECT_EQ(400, document("class", ""));
  EXPECT_EQ(400, document("destination", "7"));
  EXPECT_EQ(400, document("destination", ""));
  EXPECT_EQ(400, document("destination", 7.5));
  EXPECT_EQ(400, document("destination", 18446744073709551615ull));
  EXPECT_EQ(400, document("deadline_ms", 0));
  EXPECT_EQ(400, document("deadline_ms", -1));
  EXPECT_EQ(400, document("deadline_ms", 86'400'001));
  EXPECT_EQ(400, document("deadline_ms", nullptr));
  EXPECT_EQ(400, document("key", "two words"));
  EXPECT_EQ(400, document("key", std::string(257, 'k')));
  EXPECT_EQ(400, document("key", "\r\nX-Txn: other"));
  EXPECT_EQ(400, document("order_key", std::string(257, 'k')));
  EXPECT_EQ(400, document("repeat", "yes"));
  EXPECT_EQ(400, document("surprise", 1));
  EXPECT_EQ(400, document("id", "another"));
  for (const char* b64 : {"A", "AA=A", "====", "AAAA=", "AA A", "AA-_", "A==="})
    EXPECT_EQ(400, document("body_base64", b64)) << b64;
  EXPECT_EQ(413, document("body", std::string(65537, 'x')));
  EXPECT_EQ(0, document("body", std::string(65536, 'x')));
  EXPECT_EQ(400,
            problemStatus(readMessage(
                "m", {}, R"({"class":"c","destination":7,"deadline_ms":1,"body":"","body_base64":""})")));
  for (const char* body : {"", "[]", "{", "null", "{\"class\":\"\xff\"}"})
    EXPECT_EQ(400, problemStatus(readMessage("m", {}, body))) << body;
  EXPECT_EQ(415, problemStatus(readMessage("m", {{"content-type", "text/plain"}}, "x")));
  const Fields raw{{"grademux-class", "c"}, {"grademux-destination", "7"}, {"grademux-deadline-ms", "soon"}};
  EXPECT_EQ(400, problemStatus(readMessage("m", raw, "x")));
}

TEST(HttpMessages, ReadsTheIdOfABatchLine) {
  std::string id;
  EXPECT_EQ("b1",
            submissionOf(readBatchLine(R"({"id":"b1","class":"c","destination":7,"deadline_ms":1})", id))
                .message.id);
  EXPECT_EQ("b1", id);
  EXPECT_EQ(400, problemStatus(readBatchLine(R"({"class":"c","destination":7,"deadline_ms":1})", id)));
  EXPECT_EQ(400,
            problemStatus(readBatchLine(R"({"id":"","class":"c","destination":7,"deadline_ms":1})", id)));
  EXPECT_EQ(400, problemStatus(readBatchLine("rubbish", id)));
}

TEST(HttpMessages, ReadsTargetsStrictly) {
  auto id = [](const char* target) {
    const auto result = readTarget(target);
    return std::holds_alternative<Target>(result) ? std::get<Target>(result).id : "";
  };
  EXPECT_EQ("a1", id("/v1/messages/a1"));
  EXPECT_EQ("a/b%", id("/v1/messages/a%2Fb%25"));
  for (const char* target :
       {"/v1/messages/", "/v1/messages", "/", "", "/v2/messages/a", "/v1/messages/a?x=1", "/v1/messages/a%2",
        "/v1/messages/a%zz", "/v1/messages/a%0d%0a", "/v1/messages/a%20b"})
    EXPECT_TRUE(std::holds_alternative<Problem>(readTarget(target))) << target;
  EXPECT_EQ(Resource::batch, std::get<Target>(readTarget("/v1/messages:batch")).resource);
}

TEST(HttpMessages, ReadsPreferencesOfRfc7240) {
  EXPECT_EQ(10, preferredWaitSeconds("wait=10"));
  EXPECT_EQ(10, preferredWaitSeconds("respond-async, wait=10"));
  EXPECT_EQ(0, preferredWaitSeconds("wait=0"));
  for (const char* preference :
       {"", "wait", "wait=", "wait=-1", "wait=1.5", "waits=3", "wait=99999999999999999999"})
    EXPECT_FALSE(preferredWaitSeconds(preference)) << preference;
}

TEST(HttpMessages, RoundsRetryAfterUp) {
  const Response response = submissionResponse("m", SubmissionResult::rejected(1'200'001));
  EXPECT_EQ(429, response.status);
  EXPECT_EQ("application/problem+json", response.type);
  EXPECT_EQ(1201, json::parse(response.body)["retry_after_ms"]);
  ASSERT_EQ(1u, response.fields.size());
  EXPECT_EQ("2", response.fields[0].second);  // whole seconds, rounded up
  EXPECT_TRUE(submissionResponse("m", SubmissionResult::rejected(0)).fields.empty());
}

TEST(HttpMessages, GivesEachResultItsStatusAndDocument) {
  EXPECT_EQ(202, submissionResponse("m", SubmissionResult::accepted()).status);
  EXPECT_EQ(422, submissionResponse("m", SubmissionResult::invalid("unknown-class", "x")).status);
  EXPECT_EQ(
      "urn:grademux:problem:unknown-class",
      json::parse(submissionResponse("m", SubmissionResult::invalid("unknown-class", "x")).body)["type"]);
  EXPECT_EQ(409, submissionResponse("m", {SubmissionResult::Kind::conflict, 0, {}, {}, {}}).status);
  EXPECT_EQ(422, submissionResponse("m", {SubmissionResult::Kind::failed, 0, {}, {}, {}}).status);
  EXPECT_EQ(503, drainingResponse().status);
  EXPECT_EQ(404, statusResponse("m", {}).status);
  const MessageStatus ended{MessageStatus::State::finished, {FinalStatus::returned, 5'000'000, 250'000}};
  const json document = json::parse(statusResponse("m", ended).body);
  EXPECT_EQ("handed_back", document["state"]);
  EXPECT_EQ(5000, document["ended_ms"]);
  EXPECT_EQ(250, document["retry_after_ms"]);
  const std::string line = batchResponseLine("m", submissionResponse("m", SubmissionResult::accepted()));
  EXPECT_EQ('\n', line.back());
  EXPECT_EQ(202, json::parse(line)["status"]);
}

}  // namespace
}  // namespace grademux::http_listener
