// docs/openapi.yaml against the HTTP listener: each response is described, and each field of a message.
#include <yaml-cpp/yaml.h>

#include <regex>

#include "../../src/listener/http/request_messages.h"
#include "../support/http_client.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

using namespace loopback;

json toJson(const YAML::Node& node) {
  if (node.IsMap()) {
    json object = json::object();
    for (const auto& item : node)
      object[item.first.as<std::string>()] = toJson(item.second);
    return object;
  }
  if (node.IsSequence()) {
    json array = json::array();
    for (const auto& item : node)
      array.push_back(toJson(item));
    return array;
  }
  if (!node.IsScalar())
    return nullptr;
  const std::string text = node.Scalar();
  if (node.Tag() == "!")
    return text;  // quoted
  const json value = json::parse(text, nullptr, false);
  return value.is_boolean() || value.is_number() ? value : json(text);
}

struct Description {
  json all = toJson(YAML::LoadFile(sourceFolder() + "/docs/openapi.yaml"));

  const json& resolve(const json& reference) const {
    return reference.contains("$ref")
               ? all.at(json::json_pointer(reference["$ref"].get<std::string>().substr(1)))
               : reference;
  }
  // The first violation of a schema by a value, for the keywords that the description uses; empty if the
  // value is valid.
  std::string violation(const json& schema_or_ref, const json& value) const {
    const json& schema = resolve(schema_or_ref);
    if (schema.contains("oneOf")) {
      const auto fits = [&](const json& one) { return violation(one, value).empty(); };
      return std::count_if(schema["oneOf"].begin(), schema["oneOf"].end(), fits) == 1
                 ? ""
                 : "not one of: " + value.dump();
    }
    const std::string type = schema.value("type", "");
    const bool fits = type == "object"    ? value.is_object()
                      : type == "string"  ? value.is_string()
                      : type == "integer" ? value.is_number_integer()
                      : type == "boolean" ? value.is_boolean()
                                          : false;
    if (!fits)
      return "not of type " + type + ": " + value.dump();
    if (schema.contains("enum") &&
        std::find(schema["enum"].begin(), schema["enum"].end(), value) == schema["enum"].end())
      return "not in the enumeration: " + value.dump();
    if (schema.contains("minimum") && value < schema["minimum"])
      return "too small: " + value.dump();
    if (schema.contains("maximum") && value > schema["maximum"])
      return "too large: " + value.dump();
    if (schema.contains("pattern") &&
        !std::regex_match(value.get<std::string>(), std::regex(schema["pattern"].get<std::string>())))
      return "no match: " + value.dump();
    if (type != "object")
      return "";
    for (const json& name : schema.value("required", json::array()))
      if (!value.contains(name.get<std::string>()))
        return "missing " + name.dump();
    for (const auto& item : value.items()) {
      if (!schema["properties"].contains(item.key()))
        return "not described: " + item.key();
      const std::string inner = violation(schema["properties"][item.key()], item.value());
      if (!inner.empty())
        return item.key() + ": " + inner;
    }
    return "";
  }
  const json& responses(const std::string& path, const std::string& method) const {
    return all.at("paths").at(path).at(method).at("responses");
  }
};

struct ResponseChecker {
  Description openapi;
  std::set<std::string> seen;
  void check(const std::string& path, const std::string& method, const HttpReply& reply) {
    const std::string status = std::to_string(reply.status);
    const json& all = openapi.responses(path, method);
    ASSERT_TRUE(all.contains(status)) << method << " " << path << ": " << status << " is not described";
    seen.insert(method + " " + status);
    const json& response = openapi.resolve(all[status]);
    const std::string type = reply.field("Content-Type");
    ASSERT_TRUE(response["content"].contains(type)) << status << ": " << type;
    const json& schema = response["content"][type]["schema"];
    if (type == "application/x-ndjson") {
      for (const json& line : reply.lines())
        EXPECT_EQ("", openapi.violation(schema, line)) << line;
    } else {
      EXPECT_EQ("", openapi.violation(schema, reply.document())) << reply.body;
    }
    if (response.contains("headers"))
      EXPECT_FALSE(reply.field("Retry-After").empty());
  }
};

