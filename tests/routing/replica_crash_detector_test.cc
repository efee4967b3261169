// Whether runs broke off because their replica ended.
#include "routing/replica_crash_detector.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Answers with what the test says, the last answer over and over.
class ScriptedReachability final : public clients::ReachabilityClient {
 public:
  explicit ScriptedReachability(base::TimerService& timers) : timers_(timers) {}
  void connect(const base::Endpoint& /*address*/, base::Duration timeout,
               std::function<void(clients::Reachability)> callback) override {
    ++connections;
    const auto answer = answers.front();
    if (answers.size() > 1) answers.pop_front();
    const auto after = answer == clients::Reachability::kSilent ? timeout : milliseconds(1);
    timers_.schedule(after, [answer, callback = std::move(callback)] { callback(answer); });
  }

  std::deque<clients::Reachability> answers{clients::Reachability::kAccepts};
  int connections = 0;

 private:
  base::TimerService& timers_;
};

struct ReplicaEndFixture {
  ReplicaEndFixture() {
    check.setListener([this](const LostRequests& runs) { ended.push_back(runs); });
  }
  void lose(std::uint64_t run) {
    check.onRequestInterrupted(replica, base::RequestFingerprint{run});
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
  ReplicaCrashDetector check{{}, {time, time, log, reachability}};
  ReplicaRecordPtr replica = std::make_shared<ReplicaRecord>(facts());
  std::vector<LostRequests> ended;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaEndCheckTest, ReplicaEndFixture)

BOOST_AUTO_TEST_CASE(RunsThatBreakOffTogetherEndWithAReplicaThatRefusesConnections) {
  reachability.answers = {clients::Reachability::kRefuses};
  lose(1);
  lose(2);
  time.advance(milliseconds(300));
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(ended[0].instance == "replica");
  BOOST_TEST(
      (ended[0].requests == std::vector{base::RequestFingerprint{1}, base::RequestFingerprint{2}}));
  BOOST_TEST(log.count(base::Event::kReplicaEndedUnderRuns) == 1U);
  lose(3);
  BOOST_REQUIRE(ended.size() == 2U);
  BOOST_TEST((ended[1].requests == std::vector{base::RequestFingerprint{3}}));
}

BOOST_AUTO_TEST_CASE(ReplicaThatAcceptsConnectionsOutlivedItsRuns) {
  lose(1);
  time.advance(seconds(20));
  BOOST_TEST(ended.empty());
  BOOST_TEST(reachability.connections == 1);
  BOOST_TEST(log.count(base::Event::kReplicaOutlivedRuns) == 1U);
}

// A replica that starts again at once accepts connections, and its entry shows the restart up to a
// second later. The runs that it took with it counted as outlived.
BOOST_AUTO_TEST_CASE(ReplicaThatStartsAgainAtOnceHasEnded) {
  lose(1);
  time.advance(seconds(1));
  BOOST_TEST(log.count(base::Event::kReplicaOutlivedRuns) == 1U);
  check.onRestarted("replica");
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST((ended[0].requests == std::vector{base::RequestFingerprint{1}}));
}

BOOST_AUTO_TEST_CASE(RunThatBreaksOffAfterTheRestartIsShownWasLostWithTheReplica) {
  check.onRestarted("replica");
  lose(1);
  BOOST_TEST(ended.size() == 1U);
  BOOST_TEST(reachability.connections == 0);
}

// An entry of the former run that was stored late names it once more; the next one is listed again.
BOOST_AUTO_TEST_CASE(RunThatIsListedAgainHasNotEnded) {
  check.onRestarted("replica");
  check.onListed("replica");
  lose(1);
  time.advance(seconds(1));
  BOOST_TEST(ended.empty());
  BOOST_TEST(log.count(base::Event::kReplicaOutlivedRuns) == 1U);
}

BOOST_AUTO_TEST_CASE(RestartLongAfterARunBrokeOffHasNotEndedIt) {
  lose(1);
  time.advance(seconds(4));
  check.onRestarted("replica");
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(OutlivedRunsStayOutlivedWhenTheEntryGoes) {
  lose(1);
  time.advance(seconds(1));
  check.onRemoved("replica");
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(RunsLostAfterOthersWereOutlivedAreAskedForAnew) {
  lose(1);
  time.advance(seconds(1));
  reachability.answers = {clients::Reachability::kRefuses};
  lose(2);
  time.advance(seconds(1));
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST((ended[0].requests == std::vector{base::RequestFingerprint{2}}));
}

BOOST_AUTO_TEST_CASE(RestartOfAReplicaThatSaidItWouldLeaveIsPlanned) {
  auto leaving = facts();
  leaving.state = ReplicaState::kDraining;
  replica = std::make_shared<ReplicaRecord>(leaving);
  reachability.answers = {clients::Reachability::kSilent};
  lose(1);
  time.advance(seconds(1));
  check.onRestarted("replica");
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(OneRefusedConnectionDoesNotEndAReplica) {
  reachability.answers = {clients::Reachability::kRefuses, clients::Reachability::kAccepts};
  lose(1);
  time.advance(seconds(20));
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(ReplicaAtWorkForThisNodeLivesThoughItRefusesConnections) {
  reachability.answers = {clients::Reachability::kRefuses};
  replica->onDispatched(10);
  lose(1);
  time.advance(seconds(20));
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(SilentReplicaHasEndedWhenItsEntryGoes) {
  reachability.answers = {clients::Reachability::kSilent};
  lose(1);
  time.advance(seconds(4));
  BOOST_TEST(ended.empty());
  check.onRemoved("replica");
  BOOST_TEST(ended.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ReplicaThatSaidItWouldLeaveHasNotCrashed) {
  auto leaving = facts();
  leaving.state = ReplicaState::kDraining;
  replica = std::make_shared<ReplicaRecord>(leaving);
  reachability.answers = {clients::Reachability::kSilent};
  lose(1);
  time.advance(seconds(4));
  check.onRemoved("replica");
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
