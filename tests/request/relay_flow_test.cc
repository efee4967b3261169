// Tests the flow of one relayed request: which attempts may be repeated, and what the caller
// receives and when.
#include "request/relay_flow.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(RelayFlowTest, RelayFixture)

BOOST_AUTO_TEST_CASE(PlainResponseIsRelayedCompletelyWithItsLength) {
  auto& caller = request("unsafe");
  client.last().head(200);
  client.last().handler->onBody("hel");
  BOOST_TEST(!caller.head.has_value());
  client.last().handler->onBody("lo");
  client.last().handler->onEnd();
  BOOST_TEST(caller.body == "hello");
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.head->length.value() == 5U);
  BOOST_TEST(service.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(DispatchTermsContainTheExpectedInstanceAndTheTimeLeft) {
  request("unsafe");
  BOOST_TEST(!client.last().terms.replica.instance().empty());
  BOOST_TEST(client.last().terms.tenant == "tenant");
  BOOST_TEST((client.last().terms.timeLeft == seconds(4)));
}

BOOST_AUTO_TEST_CASE(NotRepeatableRequestWithUnknownOutcomeIsNeitherRetriedNorReportedAsNotRun) {
  auto& caller = request("unsafe");
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.refusal->status == 502U);
}

BOOST_AUTO_TEST_CASE(NotRepeatableRequestThatDidNotRunIsRetriedOnAnotherReplica) {
  auto& caller = request("unsafe");
  client.last().refuseNotExecuted();
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST((client.sent[0]->replica != client.sent[1]->replica));
  client.last().respond(200, "done");
  BOOST_TEST(caller.body == "done");
}

BOOST_AUTO_TEST_CASE(RequestThatWasNotSentIsRetriedWithoutBudget) {
  retries = admission::RetryWindows({seconds(10), 0, 0, 1.0}, kStartedLongAgo, oneNode);
  auto& caller = request("unsafe");
  client.last().refuseConnection();
  BOOST_TEST(client.sent.size() == 2U);
  client.last().respond(200, "done");
  BOOST_TEST(caller.ended);
}

BOOST_AUTO_TEST_CASE(RequestRefusedByAllReplicasIsRefusedAsNotRunWithRetryAfter) {
  auto& caller = request("unsafe");
  while (caller.open()) client.last().refuseNotExecuted();
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST((caller.refusal->retryAfter > milliseconds(0)));
  BOOST_TEST(client.sent.size() <= 5U);
}

BOOST_AUTO_TEST_CASE(RepeatableRequestIsRetriedWithinItsAttempts) {
  auto& caller = request("safe");
  client.last().respond(500, "oops");
  BOOST_TEST(client.sent.size() == 2U);
  client.last().respond(500, "again");
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST(caller.head->status == 500U);
  BOOST_TEST(caller.body == "again");
}

BOOST_AUTO_TEST_CASE(FailureOfNotRepeatableRequestIsPassedOnUnchanged) {
  auto& caller = request("unsafe");
  client.last().respond(500, "oops");
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.head->status == 500U);
  BOOST_TEST(caller.body == "oops");
}

BOOST_AUTO_TEST_CASE(NothingIsRetriedWithoutBudget) {
  retries = admission::RetryWindows({seconds(10), 0, 0, 1.0}, kStartedLongAgo, oneNode);
  auto& caller = request("safe");
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.refusal->status == 502U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveReplicaIsAbandonedOnlyIfTheRequestIsRepeatable) {
  request("safe");
  time.advance(milliseconds(450));
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST(!client.sent[0]->open);
  request("unsafe");
  time.advance(milliseconds(450));
  BOOST_TEST(client.sent.size() == 3U);
  BOOST_TEST(client.sent[2]->open);
}

