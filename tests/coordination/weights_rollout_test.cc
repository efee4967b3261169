// The rollout of weights: its rate, the order of replicas, lost responses, fencing, and the
// deadline.
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
/// A call without a response ends after this time.
constexpr base::Duration kCallTimeout = milliseconds(800);

/// Replicas that handle orders as the published interface specifies.
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
    /// The address now belongs to another instance.
    bool replaced = false;
    /// The next order is carried out this much later, without a response.
    base::Duration delayNext{};
    /// The replica does not respond.
    bool unresponsive = false;
    /// Time at which the running requests end; a load starts after that.
    std::optional<base::TimePoint> requestsEndAt;
  };

  explicit FakeReplicas(test_support::VirtualTime& time) : time_(time) {}

  void onNotices(NoticeListener /*listener*/) override {}
  void order(const clients::ReplicaTarget& target, clients::WeightsOrder order,
             std::function<void(WeightsOrderStatus)> callback) override {
    const auto& instance = target.instance();
    receivedOrders.push_back({instance, order});
    auto& replica = current(instance);
    if (replica.unresponsive || replica.delayNext != base::Duration::zero()) {
      time_.schedule(kCallTimeout, [callback] { callback(WeightsOrderStatus::kUnknown); });
      const auto delay = std::exchange(replica.delayNext, base::Duration::zero());
      if (delay == base::Duration::zero()) return;
      time_.schedule(delay, [this, instance, order] {
        lateResults.push_back(handleOrder(current(instance), order));
      });
      return;
    }
    auto status = handleOrder(replica, order);
    if (responsesToLose > 0) {
      --responsesToLose;
      status = WeightsOrderStatus::kUnknown;
    }
    time_.schedule(milliseconds(2), [status, callback] { callback(status); });
  }

  void report(const clients::ReplicaTarget& target, const std::string& /*model*/,
              std::function<void(std::optional<clients::WeightsReport>)> callback) override {
    const auto& instance = target.instance();
    ++reports[instance];
    const auto& replica = current(instance);
    if (replica.unresponsive) {
      time_.schedule(kCallTimeout, [callback] { callback(std::nullopt); });
      return;
    }
    const clients::WeightsReport report{replica.loadingVersion != 0, replica.running,
                                        replica.waiting, replica.orders, replica.version};
    time_.schedule(milliseconds(2), [report, callback] { callback(report); });
  }

  std::size_t loading() {
    std::size_t count = 0;
    for (auto& [name, replica] : replicas) {
      const auto& one = current(name);
      count += one.loadingVersion != 0 && (!one.requestsEndAt || one.running == 0) ? 1 : 0;
    }
    return count;
  }

  std::map<std::string, Replica> replicas;
  std::vector<std::pair<std::string, clients::WeightsOrder>> receivedOrders;
  std::map<std::string, std::size_t> reports;
  /// Results of orders that were carried out late.
  std::vector<WeightsOrderStatus> lateResults;
  int responsesToLose = 0;

 private:
  Replica& current(const std::string& instance) {
    auto& replica = replicas.at(instance);
    if (replica.requestsEndAt && time_.now() >= *replica.requestsEndAt) replica.running = 0;
    if (replica.loadingVersion != 0 && time_.now() >= replica.loadedAt) {
      replica.version = replica.loadingVersion;
      replica.loadingVersion = 0;
    }
    return replica;
  }

  WeightsOrderStatus handleOrder(Replica& replica, const clients::WeightsOrder& order) {
    if (replica.replaced) return WeightsOrderStatus::kOtherInstance;
    if (order.token < replica.token) return WeightsOrderStatus::kFencedOff;
    replica.token = order.token;
    if (replica.loadingVersion != 0 || order.expectedOrders != replica.orders)
      return WeightsOrderStatus::kConflict;
    if (replica.version == order.version) return WeightsOrderStatus::kInForce;
    ++replica.orders;
    replica.loadingVersion = order.version;
    const auto loadStart = std::max(time_.now(), replica.requestsEndAt.value_or(time_.now()));
    replica.loadedAt = loadStart + kLoadTime;
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
    listReplica(name, 1);
  }
  void listReplica(const std::string& name, base::WeightsVersion version) {
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

  std::size_t atVersionOrNewer(base::WeightsVersion version) const {
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
  /// Number of replicas that long-running requests fill; 0: these requests are not concentrated on
  /// some replicas.
  std::size_t longRunReplicas = 0;
  /// Whether the configuration contains the replicas' service.
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

BOOST_AUTO_TEST_CASE(AllReplicasLoadTheVersionByTheDeadline) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  std::size_t maximumLoading = 0;
  std::size_t maximumUnavailable = 0;
  for (int step = 0; step < 140; ++step) {
    time.advance(milliseconds(50));
    maximumLoading = std::max(maximumLoading, replicas.loading());
    maximumUnavailable = std::max(maximumUnavailable, changing.size());
  }
  BOOST_TEST(atVersionOrNewer(2) == 12U);
  BOOST_TEST(maximumLoading <= 2U);
  BOOST_TEST(maximumUnavailable <= 5U);
  BOOST_TEST(replicas.receivedOrders.size() == 12U);
}

BOOST_AUTO_TEST_CASE(OrdersContainTheTokenAndTheNumberOfAcceptedOrders) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(1));
  const auto& order = replicas.receivedOrders.front().second;
  BOOST_TEST(order.token == 5U);
  BOOST_TEST(order.holder == "node");
  BOOST_TEST(order.expectedOrders == 3U);
}

