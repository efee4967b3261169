#include "live/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "live/asio_runtime.h"
#include "live/http_test_client.h"

namespace covewing::live {

namespace {

struct Fixture {
  explicit Fixture(HttpLimits limits = {})
      : server(context, limits,
               [this](const HttpExchangePtr& exchange) { exchanges.push_back(exchange); }) {
    base::Reason reason;
    endpoint = server.listen({kLoopback, 0}, reason).value();
  }

  const HttpExchangePtr& nextExchange() {
    const auto count = exchanges.size();
    runUntil(context, [this, count] { return exchanges.size() > count; });
    return exchanges.back();
  }

  void run(std::chrono::milliseconds span) {
    context.restart();
    context.run_for(span);
  }

  /// Writes until the peer, who does not read, accepts no more: a few bytes wait then.
  void fillSocket(HttpExchange& exchange) {
    constexpr std::size_t kStep = 16U << 10U;
    constexpr std::chrono::milliseconds kRuns{1};
    constexpr std::chrono::milliseconds kSettles{1000};
    run(kRuns);
    while (exchange.bufferedBytes() == 0) {
      exchange.write(std::string(kStep, 'a'));
      run(kRuns);
      // The operating system accepts more when it has probed the peer.
      if (exchange.bufferedBytes() > 0) run(kSettles);
    }
  }

