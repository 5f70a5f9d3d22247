// hiredis, the C client that many others stand on, with its usual settings at the RESP2 listener: connect,
// put, get, wait, a pipeline of 100, and again after a kill.
#include <hiredis/hiredis.h>

#include "../../harness/sender_process.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

using namespace loopback;

struct Free {
  void operator()(redisContext* c) const { redisFree(c); }
  void operator()(redisReply* r) const { freeReplyObject(r); }
};
using Context = std::unique_ptr<redisContext, Free>;
using SubmissionCallback = std::unique_ptr<redisReply, Free>;

struct Hiredis : ::testing::Test {
  Hiredis() : shop([](const Seen&) { return Act{answer("200 OK")}; }), port(harness::ownPort()) {
    std::ofstream(folder.path() + "/grademux.toml")
        << "[[door]]\nkind = \"resp\"\nlisten = \"127.0.0.1:" << port << "\"\n"
        << "[[class]]\nname = \"order\"\neffect = \"keyed\"\nmemory = \"1 min\"\n"
        << "[[partner]]\nname = \"shop\"\nendpoints = [\"" << shop.address() << "\"]\n";
    start();
  }
  ~Hiredis() override { kill(); }
  void start() {
    child.start({senderProgram(), "run", "--daemon", folder.path() + "/grademux.toml"}, {},
                folder.path() + "/log");
    ASSERT_TRUE(child.waitForPort(port, 30));
  }
  void kill() {
    if (!child.running())
      return;
    child.signal(SIGKILL);
    child.wait();
  }
  Context connect() const {
    Context c(redisConnect("127.0.0.1", port));
    EXPECT_TRUE(c && c->err == 0);
    return c;
  }
  template <class... Words>
  static SubmissionCallback ask(const Context& c, const char* format, Words... words) {
    SubmissionCallback r(static_cast<redisReply*>(redisCommand(c.get(), format, words...)));
    EXPECT_TRUE(r) << c->errstr;
    return r;
  }
  static std::string state(const SubmissionCallback& r) {
    if (!r || r->type != REDIS_REPLY_ARRAY || r->elements < 2)
      return "none";
    return {r->element[1]->str, r->element[1]->len};
  }
  Server shop;
  int port;
  TempFolder folder;
  harness::SenderProcess child;
};

TEST_F(Hiredis, PutsGetsWaitsPipelinesAndReconnectsAfterAKill) {
  Context c = connect();
  const std::string body("a body\r\n\0with all bytes", 23);
  SubmissionCallback r =
      ask(c, "MSG.PUT 0 %s c=order,d=20000,k=%s,dest=shop %b", "one", "one", body.data(), body.size());
  ASSERT_EQ(r->type, REDIS_REPLY_STATUS);
  EXPECT_STREQ(r->str, "OK");
  EXPECT_EQ(state(ask(c, "MSG.WAIT %s 15000", "one")), "delivered");
  EXPECT_EQ(state(ask(c, "MSG.GET %s", "one")), "delivered");
  EXPECT_EQ(ask(c, "MSG.GET %s", "nobody")->type, REDIS_REPLY_NIL);
  EXPECT_EQ(shop.seen().at(0).body, body);
  EXPECT_EQ(ask(c, "NO.SUCH %s", "thing")->type, REDIS_REPLY_ERROR);

  for (int i = 0; i < 100; ++i)
    redisAppendCommand(c.get(), "MSG.PUT 0 p%d c=order,d=20000,k=p%d,dest=shop x", i, i);
  for (int i = 0; i < 100; ++i) {
    void* got = nullptr;
    ASSERT_EQ(redisGetReply(c.get(), &got), REDIS_OK) << c->errstr;
    const SubmissionCallback each(static_cast<redisReply*>(got));
    EXPECT_STREQ(each->str, "OK");
  }
  kill();
  EXPECT_EQ(redisCommand(c.get(), "PING"), nullptr);
  start();
  ASSERT_EQ(redisReconnect(c.get()), REDIS_OK) << c->errstr;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "p" + std::to_string(i);
    EXPECT_EQ(state(ask(c, "MSG.WAIT %s 15000", id.c_str())), "delivered") << id;
  }
}

// Typed by hand, among good requests of a program.
TEST_F(Hiredis, PipelinesInlineUnknownAndWrongCommandsAmongGoodOnes) {
  Client c(port);
  c.send("PING\r\n" + Client::request({"NO.SUCH"}) +
         "msg.put 0 typed c=order,d=20000,k=t,dest=shop \"a body\"\r\n" + Client::request({"MSG.GET"}) +
         Client::request({"ECHO", "still here"}) + "MSG.WAIT typed 15000\r\n");
  EXPECT_EQ(c.line(), "+PONG");
  EXPECT_EQ(c.line(), "-ERR unknown command");
  EXPECT_EQ(c.line(), "+OK");
  EXPECT_EQ(c.line(), "-ERR wrong number of arguments");
  EXPECT_EQ(c.line(), "$10");
  EXPECT_EQ(c.line(), "still here");
  EXPECT_EQ(c.line().substr(0, 1), "*");
  c.line(), c.line(), c.line();
  EXPECT_EQ(c.line(), "delivered");
  EXPECT_EQ(shop.seen().at(0).body, "a body");
  Client odd(port);
  odd.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(odd.line(), "-ERR Protocol error: expected '*'");
  EXPECT_TRUE(odd.ended());
}

}  // namespace
}  // namespace grademux
