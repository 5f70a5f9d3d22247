// grademux: the HTTP door's connections; see server.h.
#include "http_listener.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <cstring>
#include <deque>
#include <optional>
#include <variant>

#include "../../core/clock.h"
#include "../connection_close.h"
#include "messages.h"

namespace grademux {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace http_listener;

namespace {

constexpr std::size_t kPiece = 16384, kHeaderLimit = 16384;
constexpr int kKernelBuffer = 32768;
constexpr std::size_t kOutLimit = 65536;  // bytes of answers held before reading stops
// A client is owed an error or its end within 3 s. Limits on: a whole request (of a batch: a line) from its
// first byte on, and an answer's way out without progress.
constexpr Micros kWhole = 2'000'000, kWrite = 2'000'000;
constexpr Micros kFirstByte = 10'000'000;  // clients open connections ahead of need
constexpr Micros kMayClose = 2'000'000;    // idle for so long, a connection makes room for a newcomer
constexpr int kMostFaults = 64;            // useless requests in a row

std::string lower(boost::beast::string_view s) {
  std::string out(s.data(), s.size());
  for (char& c : out)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return out;
}

}  // namespace

struct HttpListener::Session : std::enable_shared_from_this<Session> {
  // The place of one request in the order of answers. What stands in `out` may be written once it is first.
  struct Slot {
    std::string out;
    std::function<Response()> late;  // made when it is first: it must see what came before it
    bool done = false, close = false;
    // A request that waits for the end of its message until then, and what it is told if that is later.
    Micros wait_until = 0;
    std::string id;
  };
  struct Line {  // of a batch, in order
    std::string out;
    bool done = false;
  };
  struct Batch : std::enable_shared_from_this<Batch> {
    std::shared_ptr<Slot> slot;
    std::deque<std::shared_ptr<Line>> lines;
    std::string line;       // read so far
    bool too_long = false;  // its rest is thrown away
    bool whole = false;     // all of it was read
    Micros line_since = 0;
  };
  using Parser = http::request_parser<http::buffer_body>;

  Session(HttpListener& d, tcp::socket s) : door(d), socket(std::move(s)), number(++d.next_id_) {}

  HttpListener& door;
  tcp::socket socket;
  const std::int64_t number;  // among the door's connections
  std::string in, body, writing;
  std::size_t at = 0;  // of `in` has been read
  std::optional<Parser> parser;
  std::variant<Target, Problem> target;  // of the request that is being read, once its head is there
  bool head_done = false, last = false;  // last: no request is read after this one
  bool open = true, waiting = false, write_busy = false, ended = false, used = false;
  GracefulClose graceful_close;
  std::deque<std::shared_ptr<Slot>> slots;
  std::shared_ptr<Batch> batch;
  std::vector<std::weak_ptr<Slot>> waits;
  Micros since = monotonicNow();  // the request's first byte, or idle since
  Micros write_since = 0;
  int faults = 0;

  // ---- reading

  bool mayRead() const {
    std::size_t held = writing.size();
    for (const auto& s : slots)
      held += s->out.size();
    if (held >= kOutLimit)
      return false;
    if (batch)
      return batch->lines.size() < door.limits_.batch_window;
    return slots.size() < std::max<std::size_t>(1, door.limits_.pipeline);
  }

