// The rollout of weights: pace, order of replicas, lost answers, fencing, and the bound.
#include "coordination/weights_rollout.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <utility>

#include "routing/replica_selector.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::coordination {

using clients::WeightsOrderStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kLoadTime = milliseconds(630);
/// A call that gets no answer ends after this.
constexpr base::Duration kNoAnswer = milliseconds(800);

/// Replicas that take orders as the published interface says.
class FakeReplicas final : public clients::WeightsClient {
 public:
  struct Replica {
    base::WeightsVersion version = 1;
    base::WeightsVersion loadingVersion = 0;
    base::TimePoint loadedAt{};
    std::uint64_t orders = 3;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::FencingToken token = 0;
    /// Its address answers for another run.
    bool ended = false;
    /// The next order is carried out so much later, and not answered.
    base::Duration holdNext{};
    /// Gives no answer.
    bool silent = false;
    /// The runs end then; a load begins when they have.
    std::optional<base::TimePoint> runsEndAt;
  };

  explicit FakeReplicas(test_support::VirtualTime& time) : time_(time) {}

  void onNotices(NoticeListener /*listener*/) override {}
  void order(const base::Endpoint& /*replica*/, const std::string& instance,
             clients::WeightsOrder order,
             std::function<void(WeightsOrderStatus)> callback) override {
    given.push_back({instance, order});
    auto& replica = settled(instance);
    if (replica.silent || replica.holdNext != base::Duration::zero()) {
      time_.schedule(kNoAnswer, [callback] { callback(WeightsOrderStatus::kUnknown); });
      const auto held = std::exchange(replica.holdNext, base::Duration::zero());
      if (held == base::Duration::zero()) return;
      time_.schedule(held,
                     [this, instance, order] { late.push_back(take(settled(instance), order)); });
      return;
    }
    auto status = take(replica, order);
    if (loseAnswers > 0) {
      --loseAnswers;
      status = WeightsOrderStatus::kUnknown;
    }
    time_.schedule(milliseconds(2), [status, callback] { callback(status); });
  }

  void report(const base::Endpoint& /*replica*/, const std::string& instance,
              const std::string& /*model*/,
              std::function<void(std::optional<clients::WeightsReport>)> callback) override {
    ++reports[instance];
    const auto& replica = settled(instance);
    if (replica.silent) {
      time_.schedule(kNoAnswer, [callback] { callback(std::nullopt); });
      return;
    }
    const clients::WeightsReport report{replica.loadingVersion != 0, replica.running,
                                        replica.waiting, replica.orders, replica.version};
    time_.schedule(milliseconds(2), [report, callback] { callback(report); });
  }

  std::size_t loading() {
    std::size_t count = 0;
    for (auto& [name, replica] : replicas) {
      const auto& one = settled(name);
      count += one.loadingVersion != 0 && (!one.runsEndAt || one.running == 0) ? 1 : 0;
    }
    return count;
  }

  std::map<std::string, Replica> replicas;
  std::vector<std::pair<std::string, clients::WeightsOrder>> given;
  std::map<std::string, std::size_t> reports;
  /// What orders came to that were carried out late.
  std::vector<WeightsOrderStatus> late;
  int loseAnswers = 0;

 private:
  Replica& settled(const std::string& instance) {
    auto& replica = replicas.at(instance);
    if (replica.runsEndAt && time_.now() >= *replica.runsEndAt) replica.running = 0;
    if (replica.loadingVersion != 0 && time_.now() >= replica.loadedAt) {
      replica.version = replica.loadingVersion;
      replica.loadingVersion = 0;
    }
    return replica;
  }

  WeightsOrderStatus take(Replica& replica, const clients::WeightsOrder& order) {
    if (replica.ended) return WeightsOrderStatus::kOtherInstance;
    if (order.token < replica.token) return WeightsOrderStatus::kFencedOff;
    replica.token = order.token;
    if (replica.loadingVersion != 0 || order.expectedOrders != replica.orders)
      return WeightsOrderStatus::kConflict;
    if (replica.version == order.version) return WeightsOrderStatus::kInForce;
    ++replica.orders;
    replica.loadingVersion = order.version;
    const auto begins = std::max(time_.now(), replica.runsEndAt.value_or(time_.now()));
    replica.loadedAt = begins + kLoadTime;
    return WeightsOrderStatus::kAccepted;
  }