BOOST_AUTO_TEST_CASE(SupersededVersionIsNoLongerLoaded) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(2));
  targets.onNamed("m", 3, time.now());
  const auto before = replicas.receivedOrders.size();
  time.advance(seconds(8));
  for (std::size_t index = before; index < replicas.receivedOrders.size(); ++index)
    BOOST_TEST(replicas.receivedOrders[index].second.version == 3U);
  BOOST_TEST(atVersionOrNewer(3) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicaWithRunningRequestsIsOrderedWhenIdleOrAfterTheDrainTimeout) {
  replicas.replicas["r0"].running = 2;
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(900));
  BOOST_TEST(changing.contains("r0"));
  BOOST_TEST(replicas.receivedOrders.empty());
  replicas.replicas["r0"].running = 0;
  time.advance(milliseconds(300));
  BOOST_TEST(replicas.receivedOrders.size() == 1U);
}

// Guards against polling a replica ten times a second while it is changed, although it accepts only
// one request a second.
BOOST_AUTO_TEST_CASE(ReplicaWithARateLimitGetsFewCallsWhileItIsChanged) {
  const auto now = time.now();
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  directory.find("r0")->notices().rateLimit().update({clients::RateLimitNotice::of(0.5), now, now});
  replicas.replicas["r0"].running = 2;
  targets.onNamed("m", 2, now);
  rollout.start();
  time.advance(seconds(4));
  BOOST_TEST(replicas.reports["r0"] + replicas.receivedOrders.size() <= 5U);
  replicas.replicas["r0"].running = 0;
  time.advance(seconds(4));
  BOOST_TEST(replicas.replicas["r0"].version == 2U);
}

BOOST_AUTO_TEST_CASE(OtherNodesAreNotifiedAlsoWhenTheListShowsTheVersionFirst) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.receivedOrders.empty()) time.advance(milliseconds(10));
  time.advance(milliseconds(100));
  BOOST_TEST(changing.contains("r0"));
  listReplica("r0", 2);
  time.advance(milliseconds(100));
  BOOST_TEST(rollout.changesInProgress() == 0U);
  BOOST_TEST(!changing.contains("r0"));
}

BOOST_AUTO_TEST_CASE(ChangeThatEndsBeforeItsOrderHasNoLoadTime) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
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