  void wait() {
    if (waiting || !open || ended)
      return;
    waiting = true;
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code e) {
      self->waiting = false;
      if (!self->open || e == asio::error::operation_aborted)
        return;
      e ? self->close() : self->read();
    });
  }

  void read() {
    error_code e;
    const std::size_t n = socket.read_some(asio::buffer(door.read_buffer_), e);
    if (e == asio::error::would_block || e == asio::error::try_again)
      return wait();
    if (e == asio::error::eof)
      return endOfInput();
    if (e)
      return close();
    if (graceful_close.isStarted())
      return graceful_close.discard(n) ? close() : wait();
    in.append(door.read_buffer_.data(), n);
    go();
  }

  // A client may end its sending and still read: what it has asked for is answered.
  void endOfInput() {
    ended = true;
    if (graceful_close.isStarted() || (slots.empty() && !write_busy))
      return close();
    if (batch && !batch->whole)
      return spoil({400, "malformed-request", "the batch did not come to its end"});
    last = true;
    for (const auto& s : slots)
      s->close = s == slots.back();
    flush();
  }

  // Takes what has come as far as the bounds allow, then waits for more.
  void go() {
    while (open && !last && mayRead() && at < in.size()) {
      if (!step())
        break;
    }
    if (!open)
      return;
    in.erase(0, at);
    at = 0;
    if (in.empty())
      in.shrink_to_fit();
    if (last && !graceful_close.isStarted())
      in.clear();
    flush();
    if (open && !last && mayRead())
      wait();
    updateGroup();
  }

  // Tells the table whether this connection is idle; called at the end of each step that can change that.
  void updateGroup() {
    const std::size_t now_in = idle() ? kIdle : kBusy;
    if (open && now_in != group)
      door.sessions_.move(*this, group = now_in);
  }
  std::size_t group = kIdle;

  // One push of the parser. False: more bytes are needed.
  bool step() {
    if (!parser) {
      if (in[at] == '\r' || in[at] == '\n')
        return ++at, true;  // RFC 9112, section 2.2
      parser.emplace();
      parser->eager(false);
      parser->header_limit(kHeaderLimit);
      // The limit is held to by this door, which knows more of the request than the parser. Boost 1.74 takes
      // none for a limit of 0.
      parser->body_limit(UINT64_MAX / 2);
      head_done = false;
      since = monotonicNow();
    }
    error_code e;
    char piece[4096];
    if (head_done) {
      parser->get().body().data = piece;
      parser->get().body().size = sizeof piece;
      parser->get().body().more = true;
    }
    const std::size_t n = parser->put(asio::buffer(in.data() + at, in.size() - at), e);
    at += n;
    if (e == http::error::header_limit) {
      fail({431, "header-too-long", "a header may have 16384 bytes"});
      return false;
    }
    if (e && e != http::error::need_more && e != http::error::need_buffer) {
      fail({400, "malformed-request", e.message()});
      return false;
    }
    if (head_done) {
      const std::size_t got = sizeof piece - parser->get().body().size;
      if (got > 0 && !takeBody(piece, got))
        return false;
    } else if (parser->is_header_done()) {
      head_done = true;
      if (!head())
        return false;
    }
    if (n == 0 && in.size() - at > kHeaderLimit) {
      fail({431, "header-too-long", "a header, or the frame of a chunk, may have 16384 bytes"});
      return false;
    }
    if (parser->is_done()) {
      whole();
      return open;
    }
    return n > 0;
  }

  // What can be told from the head alone. False: the request was turned away.
  bool head() {
    const auto& r = parser->get();
    body.clear();
    if (r.version() != 11 && r.version() != 10)
      return fail({505, "malformed-request", "HTTP/1.1 is expected"}), false;
    const bool coded = r.count(http::field::transfer_encoding) > 0;
    // RFC 9112, section 6.3: whoever reads such a request otherwise would see another one in its body.
    if (r.count(http::field::content_length) + r.count(http::field::transfer_encoding) > 1 ||
        (coded && r.version() == 10))
      return fail({400, "malformed-request", "more than one length of the body is told"}), false;
    if (coded && lower(r[http::field::transfer_encoding]) != "chunked")
      return fail({501, "unsupported-encoding", "chunked is known"}), false;
    if (r.version() == 11 && r.count(http::field::host) != 1)
      return fail({400, "malformed-request", "one field Host is expected"}), false;
    target = readTarget({r.target().data(), r.target().size()});
    const auto* there = std::get_if<Target>(&target);
    if (there && there->resource == Resource::batch && r.method() == http::verb::post && r.version() == 11) {
      beginBatch();
    } else if (parser->content_length() && *parser->content_length() > door.limits_.request_bytes) {
      return fail(tooLong()), false;
    }
    if (lower(r[http::field::expect]) == "100-continue" && !parser->is_done()) {
      if (!batch)
        place();
      slots.back()->out.insert(0, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
  }

  Problem tooLong() const {
    return {413, "body-too-long",
            "a request's body, or a line of a batch, may have " + std::to_string(door.limits_.request_bytes) +
                " bytes"};
  }

  bool takeBody(const char* data, std::size_t size) {
    if (batch) {
      takeLines(data, size);
      return open;
    }
    if (body.size() + size > door.limits_.request_bytes)
      return fail(tooLong()), false;
    body.append(data, size);
    return true;
  }

  // The place of the request that is being read; made early where something is owed before its end.
  bool placed = false;
  std::shared_ptr<Slot> place() {
    if (!placed) {
      slots.push_back(std::make_shared<Slot>());
      ++door.open_requests_;
      placed = true;
    }
    return slots.back();
  }

  void whole() {
    const auto slot = place();
    placed = false;
    used = true;
    const bool keep = parser->keep_alive() && !door.isDraining();
    if (!keep)
      last = true;
    slot->close = !keep;
    if (batch) {
      const auto b = std::move(batch);
      batch = nullptr;
      parser.reset();
      if (!b->line.empty() || b->too_long)
        endLine(*b);
      b->whole = true;
      return advance(*b);
    }
    const http::verb method = parser->get().method();
    Fields fields;
    for (const auto& f : parser->get())
      fields.emplace_back(lower(f.name_string()), std::string(f.value().data(), f.value().size()));
    parser.reset();
    since = monotonicNow();
    if (const auto* wrong = std::get_if<Problem>(&target))
      return answer(slot, problemOf(*wrong));
    const Target t = std::get<Target>(target);
    if (t.resource == Resource::batch)
      return notAllowed(slot, "POST");
    if (method == http::verb::get) {
      slot->late = [this, id = t.id] { return statusOf(id, door.handler_->status(id)); };
      return flush();
    }
    if (method != http::verb::put)
      return notAllowed(slot, "GET, PUT");
    put(slot, t.id, fields);
  }

  void notAllowed(const std::shared_ptr<Slot>& slot, const char* allowed) {
    Response r = problemOf({405, "method-not-allowed", std::string("allowed here: ") + allowed});
    r.fields.emplace_back("Allow", allowed);
    answer(slot, r);
  }

  void put(const std::shared_ptr<Slot>& slot, const std::string& id, const Fields& fields) {
    auto read = readMessage(id, fields, std::move(body));
    body.clear();
    if (const auto* wrong = std::get_if<Problem>(&read))
      return answer(slot, problemOf(*wrong, id));
    if (door.rejectsNewRequests())
      return answer(slot, draining(id));
    Micros patience = 0;
    for (const auto& [name, value] : fields)
      if (name == "prefer")
        if (const auto seconds = waitAsked(value))
          patience = std::min(door.limits_.max_wait, std::min<Micros>(*seconds, 86400) * 1'000'000);
    auto& s = std::get<Submission>(read);
    s.listener_kind = "http";
    door.handler_->submit(std::move(s),
                          [self = shared_from_this(), slot, id, patience](const SubmissionResult& a) {
                            if (!self->open)
                              return;
                            if (a.kind != SubmissionResult::Kind::accepted || a.final_outcome ||
                                patience == 0 || self->door.isDraining())
                              return self->answer(slot, answerOf(id, a));
                            self->waitForEnd(slot, id, patience);
                          });
  }

  void waitForEnd(const std::shared_ptr<Slot>& slot, const std::string& id, Micros patience) {
    slot->id = id;
    slot->wait_until = monotonicNow() + patience;
    waits.push_back(slot);
    door.handler_->notifyWhenFinished(
        id, [self = weak_from_this(), s = std::weak_ptr<Slot>(slot), id](const FinalOutcome& e) {
          const auto session = self.lock();
          const auto there = s.lock();
          if (session && there && !there->done)
            session->answer(there, endOf(id, e));
        });
  }

  // It has waited long enough: the message is taken on, and has no end yet.
  void tellOpen(const std::shared_ptr<Slot>& slot) {
    answer(slot, answerOf(slot->id, SubmissionResult::accepted()));
  }

  // ---- batches

  void beginBatch() {
    batch = std::make_shared<Batch>();
    batch->slot = place();
    batch->slot->out = chunkedHead("application/x-ndjson", door.isDraining() || !parser->keep_alive(),
                                   unixNow() / 1'000'000);
    batch->line_since = monotonicNow();
  }

  void takeLines(const char* data, std::size_t size) {
    const auto b = batch;
    for (std::size_t from = 0; from < size && open;) {
      const auto* end = static_cast<const char*>(std::memchr(data + from, '\n', size - from));
      const std::size_t upto = end ? static_cast<std::size_t>(end - data) : size;
      if (b->line.empty() && !b->too_long)
        b->line_since = monotonicNow();
      if (b->line.size() + (upto - from) > door.limits_.request_bytes) {
        b->too_long = true;
        b->line.clear();
      }
      if (!b->too_long)
        b->line.append(data + from, upto - from);
      from = upto + 1;
      if (end)
        endLine(*b);
    }
    if (open)
      advance(*b);
  }

  void endLine(Batch& b) {
    std::string text;
    text.swap(b.line);
    const bool too_long = b.too_long;
    b.too_long = false;
    if (!too_long && text.find_first_not_of(" \t\r") == std::string::npos)
      return;  // an empty line asks nothing
    const auto line = std::make_shared<Line>();
    b.lines.push_back(line);
    auto done = [](Line& l, const std::string& id, const Response& r) {
      l.out = lineOf(id, r);
      l.done = true;
    };
    if (too_long)
      return done(*line, {}, problemOf(tooLong()));
    std::string id;
    auto read = readLine(text, id);
    if (!isValidToken(id))
      id.clear();
    if (const auto* wrong = std::get_if<Problem>(&read))
      return done(*line, id, problemOf(*wrong));
    if (door.rejectsNewRequests())
      return done(*line, id, draining(id));
    auto& s = std::get<Submission>(read);
    s.listener_kind = "http";
    const auto shared = b.shared_from_this();
    door.handler_->submit(std::move(s),
                          [self = shared_from_this(), b = shared, line, id, done](const SubmissionResult& a) {
                            done(*line, id, answerOf(id, a));
                            self->advance(*b);
                          });
  }

  // Moves answered lines, in order, to where they may be written.
  void advance(Batch& b) {
    if (!open)
      return;
    std::string lines;
    while (!b.lines.empty() && b.lines.front()->done) {
      lines += b.lines.front()->out;
      b.lines.pop_front();
    }
    if (!lines.empty())
      addChunk(*b.slot, lines);
    if (b.whole && b.lines.empty() && !b.slot->done) {
      b.slot->out += "0\r\n\r\n";
      b.slot->done = true;
    }
    flush();
    later();
  }

  // Reading may go on, but not from within a step of it.
  void later() {
    if (scheduled || !open)
      return;
    scheduled = true;
    asio::post(door.io_, [self = shared_from_this()] {
      self->scheduled = false;
      if (self->open && !self->graceful_close.isStarted())
        self->go();
    });
  }
  bool scheduled = false;

  static void addChunk(Slot& slot, const std::string& data) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    slot.out += size + data + "\r\n";
  }

  // The rest of a batch can't be had: what was read of it keeps its answers, then one line says why.
  void spoil(const Problem& p) {
    const auto b = batch;
    batch = nullptr;
    parser.reset();
    placed = false;
    last = true;
    b->slot->close = true;
    const auto line = std::make_shared<Line>();
    line->out = lineOf({}, problemOf(p));
    line->done = true;
    b->line.clear();
    b->lines.push_back(line);
    b->whole = true;
    advance(*b);
  }

  // ---- answering

  // A request that can't be read: its answer, then the end of the connection.
  void fail(const Problem& p) {
    if (batch)
      return spoil(p);
    const auto slot = place();
    placed = false;
    parser.reset();
    last = true;
    slot->close = true;
    answer(slot, problemOf(p));
  }

  void answer(const std::shared_ptr<Slot>& slot, const Response& r) {
    if (!open || slot->done)
      return;
    render(slot, r);
    flush();
  }

  void render(const std::shared_ptr<Slot>& slot, const Response& r) {
    const bool useless = r.status / 100 == 4 && r.status != 429;
    faults = useless ? faults + 1 : 0;
    if (faults >= kMostFaults || (door.isDraining() && slot == slots.back())) {
      slot->close = slot == slots.back();
      last = last || slot->close;
    }
    slot->out += bytesOf(r, slot->close, unixNow() / 1'000'000);
    slot->done = true;
  }

  void flush() {
    if (write_busy || !open)
      return;
    bool closing = false;
    while (!slots.empty() && !closing) {
      const auto front = slots.front();
      Slot& first = *front;
      if (first.late) {
        const auto make = std::move(first.late);
        first.late = nullptr;
        render(front, make());
      }
      writing += first.out;
      first.out.clear();
      if (!first.done)
        break;
      closing = first.close;
      slots.pop_front();
      ++owed;
    }
    if (writing.empty())
      return;
    hang_up = hang_up || closing;
    write_busy = true;
    write_since = monotonicNow();
    writeOn(0);
  }
  std::size_t owed = 0;  // answers in `writing`
  bool hang_up = false;

  void writeOn(std::size_t from) {
    socket.async_write_some(asio::buffer(writing.data() + from, writing.size() - from),
                            [self = shared_from_this(), from](error_code e, std::size_t n) {
                              if (!self->open)
                                return;
                              if (e)
                                return self->close();
                              self->write_since = monotonicNow();
                              if (from + n < self->writing.size())
                                return self->writeOn(from + n);
                              self->written();
                            });
  }

  void written() {
    write_busy = false;
    writing.clear();
    if (writing.capacity() > kPiece)
      writing.shrink_to_fit();
    door.open_requests_ -= owed;
    owed = 0;
    if (hang_up)
      return hangUp();
    if (slots.empty()) {
      if (ended)
        return close();
      if (door.isDraining() && !parser && in.empty() && isInputEmpty(socket))
        return hangUp();
      if (!parser)
        since = monotonicNow();
    }
    go();
  }

  // Sends the end and reads on for a while: a close with input unread would take the answer with it.
  void hangUp() {
    if (ended)
      return close();
    if (graceful_close.isStarted())
      return;
    graceful_close.start(socket, monotonicNow());
    in.clear();
    at = 0;
    updateGroup();
    wait();
  }

  // ---- limits

  bool idle() const { return slots.empty() && !write_busy && !parser && !graceful_close.isStarted(); }
  // Between requests, unless the next one has come meanwhile, which is then served first.
  void hangUpIfIdle() {
    if (idle() && in.empty() && isInputEmpty(socket))
      hangUp();
  }

  void checkLimit(Micros now) {
    if (write_busy && now - write_since >= kWrite)
      return close();
    if (graceful_close.isExpired(now))
      return close();
    if (graceful_close.isStarted())
      return;
    for (std::size_t i = 0; i < waits.size();) {
      const auto slot = waits[i].lock();
      if (slot && !slot->done && now < slot->wait_until) {
        ++i;
        continue;
      }
      waits.erase(waits.begin() + static_cast<std::ptrdiff_t>(i));
      if (slot)
        tellOpen(slot);
    }
    if (!open || last)
      return;
    if (door.isDraining()) {
      if (idle() && now >= std::max(since, door.draining_since_) + drainDelay(number))
        return hangUpIfIdle();
      // A batch that goes on and on: what was read of it keeps its answers.
      if (batch && !batch->whole && now - door.draining_since_ >= kDrainDeadline)
        return spoil({503, "draining", "hand the rest in elsewhere, or here again later"});
    }
    if (idle()) {
      if (now - since >= (used ? door.limits_.idle_timeout : kFirstByte))
        hangUpIfIdle();
      return;
    }
    if (!parser)
      return;
    if (!mayRead()) {  // it is this door that keeps the request from coming on
      since = now;
      if (batch)
        batch->line_since = now;
      return;
    }
    if (now - (batch ? std::max(since, batch->line_since) : since) >= kWhole) {
      const Problem slow{408, "too-slow", "2 s from the first byte to the last are allowed"};
      if (batch && batch->line.empty() && !batch->too_long &&
          now - batch->line_since < door.limits_.idle_timeout && head_done)
        return;  // between lines a batch may rest as long as a connection may
      socket.cancel();
      fail(slow);
    }
  }

  void drainNow(bool idle_too) {
    if (idle_too && idle())
      return hangUpIfIdle();
    for (const auto& w : waits)  // the message is taken on, and outlasts this process
      if (const auto slot = w.lock())
        tellOpen(slot);
    waits.clear();
  }

  void close() {
    if (!open)
      return;
    open = false;
    door.open_requests_ -= slots.size() + owed;
    slots.clear();
    owed = 0;
    const auto self = shared_from_this();
    closeNow(socket);
    door.sessions_.remove(*this);
  }
};