  test_support::VirtualTime& time_;
};

struct RolloutFixture : ReplicaChangeListener {
  RolloutFixture() {
    time.advance(seconds(100));
    for (int number = 0; number < 12; ++number) add("r" + std::to_string(number));
  }

  void add(const std::string& name) {
    replicas.replicas[name] = {};
    list(name, 1);
  }
  void list(const std::string& name, base::WeightsVersion version) {
    routing::Replica replica;
    replica.instance = name;
    replica.service = "llm";
    replica.models = {{"m", version}};
    directory.onListed(replica);
  }

  void onReplicaChanging(const std::string& instance) override { changing.insert(instance); }
  void onReplicaServing(const std::string& instance, const std::string& model,
                        base::WeightsVersion version) override {
    changing.erase(instance);
    directory.find(instance)->recordVersion(model, version);
  }

  /// The instances in the order in which they are changed.
  std::vector<std::string> inOrderOfChange() const {
    std::vector<std::string> names;
    for (const auto& [name, record] : directory.all()) names.push_back(name);
    std::ranges::sort(names, std::greater{},
                      [](const std::string& name) { return routing::longRunRank(name); });
    return names;
  }

  std::size_t atLeast(base::WeightsVersion version) const {
    std::size_t count = 0;
    for (const auto& [name, record] : directory.all())
      count += record->versionOf("m") >= version ? 1 : 0;
    return count;
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  FakeReplicas replicas{time};
  routing::ReplicaDirectory directory;
  routing::WeightsTargets targets{{seconds(8), seconds(1)}};
  std::set<std::string> changing;
  std::optional<LeaseGrant> grant = LeaseGrant{5, 1};
  /// How many replicas long runs fill; 0: long runs are not kept together.
  std::size_t longRunReplicas = 0;
  /// The configuration has the replicas' service.
  bool configured = true;
  WeightsRollout rollout{{},
                         {time,
                          time,
                          log,
                          replicas,
                          directory,
                          targets,
                          *this,
                          "node",
                          [this](const std::string& /*service*/) { return longRunReplicas; },
                          {},
                          [this](const std::string& /*service*/) { return configured; }},
                         [this] { return grant; }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WeightsRolloutTest, RolloutFixture)

BOOST_AUTO_TEST_CASE(AllReplicasAreBroughtToTheVersionInTime) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  std::size_t mostLoading = 0;
  std::size_t mostAway = 0;
  for (int step = 0; step < 140; ++step) {
    time.advance(milliseconds(50));
    mostLoading = std::max(mostLoading, replicas.loading());
    mostAway = std::max(mostAway, changing.size());
  }
  BOOST_TEST(atLeast(2) == 12U);
  BOOST_TEST(mostLoading <= 2U);
  BOOST_TEST(mostAway <= 5U);
  BOOST_TEST(replicas.given.size() == 12U);
}

BOOST_AUTO_TEST_CASE(OrdersCarryTheTokenAndTheNumberOfOrdersTaken) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(1));
  const auto& order = replicas.given.front().second;
  BOOST_TEST(order.token == 5U);
  BOOST_TEST(order.holder == "node");
  BOOST_TEST(order.expectedOrders == 3U);
}

BOOST_AUTO_TEST_CASE(VersionThatIsSupersededIsNotLoadedAnyMore) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(2));
  targets.onNamed("m", 3, time.now());
  const auto before = replicas.given.size();
  time.advance(seconds(8));
  for (std::size_t index = before; index < replicas.given.size(); ++index)
    BOOST_TEST(replicas.given[index].second.version == 3U);
  BOOST_TEST(atLeast(3) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicaWithRunsIsOrderedWhenIdleOrWhenItsTimeIsUp) {
  replicas.replicas["r0"].running = 2;
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(900));
  BOOST_TEST(changing.contains("r0"));
  BOOST_TEST(replicas.given.empty());
  replicas.replicas["r0"].running = 0;
  time.advance(milliseconds(300));
  BOOST_TEST(replicas.given.size() == 1U);
}

