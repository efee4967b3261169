// A request ran with a key that had been taken away more than 5 s before it was sent. A node
// accepts a key only while its last proof that its configuration is the newest is younger than 4.6
// s, so its proof was taken for younger than it was. Proofs are passed from node to node, come
// late, and lie unread while a process stands still; an answer of the table service is dated by the
// clock that it names. Where that clock had leapt ahead, each answer counted as made when it was
// handled: one that had lain unread for 7 s made the node accept for 4.6 s more what had been taken
// away 7 s before.
#include <boost/test/unit_test.hpp>

#include "config/feed_fleet.h"
#include "config/service_clock.h"

namespace covewing::config {

using feed_fleet::Fleet;
using feed_fleet::FleetNode;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A key that was taken away may not be accepted later than this.
constexpr base::Duration kRevocation = seconds(5);
constexpr int kRuns = 150;
constexpr int kSteps = 60;

/// Whether the node would accept a key by what it holds.
bool accepts(const Fleet& fleet, const FleetNode& node) {
  return fleet.ageOf(node) < trustedAge(kRevocation);
}

/// How much later than it may the node accepts what the next value took away; below zero: it does
/// not, or may.
base::Duration acceptedTooLate(const Fleet& fleet, const FleetNode& node) {
  const int held = std::stoi(node.listener.rows.at("a"));
  const auto next = fleet.service.committedAt.find(std::to_string(held + 1));
  if (next == fleet.service.committedAt.end() || !accepts(fleet, node)) return base::Duration{-1};
  return fleet.time.now() - next->second - kRevocation;
}

/// One fleet in which nodes stand still, lose the service and each other's messages, hear late, and
/// values change.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : random_(seed), fleet_(2 + random_.below(3), 2) {
    fleet_.messageDelay = [this]() -> std::optional<base::Duration> {
      if (random_.below(20) == 0) return std::nullopt;
      return random_.below(10) == 0 ? upTo(milliseconds(600)) : upTo(milliseconds(2));
    };
    for (const auto& node : fleet_.nodes) {
      node->service.delay = [this] {
        return random_.below(5) == 0 ? upTo(milliseconds(1500)) : upTo(microseconds(300));
      };
    }
  }

  /// What happens next; `leaps`: the service's clock may leap.
  void step(bool leaps) {
    auto& node = *fleet_.nodes[random_.below(fleet_.nodes.size())];
    switch (random_.below(6)) {
      case 0:
        fleet_.service.put("a", std::to_string(++value_));
        break;
      case 1:
        node.timers.standStill(upTo(seconds(9)));
        break;
      case 2:
        node.service.refused = !node.service.refused;
        break;
      case 3:
        for (const auto& each : fleet_.nodes) each->service.refused = random_.below(2) == 0;
        break;
      case 4:
        if (leaps) fleet_.service.clockLead += upTo(seconds(60)) - seconds(30);
        break;
      default:
        break;
    }
    const auto span = upTo(milliseconds(1200));
    for (int part = 0; part < 4; ++part) {
      fleet_.time.advance(span / 4);
      look();
    }
  }

  /// Younger than it is: by how much a node dates its proof behind the change that it lacks.
  base::Duration youngest{};
  base::Duration latest{};

 private:
  base::Duration upTo(base::Duration most) {
    return base::Duration{
        static_cast<base::Duration::rep>(random_.below(static_cast<std::uint64_t>(most.count())))};
  }

  void look() {
    for (const auto& node : fleet_.nodes) {
      latest = std::max(latest, acceptedTooLate(fleet_, *node));
      const int held = std::stoi(node->listener.rows.at("a"));
      const auto next = fleet_.service.committedAt.find(std::to_string(held + 1));
      if (next == fleet_.service.committedAt.end()) continue;
      youngest = std::max(youngest, *node->watch.confirmedAt() - next->second);
    }
  }

  base::SeededRandom random_;
  Fleet fleet_;
  int value_ = 1;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ProofAgeTest)

// Ruled out as the cause: with a service's clock that runs evenly, no proof gets younger on its
// way.
BOOST_AUTO_TEST_CASE(NoProofGetsYoungerOnItsWay) {
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    RandomRun run(seed);
    for (int step = 0; step < kSteps; ++step) run.step(false);
    BOOST_TEST(run.youngest.count() <= 0, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(WhatWasTakenAwayIsRefusedInTimeWhereTheServicesClockLeaps) {
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    RandomRun run(seed);
    for (int step = 0; step < kSteps; ++step) run.step(true);
    BOOST_TEST(run.latest.count() <= 0, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(AnswerThatLayUnreadProvesNoMoreThanWhenItWasMade) {
  Fleet fleet(1);
  auto& node = *fleet.nodes.front();
  fleet.service.clockLead += seconds(20);
  // The answer to the call that is held comes while the node stands still, and then the change.
  node.timers.standStill(seconds(7));
  fleet.time.advance(milliseconds(1500));
  fleet.service.put("a", "2");
  node.service.refused = true;
  fleet.time.advance(milliseconds(5500));
  base::Duration longest{-1};
  for (int step = 0; step < 100; ++step) {
    fleet.time.advance(milliseconds(100));
    longest = std::max(longest, acceptedTooLate(fleet, node));
  }
  BOOST_TEST(longest.count() <= 0);
}

BOOST_AUTO_TEST_CASE(ClockThatLeapsAheadIsNoticed) {
  ServiceClock clock;
  const base::TimePoint start{seconds(100)};
  clock.madeAt(seconds(500), start, milliseconds(800), start + milliseconds(2));
  // The service started again: its clock is 20 s ahead of what it was. Sent at 110 s, made at once,
  // read 7 s later.
  const auto sentAt = start + seconds(10);
  const auto made = clock.madeAt(seconds(530), sentAt, milliseconds(800), sentAt + seconds(7));
  BOOST_TEST((made == sentAt));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
