// The pace of a rollout over whole days, without replicas: how many are away, and how many count.
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

/// Replicas that change as long as they are told to.
struct RolloutDay {
  explicit RolloutDay(std::size_t replicas) {
    for (std::size_t number = 0; number < replicas; ++number) {
      routing::Replica facts;
      facts.instance = "r" + std::to_string(number);
      facts.service = "llm";
      facts.models = {{"m", 1}};
      directory.onListed(facts);
    }
  }

  /// Replicas that requests may begin on.
  std::size_t counting() const {
    const auto oldest = targets.oldestAllowed("m", now);
    std::size_t count = 0;
    for (const auto& [name, record] : directory.all())
      count += record->versionOf("m") >= oldest && !changing.contains(name) && !dark(name) ? 1 : 0;
    return count;
  }

  std::size_t atLeast(base::WeightsVersion version) const {
    return static_cast<std::size_t>(std::ranges::count_if(directory.all(), [&](const auto& entry) {
      return entry.second->versionOf("m") >= version;
    }));
  }

  /// Counts from the first step on.
  void run(base::Duration duration) {
    for (const auto end = now + duration; now < end; now += milliseconds(50)) {
      std::erase_if(changing, [&](const auto& change) {
        if (now < change.second.second) return false;
        directory.find(change.first)->recordVersion("m", change.second.first);
        return true;
      });
      if (!targets.all().empty()) step();
      leastCounting = std::min(leastCounting, counting());
      mostAway = std::max(mostAway, changing.size());
    }
  }

  void step() {
    RolloutView view{.model = "m",
                     .targets = targets.all().at("m"),
                     .changeTime = changeTime,
                     .oldestAllowed = targets.oldestAllowed("m", now),
                     .now = now};
    for (const auto& [name, record] : directory.all()) {
      if (!dark(name)) view.served.push_back(record);
    }
    for (const auto& [name, change] : changing) view.begun.insert(name);
    view.away = changing.size();
    view.needed = needed;
    view.requestsAt = requestsAt;
    for (const auto& one : plan.next(view).begin) {
      changing[one.instance] = {targets.newest("m"), now + changeTime};
      ++loads;
    }
  }

