// Tests when a request may be sent to a second replica: only what proves that the first one did not
// run it, or has ended its run, allows that.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Statuses that promise to the caller that its request has not run.
constexpr unsigned kPromisingStatuses[] = {408, 421, 429, 503};

}  // namespace

struct SecondRunFixture : RelayFixture {
  /// Puts a newer configuration in force, by which no request may run again.
  void forbidRepeats() {
    auto changed = contents();
    changed.version = tables.current->version() + 1;
    for (auto& route : changed.routes) {
      if (route.kind == config::RequestKind::kIdempotent)
        route.kind = config::RequestKind::kNonIdempotent;
      route.resumable = false;
    }
    useTable(std::move(changed));
  }
};

BOOST_FIXTURE_TEST_SUITE(SecondRunTest, SecondRunFixture)

// Guards against a second run of a request that may run once: a replica ran it and answered 421.
BOOST_AUTO_TEST_CASE(StatusAloneDoesNotProveThatARequestDidNotRun) {
  auto& caller = request("unsafe");
  client.last().respond(421, "ran");
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(!caller.open());
}

// Guards against a caller that repeats a request that has run, since its replica answered with a
// status that promises that it did not.
BOOST_AUTO_TEST_CASE(PromiseThatTheReplicaDoesNotStateIsNotGivenToTheCaller) {
  for (const unsigned status : kPromisingStatuses) {
    auto& caller = request("unsafe");
    client.last().respond(status, "ran");
    BOOST_REQUIRE(caller.refusal.has_value());
    BOOST_TEST(caller.refusal->status == 502U);
    auto& stream = request("once");
    client.last().respond(status, std::string(100U << 10U, 'x'));
    BOOST_REQUIRE(stream.refusal.has_value());
    BOOST_TEST(stream.refusal->status == 502U);
  }
}

BOOST_AUTO_TEST_CASE(StatusOfARepeatableRequestIsReturnedUnchanged) {
  auto& caller = request("safe");
  client.last().respond(429, "ran");
  BOOST_REQUIRE(caller.head.has_value());
  BOOST_TEST(caller.head->status == 429U);
  BOOST_TEST(caller.body == "ran");
}

// Guards against a second run by a configuration that has been replaced: the newer one does not
// allow the route's requests to run again.
BOOST_AUTO_TEST_CASE(RequestIsNotRepeatedIfTheConfigurationInForceForbidsIt) {
  auto& caller = request("safe");
  forbidRepeats();
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 502U);
}

// As above, where the configuration changes while the retry waits for a replica.
BOOST_AUTO_TEST_CASE(RetryThatWaitsIsNotSentIfTheConfigurationInForceForbidsIt) {
  auto& caller = request("safe");
  const auto first = client.sent.back();
  for (const char* name : {"a", "b", "c"}) {
    if (replicas.find(name)->facts().endpoint != first->replica) replicas.onRemoved(name);
  }
  first->breakConnection();
  BOOST_REQUIRE(caller.open());
  forbidRepeats();
  addReplica("d", "app");
  time.advance(milliseconds(100));
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 502U);
}

// As above, where the configuration changes while the connection for the retry is being made.
BOOST_AUTO_TEST_CASE(RetryIsNotWantedAnyMoreIfTheConfigurationInForceForbidsIt) {
  request("safe");
  client.last().breakConnection();
  BOOST_REQUIRE(client.sent.size() == 2U);
  BOOST_TEST(client.last().handler->stillWanted());
  forbidRepeats();
  BOOST_TEST(!client.last().handler->stillWanted());
}

BOOST_AUTO_TEST_CASE(StreamDoesNotGoOnIfTheConfigurationInForceForbidsIt) {
  auto& caller = request("resumable");
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: a\n\n");
  forbidRepeats();
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.aborted);
}

// Guards against two replicas that work on one stream: the first is only silent, and does not
// notice that its connection was closed.
BOOST_AUTO_TEST_CASE(StreamDoesNotGoOnElsewhereWhileASilentReplicaMayWorkOnIt) {
  request("resumable");
  time.advance(seconds(2));
  BOOST_TEST(client.sent.size() == 1U);
}

// Guards against sound replicas that are told to stop: one may fall silent for more than a second.
BOOST_AUTO_TEST_CASE(ReplicaThatIsSilentForOverASecondIsNotToldToStop) {
  request("resumable");
  time.advance(milliseconds(1500));
  BOOST_TEST(!client.last().withdrawn);
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: a\n\n");
  time.advance(milliseconds(1500));
  BOOST_TEST(!client.last().withdrawn);
  time.advance(milliseconds(400));
  BOOST_TEST(client.last().withdrawn);
}