// A replica that takes one request a second got ten reports a second while it was changed.
BOOST_AUTO_TEST_CASE(ReplicaWithARateLimitGetsFewCallsWhileItIsChanged) {
  const auto now = time.now();
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  directory.find("r0")->notices().rateLimit().update({clients::RateLimitNotice::of(0.5), now, now});
  replicas.replicas["r0"].running = 2;
  targets.onNamed("m", 2, now);
  rollout.start();
  time.advance(seconds(4));
  BOOST_TEST(replicas.reports["r0"] + replicas.given.size() <= 5U);
  replicas.replicas["r0"].running = 0;
  time.advance(seconds(4));
  BOOST_TEST(replicas.replicas["r0"].version == 2U);
}

BOOST_AUTO_TEST_CASE(OtherNodesAreToldAlsoWhenTheListShowsTheVersionFirst) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.given.empty()) time.advance(milliseconds(10));
  time.advance(milliseconds(100));
  BOOST_TEST(changing.contains("r0"));
  list("r0", 2);
  time.advance(milliseconds(100));
  BOOST_TEST(rollout.underWay() == 0U);
  BOOST_TEST(!changing.contains("r0"));
}

BOOST_AUTO_TEST_CASE(ChangeThatEndsBeforeItsOrderHasNoTimeOfLoading) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(100));
  directory.onRemoved("r0");
  time.advance(milliseconds(600));
  BOOST_TEST(log.count(base::Event::kOrderFailed) == 1U);
  const auto& fields = log.entries.back().second;
  const auto loadTime =
      std::ranges::find(fields, std::string_view{"load_ms"}, &base::EventField::name);
  BOOST_REQUIRE((loadTime != fields.end()));
  BOOST_TEST(loadTime->value == "0");
}

// A node that had no answer to an order for version 2 ordered version 3 after the replica had
// restarted. The first order was carried out then, since the count of orders begins anew with a
// run, and nobody noticed that the replica was back at version 2.
BOOST_AUTO_TEST_CASE(ReplicaThatALateOrderBroughtBackIsChangedAgain) {
  for (int number = 0; number < 12; ++number) list("r" + std::to_string(number), 3);
  targets.onNamed("m", 3, time.now());
  rollout.start();
  time.advance(seconds(1));
  BOOST_TEST(replicas.given.empty());
  replicas.replicas["r0"].version = 2;
  list("r0", 2);
  time.advance(seconds(4));
  BOOST_TEST(replicas.replicas["r0"].version == 3U);
  BOOST_TEST(atLeast(3) == 12U);
}

// A run of a replica begins with no orders taken. What was known of the run before it, under way or
// taken, is not expected of it.
BOOST_AUTO_TEST_CASE(RunAfterARestartIsOrderedByItsOwnCount) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.given.empty()) time.advance(milliseconds(10));
  directory.onRemoved("r0");
  add("r0 again");
  replicas.replicas["r0 again"].orders = 0;
  time.advance(seconds(5));
  BOOST_TEST(replicas.given.size() == 2U);
  BOOST_TEST(replicas.given.back().second.expectedOrders == 0U);
  BOOST_TEST(replicas.replicas["r0 again"].version == 2U);
}

BOOST_AUTO_TEST_CASE(ReplicaOfAServiceThatIsNotConfiguredIsNotOrdered) {
  configured = false;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(5));
  BOOST_TEST(replicas.given.empty());
  configured = true;
  time.advance(seconds(7));
  BOOST_TEST(atLeast(2) == 12U);
}

BOOST_AUTO_TEST_CASE(LostAnswerLoadsOnce) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  replicas.loseAnswers = 1;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(5));
  BOOST_TEST(atLeast(2) == 12U);
  BOOST_TEST(replicas.replicas["r0"].orders == 4U);
}

BOOST_AUTO_TEST_CASE(WithoutGrantNothingIsOrdered) {
  targets.onNamed("m", 2, time.now());
  grant.reset();
  rollout.start();
  time.advance(seconds(5));
  BOOST_TEST(replicas.given.empty());
}

