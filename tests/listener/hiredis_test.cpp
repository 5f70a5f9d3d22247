// The RESP2 listener with hiredis, the C library that many other clients use, with its default settings:
// connect, put, get, wait, a pipeline of 100, and a reconnect after the sender was killed.
#include <hiredis/hiredis.h>

#include "../../harness/sender_process.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

using namespace loopback;

struct HiredisDeleter {
  void operator()(redisContext* context) const { redisFree(context); }
  void operator()(redisReply* reply) const { freeReplyObject(reply); }
};
using Context = std::unique_ptr<redisContext, HiredisDeleter>;
using Reply = std::unique_ptr<redisReply, HiredisDeleter>;

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
    Context context(redisConnect("127.0.0.1", port));
    EXPECT_TRUE(context && context->err == 0);
    return context;
  }
  template <class... Words>
  static Reply ask(const Context& context, const char* format, Words... words) {
    Reply reply(static_cast<redisReply*>(redisCommand(context.get(), format, words...)));
    EXPECT_TRUE(reply) << context->errstr;
    return reply;
  }
  static std::string state(const Reply& reply) {
    if (!reply || reply->type != REDIS_REPLY_ARRAY || reply->elements < 2)
      return "none";
    return {reply->element[1]->str, reply->element[1]->len};
  }
  Server shop;
  int port;
  TempFolder folder;
  harness::SenderProcess child;
};

TEST_F(Hiredis, PutsGetsWaitsPipelinesAndReconnectsAfterAKill) {
  Context context = connect();
  const std::string body("a body\r\n\0with all bytes", 23);
  Reply reply =
      ask(context, "MSG.PUT 0 %s c=order,d=20000,k=%s,dest=shop %b", "one", "one", body.data(), body.size());
  ASSERT_EQ(reply->type, REDIS_REPLY_STATUS);
  EXPECT_STREQ(reply->str, "OK");
  EXPECT_EQ(state(ask(context, "MSG.WAIT %s 15000", "one")), "delivered");
  EXPECT_EQ(state(ask(context, "MSG.GET %s", "one")), "delivered");
  EXPECT_EQ(ask(context, "MSG.GET %s", "nobody")->type, REDIS_REPLY_NIL);
  EXPECT_EQ(shop.seen().at(0).body, body);
  EXPECT_EQ(ask(context, "NO.SUCH %s", "thing")->type, REDIS_REPLY_ERROR);

  for (int i = 0; i < 100; ++i)
    redisAppendCommand(context.get(), "MSG.PUT 0 p%d c=order,d=20000,k=p%d,dest=shop x", i, i);
  for (int i = 0; i < 100; ++i) {
    void* received = nullptr;
    ASSERT_EQ(redisGetReply(context.get(), &received), REDIS_OK) << context->errstr;
    const Reply put_reply(static_cast<redisReply*>(received));
    EXPECT_STREQ(put_reply->str, "OK");
  }
  kill();
  EXPECT_EQ(redisCommand(context.get(), "PING"), nullptr);
  start();
  ASSERT_EQ(redisReconnect(context.get()), REDIS_OK) << context->errstr;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "p" + std::to_string(i);
    EXPECT_EQ(state(ask(context, "MSG.WAIT %s 15000", id.c_str())), "delivered") << id;
  }
}

// Inline commands, unknown commands and commands with wrong arguments among valid requests of one pipeline.
TEST_F(Hiredis, AnswersInlineUnknownAndInvalidCommandsInAPipeline) {
  Client client(port);
  client.send("PING\r\n" + Client::request({"NO.SUCH"}) +
              "msg.put 0 typed c=order,d=20000,k=t,dest=shop \"a body\"\r\n" + Client::request({"MSG.GET"}) +
              Client::request({"ECHO", "still here"}) + "MSG.WAIT typed 15000\r\n");
  EXPECT_EQ(client.line(), "+PONG");
  EXPECT_EQ(client.line(), "-ERR unknown command");
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(client.line(), "-ERR wrong number of arguments");
  EXPECT_EQ(client.line(), "$10");
  EXPECT_EQ(client.line(), "still here");
  EXPECT_EQ(client.line().substr(0, 1), "*");
  client.line(), client.line(), client.line();
  EXPECT_EQ(client.line(), "delivered");
  EXPECT_EQ(shop.seen().at(0).body, "a body");
  Client http_client(port);
  http_client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(http_client.line(), "-ERR Protocol error: expected '*'");
  EXPECT_TRUE(http_client.ended());
}

}  // namespace
}  // namespace grademux
