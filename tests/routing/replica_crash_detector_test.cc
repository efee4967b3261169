// Detection of requests that were lost because their replica ended.
#include "routing/replica_crash_detector.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Reports the scripted results in order, repeating the last one.
class ScriptedReachability final : public clients::ReachabilityClient {
 public:
  explicit ScriptedReachability(base::TimerService& timers) : timers_(timers) {}
  void connect(const base::Endpoint& /*address*/, base::Duration timeout,
               std::function<void(clients::Reachability)> callback) override {
    ++connections;
    const auto result = results.front();
    if (results.size() > 1) results.pop_front();
    const auto after = result == clients::Reachability::kSilent ? timeout : milliseconds(1);
    timers_.schedule(after, [result, callback = std::move(callback)] { callback(result); });
  }

  std::deque<clients::Reachability> results{clients::Reachability::kAccepts};
  int connections = 0;

 private:
  base::TimerService& timers_;
};

base::InterruptedRequest interrupted(std::uint64_t request) { return {{{request}}, false}; }

struct ReplicaEndFixture {
  ReplicaEndFixture() {
    detector.setListener([this](const LostRequests& lost) { ended.push_back(lost); });
  }
  void interrupt(std::uint64_t request) {
    detector.onRequestInterrupted(replica, interrupted(request));
  }