BOOST_AUTO_TEST_CASE(FencedOffOrderIsNotRepeatedAtOnce) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  replicas.replicas["r0"].token = 9;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(700));
  BOOST_TEST(log.count(base::Event::kOrderFenced) == 1U);
  BOOST_TEST(replicas.replicas["r0"].version == 1U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithWaitingRequestsAreAllOrderedBeforeTheBound) {
  for (auto& [name, replica] : replicas.replicas) replica.waiting = 1;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(7600));
  std::set<std::string> ordered;
  for (const auto& [instance, order] : replicas.given) ordered.insert(instance);
  BOOST_TEST(ordered.size() == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithoutRequestsLoadInTurnAlsoAfterTheBound) {
  targets.onNamed("m", 2, time.now() - seconds(7));
  rollout.start();
  std::size_t mostLoading = 0;
  for (int step = 0; step < 160; ++step) {
    time.advance(milliseconds(50));
    mostLoading = std::max(mostLoading, replicas.loading());
  }
  BOOST_TEST(mostLoading <= 2U);
  BOOST_TEST(atLeast(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithoutWaitingRequestsLoadInTurnAlsoAfterTheBound) {
  int number = 0;
  for (auto& [name, replica] : replicas.replicas) {
    replica.running = 1;
    replica.runsEndAt = time.now() + milliseconds(400) * ++number;
  }
  targets.onNamed("m", 2, time.now() - seconds(7));
  rollout.start();
  std::size_t mostLoading = 0;
  for (int step = 0; step < 160; ++step) {
    time.advance(milliseconds(50));
    mostLoading = std::max(mostLoading, replicas.loading());
  }
  // Two may load; one more when the runs of two that were ordered end together.
  BOOST_TEST(mostLoading <= 3U);
  BOOST_TEST(atLeast(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasWhoseRunsGoOnAreNotAllOrderedAfterTheBound) {
  for (auto& [name, replica] : replicas.replicas) {
    replica.running = 1;
    replica.runsEndAt = time.now() + seconds(4);
  }
  targets.onNamed("m", 2, time.now() - seconds(7));
  rollout.start();
  // Runs that end together must not make many more load at once than are ordered.
  time.advance(milliseconds(3900));
  BOOST_TEST(replicas.given.size() == 4U);
  time.advance(seconds(8));
  BOOST_TEST(atLeast(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasThatTakeLongRunsWaitUntilTheseHaveEndedElsewhere) {
  longRunReplicas = 3;
  std::vector<std::string> byRank;
  for (const auto& [name, record] : directory.all()) byRank.push_back(name);
  std::ranges::sort(byRank, {}, [](const std::string& name) { return routing::longRunRank(name); });
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(3));
  // Others come first, although there is room for these.
  BOOST_TEST(atLeast(2) >= 3U);
  for (std::size_t index = 0; index < longRunReplicas; ++index)
    BOOST_TEST(!changing.contains(byRank[index]));
  // The bound is 8 s.
  time.advance(seconds(5));
  BOOST_TEST(atLeast(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasThatTakeLongRunsAreChangedInTimeThoughNobodyRelievesThem) {
  longRunReplicas = 12;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(1));
  BOOST_TEST(changing.empty());
  time.advance(seconds(10));
  BOOST_TEST(atLeast(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicaThatEndedIsLeftAloneThoughItIsStillListed) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  replicas.replicas["r0"].ended = true;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(5));
  BOOST_TEST(replicas.given.size() == 1U);
  BOOST_TEST(rollout.underWay() == 0U);
  BOOST_TEST(directory.find("r0")->terminated());
}

BOOST_AUTO_TEST_CASE(ReplicaThatCameBackWithAnOlderVersionIsOrderedAgain) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(8));
  directory.onRemoved("r3");
  replicas.replicas["r3b"] = {};
  list("r3b", 1);
  time.advance(seconds(3));
  BOOST_TEST(directory.find("r3b")->versionOf("m") == 2U);
}

BOOST_AUTO_TEST_CASE(ReplicasThatDoNotAnswerTakeNoPlace) {
  const auto names = inOrderOfChange();
  for (std::size_t index = 0; index < 3; ++index) replicas.replicas[names[index]].silent = true;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(3500));
  BOOST_TEST(atLeast(2) >= 3U);
  time.advance(milliseconds(3500));
  BOOST_TEST(atLeast(2) == 9U);
}

BOOST_AUTO_TEST_CASE(ReplicaThatAnswersAgainIsChangedAtOnce) {
  const auto names = inOrderOfChange();
  auto& back = replicas.replicas[names.front()];
  back.silent = true;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(6000));
  BOOST_TEST(directory.find(names.front())->versionOf("m") == 1U);
  back.silent = false;
  time.advance(milliseconds(2300));
  BOOST_TEST(directory.find(names.front())->versionOf("m") == 2U);
  BOOST_TEST(back.orders == 4U);
}

BOOST_AUTO_TEST_CASE(ReplicaThatFallsSilentWhileItLoadsTakesNoPlace) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.given.size() < 2) time.advance(milliseconds(10));
  for (std::size_t index = 0; index < 2; ++index)
    replicas.replicas[replicas.given[index].first].silent = true;
  // Two load at once.
  time.advance(milliseconds(2500));
  BOOST_TEST(replicas.given.size() >= 4U);
  BOOST_TEST(atLeast(2) >= 2U);
}