// Guards against a replica that stays at an older version unnoticed. A node that received no
// response to an order for version 2 ordered version 3 after the replica had restarted; the first
// order was carried out only then, because the count of accepted orders starts again with each
// instance.
BOOST_AUTO_TEST_CASE(ReplicaRevertedByALateOrderIsChangedAgain) {
  for (int number = 0; number < 12; ++number) listReplica("r" + std::to_string(number), 3);
  targets.onNamed("m", 3, time.now());
  rollout.start();
  time.advance(seconds(1));
  BOOST_TEST(replicas.receivedOrders.empty());
  replicas.replicas["r0"].version = 2;
  listReplica("r0", 2);
  time.advance(seconds(4));
  BOOST_TEST(replicas.replicas["r0"].version == 3U);
  BOOST_TEST(atVersionOrNewer(3) == 12U);
}

// An instance starts with no accepted orders: orders that the previous instance had accepted or in
// progress are not expected of it.
BOOST_AUTO_TEST_CASE(InstanceAfterARestartIsOrderedByItsOwnCount) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.receivedOrders.empty()) time.advance(milliseconds(10));
  directory.onRemoved("r0");
  add("r0 again");
  replicas.replicas["r0 again"].orders = 0;
  time.advance(seconds(5));
  BOOST_TEST(replicas.receivedOrders.size() == 2U);
  BOOST_TEST(replicas.receivedOrders.back().second.expectedOrders == 0U);
  BOOST_TEST(replicas.replicas["r0 again"].version == 2U);
}

BOOST_AUTO_TEST_CASE(ReplicaOfAServiceThatIsNotConfiguredIsNotOrdered) {
  configured = false;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(5));
  BOOST_TEST(replicas.receivedOrders.empty());
  configured = true;
  time.advance(seconds(7));
  BOOST_TEST(atVersionOrNewer(2) == 12U);
}

BOOST_AUTO_TEST_CASE(LostResponseLoadsOnce) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  replicas.responsesToLose = 1;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(5));
  BOOST_TEST(atVersionOrNewer(2) == 12U);
  BOOST_TEST(replicas.replicas["r0"].orders == 4U);
}

BOOST_AUTO_TEST_CASE(WithoutGrantNothingIsOrdered) {
  targets.onNamed("m", 2, time.now());
  grant.reset();
  rollout.start();
  time.advance(seconds(5));
  BOOST_TEST(replicas.receivedOrders.empty());
}