  static Replica facts() {
    Replica facts;
    facts.instance = "replica";
    facts.endpoint = {0x7f000001, 80};
    return facts;
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  ScriptedReachability reachability{time};
  ReplicaCrashDetector detector{{}, {time, time, log, reachability}};
  ReplicaRecordPtr replica = std::make_shared<ReplicaRecord>(facts());
  std::vector<LostRequests> ended;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaEndCheckTest, ReplicaEndFixture)

BOOST_AUTO_TEST_CASE(RequestsInterruptedTogetherAreLostIfConnectionsAreRefused) {
  reachability.results = {clients::Reachability::kRefuses};
  interrupt(1);
  interrupt(2);
  time.advance(milliseconds(300));
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(ended[0].instance == "replica");
  BOOST_TEST((ended[0].requests == std::vector{interrupted(1), interrupted(2)}));
  BOOST_TEST(log.count(base::Event::kReplicaEndedUnderRuns) == 1U);
  interrupt(3);
  BOOST_REQUIRE(ended.size() == 2U);
  BOOST_TEST((ended[1].requests == std::vector{interrupted(3)}));
}

BOOST_AUTO_TEST_CASE(ReplicaThatAcceptsConnectionsOutlivedItsRequests) {
  interrupt(1);
  time.advance(seconds(20));
  BOOST_TEST(ended.empty());
  BOOST_TEST(reachability.connections == 1);
  BOOST_TEST(log.count(base::Event::kReplicaOutlivedRuns) == 1U);
}

// Guards against the result of a probe for a suspicion that was dropped being taken for that of the
// next one: the timer of the latter was then left behind, and its callback ended the process.
BOOST_AUTO_TEST_CASE(ResultOfAnEarlierProbeDoesNotConcernALaterSuspicion) {
  reachability.results = {clients::Reachability::kSilent};
  interrupt(1);
  // The first probe is under way when the replica leaves as planned.
  time.advance(ReplicaCrashDetectorOptions{}.firstProbe + milliseconds(1));
  BOOST_REQUIRE(reachability.connections == 1);
  const auto leaving = replica;
  recordLeaving(*leaving, log, {"answer", 200, {}});
  detector.onRemoved("replica");
  replica = std::make_shared<ReplicaRecord>(facts());
  interrupt(2);
  time.advance(ReplicaCrashDetectorOptions{}.connectTimeout +
               ReplicaCrashDetectorOptions{}.firstProbe + milliseconds(2));
  detector.onRemoved("replica");
  time.advance(seconds(20));
  BOOST_TEST(ended.size() == 1U);
}

// A replica that restarts at once accepts connections, and its entry shows the restart up to a
// second later. Guards against treating the requests that were lost with it as outlived.
BOOST_AUTO_TEST_CASE(ReplicaThatRestartsAtOnceHasEnded) {
  interrupt(1);
  time.advance(seconds(1));
  BOOST_TEST(log.count(base::Event::kReplicaOutlivedRuns) == 1U);
  detector.onRestarted("replica");
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST((ended[0].requests == std::vector{interrupted(1)}));
}

BOOST_AUTO_TEST_CASE(RequestInterruptedAfterTheListedRestartIsLost) {
  detector.onRestarted("replica");
  interrupt(1);
  BOOST_TEST(ended.size() == 1U);
  BOOST_TEST(reachability.connections == 0);
}

// An entry of the former instance that was stored late names that instance once more, so that the
// current one appears to have ended; then the current one is listed again.
BOOST_AUTO_TEST_CASE(InstanceThatIsListedAgainHasNotEnded) {
  detector.onRestarted("replica");
  detector.onListed("replica");
  interrupt(1);
  time.advance(seconds(1));
  BOOST_TEST(ended.empty());
  BOOST_TEST(log.count(base::Event::kReplicaOutlivedRuns) == 1U);
}

BOOST_AUTO_TEST_CASE(RestartLongAfterAnInterruptionIsUnrelated) {
  interrupt(1);
  time.advance(seconds(4));
  detector.onRestarted("replica");
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(OutlivedRequestsStayOutlivedWhenTheEntryIsRemoved) {
  interrupt(1);
  time.advance(seconds(1));
  detector.onRemoved("replica");
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(LaterInterruptionsAreProbedAnew) {
  interrupt(1);
  time.advance(seconds(1));
  reachability.results = {clients::Reachability::kRefuses};
  interrupt(2);
  time.advance(seconds(1));
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST((ended[0].requests == std::vector{interrupted(2)}));
}

BOOST_AUTO_TEST_CASE(RestartOfALeavingReplicaIsPlanned) {
  auto leaving = facts();
  leaving.state = ReplicaState::kDraining;
  replica = std::make_shared<ReplicaRecord>(leaving);
  reachability.results = {clients::Reachability::kSilent};
  interrupt(1);
  time.advance(seconds(1));
  detector.onRestarted("replica");
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(OneRefusedConnectionIsNotACrash) {
  reachability.results = {clients::Reachability::kRefuses, clients::Reachability::kAccepts};
  interrupt(1);
  time.advance(seconds(20));
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(ReplicaWithRequestsInFlightIsAliveDespiteRefusals) {
  reachability.results = {clients::Reachability::kRefuses};
  replica->onDispatched(10);
  interrupt(1);
  time.advance(seconds(20));
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(UnresponsiveReplicaHasEndedWhenItsEntryIsRemoved) {
  reachability.results = {clients::Reachability::kSilent};
  interrupt(1);
  time.advance(seconds(4));
  BOOST_TEST(ended.empty());
  detector.onRemoved("replica");
  BOOST_TEST(ended.size() == 1U);
}

// Guards against streams that are taken up at the next run of their replica, at nodes that had no
// requests there when it ended.
BOOST_AUTO_TEST_CASE(FailedCallShowsTheEndOfAReplicaWithoutRequests) {
  reachability.results = {clients::Reachability::kRefuses};
  detector.onCallFailed(replica);
  time.advance(milliseconds(300));
  BOOST_TEST(replica->mayBeReplaced(time.now()));
  BOOST_TEST(log.count(base::Event::kReplicaPresumedEnded) == 1U);
  BOOST_TEST(ended.empty());
  const auto probes = reachability.connections;
  detector.onCallFailed(replica);
  time.advance(seconds(1));
  BOOST_TEST(reachability.connections == probes);
}

// Guards against lost requests that are taken for outlived ones, since a failed call had used up
// the probes.
BOOST_AUTO_TEST_CASE(RequestsInterruptedAfterAFailedCallAreProbed) {
  reachability.results = {clients::Reachability::kSilent};
  detector.onCallFailed(replica);
  time.advance(seconds(5));
  reachability.results = {clients::Reachability::kRefuses};
  interrupt(1);
  time.advance(milliseconds(300));
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST((ended[0].requests == std::vector{interrupted(1)}));
}

BOOST_AUTO_TEST_CASE(ReplicaThatAcceptsConnectionsIsNotReplacedAfterAFailedCall) {
  detector.onCallFailed(replica);
  time.advance(seconds(1));
  BOOST_TEST(!replica->mayBeReplaced(time.now()));
  BOOST_TEST(log.entries.empty());
}

// Its entry would have shown a restart by then.
BOOST_AUTO_TEST_CASE(ReplicaThatWasReachableForSecondsIsNotReplaced) {
  replica->presumeEnded(time.now());
  time.advance(seconds(10));
  replica->onReachable(time.now());
  time.advance(milliseconds(2900));
  BOOST_TEST(replica->mayBeReplaced(time.now()));
  time.advance(milliseconds(200));
  BOOST_TEST(!replica->mayBeReplaced(time.now()));
}

BOOST_AUTO_TEST_CASE(LeavingReplicaHasNotCrashed) {
  auto leaving = facts();
  leaving.state = ReplicaState::kDraining;
  replica = std::make_shared<ReplicaRecord>(leaving);
  reachability.results = {clients::Reachability::kSilent};
  interrupt(1);
  time.advance(seconds(4));
  detector.onRemoved("replica");
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
