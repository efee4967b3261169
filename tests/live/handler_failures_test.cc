// Tests what an exception of a handler ends, and what it does not.
#include "live/handler_failures.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "live/asio_runtime.h"
#include "live/http_client.h"
#include "live/http_server.h"
#include "live/http_test_client.h"
#include "live/peer_transport.h"

namespace covewing::live {

namespace {

constexpr std::string_view kFailingPath = "/throws";

[[noreturn]] void failHandler() { throw std::runtime_error("handler failed"); }

/// A server whose handler throws for one path, and keeps the exchanges of all others.
struct Fixture {
  Fixture() {
    HandlerFailures::of(context).setListener(
        [this](std::string_view /*source*/, std::string_view what) {
          failures.emplace_back(what);
        });
    base::Reason reason;
    endpoint = server.listen({kLoopback, 0}, reason).value();
  }

  void onRequest(const HttpExchangePtr& exchange) {
    const auto target = exchange->request().target;
    if (target == kFailingPath) failHandler();
    if (target == "/kept") {
      exchange->onDisconnect([this] { ++disconnects; });
      exchanges.push_back(exchange);
      failHandler();
    }
    if (target == "/begun") {
      exchange->beginStream(200, {});
      exchange->write("part");
      failHandler();
    }
    if (target == "/answered") {
      exchange->respond({200, {}, "whole"});
      failHandler();
    }
    exchanges.push_back(exchange);
  }
  void waitExchanges(std::size_t count) {
    runUntil(context, [&] { return exchanges.size() == count; });
  }

