// One client connection of the HTTP listener (HTTP/1.1, RFC 9112): reads requests while earlier ones are
// open, routes them, and writes the responses in order. Each step has a time limit, and the memory of a
// connection is bounded. A session refers to its listener only through HttpSessionOwner. Loop thread only;
// sessions are shared with their pending socket operations and submissions, and closed sessions may outlive
// the listener.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "../../core/message.h"
#include "../buffer_usage.h"
#include "../client_memory.h"
#include "../connection_close.h"
#include "batch.h"
#include "request_messages.h"
#include "request_parser.h"
#include "response_messages.h"
#include "response_queue.h"

namespace grademux {

class HttpSession;

struct HttpLimits {
  std::size_t connections = 256;
  std::size_t pipeline = 16;           // requests of a connection that are read and not answered
  std::size_t batch_window = 64;       // lines of a batch that are read and not answered
  std::size_t request_bytes = 131072;  // the body of a request, or one line of a batch
  Micros max_wait = 30'000'000;        // upper bound of a client's "Prefer: wait"
  Micros idle_timeout = 60'000'000;    // after this time a connection without a request is closed
};

// The interface of the listener to its sessions. A closed session makes no calls to the owner.
class HttpSessionOwner {
 public:
  virtual ~HttpSessionOwner() = default;
  virtual SubmissionHandler& handler() = 0;
  virtual const HttpLimits& limits() const = 0;
  // Whether clients are to disconnect: connections are closed between requests.
  virtual bool isDraining() const = 0;
  virtual Micros drainingSince() const = 0;  // monotonic; meaningful while isDraining()
  // Whether new submissions are answered with 503.
  virtual bool rejectsNewRequests() const = 0;
  // The buffer that all sessions read into, before each keeps the bytes that it needs: an idle connection
  // holds no buffer.
  virtual std::vector<char>& readBuffer() = 0;
  // The memory that all sessions share; outlives each open session.
  virtual ClientMemory& memory() = 0;
  virtual void onRequestOpened() = 0;
  virtual void onRequestsClosed(std::size_t count) = 0;
  // Called when the session becomes idle (`idle`) or stops being idle.
  virtual void onIdleChanged(const HttpSession& session, bool idle) = 0;
  // Called when the session has closed its socket; the owner removes the session.
  virtual void onSessionClosed(const HttpSession& session) = 0;
};

class HttpSession : public std::enable_shared_from_this<HttpSession>, private MemoryHolder {
 public:
  // The memory of a connection without its buffers: the session, its place in the table, its descriptor.
  static constexpr std::size_t kConnectionBytes = 4096;

  // `number`: identifies the connection within the listener; spreads the closes of idle connections in a
  // drain.
  HttpSession(HttpSessionOwner& owner, boost::asio::ip::tcp::socket socket, std::int64_t number);

  // Starts to serve. Called once, after the owner has added the session as an idle one.
  void start() { read(); }
  // When the current request or, without a request, the idle time began; monotonic, microseconds.
  Micros since() const { return since_; }
  BufferUsage bufferUsage() const;
  // Applies the time limits.
  void checkLimits(Micros now);
  // Called when clients are to disconnect: answers requests that wait for a final outcome. With `close_idle`,
  // closes the connection if no request is open.
  void drain(bool close_idle);
  // Closes the connection without writing the pending responses.
  void close();

 private:
  using ResponsePointer = http_listener::ResponseQueue::Pointer;

  // MemoryHolder
  void onMemoryAvailable() override;
  bool isWaitingForClient() const override;
  void shedMemory() override;
  void reportMemory();
  std::size_t memoryBytes() const;

  // Reading.
  void waitToRead();
  void read();
  std::size_t readAvailable(boost::system::error_code& error);
  bool isReadingBody() const;
  std::size_t missingBodyBytes() const;
  void onEndOfInput();
  void processInput();
  void processInputLater();
  bool parseStep();
  bool mayRead() const;
  bool noteClientSide();
  std::function<bool()> abandonedCheck();

  // Requests.
  bool onHead();
  bool onBody(std::string_view bytes);
  void onRequestRead();
  ResponsePointer currentResponse();
  void route(const ResponsePointer& response, bool is_get, bool is_put, const http_listener::Fields& fields);
  void rejectMethod(const ResponsePointer& response, const char* allowed);
  void submit(const ResponsePointer& response, const std::string& id, const http_listener::Fields& fields);
  Micros preferredWait(const http_listener::Fields& fields) const;
  void waitForOutcome(const ResponsePointer& response, const std::string& id, Micros wait);
  void answerAccepted(const ResponsePointer& response);
  void rejectRequest(const http_listener::Problem& problem);
  http_listener::Problem bodyTooLong() const;

  // Batches.
  void startBatch();
  void finishBatch();
  void onBatchLine(const std::shared_ptr<http_listener::Batch>& batch,
                   const http_listener::Batch::Line& line);
  void releaseBatchResults(http_listener::Batch& batch);
  void abortBatch(const http_listener::Problem& problem);

  // Responses.
  void answer(const ResponsePointer& response, const http_listener::Response& content);
  void render(const ResponsePointer& response, const http_listener::Response& content);
  void flush();
  void write(std::size_t from);
  void onWritten();

  // Time limits and the close of the connection.
  bool isIdle() const;
  void reportIdle();
  void checkOutcomeWaits(Micros now);
  bool checkDraining(Micros now);
  void checkRequestLimit(Micros now);
  void refuseRest(const http_listener::Problem& problem);
  void closeIfIdle();
  void closeGracefully();

  HttpSessionOwner& owner_;
  boost::asio::ip::tcp::socket socket_;
  const std::int64_t number_;
  Micros since_;

  std::string input_;
  std::size_t parsed_ = 0;  // number of bytes of `input_` that are parsed
  http_listener::RequestParser parser_;
  std::variant<http_listener::Target, http_listener::Problem> target_;  // of the request that is being read
  std::string body_;                                                    // of that request
  bool response_placed_ = false;                 // that request has its place in `responses_`
  std::shared_ptr<http_listener::Batch> batch_;  // set while a batch request is being read

  http_listener::ResponseQueue responses_;
  std::vector<std::weak_ptr<http_listener::PendingResponse>> outcome_waits_;
  std::string output_;                // the bytes that are being written
  std::size_t output_responses_ = 0;  // responses whose last byte is in `output_`
  Micros write_since_ = 0;            // time of the last progress of the write
  int consecutive_client_errors_ = 0;

  ClientMemory::Account memory_;
  GracefulClose graceful_close_;
  bool open_ = true;
  bool input_ended_ = false;        // the client has closed its sending side, and its last byte was read
  bool client_finished_ = false;    // the client has closed its sending side
  bool last_request_read_ = false;  // further input is not parsed
  bool has_read_request_ = false;
  bool waiting_to_read_ = false, writing_ = false, close_after_write_ = false;
  bool process_scheduled_ = false;
  bool reported_idle_ = true;
};

}  // namespace grademux