// Guards against long prompts being retried on another replica while they are still being
// prefilled, which repeats the prefill there.
BOOST_AUTO_TEST_CASE(ReceiveTimeoutIncludesThePrefillOfThePrompt) {
  for (const char* name : {"m1", "m2", "m3"}) {
    for (int count = 0; count < 60; ++count)
      replicas.find(name)->prefillSpeed().record(1000, milliseconds(500));
  }
  request("resumable");
  time.advance(milliseconds(2600));
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(client.last().open);
  BOOST_TEST(!client.last().withdrawn);
  time.advance(milliseconds(400));
  BOOST_REQUIRE(client.last().withdrawn);
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ResponseOfAnotherInstanceAtTheAddressEndsTheReplica) {
  request("unsafe");
  const auto first = client.last().terms.replica.instance();
  clients::RelayedAnswer other;
  other.status = 421;
  other.notExecuted = true;
  other.otherInstance = true;
  client.last().handler->onHead(std::move(other));
  client.last().handler->onEnd();
  BOOST_TEST(replicas.find(first)->terminated());
  BOOST_TEST(client.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveReplicaIsAwaitedIfNoAttemptIsLeft) {
  auto& caller = request("safe");
  time.advance(milliseconds(450));
  time.advance(milliseconds(900));
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST(client.last().open);
  client.last().respond(200, "late");
  BOOST_TEST(caller.body == "late");
}

// Guards against giving up a stream whose replica is only silent for a second: the attempt was
// ended first, and the stream was cut when no other replica accepted it.
BOOST_AUTO_TEST_CASE(SilentStreamIsKeptUntilAnotherReplicaAcceptsIt) {
  auto& caller = request("resumable");
  const auto attempt = client.sent.back();
  attempt->head(200);
  attempt->handler->onBody("id: 1\ndata: a\n\n");
  makeOthersLeave(*attempt);
  time.advance(seconds(2));
  BOOST_REQUIRE(attempt->open);
  BOOST_TEST(!caller.aborted);
  attempt->handler->onBody("id: 2\ndata: b\n\n");
  attempt->handler->onEnd();
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(client.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SilentRequestIsKeptUntilAnotherReplicaAcceptsIt) {
  auto& caller = request("resumable");
  const auto attempt = client.sent.back();
  makeOthersLeave(*attempt);
  time.advance(seconds(2));
  BOOST_REQUIRE(attempt->open);
  BOOST_TEST(!caller.refusal.has_value());
  attempt->head(200);
  attempt->handler->onBody("id: 1\ndata: a\n\n");
  attempt->handler->onEnd();
  BOOST_TEST(caller.ended);
  BOOST_TEST(outcomes.back().attempts == 1U);
}

// Guards against a refusal that promises that the request did not run although an earlier attempt
// may have, where the last attempt finds no connection and no time is left for another one.
BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsNotReportedAsNotRunWhenItsRetryIsNotSent) {
  auto& caller = request("safe");
  client.last().breakConnection();
  BOOST_REQUIRE(client.sent.size() == 2U);
  time.advance(milliseconds(3998));
  BOOST_REQUIRE(client.last().open);
  client.last().refuseConnection();
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 502U);
}

// Guards against giving up a sound replica, and its stream, because this node itself does not read
// what it sends: its caller reads too slowly.
BOOST_AUTO_TEST_CASE(SlowReaderIsNotTakenForASilentReplica) {
  auto& caller = request("resumable");
  const auto attempt = client.sent.back();
  attempt->head(200);
  attempt->handler->onBody("id: 1\ndata: a\n\n");
  caller.onPressure(true);
  time.advance(seconds(2));
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_REQUIRE(attempt->open);
  BOOST_TEST(loggedValues(base::Event::kRequestRetried, "cause").empty());
  caller.onPressure(false);
  time.advance(milliseconds(1900));
  BOOST_REQUIRE(attempt->withdrawn);
  attempt->breakConnection();
  BOOST_TEST(client.sent.size() == 2U);
}

// Guards against a silent replica that is looked at only once: the budget may allow a retry later.
BOOST_AUTO_TEST_CASE(SilenceIsLookedAtAgainWhenTheBudgetAllowsARetry) {
  retries = admission::RetryWindows({seconds(1), 0, 1, 1.0}, kStartedLongAgo, oneNode);
  auto spent = retries.reserve("llm", time.now());
  request("resumable");
  const auto attempt = client.sent.back();
  attempt->head(200);
  attempt->handler->onBody("id: 1\ndata: a\n\n");
  time.advance(milliseconds(1900));
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(!attempt->withdrawn);
  spent.reset();
  time.advance(milliseconds(1900));
  BOOST_REQUIRE(attempt->withdrawn);
  attempt->breakConnection();
  BOOST_TEST(client.sent.size() == 2U);
}

// Guards against a refusal whose body does not arrive being counted as a run that its replica's end
// interrupted.
BOOST_AUTO_TEST_CASE(RefusalThatBreaksOffDuringASearchIsNoCrash) {
  request("resumable");
  const auto attempt = client.sent.back();
  makeOthersLeave(*attempt);
  attempt->head(503, /*notExecuted=*/true);
  reachability.ended.insert(attempt->replica);
  time.advance(milliseconds(1900));
  BOOST_REQUIRE(attempt->open);
  attempt->breakConnection();
  time.advance(seconds(1));
  BOOST_TEST(loggedValues(base::Event::kReplicaEndedUnderRuns, "replica").empty());
}

