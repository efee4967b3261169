#include "live/caller_gateway.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "live/asio_runtime.h"
#include "live/fake_node.h"
#include "live/http_test_client.h"

namespace covewing::live {

namespace {

struct Fixture {
  explicit Fixture(HttpLimits limits = {})
      : server(context, limits,
               [this](const HttpExchangePtr& exchange) { gateway.handle(exchange); }) {
    base::Reason reason;
    endpoint = server.listen({kLoopback, 0}, reason).value();
  }

  static std::string post(std::string_view path, std::string_view body,
                          std::string_view headers = "") {
    return "POST " + std::string{path} + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n" +
           std::string{headers} + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string{body};
  }
  static std::string chat(bool stream, std::string_view headers = "") {
    return post("/v1/chat/completions",
                std::string{R"({"model": "rules", "messages": [{"role": "u", "content": "c"}])"} +
                    (stream ? R"(, "stream": true})" : "}"),
                headers);
  }
  FakeRequestService& requests() { return node.requestService; }
  void waitForCompletion() {
    runUntil(context, [this] { return requests().completionSink != nullptr; });
  }

  boost::asio::io_context context{1};
  AsioClock clock;
  AsioTimerService timers{context};
  base::NullEventLog log;
  NodeMetrics metrics;
  FakeNode node;
  CallerGateway gateway{{clock, timers, log, metrics, node}, "refused-"};
  HttpServer server;
  base::Endpoint endpoint;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(CallerGatewayTest)

BOOST_AUTO_TEST_CASE(StreamedChatEndsWithDone) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send(Fixture::chat(true,
                            "X-Covewing-Priority: urgent\r\nIdempotency-Key: k\r\n"
                            "X-Covewing-Not-Repeatable: true\r\n"));
  fixture.waitForCompletion();
  const auto& request = fixture.requests().completion;
  BOOST_TEST(request.bearerKey == "key-1");
  BOOST_TEST((request.priority == base::PriorityClass::kUrgent));
  BOOST_TEST(request.idempotencyKey == "k");
  BOOST_TEST(request.notRepeatable);
  fixture.requests().completionSink->onChunk({0, "one"});
  client.waitFor("\"content\":\"one\"");
  BOOST_TEST(client.has("Content-Type: text/event-stream"));
  BOOST_TEST(client.has("X-Request-Id: request-1"));
  fixture.requests().completionSink->onEnd({3, 1, 1, "stop"});
  client.waitFor("data: [DONE]");
  runUntil(fixture.context, [&] { return fixture.requests().active == 0; });
}

BOOST_AUTO_TEST_CASE(UnstreamedChatCollectsTheChunks) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send(Fixture::chat(false));
  fixture.waitForCompletion();
  fixture.requests().completionSink->onChunk({0, "one "});
  fixture.requests().completionSink->onChunk({1, "two"});
  fixture.requests().completionSink->onEnd({3, 1, 2, "stop"});
  client.waitFor("\"content\":\"one two\"");
  BOOST_TEST(client.has("\"object\":\"chat.completion\""));
}

BOOST_AUTO_TEST_CASE(RefusalBeforeTheFirstChunkHasItsStatus) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send(Fixture::chat(true));
  fixture.waitForCompletion();
  fixture.requests().completionSink->onRefused(
      {{base::ResultCode::kRateLimited, "d"}, request::Outcome::kNotRun, std::chrono::seconds(3)});
  client.waitFor("\"request_id\":\"request-1\"");
  BOOST_TEST(client.has("HTTP/1.1 429"));
  BOOST_TEST(client.has("Retry-After: 3"));
  BOOST_TEST(client.has("\"outcome\":\"not-run\""));
}

BOOST_AUTO_TEST_CASE(BrokenStreamEndsWithAnErrorEventAndWithoutDone) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send(Fixture::chat(true));
  fixture.waitForCompletion();
  fixture.requests().completionSink->onChunk({0, "part"});
  fixture.requests().completionSink->onRefused(
      {{base::ResultCode::kStreamBroken, "d"}, request::Outcome::kUnknown, {}});
  client.waitFor("event: error");
  client.waitFor("\r\n0\r\n\r\n");
  BOOST_TEST(client.has("\"outcome\":\"unknown\""));
  BOOST_TEST(!client.has("[DONE]"));
}

