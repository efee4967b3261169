// Guards against answers that a replica broke off and that reach their callers as complete, and
// against whole answers that are taken for broken.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

namespace {

using clients::BodyFraming;

constexpr std::string_view kEventStream = "text/event-stream; charset=utf-8";
constexpr std::string_view kTwoEvents = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

struct BrokenAnswerFixture : RelayFixture {
  /// Sends the head of a response whose body is framed in this way.
  void sendHead(BodyFraming framing, std::string_view contentType = kEventStream) {
    clients::RelayedAnswer head;
    head.status = 200;
    head.framing = framing;
    if (framing == BodyFraming::kLength) head.length = kTwoEvents.size();
    if (!contentType.empty()) head.headers = {{"Content-Type", std::string{contentType}}};
    client.last().handler->onHead(std::move(head));
  }
  /// Sends a whole response, which ends in order by its framing.
  void respond(BodyFraming framing, std::string_view body,
               std::string_view contentType = kEventStream) {
    sendHead(framing, contentType);
    if (!body.empty()) client.last().handler->onBody(body);
    client.last().handler->onEnd();
  }
};

constexpr BodyFraming kFramings[] = {BodyFraming::kLength, BodyFraming::kChunks,
                                     BodyFraming::kConnectionEnd};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenAnswerTest, BrokenAnswerFixture)

BOOST_AUTO_TEST_CASE(StreamThatEndsInsideAnEventIsNotCompleteHoweverItIsFramed) {
  for (const auto framing : kFramings) {
    BOOST_TEST_CONTEXT(clients::toString(framing)) {
      const auto& caller = request("once");
      respond(framing, "id: 1\ndata: x\n\nid: 2\ndata");
      BOOST_TEST(caller.aborted);
      BOOST_TEST(!caller.ended);
      BOOST_REQUIRE(caller.head.has_value());
      // A caller that has all bytes of an announced length has a complete answer.
      BOOST_TEST(!caller.head->length.has_value());
      BOOST_TEST((outcomes.back().code == base::ResultCode::kStreamBroken));
    }
  }
}