  boost::asio::io_context context;
  std::vector<HttpExchangePtr> exchanges;
  HttpServer server;
  base::Endpoint endpoint;
};

constexpr std::size_t kSmallBody = 100;
constexpr std::size_t kSmallHeader = 300;

HttpLimits smallLimits() {
  HttpLimits limits;
  limits.bodyBytes = kSmallBody;
  limits.headerBytes = kSmallHeader;
  return limits;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

BOOST_AUTO_TEST_CASE(KeepAliveServesRequestsInTurn) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("POST /a?b=1 HTTP/1.1\r\nHost: x\r\nX-Case: Yes\r\nContent-Length: 3\r\n\r\nabc");
  const auto first = fixture.nextExchange();
  BOOST_TEST(first->request().method == "POST");
  BOOST_TEST(first->request().path() == "/a");
  BOOST_TEST(findQueryValue(first->request().query(), "b") == "1");
  BOOST_TEST(first->request().header("x-case") == "Yes");
  BOOST_TEST(first->request().body.text() == "abc");
  first->respond({200, {{"X-Number", "1"}}, "one"});
  client.waitFor("one");
  BOOST_TEST(client.has("X-Number: 1"));
  BOOST_TEST(client.has("Content-Length: 3"));

  client.send("GET /c HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.nextExchange()->respond({200, {}, "two"});
  client.waitFor("two");
  BOOST_TEST(!client.closed());
  BOOST_TEST(fixture.server.openConnections() == 1U);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestWaitsForThePreviousResponse) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto first = fixture.nextExchange();
  fixture.context.poll();
  BOOST_TEST(fixture.exchanges.size() == 1U);
  first->respond({200, {}, "first"});
  const auto second = fixture.nextExchange();
  BOOST_TEST(second->request().target == "/2");
}

// Guards against a buffer that is given back, or used from its start again, while the operating
// system may still write into it: requests that are sent ahead would be read from memory of others,
// or be read twice.
BOOST_AUTO_TEST_CASE(RequestsSentAheadAreEachReadOnceAsTheyWereSent) {
  constexpr int kPairs = 200;
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  std::vector<std::string> received;
  const auto respondToNext = [&] {
    const auto exchange = fixture.nextExchange();
    received.push_back(exchange->request().target + " " + exchange->request().body.copy());
    exchange->respond({200, {}, "answer to " + exchange->request().target + ";"});
  };
  std::vector<std::string> sent;
  const auto requestText = [&sent](int number) {
    const std::string body(static_cast<std::size_t>(number % 7) * 300, 'a');
    sent.push_back("/" + std::to_string(number) + " " + body);
    return "POST /" + std::to_string(number) +
           " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  };
  for (int pair = 0; pair < kPairs; ++pair) {
    const auto first = requestText(2 * pair);
    client.send(first + requestText(2 * pair + 1));
    respondToNext();
    respondToNext();
    client.waitFor("answer to /" + std::to_string(2 * pair + 1) + ";");
  }
  BOOST_TEST(received == sent, boost::test_tools::per_element());
}

// Guards against a last chunk that comes in pieces and ends the node, by an assertion of the
// library.
BOOST_AUTO_TEST_CASE(LastChunkIsReadInWhateverPiecesItComes) {
  const std::string body = "0\r\nX-Late: 1\r\n\r\n";
  for (const auto& text : {std::string{"0\r\n\r\n"}, body, "3\r\nabc\r\n" + body}) {
    for (std::size_t first = 1; first < text.size(); ++first) {
      Fixture fixture;
      TestClient client(fixture.context, fixture.endpoint);
      client.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
      client.send(text.substr(0, first));
      fixture.context.run_for(std::chrono::milliseconds(3));
      client.send(text.substr(first, 1));
      fixture.context.run_for(std::chrono::milliseconds(3));
      if (first + 1 < text.size()) client.send(text.substr(first + 1));
      const auto exchange =
          fixture.exchanges.empty() ? fixture.nextExchange() : fixture.exchanges.back();
      BOOST_TEST(exchange->request().body.text() == (text.front() == '3' ? "abc" : ""));
      exchange->respond({200, {}, "whole"});
      client.waitFor("whole");
    }
  }
}

// Guards against a field that the library cannot store, inside a raised limit: it would end the
// node. The caller is told which limit it was, and that the request has not run.
BOOST_AUTO_TEST_CASE(FieldBeyondTheLargestIsRefusedInsideARaisedLimit) {
  constexpr std::size_t kRaised = 256U << 10U;
  HttpLimits limits;
  limits.headerBytes = kRaised;
  const auto responseTo = [&limits](const std::string& request) {
    Fixture fixture(limits);
    TestClient client(fixture.context, fixture.endpoint);
    client.send(request);
    client.waitClosed();
    BOOST_TEST(fixture.exchanges.empty());
    return client.received().substr(0, std::string_view("HTTP/1.1 000").size());
  };
  for (const std::size_t bytes : {65'534U, 100'000U, 131'072U}) {
    const std::string field = "a: " + std::string(bytes, 'v') + "\r\n\r\n";
    BOOST_TEST(responseTo("GET / HTTP/1.1\r\nHost: x\r\n" + field) == "HTTP/1.1 431");
    BOOST_TEST(responseTo("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "3\r\nabc\r\n0\r\n" +
                          field) == "HTTP/1.1 400");
  }
}

// Guards against a broken answer that looks whole: to a peer without chunks the end of the
// connection is the end of the answer.
BOOST_AUTO_TEST_CASE(AnswerThatEndsWithItsConnectionIsBrokenByAReset) {
  const auto breakAnswer = [](auto how) {
    Fixture fixture;
    TestClient client(fixture.context, fixture.endpoint);
    client.send("GET / HTTP/1.0\r\n\r\n");
    fixture.nextExchange()->beginStream(200, {});
    fixture.exchanges.back()->write("part");
    client.waitFor("part");
    how(fixture);
    client.waitClosed();
    BOOST_TEST(!client.closedInOrder());
  };
  breakAnswer([](Fixture& fixture) { fixture.exchanges.back()->abort(); });
  breakAnswer([](Fixture& fixture) { fixture.exchanges.clear(); });
  breakAnswer([](Fixture& fixture) { fixture.server.close(); });
}

BOOST_AUTO_TEST_CASE(WholeAnswerThatEndsWithItsConnectionEndsInOrder) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.0\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  exchange->beginStream(200, {});
  const std::string large(1'000'000, 'x');
  exchange->write(large);
  exchange->end();
  client.waitClosed();
  BOOST_TEST(client.closedInOrder());
  BOOST_TEST(client.has(large));
}

// Guards against callers that reuse a connection at the moment at which it is closed as idle, and
// against configurations that shorten the time on which callers count.
BOOST_AUTO_TEST_CASE(IdleTimeIsAnnouncedAndKeptWhenItIsShortened) {
  HttpLimits limits;
  limits.idleTimeout = std::chrono::milliseconds(2500);
  Fixture fixture(limits);
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  exchange->beginStream(200, {}, 4);
  limits.idleTimeout = std::chrono::milliseconds(100);
  fixture.server.setLimits(limits);
  exchange->write("body");
  exchange->end();
  client.waitFor("body");
  BOOST_TEST(client.has("Keep-Alive: timeout=2\r\n"));
  fixture.context.run_for(std::chrono::milliseconds(2000));
  BOOST_TEST(!client.closed());
  client.waitClosed();
}

BOOST_AUTO_TEST_CASE(NoIdleTimeIsAnnouncedIfTheConnectionCloses) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  fixture.nextExchange()->respond({200, {}, "body"});
  client.waitClosed();
  BOOST_TEST(!client.has("Keep-Alive"));
  BOOST_TEST(client.closedInOrder());
}

// Guards against a response that turns into a reset, because the next request lies unread when the
// connection is closed behind it.
BOOST_AUTO_TEST_CASE(ResponseBeforeACloseIsReceivedAlthoughMoreWasSent) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint, /*reading=*/false);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  client.send(std::string(100'000, 'x'));
  exchange->closeAfterResponse();
  const std::string large(1'000'000, 'y');
  exchange->respond({503, {}, large});
  fixture.context.run_for(std::chrono::milliseconds(100));
  client.read();
  client.waitClosed();
  BOOST_TEST(client.has(large));
  BOOST_TEST(client.closedInOrder());
}

BOOST_AUTO_TEST_CASE(OversizedBodyIsRefusedBeforeItIsSent) {
  Fixture fixture(smallLimits());
  TestClient client(fixture.context, fixture.endpoint);
  client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n");
  client.waitFor("\"name\":\"BodyTooLarge\"");
  BOOST_TEST(client.has("HTTP/1.1 413"));
  BOOST_TEST(client.has("Connection: close"));
  BOOST_TEST(fixture.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(OversizedChunkedBodyIsRefused) {
  Fixture fixture(smallLimits());
  TestClient client(fixture.context, fixture.endpoint);
  client.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
              std::string(kSmallBody + 1, 'x'));
  client.waitFor("BodyTooLarge");
  BOOST_TEST(client.has("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(OversizedHeaderIsRefused) {
  Fixture fixture(smallLimits());
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nX-Long: " + std::string(kSmallHeader, 'x'));
  client.waitFor("HeaderTooLarge");
  BOOST_TEST(client.has("HTTP/1.1 431"));
}

// Guards against a connection that is never closed although its peer accepts no byte of a response,
// because its next request has arrived behind it and waits.
BOOST_AUTO_TEST_CASE(StalledPeerIsClosedAlthoughItsNextRequestHasArrived) {
  HttpLimits limits;
  limits.stallTimeout = std::chrono::milliseconds(200);
  Fixture fixture(limits);
  TestClient client(fixture.context, fixture.endpoint, /*reading=*/false);
  client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.nextExchange()->respond({200, {}, std::string(20'000'000, 'y')});
  client.send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.context.restart();
  fixture.context.run_for(std::chrono::seconds(1));
  BOOST_TEST(fixture.exchanges.size() == 1U);
  BOOST_TEST(fixture.server.openConnections() == 0U);
}

// As above, where so little of the response is unsent that the next request is served.
BOOST_AUTO_TEST_CASE(StalledPeerIsClosedAlthoughItsNextRequestIsServed) {
  HttpLimits limits;
  limits.stallTimeout = std::chrono::milliseconds(1500);
  Fixture fixture(limits);
  TestClient client(fixture.context, fixture.endpoint, /*reading=*/false);
  client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto first = fixture.nextExchange();
  first->beginStream(200, {});
  fixture.fillSocket(*first);
  first->end();
  client.send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(fixture.nextExchange()->request().target == "/2");
  fixture.context.restart();
  fixture.context.run_for(std::chrono::seconds(4));
  BOOST_TEST(fixture.server.openConnections() == 0U);
}

// Guards against a caller that fills the memory with a part of the framing that never ends.
BOOST_AUTO_TEST_CASE(FramingWithoutEndIsRefused) {
  constexpr std::size_t kMaximumSent = 4U << 20U;
  for (const std::string begin : {"1;", "0\r\nX-Field: "}) {
    Fixture fixture(smallLimits());
    TestClient client(fixture.context, fixture.endpoint);
    client.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + begin);
    const std::string filler(64U << 10U, 'a');
    std::size_t sent = 0;
    while (sent < kMaximumSent && !client.has("HTTP/1.1 400")) {
      client.send(filler);
      sent += filler.size();
      fixture.context.run_for(std::chrono::milliseconds(5));
    }
    BOOST_TEST(sent < kMaximumSent);
    BOOST_TEST(fixture.exchanges.empty());
  }
}

BOOST_AUTO_TEST_CASE(MalformedRequestIsRefused) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("NOT AN HTTP REQUEST\r\n\r\n");
  client.waitFor("malformed");
  BOOST_TEST(client.has("HTTP/1.1 400"));
  BOOST_TEST(fixture.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(StreamIsChunkedAndEnds) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  exchange->beginStream(200, {{"Content-Type", "text/event-stream"}});
  exchange->write("hello");
  exchange->end();
  client.waitFor("\r\n0\r\n\r\n");
  BOOST_TEST(client.has("Transfer-Encoding: chunked"));
  BOOST_TEST(client.has("\r\n5\r\nhello\r\n0\r\n\r\n"));
  BOOST_TEST(!client.closed());
}

BOOST_AUTO_TEST_CASE(AbandonedStreamClosesWithoutTerminator) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.nextExchange()->beginStream(200, {});
  fixture.exchanges.back()->write("part");
  client.waitFor("part");
  fixture.exchanges.clear();
  client.waitClosed();
  BOOST_TEST(!client.has("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(DisconnectIsReportedBeforeTheResponse) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  bool disconnected = false;
  exchange->onDisconnect([&disconnected] { disconnected = true; });
  client.close();
  runUntil(fixture.context, [&disconnected] { return disconnected; });
  exchange->respond({200, {}, "late"});
  BOOST_TEST(fixture.server.openConnections() == 0U);
}

// Guards against responses that pile up for a peer that sends one request after the other and reads
// nothing.
BOOST_AUTO_TEST_CASE(NextRequestWaitsUntilEarlierResponsesAreRead) {
  constexpr std::size_t kBeyondSocketBuffers = 64U << 20U;
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint, /*reading=*/false);
  client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.nextExchange()->respond({200, {}, std::string(kBeyondSocketBuffers, 'a')});
  fixture.context.restart();
  fixture.context.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(fixture.exchanges.size() == 1U);
  client.read();
  const auto second = fixture.nextExchange();
  BOOST_TEST(second->request().target == "/2");
  second->respond({200, {}, "second"});
  client.waitFor("second");
}

// Guards against a producer that is not paused because the peer stopped reading while only a few
// bytes waited to be written.
BOOST_AUTO_TEST_CASE(PressureIsRaisedWhileAWriteIsOutstanding) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint, /*reading=*/false);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  bool pressed = false;
  exchange->onPressure([&pressed](bool high) { pressed = high; });
  exchange->beginStream(200, {});
  fixture.fillSocket(*exchange);
  BOOST_TEST(!pressed);
  exchange->write(std::string(2 * HttpLimits{}.responseBufferBytes, 'a'));
  fixture.run(std::chrono::milliseconds(10));
  BOOST_TEST(pressed);
}

// Guards against a planned stop that reports a response as cut which its late reader gets whole.
BOOST_AUTO_TEST_CASE(ResponseThatTheOperatingSystemHasAcceptedIsNotCutByTheEndOfTheProcess) {
  constexpr std::size_t kWithinSocketBuffers = 1U << 20U;
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint, /*reading=*/false);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.nextExchange()->respond({200, {}, std::string(kWithinSocketBuffers, 'a') + "end"});
  BOOST_TEST(fixture.server.connectionsCutByExit() == 1U);
  fixture.run(std::chrono::milliseconds(100));
  BOOST_TEST(fixture.server.unfinishedConnections() == 1U);
  BOOST_TEST(fixture.server.connectionsCutByExit() == 0U);
  fixture.server.closeForExit();
  client.read();
  client.waitFor("end");
}

BOOST_AUTO_TEST_CASE(SlowReaderRaisesPressureAndReleasesIt) {
  HttpLimits limits;
  limits.responseBufferBytes = 1000;
  Fixture fixture(limits);
  TestClient client(fixture.context, fixture.endpoint, /*reading=*/false);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  std::vector<bool> pressures;
  exchange->onPressure([&pressures](bool high) { pressures.push_back(high); });
  exchange->beginStream(200, {});
  const std::string chunk(65536, 'x');
  // The kernel's socket buffers accept several megabytes before the server has to buffer any.
  runUntil(fixture.context, [&] {
    if (!pressures.empty()) return true;
    exchange->write(chunk);
    fixture.context.poll();
    fixture.context.restart();
    return !pressures.empty();
  });
  BOOST_TEST(pressures.front());
  client.read();
  runUntil(fixture.context, [&pressures] { return pressures.size() == 2; });
  BOOST_TEST(!pressures.back());
  BOOST_TEST(exchange->bufferedBytes() <= limits.responseBufferBytes / 2);
}

BOOST_AUTO_TEST_CASE(StoppedServerFinishesTheResponseAndCloses) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  fixture.server.stopAccepting();
  exchange->respond({200, {}, "whole"});
  client.waitClosed();
  BOOST_TEST(client.has("Connection: close"));
  BOOST_TEST(client.has("whole"));
}