BOOST_AUTO_TEST_CASE(CallerDisconnectDestroysTheRequest) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send(Fixture::chat(true));
  fixture.waitForCompletion();
  fixture.requests().completionSink->onChunk({0, "part"});
  client.waitFor("part");
  BOOST_TEST(fixture.requests().active == 1U);
  client.close();
  runUntil(fixture.context, [&] { return fixture.requests().active == 0; });
}

BOOST_AUTO_TEST_CASE(SlowCallerPausesTheRequestAndResumesIt) {
  HttpLimits limits;
  limits.responseBufferBytes = 1000;
  Fixture fixture(limits);
  TestClient client(fixture.context, fixture.endpoint, /*reading=*/false);
  client.send(Fixture::chat(true));
  fixture.waitForCompletion();
  const std::string chunkText(60'000, 'x');
  std::uint64_t position = 0;
  while (!fixture.requests().paused) {
    fixture.requests().completionSink->onChunk({position++, chunkText});
    fixture.context.poll();
    fixture.context.restart();
  }
  BOOST_TEST(fixture.requests().paused);
  client.read();
  runUntil(fixture.context, [&] { return !fixture.requests().paused; });
}

BOOST_AUTO_TEST_CASE(InvalidInputIsRefusedBeforeItReachesTheNode) {
  Fixture fixture;
  const auto responseTo = [&fixture](const std::string& request) {
    TestClient client(fixture.context, fixture.endpoint);
    client.send(request);
    client.waitFor("request_id");
    return client.received();
  };
  const auto has = [](const std::string& response, std::string_view text) {
    return response.find(text) != std::string::npos;
  };
  const auto badField = responseTo(Fixture::post("/v1/completions", R"({"model": 1})"));
  BOOST_TEST(has(badField, "HTTP/1.1 400"));
  BOOST_TEST(has(badField, "model: "));
  BOOST_TEST(has(badField, "prompt: "));
  BOOST_TEST(has(badField, "X-Request-Id: refused-1"));
  BOOST_TEST(has(responseTo(Fixture::chat(true, "X-Covewing-Priority: top\r\n")),
                 "X-Covewing-Priority: must be one of"));
  BOOST_TEST(has(responseTo(Fixture::chat(true, "X-Covewing-Not-Repeatable: maybe\r\n")),
                 "X-Covewing-Not-Repeatable: must be true or false"));
  BOOST_TEST(has(responseTo("GET /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n"), "HTTP/1.1 405"));
  BOOST_TEST(has(responseTo("GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n"), "HTTP/1.1 401"));
  BOOST_TEST((fixture.requests().completionSink == nullptr));
}

BOOST_AUTO_TEST_CASE(ModelListContainsTheModelsOfTheTemplate) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n\r\n");
  client.waitFor("\"id\":\"rules\"");
  BOOST_TEST(client.has("X-Request-Id: "));
}

BOOST_AUTO_TEST_CASE(OtherPathsAreProxiedWithoutTheKey) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send(Fixture::post("/standings?round=2", "body", "X-Extra: kept\r\n"));
  runUntil(fixture.context, [&] { return fixture.requests().proxiedSink != nullptr; });
  const auto& request = fixture.requests().proxied;
  BOOST_TEST(request.bearerKey == "key-1");
  BOOST_TEST(request.target == "/standings?round=2");
  BOOST_TEST(request.body == "body");
  BOOST_TEST(findHeader(request.headers, "X-Extra") == "kept");
  BOOST_TEST(findHeader(request.headers, "Authorization").empty());
  BOOST_TEST(findHeader(request.headers, "Content-Length").empty());
  fixture.requests().proxiedSink->onResponse(
      {{"request-1"}, 201, {{"X-Back", "b"}, {"Transfer-Encoding", "chunked"}}, "done"});
  client.waitFor("done");
  BOOST_TEST(client.has("HTTP/1.1 201"));
  BOOST_TEST(client.has("X-Back: b"));
  BOOST_TEST(!client.has("chunked"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