BOOST_AUTO_TEST_CASE(WholeStreamIsCompleteHoweverItIsFramed) {
  for (const char* path : {"once", "resumable"}) {
    for (const auto framing : kFramings) {
      BOOST_TEST_CONTEXT(path << ", " << clients::toString(framing)) {
        const auto& caller = request(path);
        respond(framing, kTwoEvents);
        BOOST_TEST(caller.ended);
        BOOST_TEST(caller.body == kTwoEvents);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(BrokenStreamIsAFailureOfItsReplica) {
  request("once");
  const auto replica = replicas.find(client.last().terms.replica.instance());
  respond(BodyFraming::kConnectionEnd, "id: 1\ndata: x\n\nid: 2\ndata");
  BOOST_TEST(replica->health().failureRate() > 0.0);
}

// A crash right after the headers ends a connection without a single event.
BOOST_AUTO_TEST_CASE(StreamThatEndsWithItsConnectionBeforeAnyEventFollowsTheRulesOfRetries) {
  const auto& once = request("once");
  respond(BodyFraming::kConnectionEnd, {});
  BOOST_REQUIRE(once.refusal.has_value());
  BOOST_TEST(once.refusal->status == 502U);
  const auto& resumable = request("resumable");
  const auto sent = client.sent.size();
  respond(BodyFraming::kConnectionEnd, {});
  BOOST_TEST(client.sent.size() == sent + 1);
  respond(BodyFraming::kConnectionEnd, kTwoEvents);
  BOOST_TEST(resumable.ended);
  BOOST_TEST(resumable.body == kTwoEvents);
}

BOOST_AUTO_TEST_CASE(StreamIsPassedOnAsItArrivesAndUnchanged) {
  const auto& caller = request("once");
  sendHead(BodyFraming::kConnectionEnd);
  client.last().handler->onBody("id: 1\r\nda");
  BOOST_TEST(caller.body == "id: 1\r\nda");
  client.last().handler->onBody("ta: x\r\n\r\n");
  client.last().handler->onEnd();
  BOOST_TEST(caller.body == "id: 1\r\ndata: x\r\n\r\n");
  BOOST_TEST(caller.ended);
}

BOOST_AUTO_TEST_CASE(PlainAnswerWithoutALengthThatEndsInOrderIsWhole) {
  const auto& caller = request("unsafe");
  respond(BodyFraming::kConnectionEnd, "no event", "application/json");
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.body == "no event");
}

BOOST_AUTO_TEST_CASE(StreamRouteThatAnswersWithSomethingElseIsNotJudgedByEvents) {
  for (const char* path : {"once", "resumable"}) {
    BOOST_TEST_CONTEXT(path) {
      const auto& caller = request(path);
      respond(BodyFraming::kConnectionEnd, R"({"no": "event"})", "application/json");
      BOOST_TEST(caller.ended);
      BOOST_TEST(caller.body == R"({"no": "event"})");
    }
  }
}

// Part of it was passed on, and no other run can continue it.
BOOST_AUTO_TEST_CASE(AnswerWithoutEventsThatBreaksOffIsNotContinuedElsewhere) {
  const auto& caller = request("resumable");
  sendHead(BodyFraming::kConnectionEnd, "application/json");
  client.last().handler->onBody(R"({"no":)");
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.aborted);
}

BOOST_AUTO_TEST_CASE(ContinuationWithoutEventsIsNotJoinedToAStream) {
  const auto& caller = request("resumable");
  sendHead(BodyFraming::kConnectionEnd);
  client.last().handler->onBody("id: 1\ndata: x\n\n");
  client.last().breakConnection();
  BOOST_REQUIRE(client.sent.size() == 2U);
  respond(BodyFraming::kLength, "page", "text/html");
  BOOST_TEST(caller.aborted);
  BOOST_TEST(caller.body == "id: 1\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(ContinuationOfAWholeStreamMayBeEmpty) {
  const auto& caller = request("resumable");
  sendHead(BodyFraming::kConnectionEnd);
  client.last().handler->onBody(kTwoEvents);
  client.last().breakConnection();
  BOOST_REQUIRE(client.sent.size() == 2U);
  respond(BodyFraming::kConnectionEnd, {});
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.body == kTwoEvents);
}

BOOST_AUTO_TEST_CASE(ByteOrderMarkOfAContinuationIsNotJoinedToAStream) {
  const auto& caller = request("resumable");
  respond(BodyFraming::kChunks, "\xEF\xBB\xBFid: 1\ndata: x\n\nid: 2");
  BOOST_REQUIRE(client.sent.size() == 2U);
  BOOST_TEST(client.last().terms.lastEventId == "1");
  respond(BodyFraming::kChunks, "\xEF\xBB\xBFid: 2\ndata: y\n\n");
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.body == "\xEF\xBB\xBFid: 1\ndata: x\n\nid: 2\ndata: y\n\n");
}

// Events that end with CR alone were retained to the end of their stream.
BOOST_AUTO_TEST_CASE(ResumableStreamMayHaveAnyLineEnds) {
  const auto& caller = request("resumable");
  sendHead(BodyFraming::kChunks);
  client.last().handler->onBody("id: 1\rdata: x\r\rid: 2\r");
  BOOST_TEST(caller.body == "id: 1\rdata: x\r\r");
  client.last().handler->onBody("data: y\r\n\r");
  client.last().handler->onBody("\n");
  client.last().handler->onEnd();
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.body == "id: 1\rdata: x\r\rid: 2\rdata: y\r\n\r\n");
}

// An event of which a part was passed on cannot be taken up at another replica.
BOOST_AUTO_TEST_CASE(EventLargerThanTheLimitIsPassedOnAndNotContinuedElsewhere) {
  const std::string large(ResponseBody::kMaximumRetainedBytes, 'x');
  const auto& whole = request("resumable");
  respond(BodyFraming::kChunks, "id: 1\ndata: " + large + "\n\nid: 2\ndata: y\n\n");
  BOOST_TEST(whole.ended);
  BOOST_TEST(whole.body.size() == large.size() + 29);
  const auto& broken = request("resumable");
  const auto sent = client.sent.size();
  respond(BodyFraming::kChunks, "id: 1\ndata: " + large);
  BOOST_TEST(broken.aborted);
  BOOST_TEST(client.sent.size() == sent);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
