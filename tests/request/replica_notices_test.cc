// Tests that nodes respect the notices that replicas send along with their responses: that they are
// leaving, or for how long nodes should back off.
//
// Guards against two faults that occurred when a replica's state was taken from its entry in the
// table service alone:
//
// - While the table service was unresponsive, the entry of a leaving replica stayed "ready". A node
//   passed on a response in which the replica reported that it was leaving, and still sent it a new
//   request 12.6 s later.
// - A replica refused requests with status 503 and requested back-off for 3 s. It was skipped for
//   100 ms only, and then became the first choice again, for first attempts as well as for retries.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct NoticesFixture : RelayFixture {
  /// Sends requests that are all served, and counts those that reach the replica.
  std::size_t countReaching(const base::Endpoint& replica, std::size_t count,
                            const std::string& path) {
    std::size_t reached = 0;
    for (std::size_t sent = 0; sent < count; ++sent) {
      const auto before = client.sent.size();
      request(path);
      if (client.sent.size() == before) continue;
      if (client.last().replica == replica) ++reached;
      client.last().respond(200, "data: done\n\n");
    }
    return reached;
  }
};

constexpr std::size_t kManyRequests = 30;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaNoticesTest, NoticesFixture)

BOOST_AUTO_TEST_CASE(LeavingReplicaGetsNoNewRequests) {
  request("safe");
  const auto leavingReplica = client.last().replica;
  client.last().respondLeaving(200);
  client.last().handler->onEnd();
  for (int second = 0; second < 15; ++second) {
    BOOST_TEST(countReaching(leavingReplica, kManyRequests, "safe") == 0U);
    time.advance(seconds(1));
  }
}

BOOST_AUTO_TEST_CASE(LeavingIsRecognizedInResponsesOfAnyStatus) {
  const auto refused = [this] {
    request("unsafe");
    client.last().respondLeaving(503, true);
    client.last().handler->onEnd();
    return client.sent[client.sent.size() - 2]->replica;
  };
  const auto first = refused();
  client.last().respond(200, "done");
  BOOST_TEST(countReaching(first, kManyRequests, "safe") == 0U);
  request("unsafe");
  const auto second = client.last().replica;
  client.last().respondLeaving(404);
  client.last().handler->onEnd();
  BOOST_TEST(countReaching(second, kManyRequests, "safe") == 0U);
  BOOST_TEST((loggedValues(base::Event::kReplicaLeaving, "status") ==
              std::vector<std::string>{"503", "404"}));
}

BOOST_AUTO_TEST_CASE(OpenStreamContinuesWhileItsReplicaIsLeaving) {
  auto& caller = request("resumable");
  const auto leavingReplica = client.last().replica;
  client.last().respondLeaving(200);
  client.last().handler->onBody("id: 1\ndata: a\n\n");
  const auto stream = client.sent.back();
  BOOST_TEST(countReaching(leavingReplica, kManyRequests, "once") == 0U);
  stream->handler->onBody("id: 2\ndata: b\n\n");
  stream->handler->onEnd();
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(BrokenStreamIsNotResumedAtALeavingReplica) {
  request("resumable");
  const auto leavingReplica = client.last().replica;
  request("resumable");
  const auto other = client.sent.back();
  if (other->replica == leavingReplica) other->respondLeaving(200);
  client.sent.front()->respondLeaving(200);
  client.sent.front()->handler->onBody("id: 1\ndata: a\n\n");
  client.sent.front()->breakConnection();
  BOOST_TEST((client.last().replica != leavingReplica));
  BOOST_TEST(client.last().terms.lastEventId == "1");
}

BOOST_AUTO_TEST_CASE(RequestIsRefusedAsNotRunIfAllReplicasAreLeaving) {
  for (const char* name : {"a", "b", "c"}) replicas.find(name)->notices().recordLeaving();
  auto& caller = request("unsafe");
  time.advance(seconds(4));
  BOOST_TEST(client.sent.empty());
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST(caller.refusal->reason.detail == "every replica leaves or was tried");
}

// At the end of its hold time a request may go back to a replica that failed it, but not to one
// that is leaving.
BOOST_AUTO_TEST_CASE(HeldRequestIsNotSentBackToALeavingReplica) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  auto& caller = request("unsafe");
  client.last().respondLeaving(503, true);
  client.last().handler->onEnd();
  time.advance(seconds(4));
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.refusal->status == 503U);
}

