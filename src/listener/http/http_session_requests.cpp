// HttpSession: checks and routing of requests, submissions and batches; see http_session.h.
#include <algorithm>
#include <utility>

#include "../../core/clock.h"
#include "../../core/release_buffer.h"
#include "http_session.h"

namespace grademux {

using namespace http_listener;
namespace http = boost::beast::http;

namespace {

constexpr char kListenerKind[] = "http";
constexpr Micros kMaxPreferredSeconds = 86400;
constexpr Micros kMicrosPerSecond = 1'000'000;

void complete(BatchResult& result, const std::string& id, const Response& response) {
  result.text = batchResponseLine(id, response);
  result.complete = true;
  result.request_bytes = 0;
}

}  // namespace

// Makes the checks that need only the head. Returns false if the request was rejected.
bool HttpSession::onHead() {
  releaseBuffer(body_);
  if (const auto problem = parser_.checkHead()) {
    rejectRequest(*problem);
    return false;
  }
  target_ = readTarget(parser_.target());
  const auto* target = std::get_if<Target>(&target_);
  const bool is_batch = target && target->resource == Resource::batch;
  if (is_batch && parser_.head().method() == http::verb::post && parser_.isHttp11()) {
    startBatch();
  } else if (parser_.contentLength() > owner_.limits().request_bytes) {
    rejectRequest(bodyTooLong());
    return false;
  }
  if (parser_.expectsContinue()) {
    if (!batch_)
      currentResponse();
    responses_.last()->bytes.insert(0, "HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

bool HttpSession::onBody(std::string_view bytes) {
  if (batch_) {
    const auto batch = batch_;
    batch->addInput(
        bytes, owner_.limits().request_bytes, monotonicNow(),
        [this, &batch](const Batch::Line& line) { onBatchLine(batch, line); },
        [this] { return open_ && noteClientSide(); });
    if (open_)
      releaseBatchResults(*batch);
    return open_;
  }
  if (body_.size() + bytes.size() > owner_.limits().request_bytes) {
    rejectRequest(bodyTooLong());
    return false;
  }
  body_ += bytes;
  return true;
}

// The pending response to the request that is being read. Created before the request is complete if response
// bytes are needed earlier.
HttpSession::ResponsePointer HttpSession::currentResponse() {
  if (!response_placed_) {
    responses_.append();
    owner_.onRequestOpened();
    response_placed_ = true;
  }
  return responses_.last();
}

void HttpSession::onRequestRead() {
  const ResponsePointer response = currentResponse();
  response_placed_ = false;
  has_read_request_ = true;
  const bool keeps_alive = parser_.keepsAlive() && !owner_.isDraining();
  last_request_read_ = last_request_read_ || !keeps_alive;
  response->closes_connection = !keeps_alive;
  if (batch_)
    return finishBatch();
  const http::verb method = parser_.head().method();
  const Fields fields = parser_.fields();
  parser_.reset();
  since_ = monotonicNow();
  route(response, method == http::verb::get, method == http::verb::put, fields);
}

void HttpSession::route(const ResponsePointer& response, bool is_get, bool is_put, const Fields& fields) {
  if (const auto* problem = std::get_if<Problem>(&target_))
    return answer(response, problemResponse(*problem));
  const Target target = std::get<Target>(target_);
  if (target.resource == Resource::batch)
    return rejectMethod(response, "POST");
  if (is_get) {
    response->deferred = [this, id = target.id] { return statusResponse(id, owner_.handler().status(id)); };
    return flush();
  }
  if (!is_put)
    return rejectMethod(response, "GET, PUT");
  submit(response, target.id, fields);
}

void HttpSession::rejectMethod(const ResponsePointer& response, const char* allowed) {
  Response content = problemResponse({405, "method-not-allowed", std::string("allowed here: ") + allowed});
  content.fields.emplace_back("Allow", allowed);
  answer(response, content);
}

// The wait of the last preference, at most the listener's limit; 0 if the client does not wait.
Micros HttpSession::preferredWait(const Fields& fields) const {
  Micros wait = 0;
  for (const auto& [name, value] : fields) {
    if (name != "prefer")
      continue;
    if (const auto seconds = preferredWaitSeconds(value))
      wait = std::min(owner_.limits().max_wait,
                      std::min<Micros>(*seconds, kMaxPreferredSeconds) * kMicrosPerSecond);
  }
  return wait;
}

void HttpSession::submit(const ResponsePointer& response, const std::string& id, const Fields& fields) {
  response->request_bytes = body_.size();
  auto message = readMessage(id, fields, std::move(body_));
  releaseBuffer(body_);
  if (const auto* problem = std::get_if<Problem>(&message))
    return answer(response, problemResponse(*problem, id));
  if (owner_.rejectsNewRequests())
    return answer(response, drainingResponse(id));
  const Micros wait = preferredWait(fields);
  Submission& submission = std::get<Submission>(message);
  submission.listener_kind = kListenerKind;
  submission.is_abandoned = abandonedCheck();
  owner_.handler().submit(std::move(submission),
                          [self = shared_from_this(), response, id, wait](const SubmissionResult& result) {
                            if (!self->open_)
                              return;
                            response->request_bytes = 0;
                            const bool accepted = result.kind == SubmissionResult::Kind::accepted;
                            if (!accepted || result.final_outcome || wait == 0 || self->owner_.isDraining())
                              return self->answer(response, submissionResponse(id, result));
                            self->waitForOutcome(response, id, wait);
                          });
}

void HttpSession::waitForOutcome(const ResponsePointer& response, const std::string& id, Micros wait) {
  response->message_id = id;
  response->wait_until = monotonicNow() + wait;
  outcome_waits_.push_back(response);
  response->outcome_subscription = owner_.handler().notifyWhenFinished(
      id, [weak_session = weak_from_this(), weak_response = std::weak_ptr<PendingResponse>(response),
           id](const FinalOutcome& outcome) {
        const auto session = weak_session.lock();
        const auto waiting = weak_response.lock();
        if (session && waiting && !waiting->complete)
          session->answer(waiting, outcomeResponse(id, outcome));
      });
}

void HttpSession::answerAccepted(const ResponsePointer& response) {
  answer(response, submissionResponse(response->message_id, SubmissionResult::accepted()));
}

// Answers a request that can't be read; the connection is closed after the response.
void HttpSession::rejectRequest(const Problem& problem) {
  if (batch_)
    return abortBatch(problem);
  const ResponsePointer response = currentResponse();
  response_placed_ = false;
  parser_.reset();
  last_request_read_ = true;
  response->closes_connection = true;
  answer(response, problemResponse(problem));
}

Problem HttpSession::bodyTooLong() const {
  return {413, "body-too-long",
          "a request's body, or a line of a batch, may have " +
              std::to_string(owner_.limits().request_bytes) + " bytes"};
}

// ---- batches

void HttpSession::startBatch() {
  batch_ = std::make_shared<Batch>(currentResponse(), monotonicNow());
  const bool closes = owner_.isDraining() || !parser_.keepsAlive();
  batch_->response()->bytes = chunkedResponseHead("application/x-ndjson", closes, unixNow() / 1'000'000);
}

void HttpSession::finishBatch() {
  const auto batch = std::exchange(batch_, nullptr);
  parser_.reset();
  batch->finishInput([this, &batch](const Batch::Line& line) { onBatchLine(batch, line); });
  releaseBatchResults(*batch);
}

void HttpSession::onBatchLine(const std::shared_ptr<Batch>& batch, const Batch::Line& line) {
  const auto result = batch->appendResult();
  if (line.too_long)
    return complete(*result, {}, problemResponse(bodyTooLong()));
  std::string id;
  auto message = readBatchLine(line.text, id);
  if (!isValidToken(id))
    id.clear();
  if (const auto* problem = std::get_if<Problem>(&message))
    return complete(*result, id, problemResponse(*problem));
  if (owner_.rejectsNewRequests())
    return complete(*result, id, drainingResponse(id));
  Submission& submission = std::get<Submission>(message);
  submission.listener_kind = kListenerKind;
  submission.is_abandoned = abandonedCheck();
  owner_.handler().submit(std::move(submission), [self = shared_from_this(), batch, result,
                                                  id](const SubmissionResult& submission_result) {
    complete(*result, id, submissionResponse(id, submission_result));
    self->releaseBatchResults(*batch);
  });
  if (!result->complete)
    result->request_bytes = line.text.size();
}

void HttpSession::releaseBatchResults(Batch& batch) {
  if (!open_)
    return;
  batch.releaseResults();
  flush();
  processInputLater();
}

// Ends a batch whose rest can't be read: the lines that were read keep their results, and one more line
// reports the problem.
void HttpSession::abortBatch(const Problem& problem) {
  const auto batch = std::exchange(batch_, nullptr);
  parser_.reset();
  response_placed_ = false;
  last_request_read_ = true;
  batch->response()->closes_connection = true;
  complete(*batch->appendResult(), {}, problemResponse(problem));
  batch->abortInput();
  releaseBatchResults(*batch);
}

}  // namespace grademux
