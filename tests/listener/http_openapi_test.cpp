// docs/openapi.yaml against what the door answers: every answer is described, and every field of a message.
#include <yaml-cpp/yaml.h>

#include <regex>

#include "../../src/listener/http/request_messages.h"
#include "../support/http_client.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

using namespace loopback;

json toJson(const YAML::Node& n) {
  if (n.IsMap()) {
    json o = json::object();
    for (const auto& item : n)
      o[item.first.as<std::string>()] = toJson(item.second);
    return o;
  }
  if (n.IsSequence()) {
    json a = json::array();
    for (const auto& item : n)
      a.push_back(toJson(item));
    return a;
  }
  if (!n.IsScalar())
    return nullptr;
  const std::string text = n.Scalar();
  if (n.Tag() == "!")
    return text;  // quoted
  const json v = json::parse(text, nullptr, false);
  return v.is_boolean() || v.is_number() ? v : json(text);
}

struct Description {
  json all = toJson(YAML::LoadFile(sourceFolder() + "/docs/openapi.yaml"));

  const json& resolve(const json& o) const {
    return o.contains("$ref") ? all.at(json::json_pointer(o["$ref"].get<std::string>().substr(1))) : o;
  }
  // What is wrong with a value by its schema, for the keywords that the description uses; empty: nothing.
  std::string wrong(const json& schema_or_ref, const json& v) const {
    const json& s = resolve(schema_or_ref);
    if (s.contains("oneOf")) {
      const auto fits = [&](const json& one) { return wrong(one, v).empty(); };
      return std::count_if(s["oneOf"].begin(), s["oneOf"].end(), fits) == 1 ? "" : "not one of: " + v.dump();
    }
    const std::string type = s.value("type", "");
    const bool fits = type == "object"    ? v.is_object()
                      : type == "string"  ? v.is_string()
                      : type == "integer" ? v.is_number_integer()
                      : type == "boolean" ? v.is_boolean()
                                          : false;
    if (!fits)
      return "not of type " + type + ": " + v.dump();
    if (s.contains("enum") && std::find(s["enum"].begin(), s["enum"].end(), v) == s["enum"].end())
      return "not in the enumeration: " + v.dump();
    if (s.contains("minimum") && v < s["minimum"])
      return "too small: " + v.dump();
    if (s.contains("maximum") && v > s["maximum"])
      return "too large: " + v.dump();
    if (s.contains("pattern") &&
        !std::regex_match(v.get<std::string>(), std::regex(s["pattern"].get<std::string>())))
      return "no match: " + v.dump();
    if (type != "object")
      return "";
    for (const json& r : s.value("required", json::array()))
      if (!v.contains(r.get<std::string>()))
        return "missing " + r.dump();
    for (const auto& item : v.items()) {
      if (!s["properties"].contains(item.key()))
        return "not described: " + item.key();
      const std::string inner = wrong(s["properties"][item.key()], item.value());
      if (!inner.empty())
        return item.key() + ": " + inner;
    }
    return "";
  }
  const json& responses(const std::string& path, const std::string& method) const {
    return all.at("paths").at(path).at(method).at("responses");
  }
};

struct Checked {
  Description d;
  std::set<std::string> seen;
  void answer(const std::string& path, const std::string& method, const HttpReply& r) {
    const std::string status = std::to_string(r.status);
    const json& all = d.responses(path, method);
    ASSERT_TRUE(all.contains(status)) << method << " " << path << ": " << status << " is not described";
    seen.insert(method + " " + status);
    const json& response = d.resolve(all[status]);
    const std::string type = r.field("Content-Type");
    ASSERT_TRUE(response["content"].contains(type)) << status << ": " << type;
    const json& schema = response["content"][type]["schema"];
    if (type == "application/x-ndjson") {
      for (const json& line : r.lines())
        EXPECT_EQ("", d.wrong(schema, line)) << line;
    } else {
      EXPECT_EQ("", d.wrong(schema, r.document())) << r.body;
    }
    if (response.contains("headers"))
      EXPECT_FALSE(r.field("Retry-After").empty());
  }
};