BOOST_AUTO_TEST_CASE(ExpectContinueIsAnswered) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
  client.waitFor("100 Continue");
  client.send("ok");
  BOOST_TEST(fixture.nextExchange()->request().body.text() == "ok");
}

BOOST_AUTO_TEST_CASE(ResponseMayExceedTheRequestTimeout) {
  HttpLimits limits;
  limits.headerTimeout = std::chrono::milliseconds(30);
  limits.requestTimeout = std::chrono::milliseconds(30);
  Fixture fixture(limits);
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  boost::asio::steady_timer timer(fixture.context, std::chrono::milliseconds(90));
  bool over = false;
  timer.async_wait([&over](boost::system::error_code /*error*/) { over = true; });
  runUntil(fixture.context, [&over] { return over; });
  BOOST_TEST(!client.closed());
  exchange->respond({200, {}, "late"});
  client.waitFor("late");
  BOOST_TEST(client.has("late"));
}

// Guards against a deadline that is counted from the time at which a node that is behind reads the
// request.
BOOST_AUTO_TEST_CASE(RequestThatLayUnreadHasArrivedBefore) {
  constexpr std::chrono::milliseconds kUnread{200};
  constexpr std::chrono::milliseconds kTolerance{50};
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  const auto sentAt = AsioClock{}.now();
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  std::this_thread::sleep_for(kUnread);
  const auto exchange = fixture.nextExchange();
  BOOST_TEST((exchange->readDelay() > kUnread - kTolerance));
  BOOST_TEST((exchange->startedAt() < sentAt + kTolerance));
}