BOOST_AUTO_TEST_CASE(ReplicaWhoseRunsGoOnKeepsNoOtherFromLoading) {
  const auto names = inOrderOfChange();
  for (std::size_t index = 0; index < 2; ++index) {
    replicas.replicas[names[index]].running = 1;
    replicas.replicas[names[index]].runsEndAt = time.now() + seconds(6);
  }
  targets.onNamed("m", 2, time.now());
  rollout.start();
  // Each is waited for 1.5 s and then ordered.
  time.advance(milliseconds(4500));
  BOOST_TEST(atLeast(2) >= 5U);
  time.advance(milliseconds(5000));
  BOOST_TEST(atLeast(2) == 12U);
  for (const auto& [name, replica] : replicas.replicas) BOOST_TEST(replica.orders == 4U);
}

BOOST_AUTO_TEST_CASE(OrderThatIsCarriedOutLateLoadsOnceAfterAnswersWereLostForSeconds) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.given.empty()) time.advance(milliseconds(10));
  replicas.replicas["r0"].silent = true;
  time.advance(seconds(7));
  replicas.replicas["r0"].silent = false;
  time.advance(seconds(3));
  BOOST_TEST(replicas.replicas["r0"].orders == 4U);
  BOOST_TEST(directory.find("r0")->versionOf("m") == 2U);
  BOOST_TEST(rollout.underWay() == 0U);
}

BOOST_AUTO_TEST_CASE(NextHolderEndsWhatAHolderLeftAtEachStep) {
  for (const auto leaveAfter : {0, 100, 300, 700, 1200}) {
    RolloutFixture world;
    world.targets.onNamed("m", 2, world.time.now());
    world.rollout.start();
    world.time.advance(milliseconds(leaveAfter));
    world.rollout.stop();
    world.grant = LeaseGrant{6, 2};
    WeightsRollout next{{},
                        {world.time,
                         world.time,
                         world.log,
                         world.replicas,
                         world.directory,
                         world.targets,
                         world,
                         "next",
                         {},
                         {}},
                        [&world] { return world.grant; }};
    next.start();
    world.time.advance(milliseconds(7500));
    BOOST_TEST(world.atLeast(2) == 12U);
    for (const auto& [name, replica] : world.replicas.replicas) BOOST_TEST(replica.orders == 4U);
  }
}

BOOST_AUTO_TEST_CASE(VersionThatEndsItsReplicasIsStoppedAfterTheSecond) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  std::set<std::string> ended;
  for (int step = 0; step < 80; ++step) {
    time.advance(milliseconds(50));
    for (const auto& [instance, order] : replicas.given) {
      if (order.version == 2 && ended.insert(instance).second) directory.onRemoved(instance);
    }
  }
  BOOST_TEST(ended.size() == 2U);
  const auto told = std::ranges::count_if(log.entries, [](const auto& entry) {
    return std::ranges::any_of(entry.second, [](const base::EventField& field) {
      return field.name == "outcome" && field.value.ends_with("it is stopped");
    });
  });
  BOOST_TEST(told == 1);
  // The others serve what they have.
  for (const auto& [name, record] : directory.all()) BOOST_TEST(!changing.contains(name));
  // The next version is loaded by all.
  targets.onNamed("m", 3, time.now());
  time.advance(seconds(8));
  BOOST_TEST(atLeast(3) == 10U);
}