TEST(OpenApi, DescribesEveryResponse) {
  std::atomic<bool> silent{true};
  HttpFleet f([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  Checked c;
  const std::string one = "/v1/messages/{id}", batch = "/v1/messages:batch";
  auto put = [&](const std::string& id, const std::string& document, const std::string& fields = "") {
    c.answer(one, "put", f.put(id, document, fields));
  };
  put("a", messageDocument("notice", 7));
  put("a", messageDocument("notice", 7, "other"));
  put("b", "{");
  put("b", messageDocument("nonsense", 7));
  put("b", "x", "Content-Type: text/plain\r\n");
  put("b", messageDocument("notice", 7, std::string(70'000, 'x')));
  c.answer(one, "get", f.get("a"));
  c.answer(one, "get", f.get("unheard"));
  c.answer(one, "get", f.get("%zz"));
  HttpClient slow(f.http), coded(f.http), header(f.http);
  slow.send("PUT /v1/messages/slow HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n");
  coded.send("PUT /v1/messages/coded HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n");
  c.answer(one, "put", coded.reply());
  header.send("PUT /v1/messages/h HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(17'000, 'x'));
  c.answer(one, "put", header.reply());
  c.answer(one, "put", slow.reply());
  HttpClient lines(f.http);
  c.answer(batch, "post",
           lines.ask("POST", batch, "",
                     R"({"id":"l","class":"notice","destination":7,"deadline_ms":9000})"
                     "\nrubbish\n"));
  lines.send("POST /v1/messages:batch HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
  c.answer(batch, "post", lines.reply());
  {  // a sender that knows no destination yet
    TempFolder folder;
    const int port = harness::ownPort();
    Program unaware(folder.path(), closedAddress(), json::array(), 3, plainSettings(), 1024, httpDoor(port));
    HttpClient client(port);
    c.answer(one, "put", client.ask("PUT", "/v1/messages/a", "", messageDocument("notice", 7)));
  }
  f.program.signal(SIGTERM);
  ASSERT_TRUE(f.program.waitForLog("stopping"));
  put("late", messageDocument("notice", 7));
  f.program.wait();
  silent = false;
  f.program.start();
  ASSERT_TRUE(f.waitForState("a", "delivered"));
  put("a", messageDocument("notice", 7));
  // All that is described was seen, so none of it is a promise that nobody looked at.
  for (const auto& [path, method] :
       {std::make_pair(one, "put"), std::make_pair(one, "get"), std::make_pair(batch, "post")})
    for (const auto& item : c.d.responses(path, method).items())
      EXPECT_TRUE(c.seen.count(method + (" " + item.key()))) << method << " " << item.key();
}

TEST(OpenApi, NamesTheMessageFieldsThatAreRead) {
  const Description d;
  const json& schema = d.all["components"]["schemas"]["BatchMessage"];
  json full{{"id", "m"},  {"class", "c"},     {"destination", 7}, {"deadline_ms", 1},
            {"key", "k"}, {"order_key", "o"}, {"repeat", true},   {"body", "b"}};
  auto reads = [](const json& o) {
    std::string id;
    return std::holds_alternative<Submission>(http_listener::readBatchLine(o.dump(), id));
  };
  EXPECT_EQ("", d.wrong(schema, full));
  EXPECT_TRUE(reads(full));
  full.erase("body");
  full["body_base64"] = "YQ==";
  EXPECT_EQ("", d.wrong(schema, full));
  EXPECT_TRUE(reads(full));
  std::set<std::string> required;
  for (const auto& item : full.items()) {
    json without = full;
    without.erase(item.key());
    EXPECT_EQ(d.wrong(schema, without).empty(), reads(without)) << item.key();
  }
  for (const json& destination : {json("print-shop"), json("7"), json(""), json(7), json(true), json(1.5)}) {
    json other = full;
    other["destination"] = destination;
    EXPECT_EQ(d.wrong(schema, other).empty(), reads(other)) << destination;
  }
  json more = full;
  more["surprise"] = 1;
  EXPECT_NE("", d.wrong(schema, more));
  EXPECT_FALSE(reads(more));
}

}  // namespace
}  // namespace grademux