BOOST_AUTO_TEST_CASE(LeavingStateOutlivesTheEntryButNotTheInstance) {
  const auto facts = replicas.find("a")->facts();
  replicas.find("a")->notices().recordLeaving();
  for (int outage = 0; outage < 3; ++outage) {
    replicas.onRemoved("a");
    replicas.onListed(facts);
    BOOST_TEST(!replicas.find("a")->inService());
  }
  // This entry was written before the replica began to leave.
  replicas.onListed(facts);
  BOOST_TEST(!replicas.find("a")->inService());
  replicas.onEnded("a");
  replicas.onListed(facts);
  BOOST_TEST(replicas.find("a")->inService());
}

BOOST_AUTO_TEST_CASE(LateResponseOfAnOlderInstanceDoesNotAffectTheNewOne) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  request("safe");
  auto facts = replicas.find("a")->facts();
  replicas.find("a")->setTerminated();
  replicas.onEnded("a");
  facts.instance = "a@2";
  replicas.onListed(facts);
  client.last().respondLeaving(200);
  client.last().handler->onEnd();
  BOOST_TEST(replicas.find("a@2")->inService());
}

BOOST_AUTO_TEST_CASE(NoticesOfInstancesWithoutAnEntryAreBounded) {
  const auto facts = replicas.find("a")->facts();
  replicas.find("a")->notices().recordLeaving();
  replicas.onRemoved("a");
  constexpr int kMoreThanAnyFleet = 2000;
  for (int number = 0; number < kMoreThanAnyFleet; ++number) {
    auto other = facts;
    other.instance = "other-" + std::to_string(number);
    replicas.onListed(other);
    replicas.onRemoved(other.instance);
  }
  replicas.onListed(facts);
  BOOST_TEST(replicas.find("a")->inService());
}

BOOST_AUTO_TEST_CASE(ReplicaInBackOffGetsNoRequests) {
  request("safe");
  const auto resting = client.last().replica;
  client.last().requestBackOff(seconds(3));
  client.last().respond(200, "data: done\n\n");
  for (int step = 0; step < 29; ++step) {
    BOOST_TEST(countReaching(resting, kManyRequests, "safe") == 0U);
    time.advance(milliseconds(100));
  }
  time.advance(milliseconds(200));
  BOOST_TEST(countReaching(resting, kManyRequests, "safe") > 0U);
}

// All requests with the same shared parts prefer the replica that holds these parts.
BOOST_AUTO_TEST_CASE(PreferredReplicaInBackOffGetsNoRequests) {
  request("once");
  const auto resting = client.last().replica;
  client.last().requestBackOff(seconds(3));
  client.last().respond(200, "data: done\n\n");
  for (int step = 0; step < 29; ++step) {
    BOOST_TEST(countReaching(resting, 1, "once") == 0U);
    time.advance(milliseconds(100));
  }
  time.advance(milliseconds(200));
  BOOST_TEST(countReaching(resting, 1, "once") == 1U);
}

// A retry on a replica that has requested back-off would waste the retry budget.
BOOST_AUTO_TEST_CASE(RetriesAreNotSentToReplicasInBackOff) {
  for (const char* name : {"a", "b"})
    replicas.find(name)->notices().startBackOff(time.now() + seconds(3));
  request("unsafe");
  BOOST_TEST((client.last().replica == replicas.find("c")->facts().endpoint));
  client.last().refuseNotExecuted();
  time.advance(milliseconds(1800));
  BOOST_TEST(client.sent.size() <= 2U);
  for (const auto& sent : client.sent)
    BOOST_TEST((sent->replica == replicas.find("c")->facts().endpoint));
}

BOOST_AUTO_TEST_CASE(BackOffDoesNotCountAsFailure) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  const auto replica = replicas.find("a");
  for (int round = 0; round < 10; ++round) {
    request("unsafe");
    client.last().requestBackOff(milliseconds(200));
    time.advance(milliseconds(250));
  }
  BOOST_TEST(replica->health().failureRate() == 0.0);
  BOOST_TEST(replica->health().available(time.now()));
}