BOOST_AUTO_TEST_CASE(StreamGoesOnElsewhereOnceItsSilentRunHasEnded) {
  auto& caller = request("resumable");
  const auto first = client.sent.back();
  first->head(200);
  first->handler->onBody("id: 1\ndata: a\n\n");
  time.advance(milliseconds(1900));
  BOOST_REQUIRE(first->withdrawn);
  BOOST_TEST(first->open);
  BOOST_TEST(client.sent.size() == 1U);
  first->breakConnection();
  BOOST_REQUIRE(client.sent.size() == 2U);
  BOOST_TEST(client.last().terms.lastEventId == "1");
  client.last().respond(200, "id: 2\ndata: b\n\n");
  BOOST_TEST(caller.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(loggedValues(base::Event::kRelayRunEnded, "ended_by").back() == "connection ended");
}

// Guards against a stream that is lost though its replica was only silent: its answer comes after
// the replica was told to stop.
BOOST_AUTO_TEST_CASE(AnswerOfAReplicaThatWasToldToStopIsTaken) {
  auto& caller = request("resumable");
  const auto first = client.sent.back();
  time.advance(milliseconds(1900));
  BOOST_REQUIRE(first->withdrawn);
  first->respond(200, "id: 1\ndata: a\n\n");
  BOOST_TEST(caller.ended);
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(retries.use("llm", time.now()).sent == 0U);
}

// Guards against a stream that is cut because of silence: the end of its run is not seen in time.
BOOST_AUTO_TEST_CASE(StreamWaitsForARunThatIsNotSeenToEnd) {
  auto& caller = request("resumable");
  const auto first = client.sent.back();
  time.advance(seconds(3));
  BOOST_REQUIRE(first->withdrawn);
  BOOST_TEST(loggedValues(base::Event::kRelayRunEnded, "ended_by").back() == "not shown");
  BOOST_TEST(caller.open());
  BOOST_TEST(first->open);
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(retries.use("llm", time.now()).sent == 0U);
  first->breakConnection();
  BOOST_TEST(client.sent.size() == 2U);
}

// Guards against a stream that is lost though its replica was sound: it was told to stop, and when
// it had, the budget for another attempt was used up.
BOOST_AUTO_TEST_CASE(RetryOfAStreamThatWasWithdrawnStaysReserved) {
  retries = admission::RetryWindows({seconds(1), 0, 1, 1.0}, kStartedLongAgo, oneNode);
  request("resumable");
  const auto first = client.sent.back();
  time.advance(seconds(2));
  BOOST_REQUIRE(first->withdrawn);
  BOOST_TEST(!retries.reserve("llm", time.now()).has_value());
  first->breakConnection();
  BOOST_TEST(client.sent.size() == 2U);
}

// Guards against healthy replicas that are taken for failed ones, because they end the connection
// of a run that they were told to stop.
BOOST_AUTO_TEST_CASE(ReplicaThatEndsAWithdrawnRunHasNotFailed) {
  request("resumable");
  const auto first = client.sent.back();
  first->head(200);
  first->handler->onBody("id: 1\ndata: a\n\n");
  time.advance(milliseconds(1900));
  BOOST_REQUIRE(first->withdrawn);
  first->breakConnection();
  time.advance(seconds(1));
  BOOST_TEST(log.count(base::Event::kReplicaOutlivedRuns) == 0U);
}

BOOST_AUTO_TEST_CASE(StreamGoesOnElsewhereIfItsReplicaIsNotReached) {
  request("resumable");
  const auto first = client.sent.back();
  const auto record = replicas.find(first->terms.replica.instance());
  reachability.ended.insert(record->facts().endpoint);
  links.onConnectFailed(*record);
  time.advance(milliseconds(1900));
  BOOST_TEST(!first->withdrawn);
  BOOST_TEST(client.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(OutdatedRunThatIsNotSeenToEndEndsTheRequest) {
  announceWeights(2);
  time.advance(milliseconds(6900));
  tables.confirmed = time.now();
  auto& caller = request("resumable");
  setAnnouncementTime(2, time.now() - milliseconds(8000));
  BOOST_REQUIRE(client.last().withdrawn);
  time.advance(milliseconds(500));
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 504U);
  BOOST_TEST(!client.last().open);
}

BOOST_AUTO_TEST_CASE(StreamDoesNotGoOnElsewhereWhileItsOutdatedRunMayBegin) {
  announceWeights(2);
  time.advance(milliseconds(6900));
  tables.confirmed = time.now();
  request("resumable");
  replicas.find("m3")->recordVersion("m", 2);
  setAnnouncementTime(2, time.now() - milliseconds(8000));
  time.advance(milliseconds(300));
  BOOST_TEST(client.sent.size() == 1U);
}

// Guards against two replicas that work on one stream: what the first one sent could not be read,
// which says nothing of its run.
BOOST_AUTO_TEST_CASE(StreamDoesNotGoOnElsewhereAfterAResponseThatCannotBeRead) {
  auto& caller = request("resumable");
  client.last().handler->onFailure(
      {clients::DispatchFailure::kOutcomeUnknown, {base::ResultCode::kBackEndLost, "malformed"}});
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(!caller.open());
}

// As above: the connection to the node that passed the request on has ended, not the run.
BOOST_AUTO_TEST_CASE(StreamDoesNotGoOnElsewhereAfterTheNodeThatPassedItOnFailed) {
  request("resumable");
  client.last().failAtRelay(clients::DispatchFailure::kOutcomeUnknown);
  BOOST_TEST(client.sent.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