// The budget may be used up by the time another replica accepts the stream.
BOOST_AUTO_TEST_CASE(SilentStreamIsKeptIfItsRetryCannotBeCounted) {
  retries = admission::RetryWindows({seconds(1), 0, 1, 1.0}, kStartedLongAgo, oneNode);
  auto& caller = request("resumable");
  const auto attempt = client.sent.back();
  attempt->head(200);
  attempt->handler->onBody("id: 1\ndata: a\n\n");
  makeOthersLeave(*attempt);
  time.advance(milliseconds(1900));
  auto spent = retries.reserve("llm", time.now());
  for (const char* name : {"m4", "m5"}) addReplica(name, "llm", 1);
  time.advance(milliseconds(600));
  BOOST_TEST(!caller.aborted);
}

BOOST_AUTO_TEST_CASE(DeadlineAfterDispatchIsNotReportedAsNotRun) {
  auto& caller = request("unsafe");
  time.advance(seconds(4));
  BOOST_TEST(caller.refusal->status == 504U);
  BOOST_TEST(!client.last().open);
}

BOOST_AUTO_TEST_CASE(RequestIsHeldForAShareOfItsTimeAndThenRefusedAsNotRun) {
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  auto& held = request("unsafe");
  time.advance(milliseconds(1800));
  addReplica("d", "app");
  time.advance(milliseconds(40));
  BOOST_TEST(client.sent.size() == 1U);
  client.last().respond(200, "ok");
  BOOST_TEST(held.ended);
  replicas.onRemoved("d");
  auto& refused = request("unsafe");
  time.advance(milliseconds(1900));
  BOOST_TEST(refused.open());
  time.advance(milliseconds(60));
  BOOST_TEST(refused.refusal->status == 503U);
  BOOST_TEST((refused.refusal->retryAfter > milliseconds(0)));
  BOOST_TEST(client.sent.size() == 1U);
}

// Guards against a node that is behind and serves ever older requests, all of them too late.
BOOST_AUTO_TEST_CASE(RequestThatLayUnreadForTheTimeOfItsHoldIsRefusedAsNotRun) {
  readDelay = milliseconds(1900);
  const auto& served = request("unsafe");
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST((client.last().terms.timeLeft == milliseconds(2100)));
  BOOST_TEST(served.open());
  readDelay = milliseconds(2000);
  const auto& refused = request("unsafe");
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_REQUIRE(refused.refusal.has_value());
  BOOST_TEST(refused.refusal->status == 503U);
  BOOST_TEST((refused.refusal->retryAfter > milliseconds(0)));
}

// Guards against requests being held for longer than their callers wait for a first event.
BOOST_AUTO_TEST_CASE(StreamIsNotHeldLongerThanItsCallerWaitsForTheFirstEvent) {
  auto adjusted = contents();
  adjusted.routes[2].firstEventPatience = seconds(1);
  useTable(adjusted);
  for (const char* name : {"m1", "m2", "m3"}) replicas.onRemoved(name);
  auto& caller = request("once");
  time.advance(milliseconds(550));
  BOOST_TEST(caller.refusal->status == 503U);
}

BOOST_AUTO_TEST_CASE(RequestIsHeldWhileEveryReplicaIsAtCapacity) {
  // Eight requests run at each of the three replicas and one more waits there. Further requests
  // wait in a queue.
  constexpr std::size_t kFleetCapacity = 3 * (8 + 1);
  std::map<std::string, std::size_t> sentTo;
  for (std::size_t count = 0; count < kFleetCapacity; ++count) {
    request("once");
    BOOST_REQUIRE(client.sent.size() == count + 1);
    ++sentTo[client.last().terms.replica.instance()];
    // Prompts that are still being prefilled would delay the next one.
    client.last().head(200);
    client.last().handler->onBody("id: 1\ndata: x\n\n");
  }
  for (const auto& [name, count] : sentTo) BOOST_TEST(count == kFleetCapacity / 3);
  request("once");
  BOOST_TEST(client.sent.size() == kFleetCapacity);
  const auto ended = client.sent.front();
  ended->handler->onEnd();
  time.advance(milliseconds(60));
  BOOST_REQUIRE(client.sent.size() == kFleetCapacity + 1);
  BOOST_TEST(client.last().terms.replica.instance() == ended->terms.replica.instance());
}

BOOST_AUTO_TEST_CASE(ReplicaThatOtherNodesFoundUnreachableIsNotTried) {
  // This node is the home node and was notified by another node.
  const auto first = [&] {
    request("once");
    client.last().respond(200, "id: 1\ndata: x\n\n");
    return client.last().terms.replica.instance();
  };
  const auto usual = first();
  const auto replica = base::engineIdOf(usual);
  const base::PeerIdentity other{base::nodeIdOf("other"), 1, {}};
  placement.onPeerMessage(other, routing::encode(routing::UngrantedDispatch{7, replica, {}}));
  placement.onPeerMessage(other, routing::encode(routing::PlacementEnded{
                                     7, replica, routing::PlacementOutcome::kUnreachable, {}}));
  BOOST_TEST(first() != usual);
  time.advance(seconds(1));
  BOOST_TEST(first() == usual);
}