  RolloutPlan plan;
  routing::ReplicaDirectory directory;
  routing::WeightsTargets targets{{seconds(10), milliseconds(1500)}};
  base::TimePoint now{seconds(100)};
  base::Duration changeTime = milliseconds(2000);
  std::function<bool(const std::string&)> dark = [](const std::string& /*name*/) { return false; };
  /// Replicas that the work under way fills.
  double needed = 0;
  std::function<std::optional<std::uint32_t>(const std::string&)> requestsAt;
  std::map<std::string, std::pair<base::WeightsVersion, base::TimePoint>> changing;
  std::size_t leastCounting = 1000;
  std::size_t mostAway = 0;
  std::size_t loads = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(RolloutPlanTest)

BOOST_AUTO_TEST_CASE(AsManyReplicasCountAfterTheDateAsBefore) {
  RolloutDay day{90};
  day.targets.onNamed("m", 2, day.now);
  day.run(seconds(12));
  BOOST_TEST(day.atLeast(2) == 90U);
  // A change is 2 s of 8.5 s.
  BOOST_TEST(day.leastCounting >= 64U);
  BOOST_TEST(day.mostAway <= 26U);
  BOOST_TEST(day.loads == 90U);
}

BOOST_AUTO_TEST_CASE(BeginsAtOnceAndGoesOnEvenly) {
  RolloutDay day{90};
  day.targets.onNamed("m", 2, day.now);
  std::size_t before = 0;
  for (int second = 0; second < 8; second += 2) {
    day.run(seconds(2));
    BOOST_TEST(day.loads - before >= 15U);
    BOOST_TEST(day.loads - before <= 45U);
    before = day.loads;
  }
}

BOOST_AUTO_TEST_CASE(SlowChangesMakeNoCliffAtTheDate) {
  RolloutDay day{67};
  day.changeTime = milliseconds(3000);
  day.targets.onNamed("m", 2, day.now);
  day.run(seconds(14));
  BOOST_TEST(day.atLeast(2) == 67U);
  BOOST_TEST(day.leastCounting >= 38U);
}

BOOST_AUTO_TEST_CASE(QuarterThatIsDarkUntilAfterTheDateIsChangedWhenItIsBack) {
  RolloutDay day{90};
  const auto back = day.now + seconds(11);
  day.dark = [&day, back](const std::string& name) {
    return day.now < back && routing::longRunRank(name) % 4 == 0;
  };
  const auto alive = day.counting();
  day.targets.onNamed("m", 2, day.now);
  day.run(seconds(11));
  BOOST_TEST(static_cast<double>(day.leastCounting) >= 0.7 * static_cast<double>(alive));
  day.run(seconds(3));
  BOOST_TEST(day.atLeast(2) == 90U);
}

BOOST_AUTO_TEST_CASE(ThreeVersionsInFifteenSecondsShareLoads) {
  RolloutDay day{90};
  day.targets.onNamed("m", 2, day.now);
  day.run(seconds(5));
  day.targets.onNamed("m", 3, day.now);
  day.run(seconds(5));
  day.targets.onNamed("m", 4, day.now);
  day.run(seconds(13));
  BOOST_TEST(day.atLeast(4) == 90U);
  BOOST_TEST(day.leastCounting >= 54U);
  BOOST_TEST(day.loads <= 225U);
}

BOOST_AUTO_TEST_CASE(FewReplicasChangeOneAtATime) {
  RolloutDay day{2};
  day.targets.onNamed("m", 2, day.now);
  day.run(seconds(10));
  BOOST_TEST(day.mostAway == 1U);
  BOOST_TEST(day.atLeast(2) == 2U);
}

BOOST_AUTO_TEST_CASE(SpareReplicasChangeAtOnce) {
  RolloutDay day{90};
  day.needed = 30;
  day.targets.onNamed("m", 2, day.now);
  day.run(seconds(6));
  BOOST_TEST(day.mostAway == 36U);
  BOOST_TEST(day.atLeast(2) >= 70U);
}

BOOST_AUTO_TEST_CASE(WaveTakesTheRoomThatWasSpare) {
  RolloutDay day{90};
  day.needed = 40;
  day.targets.onNamed("m", 2, day.now);
  day.run(seconds(1));
  BOOST_TEST(day.changing.size() == 36U);
  day.needed = 80;
  day.run(milliseconds(2500));
  // What the date asks for is left.
  BOOST_TEST(day.changing.size() <= 24U);
  BOOST_TEST(day.changing.size() >= 10U);
  day.run(seconds(7));
  BOOST_TEST(day.atLeast(2) == 90U);
}

BOOST_AUTO_TEST_CASE(ReplicasWithTheFewestRequestsComeFirst) {
  RolloutDay day{20};
  day.requestsAt = [](const std::string& name) -> std::optional<std::uint32_t> {
    if (name == "r7") return 1;
    if (name == "r3") return 2;
    if (name == "r11") return std::nullopt;
    return 9;
  };
  day.changeTime = milliseconds(800);
  day.targets.onNamed("m", 2, day.now);
  day.step();
  BOOST_TEST(day.changing.size() == 2U);
  BOOST_TEST(day.changing.contains("r7"));
  BOOST_TEST(day.changing.contains("r3"));
}

BOOST_AUTO_TEST_CASE(OldestVersionComesBeforeTheFewestRequests) {
  RolloutDay day{20};
  for (int number = 1; number < 20; ++number)
    day.directory.find("r" + std::to_string(number))->recordVersion("m", 2);
  day.requestsAt = [](const std::string& name) { return name == "r0" ? 20U : 0U; };
  day.targets.onNamed("m", 2, day.now);
  day.targets.onNamed("m", 3, day.now);
  day.step();
  BOOST_TEST(day.changing.contains("r0"));
}

BOOST_AUTO_TEST_CASE(SmallFleetHasOnePlaceForLoads) {
  RolloutDay day{6};
  day.targets.onNamed("m", 2, day.now);
  RolloutView view{.model = "m", .targets = day.targets.all().at("m"), .now = day.now};
  for (const auto& [name, record] : day.directory.all()) view.served.push_back(record);
  BOOST_TEST(day.plan.next(view).mostLoading == 1U);
  day.run(seconds(11));
  BOOST_TEST(day.atLeast(2) == 6U);
  BOOST_TEST(day.mostAway <= 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