BOOST_AUTO_TEST_CASE(FencedOffOrderIsNotRepeatedAtOnce) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  replicas.replicas["r0"].token = 9;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(700));
  BOOST_TEST(log.count(base::Event::kOrderFenced) == 1U);
  BOOST_TEST(replicas.replicas["r0"].version == 1U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithWaitingRequestsAreAllOrderedBeforeTheDeadline) {
  for (auto& [name, replica] : replicas.replicas) replica.waiting = 1;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(7600));
  std::set<std::string> ordered;
  for (const auto& [instance, order] : replicas.receivedOrders) ordered.insert(instance);
  BOOST_TEST(ordered.size() == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithoutRequestsLoadInTurnAlsoAfterTheDeadline) {
  targets.onNamed("m", 2, time.now() - seconds(7));
  rollout.start();
  std::size_t maximumLoading = 0;
  for (int step = 0; step < 160; ++step) {
    time.advance(milliseconds(50));
    maximumLoading = std::max(maximumLoading, replicas.loading());
  }
  BOOST_TEST(maximumLoading <= 2U);
  BOOST_TEST(atVersionOrNewer(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithoutWaitingRequestsLoadInTurnAlsoAfterTheDeadline) {
  int number = 0;
  for (auto& [name, replica] : replicas.replicas) {
    replica.running = 1;
    replica.requestsEndAt = time.now() + milliseconds(400) * ++number;
  }
  targets.onNamed("m", 2, time.now() - seconds(7));
  rollout.start();
  std::size_t maximumLoading = 0;
  for (int step = 0; step < 160; ++step) {
    time.advance(milliseconds(50));
    maximumLoading = std::max(maximumLoading, replicas.loading());
  }
  // Two replicas may load; one more if the running requests of two that were ordered end together.
  BOOST_TEST(maximumLoading <= 3U);
  BOOST_TEST(atVersionOrNewer(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithContinuingRequestsAreNotAllOrderedAfterTheDeadline) {
  for (auto& [name, replica] : replicas.replicas) {
    replica.running = 1;
    replica.requestsEndAt = time.now() + seconds(4);
  }
  targets.onNamed("m", 2, time.now() - seconds(7));
  rollout.start();
  // If running requests end together, the number of replicas that load must not be much larger than
  // the number of load slots.
  time.advance(milliseconds(3900));
  BOOST_TEST(replicas.receivedOrders.size() == 4U);
  time.advance(seconds(8));
  BOOST_TEST(atVersionOrNewer(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasThatTakeLongRunningRequestsWaitUntilTheseHaveEnded) {
  longRunReplicas = 3;
  std::vector<std::string> byRank;
  for (const auto& [name, record] : directory.all()) byRank.push_back(name);
  std::ranges::sort(byRank, {}, [](const std::string& name) { return routing::longRunRank(name); });
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(3));
  // Other replicas are changed first, although there is capacity for these.
  BOOST_TEST(atVersionOrNewer(2) >= 3U);
  for (std::size_t index = 0; index < longRunReplicas; ++index)
    BOOST_TEST(!changing.contains(byRank[index]));
  // The deadline is 8 s after the version was published.
  time.advance(seconds(5));
  BOOST_TEST(atVersionOrNewer(2) == 12U);
}

BOOST_AUTO_TEST_CASE(ReplicasThatTakeLongRunningRequestsAreChangedByTheDeadlineInAnyCase) {
  longRunReplicas = 12;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(1));
  BOOST_TEST(changing.empty());
  time.advance(seconds(10));
  BOOST_TEST(atVersionOrNewer(2) == 12U);
}

BOOST_AUTO_TEST_CASE(TerminatedReplicaIsNotOrderedAgainThoughItIsStillListed) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  replicas.replicas["r0"].replaced = true;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(5));
  BOOST_TEST(replicas.receivedOrders.size() == 1U);
  BOOST_TEST(rollout.changesInProgress() == 0U);
  BOOST_TEST(directory.find("r0")->terminated());
}

BOOST_AUTO_TEST_CASE(ReplicaThatRestartedWithAnOlderVersionIsOrderedAgain) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(8));
  directory.onRemoved("r3");
  replicas.replicas["r3b"] = {};
  listReplica("r3b", 1);
  time.advance(seconds(3));
  BOOST_TEST(directory.find("r3b")->versionOf("m") == 2U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveReplicasOccupyNoSlot) {
  const auto names = inOrderOfChange();
  for (std::size_t index = 0; index < 3; ++index)
    replicas.replicas[names[index]].unresponsive = true;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(3500));
  BOOST_TEST(atVersionOrNewer(2) >= 3U);
  time.advance(milliseconds(3500));
  BOOST_TEST(atVersionOrNewer(2) == 9U);
}

BOOST_AUTO_TEST_CASE(ReplicaThatRespondsAgainIsChangedAtOnce) {
  const auto names = inOrderOfChange();
  auto& replica = replicas.replicas[names.front()];
  replica.unresponsive = true;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(6000));
  BOOST_TEST(directory.find(names.front())->versionOf("m") == 1U);
  replica.unresponsive = false;
  time.advance(milliseconds(2300));
  BOOST_TEST(directory.find(names.front())->versionOf("m") == 2U);
  BOOST_TEST(replica.orders == 4U);
}

