// Requests went on to replicas that had said in their answers that they leave, or that they want
// rest.
//
// The table service was silent when a replica began to leave, so that its entry stayed "ready". Its
// answers said so, one of them was passed on to a caller, and 12.6 s later the same node sent it a
// new request:
//
//      7.731 s  node-a  passes on an answer of replica-1 in which it says that it leaves
//     20.246 s  node-a  event=7001 name=PlatformRecovered service="configuration feed"
//     20.301 s  node-a  event=5005 name=RelayDispatched replica="replica-1" attempt="1"
//     cause="first" homes_asked="1" 20.520 s  node-a  event=6008 name=ReplicaRemoved
//     replica="replica-1"
//
// Another replica turned requests away and asked for 3 s of rest. It was passed over for 100 ms,
// and then it was the first choice again, for first attempts as for retries:
//
//      6.023 s  node-c  event=5001 name=RequestRetried replica="replica-2" why="the replica refused
//      with 503" 6.901 s  node-c  event=5005 name=RelayDispatched replica="replica-2" cause="first"
//      rank="0" 7.044 s  node-c  event=5005 name=RelayDispatched replica="replica-2"
//      cause="refused" rank="2" 7.440 s  node-c  event=5005 name=RelayDispatched
//      replica="replica-2" cause="first" rank="1"
//
// What a replica says of itself in an answer was knowledge to nobody: its entry alone counted.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct NoticesFixture : RelayFixture {
  /// Sends requests that are all served, and counts those that reach the replica.
  std::size_t reaching(const base::Endpoint& replica, std::size_t count, const std::string& path) {
    std::size_t reached = 0;
    for (std::size_t sent = 0; sent < count; ++sent) {
      const auto before = client.sent.size();
      request(path);
      if (client.sent.size() == before) continue;
      if (client.last().replica == replica) ++reached;
      client.last().answer(200, "done");
    }
    return reached;
  }
};

constexpr std::size_t kManyRequests = 30;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaNoticesTest, NoticesFixture)

BOOST_AUTO_TEST_CASE(ReplicaThatSaidThatItLeavesGetsNoNewRequest) {
  request("safe");
  const auto leaver = client.last().replica;
  client.last().leave(200);
  client.last().handler->onEnd();
  for (int second = 0; second < 15; ++second) {
    BOOST_TEST(reaching(leaver, kManyRequests, "safe") == 0U);
    time.advance(seconds(1));
  }
}

BOOST_AUTO_TEST_CASE(LeavingIsHeardInAnswersOfAnyKind) {
  const auto refused = [this] {
    request("unsafe");
    client.last().leave(503, true);
    client.last().handler->onEnd();
    return client.sent[client.sent.size() - 2]->replica;
  };
  const auto first = refused();
  client.last().answer(200, "done");
  BOOST_TEST(reaching(first, kManyRequests, "safe") == 0U);
  request("unsafe");
  const auto second = client.last().replica;
  client.last().leave(404);
  client.last().handler->onEnd();
  BOOST_TEST(reaching(second, kManyRequests, "safe") == 0U);
  BOOST_TEST(
      (toldBy(base::Event::kReplicaLeaving, "status") == std::vector<std::string>{"503", "404"}));
}

BOOST_AUTO_TEST_CASE(StreamUnderWayGoesOnWhereItsReplicaLeaves) {
  auto& caller = request("resumable");
  const auto leaver = client.last().replica;
  client.last().leave(200);
  client.last().handler->onBody("id: 1\ndata: a\n\n");
  const auto stream = client.sent.back();
  BOOST_TEST(reaching(leaver, kManyRequests, "once") == 0U);
  stream->handler->onBody("id: 2\ndata: b\n\n");
  stream->handler->onEnd();
  BOOST_TEST(caller.ended);
  BOOST_TEST(caller.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(BrokenStreamIsNotTakenUpAgainWhereItsReplicaLeaves) {
  request("resumable");
  const auto leaver = client.last().replica;
  request("resumable");
  const auto other = client.sent.back();
  if (other->replica == leaver) other->leave(200);
  client.sent.front()->leave(200);
  client.sent.front()->handler->onBody("id: 1\ndata: a\n\n");
  client.sent.front()->breakOff();
  BOOST_TEST((client.last().replica != leaver));
  BOOST_TEST(client.last().terms.lastEventId == "1");
}

BOOST_AUTO_TEST_CASE(WhereAllLeaveARequestIsRefusedAsNotRun) {
  for (const char* name : {"a", "b", "c"}) replicas.find(name)->notices().noteLeaving();
  auto& caller = request("unsafe");
  time.advance(seconds(4));
  BOOST_TEST(client.sent.empty());
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST(caller.refusal->reason.detail == "every replica leaves or was tried");
}

// "What failed once is better than nothing" must not lead back to a replica that leaves.
BOOST_AUTO_TEST_CASE(RequestThatWasHeldDoesNotGoBackToAReplicaThatLeaves) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  auto& caller = request("unsafe");
  client.last().leave(503, true);
  client.last().handler->onEnd();
  time.advance(seconds(4));
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.refusal->status == 503U);
}

BOOST_AUTO_TEST_CASE(LeavingOutlivesTheEntryButNotTheRun) {
  const auto facts = replicas.find("a")->facts();
  replicas.find("a")->notices().noteLeaving();
  for (int outage = 0; outage < 3; ++outage) {
    replicas.onRemoved("a");
    replicas.onListed(facts);
    BOOST_TEST(!replicas.find("a")->inService());
  }
  // An entry that was written before it began to leave.
  replicas.onListed(facts);
  BOOST_TEST(!replicas.find("a")->inService());
  replicas.onEnded("a");
  replicas.onListed(facts);
  BOOST_TEST(replicas.find("a")->inService());
}

BOOST_AUTO_TEST_CASE(LateAnswerOfAnOlderRunSaysNothingOfTheNewOne) {
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  request("safe");
  auto facts = replicas.find("a")->facts();
  replicas.find("a")->setGone();
  replicas.onEnded("a");
  facts.instance = "a@2";
  replicas.onListed(facts);
  client.last().leave(200);
  client.last().handler->onEnd();
  BOOST_TEST(replicas.find("a@2")->inService());
}

BOOST_AUTO_TEST_CASE(WhatRunsWithoutAnEntryHaveSaidIsBounded) {
  const auto facts = replicas.find("a")->facts();
  replicas.find("a")->notices().noteLeaving();
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

BOOST_AUTO_TEST_CASE(ReplicaThatWantsRestGetsNothingUntilItsEnd) {
  request("safe");
  const auto resting = client.last().replica;
  client.last().askRest(seconds(3));
  client.last().answer(200, "done");
  for (int step = 0; step < 29; ++step) {
    BOOST_TEST(reaching(resting, kManyRequests, "safe") == 0U);
    time.advance(milliseconds(100));
  }
  time.advance(milliseconds(200));
  BOOST_TEST(reaching(resting, kManyRequests, "safe") > 0U);
}

// The replica that holds a prompt's shared parts is asked first for all requests with them.
BOOST_AUTO_TEST_CASE(FirstChoiceThatWantsRestGetsNothingUntilItsEnd) {
  request("once");
  const auto resting = client.last().replica;
  client.last().askRest(seconds(3));
  client.last().answer(200, "done");
  for (int step = 0; step < 29; ++step) {
    BOOST_TEST(reaching(resting, 1, "once") == 0U);
    time.advance(milliseconds(100));
  }
  time.advance(milliseconds(200));
  BOOST_TEST(reaching(resting, 1, "once") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