  boost::asio::io_context context{1};
  std::vector<std::string> failures;
  std::vector<HttpExchangePtr> exchanges;
  int disconnects = 0;
  HttpServer server{context, {}, [this](const HttpExchangePtr& exchange) { onRequest(exchange); }};
  base::Endpoint endpoint;
};

std::string requestFor(std::string_view path) {
  return "GET " + std::string{path} + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

/// Throws in the callback that a test names.
class ThrowingHandler final : public HttpCallHandler {
 public:
  void onHead(const HttpResponse& /*head*/) override {
    if (throwsInHead) failHandler();
  }
  void onBody(std::string_view /*bytes*/) override {
    if (throwsInBody) failHandler();
  }
  void onComplete() override { complete = true; }
  void onFailure(clients::DispatchError error) override {
    failure = error.failure;
    code = error.reason.code;
  }

  bool throwsInHead = false;
  bool throwsInBody = false;
  bool complete = false;
  std::optional<clients::DispatchFailure> failure;
  base::ResultCode code = base::ResultCode::kOk;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(HandlerFailuresTest, Fixture)

// Guards against an exception in one caller's connection that ends the requests of all others.
BOOST_AUTO_TEST_CASE(ExceptionInOneConnectionLeavesTheOthersAlone) {
  TestClient calm(context, endpoint);
  calm.send(requestFor("/calm"));
  waitExchanges(1);
  TestClient failing(context, endpoint);
  failing.send(requestFor(kFailingPath));
  failing.waitClosed();
  BOOST_TEST(failures.size() == 1U);
  BOOST_TEST(failures.front() == "handler failed");
  exchanges.front()->respond({200, {}, "calm answer"});
  calm.waitFor("calm answer");
  TestClient later(context, endpoint);
  later.send(requestFor("/later"));
  waitExchanges(2);
}

// Guards against a request without an answer, or with one that says that it has not run.
BOOST_AUTO_TEST_CASE(RequestWhoseHandlerThrewIsAnsweredAsOneThatMayHaveRun) {
  for (const auto& path : {std::string{kFailingPath}, std::string{"/kept"}}) {
    TestClient client(context, endpoint);
    client.send(requestFor(path));
    client.waitClosed();
    BOOST_TEST(client.has("HTTP/1.1 502 "));
    BOOST_TEST(client.has("\"code\":802"));
    BOOST_TEST(client.closedInOrder());
  }
  // Whoever kept the request learns that nobody waits for it any more.
  BOOST_TEST(disconnects == 1);
}

// Guards against a second answer behind a whole one, or behind a part of one.
BOOST_AUTO_TEST_CASE(ResponseThatHadBegunIsNotFollowedByAnother) {
  TestClient begun(context, endpoint);
  begun.send(requestFor("/begun"));
  begun.waitClosed();
  BOOST_TEST(!begun.has("802"));
  TestClient answered(context, endpoint);
  answered.send(requestFor("/answered"));
  answered.waitFor("whole");
  answered.waitClosed();
  BOOST_TEST(!answered.has("802"));
}

// Guards against a call that never ends, or one that is taken for not sent, behind an exception.
BOOST_AUTO_TEST_CASE(CallWhoseHandlerThrowsFailsWithAnUnknownOutcome) {
  HttpClient client(context);
  for (const bool inHead : {true, false}) {
    ThrowingHandler handler;
    handler.throwsInHead = inHead;
    handler.throwsInBody = !inHead;
    exchanges.clear();
    const auto call = client.start(endpoint, {"POST", "/", {}, "{}"}, {}, handler);
    waitExchanges(1);
    exchanges.front()->respond({200, {}, "body"});
    runUntil(context, [&] { return handler.failure.has_value(); });
    BOOST_TEST((handler.failure == clients::DispatchFailure::kOutcomeUnknown));
    BOOST_TEST((handler.code == base::ResultCode::kInternalFailure));
    BOOST_TEST(!handler.complete);
  }
  BOOST_TEST(client.idleConnections() == 0U);
}

// Guards against timers that stop for good behind an exception of one of them.
BOOST_AUTO_TEST_CASE(TimersGoOnBehindAnExceptionOfOne) {
  AsioTimerService timers(context);
  bool ran = false;
  timers.schedule(std::chrono::milliseconds(1), [] { failHandler(); });
  timers.schedule(std::chrono::milliseconds(2), [&] {
    ran = true;
    context.stop();
  });
  int stops = 0;
  BOOST_TEST((runEventLoop(context, [&] { ++stops; }) == LoopEnd::kStopped));
  BOOST_TEST(ran);
  BOOST_TEST(stops == 1);
  BOOST_TEST(failures.size() == 1U);
}

// Guards against a node that goes on without a part of its periodic work.
BOOST_AUTO_TEST_CASE(ExceptionThatLeavesAHandlerBeginsAPlannedStop) {
  boost::asio::post(context, [] { failHandler(); });
  BOOST_TEST((runEventLoop(context, [&] { context.stop(); }) == LoopEnd::kStopped));
  context.restart();
  boost::asio::post(context, [] { failHandler(); });
  BOOST_TEST((runEventLoop(context, [&] { boost::asio::post(context, failHandler); }) ==
              LoopEnd::kFailed));
}

// Guards against a fetch whose callback threw and whose owner waits for it without end.
BOOST_AUTO_TEST_CASE(ExceptionInTheCallbackOfAFetchReachesTheEventLoop) {
  HttpClient client(context);
  client.fetch(endpoint, {"GET", "/", {}, {}}, std::chrono::seconds(30),
               [](const HttpResult& /*result*/) { failHandler(); });
  waitExchanges(1);
  exchanges.front()->respond({200, {}, "body"});
  context.restart();
  BOOST_TEST((runEventLoop(context, [&] { context.stop(); }) == LoopEnd::kStopped));
  BOOST_TEST(failures.size() == 1U);
}

// Guards against one message of another node that ends this one, or deafens it.
BOOST_AUTO_TEST_CASE(MessageWhoseHandlerThrowsIsRejectedAndTheNextOneIsRead) {
  base::NullEventLog log;
  AsioPeerTransport receiver(context, log);
  base::Reason reason;
  const auto target = receiver.bind({kLoopback, 0}, reason);
  BOOST_REQUIRE(target.has_value());
  int received = 0;
  receiver.start({base::nodeIdOf("receiver"), 1, *target},
                 [&](const base::PeerIdentity&, base::Channel, std::string_view payload) {
                   if (payload.front() == 'x') failHandler();
                   ++received;
                 });
  AsioPeerTransport sender(context, log);
  const auto source = sender.bind({kLoopback, 0}, reason);
  sender.start({base::nodeIdOf("sender"), 1, *source}, nullptr);
  for (const std::size_t bytes : {100U, 100'000U}) {
    sender.send(*target, base::Channel::kRequest, std::string(bytes, 'x'));
    sender.send(*target, base::Channel::kRequest, std::string(bytes, 'y'));
  }
  runUntil(context, [&] { return received == 2 && failures.size() == 2; });
  BOOST_TEST(receiver.counters().rejectedFrames == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