BOOST_AUTO_TEST_CASE(WorkOfOtherNodesAtAReplicaDivertsARequest) {
  request("once");
  const auto usual = client.last().terms.replica.instance();
  time.advance(milliseconds(30));
  client.last().respond(200, "id: 1\ndata: x\n\n");
  const base::PeerIdentity other{base::nodeIdOf("other"), 1, {}};
  const routing::PlacementDemand work{20'000, 20'000, 8, 90'000};
  placement.onPeerMessage(
      other, routing::encode(routing::UngrantedDispatch{7, base::engineIdOf(usual), work}));
  request("once");
  BOOST_TEST(client.last().terms.replica.instance() != usual);
  placement.onPeerMessage(other,
                          routing::encode(routing::PlacementStarted{7, base::engineIdOf(usual)}));
  request("once");
  BOOST_TEST(client.last().terms.replica.instance() == usual);
}

BOOST_AUTO_TEST_CASE(RequestThatWouldBeLateAtEveryReplicaIsQueued) {
  // At each replica the prefill of the prompts in front takes longer than the target latency.
  const base::PeerIdentity other{base::nodeIdOf("other"), 1, {}};
  const routing::PlacementDemand work{20'000, 20'000, 8, 90'000};
  std::uint64_t id = 0;
  for (const char* name : {"m1", "m2", "m3"}) {
    placement.onPeerMessage(
        other, routing::encode(routing::UngrantedDispatch{++id, base::engineIdOf(name), work}));
  }
  request("once");
  BOOST_TEST(client.sent.empty());
  time.advance(milliseconds(500));
  BOOST_TEST(client.sent.empty());
  placement.onPeerMessage(other,
                          routing::encode(routing::PlacementStarted{2, base::engineIdOf("m2")}));
  time.advance(milliseconds(160));
  BOOST_REQUIRE(client.sent.size() == 1U);
  BOOST_TEST(client.last().terms.replica.instance() == "m2");
}

BOOST_AUTO_TEST_CASE(DisconnectOfTheCallerEndsTheCall) {
  auto& caller = request("unsafe");
  flow.lock()->onCallerDisconnected();
  BOOST_TEST(!client.last().open);
  BOOST_TEST(caller.open());
  BOOST_TEST(service.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(HeadersOfAStreamAreHeldUntilItsFirstEvent) {
  auto& caller = request("resumable");
  client.last().head(200);
  BOOST_TEST(!caller.head.has_value());
  client.last().handler->onBody("id: 1\ndata: x\n\n");
  BOOST_TEST(caller.head.has_value());
  BOOST_TEST(caller.body == "id: 1\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(BrokenResumableStreamContinuesAfterItsLastCompleteEvent) {
  auto& caller = request("resumable");
  client.last().head(200);
  const auto signature = client.last().replica;
  client.last().handler->onBody("id: 1\ndata: x\n\nid: 2\nda");
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST(client.last().terms.lastEventId == "1");
  client.last().head(200);
  client.last().handler->onBody("id: 2\ndata: y\n\n");
  client.last().handler->onEnd();
  BOOST_TEST(caller.body == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.head->headers.front().value == base::toString(signature));
}

BOOST_AUTO_TEST_CASE(StreamThatEndsInsideAnEventIsBroken) {
  auto& caller = request("resumable");
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: x\n\nid: 2\nda");
  client.last().handler->onEnd();
  BOOST_TEST(!caller.ended);
  BOOST_TEST(client.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(BrokenStreamThatMayNotBeResumedIsAborted) {
  auto& caller = request("once");
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: x\n\n");
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.aborted);
  BOOST_TEST(!caller.ended);
}

BOOST_AUTO_TEST_CASE(ResumedStreamThatGetsAnErrorResponseIsAborted) {
  auto& caller = request("resumable");
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: x\n\n");
  client.last().breakConnection();
  client.last().respond(500, "oops");
  BOOST_TEST(caller.aborted);
  BOOST_TEST(caller.body == "id: 1\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(ReplicaOfAnotherVersionIsSkipped) {
  request("once");
  const auto first = client.last().terms.replica.instance();
  client.last().refuseNotExecuted(421);
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST(client.last().terms.replica.instance() != first);
  BOOST_TEST(replicas.find(first)->versionUncertain(time.now()));
}

BOOST_AUTO_TEST_CASE(RevokedKeyIsNotUsedForAnotherAttempt) {
  auto& caller = request("safe");
  auto without = contents();
  without.version = 2;
  without.tenants.front().keys = {"other"};
  useTable(without);
  client.last().respond(500, "oops");
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.refusal->status == 401U);
}

// Guards against cached parts that cross the wall of a tenant that has become isolated, also by a
// request that arrived before and is sent again after that.
BOOST_AUTO_TEST_CASE(TenantThatBecomesIsolatedSharesNoCacheFromThenOn) {
  const auto saltOf = [this](const std::string& path) {
    request(path);
    auto salt = client.last().terms.cacheSalt;
    client.last().respond(200, "x");
    return salt;
  };
  const auto sharedBefore = saltOf("once");
  auto& open = request("resumable");
  BOOST_TEST(client.last().terms.cacheSalt == sharedBefore);
  auto walled = contents();
  walled.version = 2;
  walled.tenants.front().isolated = true;
  useTable(walled);
  client.last().respond(500, "oops");
  const auto ownSalt = client.last().terms.cacheSalt;
  BOOST_TEST(ownSalt != sharedBefore);
  client.last().respond(200, "x");
  BOOST_TEST(open.finals == 1);
  BOOST_TEST(saltOf("once") == ownSalt);
  // Others, under this configuration and without the tenant.
  walled.version = 3;
  walled.tenants.front().name = "walled";
  walled.tenants.push_back({"tenant", {"key"}, 1, false, std::nullopt});
  walled.tenants.front().keys = {"other"};
  useTable(walled);
  const auto sharedAfter = saltOf("once");
  BOOST_TEST(sharedAfter != sharedBefore);
  BOOST_TEST(sharedAfter != ownSalt);
  // A return to the former set finds its cache again.
  useTable(contents());
  BOOST_TEST(saltOf("once") == sharedBefore);
}

BOOST_AUTO_TEST_CASE(EveryRequestGetsExactlyOneFinalResponse) {
  for (int round = 0; round < 3; ++round) {
    for (const char* path : {"safe", "unsafe", "once", "resumable"}) {
      auto& caller = request(path);
      if (round == 0) client.last().breakConnection();
      if (round == 1) client.last().refuseNotExecuted();
      if (round == 2) client.last().head(200);
      time.advance(seconds(10));
      tables.confirmed = time.now();
      BOOST_TEST(caller.finals == 1);
    }
  }
  BOOST_TEST(service.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestThatHasNotStartedWhenItsWeightsAreOutdatedEnds) {
  // Requests may start on version 1 until 7 s plus 0.6 of the margin after version 2 was announced.
  replicas.find("m3")->recordVersion("m", 2);
  targets.onNamed("m", 2, time.now());
  time.advance(milliseconds(6900));
  tables.confirmed = time.now();
  replicas.find("m3")->setAtCapacity(time.now() + seconds(9));
  auto& once = request("once");
  auto& resumable = request("resumable");
  const auto sent = client.sent;
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST(sent[0]->terms.expectedVersion.value() == 1U);
  time.advance(milliseconds(650));
  BOOST_TEST(once.open());
  time.advance(milliseconds(100));
  BOOST_TEST(!sent[0]->open);
  BOOST_TEST(once.refusal->status == 502U);
  BOOST_REQUIRE(sent[1]->withdrawn);
  sent[1]->breakConnection();
  BOOST_TEST(!sent[1]->open);
  BOOST_TEST(resumable.open());
  BOOST_TEST(client.sent.size() == 3U);
  BOOST_TEST(client.last().terms.expectedVersion.value() == 2U);
}

BOOST_AUTO_TEST_CASE(RequestThatHasStartedContinuesWhenItsWeightsAreOutdated) {
  targets.onNamed("m", 2, time.now());
  time.advance(milliseconds(6900));
  tables.confirmed = time.now();
  auto& caller = request("once");
  client.last().head(200);
  client.last().handler->onBody("x");
  time.advance(milliseconds(1000));
  BOOST_TEST(caller.open());
  BOOST_TEST(client.last().open);
}

// Guards against requests that start on outdated weights because their start deadline is only
// determined at the dispatch. Here version 2 of the weights is announced after the requests were
// sent to a replica on version 1, so that they had no deadline at the dispatch. Without an update
// both would still be waiting there, free to start on version 1, 7.7 s after the announcement.
BOOST_AUTO_TEST_CASE(RequestSentBeforeItsWeightsWereOutdatedEndsAsWell) {
  auto adjusted = contents();
  for (auto& one : adjusted.routes) one.timeout = one.targetLatency = seconds(30);
  useTable(adjusted);
  replicas.find("m3")->setAtCapacity(time.now() + seconds(30));
  auto& once = request("once");
  auto& resumable = request("resumable");
  const auto sent = client.sent;
  BOOST_REQUIRE(sent.size() == 2U);
  time.advance(milliseconds(100));
  replicas.find("m3")->recordVersion("m", 2);
  announceWeights(2);
  time.advance(milliseconds(7500));
  tables.confirmed = time.now();
  BOOST_TEST(sent[0]->open);
  BOOST_TEST(sent[1]->open);
  time.advance(milliseconds(200));
  BOOST_TEST(!sent[0]->open);
  BOOST_TEST(once.refusal.has_value());
  BOOST_REQUIRE(sent[1]->withdrawn);
  sent[1]->breakConnection();
  BOOST_TEST(!sent[1]->open);
  BOOST_TEST(resumable.open());
  BOOST_REQUIRE(client.sent.size() == 3U);
  BOOST_TEST(client.last().terms.expectedVersion.value() == 2U);
}

// Guards against requests that keep a start deadline that is too late. A node without contact to
// the table service receives the announcement of version 2 with a delay of 6 s, sends a request to
// a replica on version 1, and only then receives the time of the announcement. If the request kept
// the later deadline, it would still be waiting 7.65 s after the announcement, free to start on
// version 1.
BOOST_AUTO_TEST_CASE(RequestSentBeforeTheAnnouncementTimeWasKnownEndsByThatTime) {
  const auto announcedAt = time.now();
  time.advance(seconds(6));
  tables.confirmed = time.now();
  announceWeights(2);
  auto& onTime = request("once");
  setAnnouncementTime(2, announcedAt);
  time.advance(milliseconds(1550));
  BOOST_TEST(onTime.open());
  time.advance(milliseconds(100));
  BOOST_TEST(!onTime.open());
  BOOST_TEST(!client.last().open);

  // Version 3 was announced so long ago that no request may start on version 2 any more.
  for (const char* name : {"m1", "m2", "m3"}) replicas.find(name)->recordVersion("m", 2);
  announceWeights(3);
  auto& late = request("once");
  BOOST_TEST(late.open());
  setAnnouncementTime(3, time.now() - seconds(8));
  BOOST_TEST(!late.open());
  BOOST_TEST(!client.last().open);
}

// The log must distinguish withdrawn attempts from other failed ones, and show until when a request
// may start on its version of the weights.
BOOST_AUTO_TEST_CASE(LogContainsStartDeadlinesAndWithdrawals) {
  request("once");
  const auto lastLogged = [this](base::Event event, std::string_view field) {
    const auto values = loggedValues(event, field);
    return values.empty() ? "no line" : values.back();
  };
  BOOST_TEST(lastLogged(base::Event::kRelayDispatched, "begin_in_ms").empty());
  client.last().respond(200, "x");
  announceWeights(2);
  time.advance(milliseconds(6900));
  tables.confirmed = time.now();
  request("once");
  BOOST_TEST(lastLogged(base::Event::kRelayDispatched, "begin_in_ms") == "700");
  BOOST_TEST(log.count(base::Event::kRelayWithdrawn) == 0U);
  setAnnouncementTime(2, time.now() - milliseconds(8000));
  BOOST_REQUIRE(log.count(base::Event::kRelayWithdrawn) == 1U);
  BOOST_TEST(lastLogged(base::Event::kRelayWithdrawn, "weights") == "1");
  BOOST_TEST(lastLogged(base::Event::kRelayWithdrawn, "late_ms") == "400");
  BOOST_TEST(lastLogged(base::Event::kRelayWithdrawn, "after_ms") == "0");
  BOOST_TEST(lastLogged(base::Event::kRelayWithdrawn, "head_seen") == "no");
}

// While the process is paused, no timer fires; afterwards timers wait until the event loop reads
// the clock.
BOOST_AUTO_TEST_CASE(RequestWhoseStartDeadlinePassedDuringAPauseEndsAtTheWake) {
  announceWeights(2);
  time.advance(milliseconds(6900));
  tables.confirmed = time.now();
  auto& caller = request("once");
  time.pause(milliseconds(1500));
  BOOST_TEST(caller.open());
  service.onWeightsChanged();
  time.settle();
  BOOST_TEST(!caller.open());
  BOOST_TEST(!client.last().open);
}

BOOST_AUTO_TEST_CASE(RequestWithHeadersButNoFirstTokenHasNotStarted) {
  auto adjusted = contents();
  for (auto& one : adjusted.routes) one.timeout = one.targetLatency = seconds(30);
  useTable(adjusted);
  auto& caller = request("once");
  client.last().head(200);
  announceWeights(2);
  time.advance(milliseconds(7500));
  BOOST_TEST(caller.open());
  time.advance(milliseconds(200));
  BOOST_TEST(!caller.open());
}

// Guards against a refusal being counted as a possible execution. The start deadline passes after
// the headers of the refusal have arrived but before its end. A request that must not be executed
// twice then failed with 502 instead of being retried on another replica.
BOOST_AUTO_TEST_CASE(RequestRefusedBeforeItsStartDeadlineIsRetried) {
  replicas.find("m3")->setAtCapacity(time.now() + seconds(30));
  announceWeights(2);
  time.advance(milliseconds(6900));
  tables.confirmed = time.now();
  auto& caller = request("once");
  const auto refused = client.sent.back();
  refused->head(503, true);
  replicas.find("m3")->recordVersion("m", 2);
  time.advance(milliseconds(800));
  BOOST_REQUIRE(caller.open());
  refused->handler->onEnd();
  BOOST_TEST(caller.open());
  BOOST_REQUIRE(client.sent.size() == 2U);
  BOOST_TEST(client.last().terms.expectedVersion.value() == 2U);
}

BOOST_AUTO_TEST_CASE(ResumedStreamHasAStartDeadlineAsWell) {
  auto adjusted = contents();
  for (auto& one : adjusted.routes) one.timeout = one.targetLatency = seconds(30);
  adjusted.routes[3].attempts = 3;
  useTable(adjusted);
  replicas.find("m3")->setAtCapacity(time.now() + seconds(30));
  auto& caller = request("resumable");
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: x\n\n");
  client.last().breakConnection();
  BOOST_REQUIRE(client.sent.size() == 2U);
  const auto resumed = client.sent.back();
  replicas.find("m3")->recordVersion("m", 2);
  announceWeights(2);
  time.advance(milliseconds(7500));
  tables.confirmed = time.now();
  BOOST_TEST(resumed->open);
  time.advance(milliseconds(200));
  BOOST_REQUIRE(resumed->withdrawn);
  resumed->breakConnection();
  BOOST_TEST(!resumed->open);
  BOOST_TEST(caller.open());
  BOOST_REQUIRE(client.sent.size() == 3U);
  BOOST_TEST(client.last().terms.expectedVersion.value() == 2U);
  BOOST_TEST(client.last().terms.lastEventId == "1");
}

// Changes of the weights are applied to requests in the order of their arrival, so that the
// earliest requests get the remaining retry budget.
BOOST_AUTO_TEST_CASE(RequestsAreWithdrawnInTheOrderOfTheirArrival) {
  auto adjusted = contents();
  for (auto& one : adjusted.routes) one.timeout = one.targetLatency = seconds(30);
  useTable(adjusted);
  for (int count = 0; count < 6; ++count) request("once");
  announceWeights(2);
  setAnnouncementTime(2, time.now() - seconds(8));
  const auto withdrawn = loggedValues(base::Event::kRelayWithdrawn, "request");
  const std::vector<std::string> arrived{"id-1", "id-2", "id-3", "id-4", "id-5", "id-6"};
  BOOST_TEST(withdrawn == arrived, boost::test_tools::per_element());
}

// The part "aa" of the fixture's prompts has its home at the other one of two nodes.
struct LookupFixture : RelayFixture {
  LookupFixture() {
    // Tries node names until the other node is the home node of the part.
    for (int number = 0; peers.sent.empty(); ++number) {
      members = FakeMembers{"self"};
      members.add("other-" + std::to_string(number));
      parts.announce(prefix::partIdOf("aa"), {base::engineIdOf("m1"), 1});
    }
    peers.sent.clear();
  }

  template <class Message>
  std::optional<Message> lastSent() const {
    for (auto sent = peers.sent.rbegin(); sent != peers.sent.rend(); ++sent) {
      const auto message = routing::decodePartMessage(sent->payload);
      if (message && std::holds_alternative<Message>(*message)) return std::get<Message>(*message);
    }
    return std::nullopt;
  }

  void replyWithHolder(const std::string& replica, const std::string& salt) {
    const auto query = lastSent<routing::PartQuery>();
    const auto& home = members.liveMembers().back();
    parts.onPeerMessage(
        {home.id, 1, home.endpoint},
        routing::encode(routing::PartReply{
            query->nonce, {{base::engineIdOf(replica), routing::cacheScope(salt, "m")}}}));
  }

  std::string chosen() const {
    const auto& endpoint = client.sent.back()->replica;
    for (const auto& [name, record] : replicas.all()) {
      if (record->facts().endpoint == endpoint) return name;
    }
    return {};
  }
  /// A model replica other than the chosen one.
  std::string another() const { return chosen() == "m1" ? "m2" : "m1"; }
};

BOOST_FIXTURE_TEST_CASE(PartIsFetchedFromAHolderThatOnlyTheHomeKnows, LookupFixture) {
  request("once");
  time.advance(milliseconds(30));
  const auto home = chosen();
  const auto holder = another();
  client.last().respond(200, "x");
  holders.remove(base::engineIdOf(home));
  time.advance(milliseconds(2000));
  peers.sent.clear();

  request("once");
  BOOST_TEST(client.sent.size() == 1U);
  replyWithHolder(holder, "w1");
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST((client.last().terms.fetchFrom == replicas.find(holder)->facts().endpoint));
  BOOST_TEST(!lastSent<routing::PartUpdate>().has_value());
  client.last().respond(200, "x");
  const auto notice = lastSent<routing::PartUpdate>();
  BOOST_TEST((notice && notice->holder.replica == base::engineIdOf(chosen())));
}

BOOST_FIXTURE_TEST_CASE(PartIsNotFetchedFromAHolderWithOtherWeights, LookupFixture) {
  request("once");
  replyWithHolder("m1", "w2");
  replyWithHolder("m2", "w2");
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(!client.last().terms.fetchFrom.has_value());
}

BOOST_FIXTURE_TEST_CASE(UnresponsiveHomeDelaysARequestForMillisecondsOnly, LookupFixture) {
  request("once");
  BOOST_TEST(client.sent.empty());
  time.advance(milliseconds(16));
  BOOST_TEST(client.sent.size() == 1U);
  // The unresponsive home node is skipped for a while.
  holders.remove(base::engineIdOf(chosen()));
  request("once");
  BOOST_TEST(client.sent.size() == 2U);
}

// Guards against every replica having to prefill, for each version of the weights, the first part
// that many prompts have in common.
BOOST_AUTO_TEST_CASE(LongFirstPartIsFetchedEvenIfTheDeeperOnesAreNew) {
  parts.announce(prefix::partIdOf("start"),
                 {base::engineIdOf("m1"), routing::cacheScope("w1", "m")});
  std::set<std::string> reached;
  for (int deeper = 0; reached.size() < 3; ++deeper) {
    promptText = "start:800,new" + std::to_string(deeper) + ":700,own:100";
    request("once");
    const auto& terms = client.last().terms;
    reached.insert(terms.replica.instance());
    const auto source = replicas.find("m1")->facts().endpoint;
    BOOST_TEST((terms.fetchFrom == source) == (terms.replica.instance() != "m1"));
  }
}

BOOST_FIXTURE_TEST_CASE(RequestIsNotSentIfItsCallerDisconnectsDuringTheLookup, LookupFixture) {
  request("once");
  flow.lock()->onCallerDisconnected();
  replyWithHolder("m1", "w1");
  time.advance(milliseconds(50));
  BOOST_TEST(client.sent.empty());
}

// Guards against a request under which replicas crashed being sent to further replicas, which would
// crash as well.
BOOST_AUTO_TEST_CASE(QuarantinedRequestIsRefusedAsNotRunWhileOthersOfTheTenantAreServed) {
  quarantineRequest("unsafe");
  auto& refused = request("unsafe");
  BOOST_TEST(client.sent.empty());
  BOOST_REQUIRE(refused.refusal.has_value());
  BOOST_TEST(refused.refusal->status == 503U);
  BOOST_TEST((refused.refusal->reason.code == base::ResultCode::kRequestQuarantined));
  BOOST_TEST((refused.refusal->retryAfter > std::chrono::minutes(59)));
  BOOST_TEST(log.count(base::Event::kRequestRefused) == 1U);
  auto& other = request("unsafe", "key", "another body");
  client.last().respond(200, "done");
  BOOST_TEST(other.body == "done");
}

BOOST_AUTO_TEST_CASE(RequestThatHasRunIsNotReportedAsNotRunWhenItIsQuarantined) {
  auto& caller = request("safe");
  quarantineRequest("safe");
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 502U);
}

BOOST_AUTO_TEST_CASE(HeldRequestIsRefusedOnceItIsQuarantined) {
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  auto& caller = request("unsafe");
  BOOST_TEST(caller.open());
  quarantineRequest("unsafe");
  time.advance(milliseconds(60));
  BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kRequestQuarantined));
}

BOOST_AUTO_TEST_CASE(OnlyRunsThatEndWithTheirReplicaAreReported) {
  std::vector<routing::LostRequests> ended;
  replicaCrashDetector.setListener(
      [&](const routing::LostRequests& lost) { ended.push_back(lost); });
  request("unsafe", "key", "one");
  reachability.ended.insert(client.last().replica);
  client.last().breakConnection();
  time.advance(seconds(1));
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(ended[0].instance == client.last().terms.replica.instance());
  request("unsafe", "key", "two");
  client.last().respond(200, "done");
  time.advance(seconds(1));
  BOOST_TEST(ended.size() == 1U);
}

BOOST_AUTO_TEST_CASE(OnlyASuccessfulRunClearsTheCrashesOfARequest) {
  quarantineAfter(2, "unsafe");
  request("unsafe");
  client.last().respond(500, "oops");
  quarantineAfter(1, "unsafe");
  BOOST_TEST((request("unsafe").refusal->reason.code == base::ResultCode::kRequestQuarantined));
  quarantineAfter(2, "safe");
  request("safe");
  client.last().respond(200, "done");
  quarantineAfter(2, "safe");
  auto& served = request("safe");
  client.last().respond(200, "done");
  BOOST_TEST(served.ended);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