// Guards against a peer that closes the connection and goes unnoticed, because the server stopped
// reading at the pipelined bytes before the end of input.
BOOST_AUTO_TEST_CASE(DisconnectBehindUnreadInputIsDetected) {
  constexpr std::size_t kPipelinedBytes = 50'000;
  constexpr std::chrono::milliseconds kDetectionTime{500};
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  bool disconnected = false;
  exchange->onDisconnect([&disconnected] { disconnected = true; });
  client.send(std::string(kPipelinedBytes, 'x'));
  client.close();
  fixture.context.restart();
  fixture.context.run_for(kDetectionTime);
  BOOST_TEST(disconnected);
}

BOOST_AUTO_TEST_CASE(SlowHeaderSectionClosesTheConnection) {
  HttpLimits limits;
  limits.headerTimeout = std::chrono::milliseconds(30);
  Fixture fixture(limits);
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost");
  client.waitClosed();
  BOOST_TEST(fixture.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(ResponseOfAnnouncedLengthIsNotChunked) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  exchange->beginStream(200, {}, 6);
  exchange->write("abc");
  exchange->write("def");
  exchange->end();
  client.waitFor("abcdef");
  BOOST_TEST(client.has("Content-Length: 6"));
  BOOST_TEST(!client.has("chunked"));
}

BOOST_AUTO_TEST_CASE(ResponseShorterThanItsLengthClosesTheConnection) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  exchange->beginStream(200, {}, 6);
  exchange->write("abc");
  exchange->end();
  client.waitClosed();
  BOOST_TEST(client.closed());
}

BOOST_AUTO_TEST_CASE(ConnectionClosesAfterCloseAfterResponse) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.endpoint);
  client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto exchange = fixture.nextExchange();
  exchange->closeAfterResponse();
  exchange->respond({503, {}, "no"});
  client.waitClosed();
  BOOST_TEST(client.has("Connection: close"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
