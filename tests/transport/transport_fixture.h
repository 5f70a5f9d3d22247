// Fixtures for the tests of the HTTP transport over loopback sockets.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "../../src/transport/http/http_transport.h"
#include "../support/loopback.h"

namespace grademux {

using loopback::answer;

struct TransportFixture {
  explicit TransportFixture(Micros conn_idle = 60'000'000, Micros dial = 5'000'000)
      : transport(io, {dial, conn_idle, 16}, [this](AttemptOutcome o) { outcomes.push_back(std::move(o)); }) {
  }

  AcceptedMessage message(const std::string& id) {
    AcceptedMessage m;
    m.id = id;
    m.idempotency_key = "5c0f6e1a2b3d4c59";
    m.body = std::string("any\0bytes\r\n", 11);
    return m;
  }
  // Starts an attempt and waits for its outcome.
  AttemptOutcome runAttempt(const std::string& id, Micros timeout = 60'000'000) {
    const std::size_t before = outcomes.size();
    transport.startAttempt({message(id), 0, "e", timeout});
    return waitFor(before + 1);
  }
  // Lets idle connections rest, as they do between two calls.
  void rest() {
    constexpr std::chrono::milliseconds kLongerThanAnyRest{25};
    io.restart();
    io.run_for(kLongerThanAnyRest);
  }
  AttemptOutcome waitFor(std::size_t count) {
    const auto until = std::chrono::steady_clock::now() + loopback::kLong;
    while (outcomes.size() < count && std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_one_for(std::chrono::seconds(1));
    }
    EXPECT_EQ(count, outcomes.size());
    return outcomes.empty() ? AttemptOutcome{} : outcomes.back();
  }

  boost::asio::io_context io;
  std::vector<AttemptOutcome> outcomes;
  HttpTransport transport;
};

// Accepts connections in the test itself, so that the test decides when each byte is sent, without an event
// loop.
struct ManualServer {
  int accept() {
    pollfd ready{listener.fd, POLLIN, 0};
    constexpr int kLongMs = 20'000;
    if (::poll(&ready, 1, kLongMs) <= 0) {
      ADD_FAILURE() << "no connection came";
      return -1;
    }
    return ::accept4(listener.fd, nullptr, nullptr, SOCK_CLOEXEC);
  }
  // Runs the transport until the complete request has arrived.
  static void readRequest(TransportFixture& fixture, int fd) {
    std::string in;
    EXPECT_TRUE(loopback::eventually([&] {
      fixture.io.restart();
      fixture.io.poll();
      char piece[4096];
      const ssize_t n = ::recv(fd, piece, sizeof piece, MSG_DONTWAIT);
      if (n > 0)
        in.append(piece, static_cast<std::size_t>(n));
      return in.find("any") != std::string::npos;  // its body
    }));
  }
  // Starts the first attempt to endpoint "e", which is this server, reads its request and returns the
  // connection.
  int startFirstAttempt(TransportFixture& fixture, const std::string& id) {
    fixture.transport.setAddress("e", listener.address(), 0);
    fixture.transport.startAttempt({fixture.message(id), 0, "e", 60'000'000});
    fixture.io.poll();
    const int fd = accept();
    readRequest(fixture, fd);
    return fd;
  }
  static void send(int fd, const std::string& bytes) {
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  loopback::Listener listener;
};

// An endpoint that takes its time for the first response, and then writes late copies of it. What arrives at
// once after a request on the same connection can't be the response to that request.
struct LateCopyFixture : TransportFixture {
  explicit LateCopyFixture(const std::string& first_response = answer("200 OK",
                                                                      "X-Pressure: x0=0.4,x1=25\r\n", "done"),
                           AttemptResult first_result = AttemptResult::ok)
      : kFirstResponse(first_response) {
    transport.setOnResponseSetAside([this](const ResponseSetAside& response) {
      EXPECT_EQ("second", response.id);
      set_aside.push_back(response);
    });
    fd = server.startFirstAttempt(*this, "first");
    io.restart();
    io.run_for(kResponseTime);
    ManualServer::send(fd, kFirstResponse);
    EXPECT_EQ(first_result, waitFor(1).result);
    EXPECT_EQ(1u, transport.idleConnections());
    rest();
  }
  ~LateCopyFixture() { ::close(fd); }
  // Starts the next attempt, whose request arrives on the connection of the first.
  void startSecondAttempt(Micros timeout = 60'000'000) {
    transport.startAttempt({message("second"), 0, "e", timeout});
    ManualServer::readRequest(*this, fd);
  }
  // Lets the transport read what was sent.
  void runLoop() {
    io.restart();
    io.poll();
  }
  // Long beside the pauses of a busy machine: an early response comes within a quarter of it.
  static constexpr std::chrono::milliseconds kResponseTime{1200};
  const std::string kFirstResponse;
  std::vector<ResponseSetAside> set_aside;
  ManualServer server;
  int fd = -1;
};

}  // namespace grademux