BOOST_AUTO_TEST_CASE(ReplicaThatBecomesUnresponsiveWhileLoadingOccupiesNoSlot) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.receivedOrders.size() < 2) time.advance(milliseconds(10));
  for (std::size_t index = 0; index < 2; ++index)
    replicas.replicas[replicas.receivedOrders[index].first].unresponsive = true;
  // Two replicas load at once.
  time.advance(milliseconds(2500));
  BOOST_TEST(replicas.receivedOrders.size() >= 4U);
  BOOST_TEST(atVersionOrNewer(2) >= 2U);
}

BOOST_AUTO_TEST_CASE(ReplicaWithContinuingRequestsDoesNotBlockOtherLoads) {
  const auto names = inOrderOfChange();
  for (std::size_t index = 0; index < 2; ++index) {
    replicas.replicas[names[index]].running = 1;
    replicas.replicas[names[index]].requestsEndAt = time.now() + seconds(6);
  }
  targets.onNamed("m", 2, time.now());
  rollout.start();
  // Each of these two replicas is sent its order after a wait of 1.5 s.
  time.advance(milliseconds(4500));
  BOOST_TEST(atVersionOrNewer(2) >= 5U);
  time.advance(milliseconds(5000));
  BOOST_TEST(atVersionOrNewer(2) == 12U);
  for (const auto& [name, replica] : replicas.replicas) BOOST_TEST(replica.orders == 4U);
}

BOOST_AUTO_TEST_CASE(OrderAcceptedDuringSecondsOfLostResponsesLoadsOnce) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.receivedOrders.empty()) time.advance(milliseconds(10));
  replicas.replicas["r0"].unresponsive = true;
  time.advance(seconds(7));
  replicas.replicas["r0"].unresponsive = false;
  time.advance(seconds(3));
  BOOST_TEST(replicas.replicas["r0"].orders == 4U);
  BOOST_TEST(directory.find("r0")->versionOf("m") == 2U);
  BOOST_TEST(rollout.changesInProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(NextHolderCompletesChangesLeftAtAnyStep) {
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
    BOOST_TEST(world.atVersionOrNewer(2) == 12U);
    for (const auto& [name, replica] : world.replicas.replicas) BOOST_TEST(replica.orders == 4U);
  }
}

BOOST_AUTO_TEST_CASE(VersionThatTerminatesItsReplicasIsStoppedAfterTheSecond) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  std::set<std::string> ended;
  for (int step = 0; step < 80; ++step) {
    time.advance(milliseconds(50));
    for (const auto& [instance, order] : replicas.receivedOrders) {
      if (order.version == 2 && ended.insert(instance).second) directory.onRemoved(instance);
    }
  }
  BOOST_TEST(ended.size() == 2U);
  const auto logged = std::ranges::count_if(log.entries, [](const auto& entry) {
    return std::ranges::any_of(entry.second, [](const base::EventField& field) {
      return field.name == "outcome" && field.value.ends_with("it is stopped");
    });
  });
  BOOST_TEST(logged == 1);
  // The other replicas serve their present version.
  for (const auto& [name, record] : directory.all()) BOOST_TEST(!changing.contains(name));
  // All remaining replicas load the next version.
  targets.onNamed("m", 3, time.now());
  time.advance(seconds(8));
  BOOST_TEST(atVersionOrNewer(3) == 10U);
}

