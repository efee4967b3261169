// The rate of whole rollouts with simulated replicas: how many are unavailable, and on how many
// requests may start.
#include "coordination/rollout_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "routing/replica_selector.h"

namespace covewing::coordination {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Simulated replicas whose changes take a given time.
struct SimulatedRollout {
  explicit SimulatedRollout(std::size_t replicas) {
    for (std::size_t number = 0; number < replicas; ++number) {
      routing::Replica facts;
      facts.instance = "r" + std::to_string(number);
      facts.service = "llm";
      facts.models = {{"m", 1}};
      directory.onListed(facts);
    }
  }

  /// Number of replicas on which requests may start.
  std::size_t usableReplicas() const {
    const auto oldest = targets.oldestAllowed("m", now);
    std::size_t count = 0;
    for (const auto& [name, record] : directory.all())
      count += record->versionOf("m") >= oldest && !changing.contains(name) && !unreachable(name)
                   ? 1
                   : 0;
    return count;
  }

  std::size_t atVersionOrNewer(base::WeightsVersion version) const {
    return static_cast<std::size_t>(std::ranges::count_if(directory.all(), [&](const auto& entry) {
      return entry.second->versionOf("m") >= version;
    }));
  }

  /// Records the minimum and maximum figures from the first step on.
  void run(base::Duration duration) {
    for (const auto end = now + duration; now < end; now += milliseconds(50)) {
      std::erase_if(changing, [&](const auto& change) {
        if (now < change.second.second) return false;
        directory.find(change.first)->recordVersion("m", change.second.first);
        return true;
      });
      if (!targets.all().empty()) step();
      minimumUsable = std::min(minimumUsable, usableReplicas());
      maximumUnavailable = std::max(maximumUnavailable, changing.size());
    }
  }

  void step() {
    RolloutView view{.model = "m",
                     .targets = targets.all().at("m"),
                     .changeTime = changeTime,
                     .oldestAllowed = targets.oldestAllowed("m", now),
                     .now = now};
    for (const auto& [name, record] : directory.all()) {
      if (!unreachable(name)) view.replicas.push_back(record);
    }
    for (const auto& [name, change] : changing) view.started.insert(name);
    view.unavailable = changing.size();
    view.needed = needed;
    view.requestCountOf = requestCountOf;
    for (const auto& planned : plan.next(view).toStart) {
      changing[planned.instance] = {targets.newest("m"), now + changeTime};
      ++loads;
    }
  }