BOOST_AUTO_TEST_CASE(LatestEndOfABackOffApplies) {
  const auto replica = replicas.find("a");
  const auto began = time.now();
  replica->notices().startBackOff(began + seconds(3));
  replica->notices().startBackOff(began + seconds(1));
  replica->notices().startBackOff(began);
  time.advance(milliseconds(2900));
  BOOST_TEST(!replica->acceptsRequests(time.now()));
  time.advance(milliseconds(200));
  BOOST_TEST(replica->acceptsRequests(time.now()));
}

BOOST_AUTO_TEST_CASE(BackOffIsKeptWhileTheEntryIsRemovedAndListedAgain) {
  const auto facts = replicas.find("a")->facts();
  replicas.find("a")->notices().startBackOff(time.now() + seconds(3));
  replicas.onRemoved("a");
  replicas.onListed(facts);
  BOOST_TEST(!replicas.find("a")->acceptsRequests(time.now()));
}

BOOST_AUTO_TEST_CASE(RequestIsHeldForABackOffThatEndsInTime) {
  for (const char* name : {"a", "b", "c"})
    replicas.find(name)->notices().startBackOff(time.now() + milliseconds(900));
  auto& caller = request("unsafe");
  time.advance(milliseconds(890));
  BOOST_TEST(client.sent.empty());
  BOOST_TEST(caller.open());
  time.advance(milliseconds(20));
  BOOST_TEST(client.sent.size() == 1U);
  client.last().respond(200, "done");
  BOOST_TEST(caller.ended);
}

BOOST_AUTO_TEST_CASE(RequestRefusedByAllReplicasIsRetriedWhenABackOffEnds) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  auto& caller = request("unsafe");
  client.last().requestBackOff(milliseconds(500));
  time.advance(milliseconds(490));
  BOOST_TEST(client.sent.size() == 1U);
  time.advance(milliseconds(20));
  BOOST_TEST(client.sent.size() == 2U);
  client.last().respond(200, "done");
  BOOST_TEST(caller.body == "done");
}

BOOST_AUTO_TEST_CASE(BrokenStreamWaitsForABackOffUpToItsDeadline) {
  auto& caller = request("resumable");
  const auto first = client.sent.back();
  first->head(200);
  first->handler->onBody("id: 1\ndata: a\n\n");
  time.advance(milliseconds(1000));
  first->handler->onBody("id: 2\ndata: b\n\n");
  time.advance(milliseconds(1000));
  for (const char* name : {"m1", "m2", "m3"})
    replicas.find(name)->notices().startBackOff(time.now() + milliseconds(900));
  first->breakConnection();
  time.advance(milliseconds(880));
  BOOST_TEST(caller.open());
  BOOST_TEST(client.sent.size() == 1U);
  time.advance(milliseconds(40));
  BOOST_REQUIRE(client.sent.size() == 2U);
  BOOST_TEST(client.last().terms.lastEventId == "2");
}

BOOST_AUTO_TEST_CASE(UnreadableBackOffIsIgnored) {
  request("unsafe");
  const auto replica = replicas.find(client.last().terms.replica.instance());
  clients::RelayedAnswer response;
  response.status = 503;
  response.notExecuted = true;
  response.restUnreadable = true;
  client.last().handler->onHead(std::move(response));
  client.last().handler->onEnd();
  BOOST_TEST(replica->acceptsRequests(time.now()));
  BOOST_TEST((loggedValues(base::Event::kReplicaRests, "why") ==
              std::vector<std::string>{"the requested back-off time cannot be parsed"}));
}

BOOST_AUTO_TEST_CASE(RequestIsRefusedAtOnceIfAllBackOffsOutlastItsHoldTime) {
  replicas.find("a")->notices().startBackOff(time.now() + seconds(9));
  replicas.find("b")->notices().startBackOff(time.now() + seconds(3));
  replicas.find("c")->notices().startBackOff(time.now() + seconds(5));
  auto& caller = request("unsafe");
  BOOST_TEST(client.sent.empty());
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST((caller.refusal->retryAfter == seconds(3)));
  BOOST_TEST(caller.refusal->reason.detail == "every replica has asked this node for rest");
}