HttpListener::HttpListener(asio::io_context& io, const tcp::endpoint& listen, Limits limits)
    : io_(io),
      acceptor_(io, *this, ConnectionAcceptor::RoomCheck::before_accept),
      limits_(limits),
      read_buffer_(kPiece) {
  acceptor_.bind(listen);
  acceptor_.setSendBufferSize(kKernelBuffer);
}

HttpListener::~HttpListener() {
  sessions_.forEach([](Session& session) { session.close(); });
}

void HttpListener::start(SubmissionHandler& core, const operate::ServiceState& state) {
  handler_ = &core;
  state_ = &state;
  acceptor_.start();
}

void HttpListener::serve(tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.add(session, kIdle);
  session->read();  // its first request has usually arrived by now
}

// At the limit the connection that has been idle longest makes room, if for long enough.
bool HttpListener::makeRoom() {
  if (sessions_.size() < limits_.connections)
    return true;
  const std::shared_ptr<Session> longest = sessions_.oldest(kIdle);
  if (!longest || monotonicNow() - longest->since < kMayClose)
    return false;
  longest->close();
  return true;
}

void HttpListener::sweep() {
  const Micros now = monotonicNow();
  sessions_.forEach([now](Session& session) {
    if (session.open)
      session.checkLimit(now);
  });
}

void HttpListener::drain(DrainReason reason) {
  draining_since_ = monotonicNow();
  if (reason == DrainReason::removed) {
    removed_ = true;
    acceptor_.close();
  }
  sessions_.forEach([reason](Session& session) { session.drainNow(reason != DrainReason::standby); });
}

}  // namespace grademux