BOOST_AUTO_TEST_CASE(CanaryIsOrderedBeforeItsRequestsHaveEnded) {
  for (auto& [name, replica] : replicas.replicas) {
    replica.running = 1;
    replica.requestsEndAt = time.now() + milliseconds(900);
  }
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(500));
  BOOST_TEST(replicas.receivedOrders.size() == 1U);
  // The others load once their running requests have ended and the first replica has served the
  // version.
  time.advance(milliseconds(1500));
  BOOST_TEST(replicas.receivedOrders.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(FirstReplicaThatLoadsAVersionIsACanary) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  while (replicas.receivedOrders.empty()) time.advance(milliseconds(10));
  time.advance(milliseconds(400));
  BOOST_TEST(replicas.receivedOrders.size() == 1U);
  time.advance(milliseconds(1000));
  BOOST_TEST(replicas.receivedOrders.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(OrderCarriedOutSecondsLateDoesNotLoadAgain) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  replicas.replicas["r0"].delayNext = seconds(7);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(seconds(6));
  BOOST_TEST(directory.find("r0")->versionOf("m") == 2U);
  time.advance(seconds(3));
  BOOST_REQUIRE(replicas.lateResults.size() == 1U);
  BOOST_TEST((replicas.lateResults.front() == WeightsOrderStatus::kConflict));
  BOOST_TEST(replicas.replicas["r0"].orders == 4U);
}

BOOST_AUTO_TEST_CASE(OrderCarriedOutAfterItsSuccessorLoadsNothing) {
  for (int number = 1; number < 12; ++number) listReplica("r" + std::to_string(number), 2);
  replicas.replicas["r0"].delayNext = seconds(7);
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(1500));
  targets.onNamed("m", 3, time.now());
  time.advance(seconds(12));
  BOOST_REQUIRE(replicas.lateResults.size() == 1U);
  BOOST_TEST((replicas.lateResults.front() == WeightsOrderStatus::kConflict));
  BOOST_TEST(atVersionOrNewer(3) == 12U);
  BOOST_TEST(replicas.replicas["r0"].version == 3U);
}

BOOST_AUTO_TEST_CASE(StoreOutageAcrossTheDeadlineDelaysOrdersAndLosesNone) {
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(1000));
  const auto suspendedGrant = std::exchange(grant, std::nullopt);
  const auto before = replicas.receivedOrders.size();
  time.advance(seconds(8));
  BOOST_TEST(replicas.receivedOrders.size() == before);
  grant = suspendedGrant;
  time.advance(seconds(6));
  BOOST_TEST(atVersionOrNewer(2) == 12U);
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
  BOOST_TEST(atVersionOrNewer(2) == 12U);
  for (const auto& [name, replica] : replicas.replicas) BOOST_TEST(replica.orders == 4U);
}

// Guards against an order to a run that has ended, which the next run of the replica carries out.
BOOST_AUTO_TEST_CASE(ReplicaThatMayHaveRestartedIsSentNoOrders) {
  directory.find("r0")->presumeEnded(time.now());
  for (auto& [name, replica] : replicas.replicas) replica.running = 1;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(100));
  directory.find("r1")->presumeEnded(time.now());
  for (auto& [name, replica] : replicas.replicas) replica.running = 0;
  time.advance(seconds(12));
  for (const auto& [instance, order] : replicas.receivedOrders) {
    BOOST_TEST(instance != "r0");
    BOOST_TEST(instance != "r1");
  }
  directory.find("r0")->onReachable(time.now());
  directory.find("r1")->onReachable(time.now());
  time.advance(seconds(8));
  BOOST_TEST(atVersionOrNewer(2) == replicas.replicas.size());
}

BOOST_AUTO_TEST_CASE(LeavingReplicaIsSentNoOrders) {
  directory.find("r0")->notices().recordLeaving();
  // The other replicas are drained before their orders; one of them starts to leave in the
  // meantime.
  for (auto& [name, replica] : replicas.replicas) replica.running = 1;
  targets.onNamed("m", 2, time.now());
  rollout.start();
  time.advance(milliseconds(100));
  directory.find("r1")->notices().recordLeaving();
  for (auto& [name, replica] : replicas.replicas) replica.running = 0;
  time.advance(seconds(12));
  for (const auto& [instance, order] : replicas.receivedOrders) {
    BOOST_TEST(instance != "r0");
    BOOST_TEST(instance != "r1");
  }
  BOOST_TEST(atVersionOrNewer(2) == replicas.replicas.size() - 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