BOOST_AUTO_TEST_CASE(ReplicaIsProbedWithOneRequestAfterItsBackOff) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  replicas.find("a")->notices().startBackOff(time.now() + milliseconds(500));
  for (int held = 0; held < 6; ++held) request("unsafe");
  time.advance(milliseconds(600));
  BOOST_TEST(client.sent.size() == 1U);
  client.last().respond(200, "done");
  time.advance(milliseconds(50));
  BOOST_TEST(client.sent.size() == 6U);
}

BOOST_AUTO_TEST_CASE(ProbeWithoutAResponseIsFollowedByAnother) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  replicas.find("a")->notices().startBackOff(time.now() + milliseconds(500));
  request("unsafe");
  request("unsafe");
  time.advance(milliseconds(600));
  BOOST_REQUIRE(client.sent.size() == 1U);
  client.last().breakConnection();
  time.advance(milliseconds(50));
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST(replicas.find("a")->notices().probing());
}

BOOST_AUTO_TEST_CASE(RefusedProbeStartsAnotherBackOff) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  replicas.find("a")->notices().startBackOff(time.now() + milliseconds(500));
  for (int held = 0; held < 5; ++held) request("unsafe");
  time.advance(milliseconds(600));
  client.last().requestBackOff(milliseconds(600));
  time.advance(milliseconds(590));
  BOOST_TEST(client.sent.size() == 1U);
  time.advance(milliseconds(30));
  BOOST_TEST(client.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RequestWaitingForAConnectionIsNotSentToAReplicaInBackOff) {
  request("safe");
  const auto waiting = client.sent.back();
  const auto replica = waiting->terms.replica.instance();
  BOOST_TEST(waiting->handler->stillWanted());
  replicas.find(replica)->notices().startBackOff(time.now() + seconds(3));
  BOOST_TEST(!waiting->handler->stillWanted());
  waiting->refuseConnection();
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_TEST((client.last().replica != waiting->replica));
  BOOST_TEST(replicas.find(replica)->health().available(time.now()));
}

// Status 429 reports that a limit on concurrent calls or of one tenant is used up, while other
// requests may still be served.
BOOST_AUTO_TEST_CASE(TooManyRequestsIsNoBackOffButSkipsTheReplicaForAsLong) {
  request("unsafe");
  const auto limited = replicas.find(client.last().terms.replica.instance());
  clients::RelayedAnswer response;
  response.status = 429;
  response.notExecuted = true;
  response.rest = seconds(1);
  client.last().handler->onHead(std::move(response));
  client.last().handler->onEnd();
  client.last().respond(200, "done");
  time.advance(milliseconds(900));
  BOOST_TEST(countReaching(limited->facts().endpoint, kManyRequests, "safe") == 0U);
  for (const char* name : {"a", "b", "c"})
    if (name != limited->facts().instance) replicas.onRemoved(name);
  BOOST_TEST(countReaching(limited->facts().endpoint, 1, "safe") == 1U);
}

BOOST_AUTO_TEST_CASE(RefusalOfAReplicaWithARateLimitDoesNotCountAsFailure) {
  for (int count = 0; count < 12; ++count) {
    const auto& caller = request("safe");
    for (std::size_t sent = 0; caller.open() && sent < client.sent.size();
         time.advance(milliseconds(20))) {
      sent = client.sent.size();
      clients::RelayedAnswer response;
      response.status = 429;
      response.notExecuted = true;
      response.rateLimit = clients::RateLimitNotice::of(50);
      const auto last = client.sent.back();
      if (!last->open) break;
      last->handler->onHead(response);
      if (last->open) last->handler->onEnd();
    }
    time.advance(milliseconds(30));
  }
  for (const char* name : {"a", "b", "c"})
    BOOST_TEST(replicas.find(name)->health().available(time.now()), name);
}

BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedOnlyWithinTheRateLimit) {
  request("resumable");
  const auto first = client.sent.back();
  for (const char* name : {"m1", "m2", "m3"}) {
    replicas.find(name)->notices().rateLimit().update(
        {clients::RateLimitNotice::of(0.1), time.now(), time.now()});
  }
  // These requests use up what the other replicas accept for now.
  for (int count = 0; count < 6; ++count) request("once");
  const auto sent = client.sent.size();
  first->head(200);
  first->handler->onBody("id: 1\ndata: a\n\n");
  first->breakConnection();
  time.advance(milliseconds(300));
  BOOST_TEST(client.sent.size() == sent);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