TEST(OpenApi, DescribesEveryResponse) {
  std::atomic<bool> silent{true};
  HttpFleet fleet([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  ResponseChecker checker;
  const std::string one = "/v1/messages/{id}", batch = "/v1/messages:batch";
  auto put = [&](const std::string& id, const std::string& document, const std::string& fields = "") {
    checker.check(one, "put", fleet.put(id, document, fields));
  };
  put("a", messageDocument("notice", 7));
  put("a", messageDocument("notice", 7, "other"));
  put("b", "{");
  put("b", messageDocument("nonsense", 7));
  put("b", "x", "Content-Type: text/plain\r\n");
  put("b", messageDocument("notice", 7, std::string(70'000, 'x')));
  checker.check(one, "get", fleet.get("a"));
  checker.check(one, "get", fleet.get("unheard"));
  checker.check(one, "get", fleet.get("%zz"));
  HttpClient slow(fleet.http), coded(fleet.http), header(fleet.http);
  slow.send("PUT /v1/messages/slow HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n");
  coded.send("PUT /v1/messages/coded HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n");
  checker.check(one, "put", coded.reply());
  header.send("PUT /v1/messages/h HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(17'000, 'x'));
  checker.check(one, "put", header.reply());
  checker.check(one, "put", slow.reply());
  HttpClient lines(fleet.http);
  checker.check(batch, "post",
                lines.ask("POST", batch, "",
                          R"({"id":"l","class":"notice","destination":7,"deadline_ms":9000})"
                          "\nrubbish\n"));
  lines.send("POST /v1/messages:batch HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
  checker.check(batch, "post", lines.reply());
  {  // a sender that has no destinations yet
    TempFolder folder;
    const int port = harness::ownPort();
    Program sender(folder.path(), closedAddress(), json::array(), 3, plainSettings(), 1024, httpDoor(port));
    HttpClient client(port);
    checker.check(one, "put", client.ask("PUT", "/v1/messages/a", "", messageDocument("notice", 7)));
  }
  fleet.program.signal(SIGTERM);
  ASSERT_TRUE(fleet.program.waitForLog("stopping"));
  put("late", messageDocument("notice", 7));
  fleet.program.wait();
  silent = false;
  fleet.program.start();
  ASSERT_TRUE(fleet.waitForState("a", "delivered"));
  put("a", messageDocument("notice", 7));
  // Each described response was seen, so the description contains no response that the test did not check.
  for (const auto& [path, method] :
       {std::make_pair(one, "put"), std::make_pair(one, "get"), std::make_pair(batch, "post")})
    for (const auto& item : checker.openapi.responses(path, method).items())
      EXPECT_TRUE(checker.seen.count(method + (" " + item.key()))) << method << " " << item.key();
}

TEST(OpenApi, NamesTheMessageFieldsThatAreRead) {
  const Description openapi;
  const json& schema = openapi.all["components"]["schemas"]["BatchMessage"];
  json full{{"id", "m"},  {"class", "c"},     {"destination", 7}, {"deadline_ms", 1},
            {"key", "k"}, {"order_key", "o"}, {"repeat", true},   {"body", "b"}};
  auto reads = [](const json& document) {
    std::string id;
    return std::holds_alternative<Submission>(http_listener::readBatchLine(document.dump(), id));
  };
  EXPECT_EQ("", openapi.violation(schema, full));
  EXPECT_TRUE(reads(full));
  full.erase("body");
  full["body_base64"] = "YQ==";
  EXPECT_EQ("", openapi.violation(schema, full));
  EXPECT_TRUE(reads(full));
  std::set<std::string> required;
  for (const auto& item : full.items()) {
    json without = full;
    without.erase(item.key());
    EXPECT_EQ(openapi.violation(schema, without).empty(), reads(without)) << item.key();
  }
  for (const json& destination : {json("print-shop"), json("7"), json(""), json(7), json(true), json(1.5)}) {
    json other = full;
    other["destination"] = destination;
    EXPECT_EQ(openapi.violation(schema, other).empty(), reads(other)) << destination;
  }
  json more = full;
  more["surprise"] = 1;
  EXPECT_NE("", openapi.violation(schema, more));
  EXPECT_FALSE(reads(more));
}

}  // namespace
}  // namespace grademux