BOOST_AUTO_TEST_CASE(FirstReplicaIsOrderedBeforeItsRunsHaveEnded) {
  for (auto& [name, replica] : replicas.replicas) {
    replica.running = 1;
    replica.runsEndAt = time.now() + milliseconds(900);
  }
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(500));
  BOOST_TEST(replicas.given.size() == 1U);
  // The others load when their runs have ended, and the first has served the version.
  time.advance(milliseconds(1500));
  BOOST_TEST(replicas.given.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(FirstReplicaThatLoadsAVersionIsWatched) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.given.empty()) time.advance(milliseconds(10));
  time.advance(milliseconds(400));
  BOOST_TEST(replicas.given.size() == 1U);
  time.advance(milliseconds(1000));
  BOOST_TEST(replicas.given.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(OrderThatIsCarriedOutSecondsLateLoadsNothingAgain) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  replicas.replicas["r0"].holdNext = seconds(7);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(6));
  BOOST_TEST(directory.find("r0")->versionOf("m") == 2U);
  time.advance(seconds(3));
  BOOST_REQUIRE(replicas.late.size() == 1U);
  BOOST_TEST((replicas.late.front() == WeightsOrderStatus::kConflict));
  BOOST_TEST(replicas.replicas["r0"].orders == 4U);
}

BOOST_AUTO_TEST_CASE(OrderThatIsCarriedOutAfterItsSuccessorLoadsNothing) {
  for (int number = 1; number < 12; ++number) list("r" + std::to_string(number), 2);
  replicas.replicas["r0"].holdNext = seconds(7);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(1500));
  targets.onNamed("m", 3, time.now());
  time.advance(seconds(12));
  BOOST_REQUIRE(replicas.late.size() == 1U);
  BOOST_TEST((replicas.late.front() == WeightsOrderStatus::kConflict));
  BOOST_TEST(atLeast(3) == 12U);
  BOOST_TEST(replicas.replicas["r0"].version == 3U);
}

BOOST_AUTO_TEST_CASE(StoreThatIsAwayOverTheDateDelaysOrdersAndLosesNone) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(1000));
  const auto held = std::exchange(grant, std::nullopt);
  const auto before = replicas.given.size();
  time.advance(seconds(8));
  BOOST_TEST(replicas.given.size() == before);
  grant = held;
  time.advance(seconds(6));
  BOOST_TEST(atLeast(2) == 12U);
  for (const auto& [name, replica] : replicas.replicas) BOOST_TEST(replica.orders == 4U);
}

BOOST_AUTO_TEST_CASE(OlderOfTwoHoldersIsFencedOffAndEachReplicaLoadsOnce) {
  std::optional<LeaseGrant> newer = LeaseGrant{6, 2};
  WeightsRollout other{{},
                       {time, time, log, replicas, directory, targets, *this, "other", {}, {}},
                       [&newer] { return newer; }};
  targets.onNamed("m", 2, time.now());
  rollout.start();
  other.start();
  time.advance(seconds(10));
  BOOST_TEST(atLeast(2) == 12U);
  for (const auto& [name, replica] : replicas.replicas) BOOST_TEST(replica.orders == 4U);
}

BOOST_AUTO_TEST_CASE(ReplicaThatLeavesIsNoGoalOfOrders) {
  directory.find("r0")->notices().recordLeaving();
  // The others are drained before their orders: one of them begins to leave meanwhile.
  for (auto& [name, replica] : replicas.replicas) replica.running = 1;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(100));
  directory.find("r1")->notices().recordLeaving();
  for (auto& [name, replica] : replicas.replicas) replica.running = 0;
  time.advance(seconds(12));
  for (const auto& [instance, order] : replicas.given) {
    BOOST_TEST(instance != "r0");
    BOOST_TEST(instance != "r1");
  }
  BOOST_TEST(atLeast(2) == replicas.replicas.size() - 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