  RolloutPlan plan;
  routing::ReplicaDirectory directory;
  routing::WeightsTargets targets{{seconds(10), milliseconds(1500)}};
  base::TimePoint now{seconds(100)};
  base::Duration changeTime = milliseconds(2000);
  std::function<bool(const std::string&)> unreachable = [](const std::string& /*name*/) {
    return false;
  };
  /// Number of replicas that the current load fills.
  double needed = 0;
  std::function<std::optional<std::uint32_t>(const std::string&)> requestCountOf;
  std::map<std::string, std::pair<base::WeightsVersion, base::TimePoint>> changing;
  std::size_t minimumUsable = 1000;
  std::size_t maximumUnavailable = 0;
  std::size_t loads = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(RolloutPlanTest)

BOOST_AUTO_TEST_CASE(AsManyReplicasAreUsableAfterTheDeadlineAsBefore) {
  SimulatedRollout rollout{90};
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.run(seconds(12));
  BOOST_TEST(rollout.atVersionOrNewer(2) == 90U);
  // A change takes 2 s of the 8.5 s until the deadline.
  BOOST_TEST(rollout.minimumUsable >= 64U);
  BOOST_TEST(rollout.maximumUnavailable <= 26U);
  BOOST_TEST(rollout.loads == 90U);
}

BOOST_AUTO_TEST_CASE(ChangesStartAtOnceAndContinueAtAnEvenRate) {
  SimulatedRollout rollout{90};
  rollout.targets.onNamed("m", 2, rollout.now);
  std::size_t before = 0;
  for (int second = 0; second < 8; second += 2) {
    rollout.run(seconds(2));
    BOOST_TEST(rollout.loads - before >= 15U);
    BOOST_TEST(rollout.loads - before <= 45U);
    before = rollout.loads;
  }
}

BOOST_AUTO_TEST_CASE(SlowChangesCauseNoDropInCapacityAtTheDeadline) {
  SimulatedRollout rollout{67};
  rollout.changeTime = milliseconds(3000);
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.run(seconds(14));
  BOOST_TEST(rollout.atVersionOrNewer(2) == 67U);
  BOOST_TEST(rollout.minimumUsable >= 38U);
}

BOOST_AUTO_TEST_CASE(UnreachableQuarterIsChangedWhenItReturnsAfterTheDeadline) {
  SimulatedRollout rollout{90};
  const auto returnsAt = rollout.now + seconds(11);
  rollout.unreachable = [&rollout, returnsAt](const std::string& name) {
    return rollout.now < returnsAt && routing::longRunRank(name) % 4 == 0;
  };
  const auto usableAtFirst = rollout.usableReplicas();
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.run(seconds(11));
  BOOST_TEST(static_cast<double>(rollout.minimumUsable) >=
             0.7 * static_cast<double>(usableAtFirst));
  rollout.run(seconds(3));
  BOOST_TEST(rollout.atVersionOrNewer(2) == 90U);
}

BOOST_AUTO_TEST_CASE(ThreeVersionsInFifteenSecondsShareLoads) {
  SimulatedRollout rollout{90};
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.run(seconds(5));
  rollout.targets.onNamed("m", 3, rollout.now);
  rollout.run(seconds(5));
  rollout.targets.onNamed("m", 4, rollout.now);
  rollout.run(seconds(13));
  BOOST_TEST(rollout.atVersionOrNewer(4) == 90U);
  BOOST_TEST(rollout.minimumUsable >= 54U);
  BOOST_TEST(rollout.loads <= 225U);
}

BOOST_AUTO_TEST_CASE(FewReplicasChangeOneAtATime) {
  SimulatedRollout rollout{2};
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.run(seconds(10));
  BOOST_TEST(rollout.maximumUnavailable == 1U);
  BOOST_TEST(rollout.atVersionOrNewer(2) == 2U);
}

BOOST_AUTO_TEST_CASE(SpareReplicasChangeAtOnce) {
  SimulatedRollout rollout{90};
  rollout.needed = 30;
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.run(seconds(6));
  BOOST_TEST(rollout.maximumUnavailable == 36U);
  BOOST_TEST(rollout.atVersionOrNewer(2) >= 70U);
}

BOOST_AUTO_TEST_CASE(DemandIncreaseUsesTheCapacityThatWasSpare) {
  SimulatedRollout rollout{90};
  rollout.needed = 40;
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.run(seconds(1));
  BOOST_TEST(rollout.changing.size() == 36U);
  rollout.needed = 80;
  rollout.run(milliseconds(2500));
  // Only the changes that the deadline requires are in progress.
  BOOST_TEST(rollout.changing.size() <= 24U);
  BOOST_TEST(rollout.changing.size() >= 10U);
  rollout.run(seconds(7));
  BOOST_TEST(rollout.atVersionOrNewer(2) == 90U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithTheFewestRequestsComeFirst) {
  SimulatedRollout rollout{20};
  rollout.requestCountOf = [](const std::string& name) -> std::optional<std::uint32_t> {
    if (name == "r7") return 1;
    if (name == "r3") return 2;
    if (name == "r11") return std::nullopt;
    return 9;
  };
  rollout.changeTime = milliseconds(800);
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.step();
  BOOST_TEST(rollout.changing.size() == 2U);
  BOOST_TEST(rollout.changing.contains("r7"));
  BOOST_TEST(rollout.changing.contains("r3"));
}

BOOST_AUTO_TEST_CASE(OldestVersionComesBeforeTheFewestRequests) {
  SimulatedRollout rollout{20};
  for (int number = 1; number < 20; ++number)
    rollout.directory.find("r" + std::to_string(number))->recordVersion("m", 2);
  rollout.requestCountOf = [](const std::string& name) { return name == "r0" ? 20U : 0U; };
  rollout.targets.onNamed("m", 2, rollout.now);
  rollout.targets.onNamed("m", 3, rollout.now);
  rollout.step();
  BOOST_TEST(rollout.changing.contains("r0"));
}

BOOST_AUTO_TEST_CASE(SmallFleetHasOneLoadSlot) {
  SimulatedRollout rollout{6};
  rollout.targets.onNamed("m", 2, rollout.now);
  RolloutView view{.model = "m", .targets = rollout.targets.all().at("m"), .now = rollout.now};
  for (const auto& [name, record] : rollout.directory.all()) view.replicas.push_back(record);
  BOOST_TEST(rollout.plan.next(view).maximumLoading == 1U);
  rollout.run(seconds(11));
  BOOST_TEST(rollout.atVersionOrNewer(2) == 6U);
  BOOST_TEST(rollout.maximumUnavailable <= 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
