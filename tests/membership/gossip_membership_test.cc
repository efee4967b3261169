#include "membership/gossip_membership.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "membership/virtual_network.h"

namespace covewing::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZones = 7;

/// Size of the larger fleets; COVEWING_TEST_NODES overrides it for measurements.
std::size_t largeFleet() {
  const char* text = std::getenv("COVEWING_TEST_NODES");
  return text == nullptr ? 140 : std::strtoul(text, nullptr, 10);
}

/// Nodes in seven zones of two regions; the first three are everybody's seeds.
class Fleet {
 public:
  explicit Fleet(std::size_t count, std::uint64_t seed = 1) : network(time, seed), nodes_(count) {
    for (std::size_t index = 0; index < count; ++index) start(index, 1);
  }
  /// Each node starts at a random time within `spread`; the seeds come up as late as others.
  Fleet(std::size_t count, std::uint64_t seed, base::Duration spread)
      : network(time, seed), nodes_(count) {
    base::SeededRandom random(seed);
    for (std::size_t index = 0; index < count; ++index) {
      const base::Duration delay{
          static_cast<base::Duration::rep>(random.unit() * static_cast<double>(spread.count()))};
      time.after(delay, [this, index] { start(index, 1); });
    }
  }

  static base::Endpoint endpointOf(std::size_t index) {
    return {static_cast<std::uint32_t>(0x0a000000 + index), 7000};
  }
  static std::string nameOf(std::size_t index) { return "node-" + std::to_string(index); }
  static base::NodeId idOf(std::size_t index) { return base::nodeIdOf(nameOf(index)); }

  void start(std::size_t index, base::Incarnation incarnation) {
    GossipMembershipOptions options;
    options.name = nameOf(index);
    options.zone = "zone-" + std::to_string(index % kZones);
    options.region = index % kZones < 4 ? "north" : "south";
    options.endpoint = endpointOf(index);
    options.incarnation = incarnation;
    for (std::size_t seed = 0; seed < 3; ++seed) options.seeds.push_back(endpointOf(seed));
    Node& node = nodes_[index];
    node.membership.reset();
    node.process = &network.add(options.name, options.endpoint, incarnation);
    node.membership = std::make_unique<GossipMembership>(options, *node.process, *node.process,
                                                         node.process->random, log_, *node.process);
    node.process->handlers[base::Channel::kMembership] = node.membership.get();
    node.membership->start();
  }

  void kill(std::size_t index) {
    nodes_[index].process->stop();
    nodes_[index].killed = true;
  }

  /// Whether every running node holds exactly `count` live members.
  bool allSee(std::size_t count) const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
      return node.killed || (node.membership && node.membership->liveMembers().size() == count);
    });
  }
  /// Running nodes that hold the member in this state.
  std::size_t countSeeing(std::size_t index, MemberState state) const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
          if (node.killed) return false;
          const Member* member = node.membership->find(idOf(index));
          return member != nullptr && member->state == state;
        }));
  }
  /// Running nodes for which the condition holds.
  template <class Condition>
  std::size_t count(const Condition& condition) const {
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(),
        [&](const Node& node) { return !node.killed && condition(*node.membership); }));
  }
  double bytesPerNodeSecond(base::Duration duration) {
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const Node& node : nodes_) before += node.process->bytesSent + node.process->bytesReceived;
    time.runFor(duration);
    for (const Node& node : nodes_) after += node.process->bytesSent + node.process->bytesReceived;
    return static_cast<double>(after - before) / base::toSeconds(duration) /
           static_cast<double>(nodes_.size());
  }

  GossipMembership& operator[](std::size_t index) { return *nodes_[index].membership; }
  test::VirtualProcess& process(std::size_t index) { return *nodes_[index].process; }

  test::VirtualTime time;
  test::VirtualNetwork network;

 private:
  struct Node {
    test::VirtualProcess* process = nullptr;
    std::unique_ptr<GossipMembership> membership;
    bool killed = false;
  };
  base::NullEventLog log_;
  std::vector<Node> nodes_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(GossipMembershipTest)

BOOST_AUTO_TEST_CASE(AllNodesJoinThroughSeeds) {
  Fleet fleet(60);
  const auto joined = fleet.time.runUntil([&] { return fleet.allSee(60); }, seconds(30));
  BOOST_TEST(base::toSeconds(joined) < 15);
  const std::vector<Member>& live = fleet[5].liveMembers();
  BOOST_TEST(std::is_sorted(live.begin(), live.end(), [](const Member& left, const Member& right) {
    return left.id < right.id;
  }));
  const Member* other = fleet[5].find(Fleet::idOf(9));
  BOOST_REQUIRE(other != nullptr);
  BOOST_TEST(other->name == "node-9");
  BOOST_TEST(other->zone == "zone-2");
  BOOST_TEST((other->endpoint == Fleet::endpointOf(9)));
}

// Guards against groups of nodes that started together, joined through different seeds, and each
// take themselves for the whole fleet.
BOOST_AUTO_TEST_CASE(NodesThatStartTogetherKnowEachOtherBeforeTheyActAlone) {
  struct Start {
    std::size_t nodes;
    std::uint64_t rounds;
    base::Duration bound;
  };
  // Tenants' limits are shared among the nodes that are visible from 0.8 s after a start.
  for (const auto& [nodes, rounds, bound] :
       {Start{3, 200, milliseconds(800)}, Start{6, 200, milliseconds(800)},
        Start{24, 200, milliseconds(800)}, Start{340, 3, seconds(5)}}) {
    base::Duration longest{};
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
      Fleet fleet(nodes, seed, milliseconds(50));
      fleet.time.runFor(milliseconds(50));
      const auto joined = fleet.time.runUntil([&] { return fleet.allSee(nodes); }, seconds(30));
      longest = std::max(longest, joined);
      late += joined > bound ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(nodes << " nodes: all know all after at most " << base::toSeconds(longest)
                             << " s, " << late << " of " << rounds << " starts late");
    BOOST_TEST(late == 0U, late << " of " << rounds << " starts of " << nodes
                                << " nodes, the longest " << base::toSeconds(longest) << " s");
  }
}

// Guards against a node that waits for ever for seeds that do not run.
BOOST_AUTO_TEST_CASE(SeedsAreMissedUntilTheyJoinOrHadTimeToReply) {
  Fleet fleet(6, 1, milliseconds(50));
  fleet.time.runFor(milliseconds(50));
  fleet.time.runUntil([&] { return fleet.allSee(6); }, seconds(5));
  for (std::size_t node = 0; node < 6; ++node) BOOST_TEST(fleet[node].missingSeeds() == 0U);
  for (std::size_t node = 1; node < 6; ++node) fleet.kill(node);
  fleet.start(0, 2);
  BOOST_TEST(fleet[0].missingSeeds() == 2U);
  fleet.time.runFor(seconds(4));
  BOOST_TEST(fleet[0].missingSeeds() == 2U);
  fleet.time.runFor(seconds(2));
  BOOST_TEST(fleet[0].missingSeeds() == 0U);
}

BOOST_AUTO_TEST_CASE(KilledNodeIsHeldDeadEverywhere) {
  Fleet fleet(60);
  fleet.time.runUntil([&] { return fleet.allSee(60); }, seconds(30));
  fleet.kill(17);
  const auto detected = fleet.time.runUntil([&] { return fleet.allSee(59); }, seconds(60));
  BOOST_TEST(base::toSeconds(detected) < 15);
  BOOST_TEST(fleet.countSeeing(17, MemberState::kDead) == 59U);
}

// Guards against nodes that gossip passes by, and that learn of a dead member by the next
// comparison only, up to 10 s later.
BOOST_AUTO_TEST_CASE(KilledNodeIsHeldDeadEverywhereWhateverTheSeed) {
  std::size_t late = 0;
  base::Duration longest{};
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Fleet fleet(60, seed);
    fleet.time.runUntil([&] { return fleet.allSee(60); }, seconds(30));
    fleet.time.runFor(seconds(20));
    fleet.kill(17);
    const auto detected = fleet.time.runUntil([&] { return fleet.allSee(59); }, seconds(60));
    longest = std::max(longest, detected);
    late += detected >= seconds(15) ? 1 : 0;
  }
  BOOST_TEST(late == 0U,
             late << " of 100 fleets, the longest " << base::toSeconds(longest) << " s");
}

BOOST_AUTO_TEST_CASE(RestartedNodeIsTakenWithItsNewIncarnation) {
  Fleet fleet(30);
  fleet.time.runUntil([&] { return fleet.allSee(30); }, seconds(30));
  fleet.start(4, 2);
  const auto condition = [&] {
    return fleet.count([](const GossipMembership& membership) {
      const Member* member = membership.find(Fleet::idOf(4));
      return member != nullptr && member->incarnation == 2 && membership.liveMembers().size() == 30;
    }) == 30;
  };
  BOOST_TEST(base::toSeconds(fleet.time.runUntil(condition, seconds(60))) < 20);
}

BOOST_AUTO_TEST_CASE(ShortPausesAndLossKillNobody) {
  Fleet fleet(60, 7);
  fleet.network.loss = 0.01;
  fleet.time.runUntil([&] { return fleet.allSee(60); }, seconds(30));
  std::size_t falselyDead = 0;
  for (std::size_t round = 0; round < 40; ++round) {
    const std::size_t paused = (round * 13) % 60;
    fleet.process(paused).pause();
    fleet.time.runFor(milliseconds(1500));
    fleet.process(paused).resume();
    fleet.time.runFor(milliseconds(1500));
    for (std::size_t index = 0; index < 60; ++index)
      falselyDead += fleet.countSeeing(index, MemberState::kDead);
  }
  BOOST_TEST(falselyDead == 0U);
  fleet.time.runFor(seconds(10));
  BOOST_TEST(fleet.allSee(60));
}

BOOST_AUTO_TEST_CASE(SuspicionIsRefutedByItsMember) {
  Fleet fleet(30);
  fleet.time.runUntil([&] { return fleet.allSee(30); }, seconds(30));
  fleet.process(8).pause();
  const auto suspected = [&] { return fleet.countSeeing(8, MemberState::kSuspect) >= 20; };
  BOOST_TEST(base::toSeconds(fleet.time.runUntil(suspected, seconds(10))) < 10);
  fleet.process(8).resume();
  const auto refuted = [&] { return fleet.countSeeing(8, MemberState::kAlive) == 30; };
  BOOST_TEST(base::toSeconds(fleet.time.runUntil(refuted, seconds(10))) < 5);
}

BOOST_AUTO_TEST_CASE(LongPausedNodeIsTakenBackAndBlamesNobody) {
  Fleet fleet(30);
  fleet.time.runUntil([&] { return fleet.allSee(30); }, seconds(30));
  fleet.process(8).pause();
  fleet.time.runUntil([&] { return fleet.countSeeing(8, MemberState::kDead) == 29; }, seconds(60));
  BOOST_TEST(fleet.countSeeing(8, MemberState::kDead) == 29U);
  fleet.time.runFor(seconds(60));
  fleet.process(8).resume();
  BOOST_TEST(base::toSeconds(fleet.time.runUntil([&] { return fleet.allSee(30); }, seconds(60))) <
             15);
}

BOOST_AUTO_TEST_CASE(LeavingNodeIsGoneAtOnceAndDrainingIsSeen) {
  Fleet fleet(40);
  fleet.time.runUntil([&] { return fleet.allSee(40); }, seconds(30));
  fleet[3].setDraining(true);
  const auto draining = [&] {
    return fleet.count([](const GossipMembership& membership) {
      return membership.find(Fleet::idOf(3))->draining;
    }) == 40;
  };
  BOOST_TEST(base::toSeconds(fleet.time.runUntil(draining, seconds(10))) < 5);
  fleet[3].leave();
  fleet.time.runFor(milliseconds(500));
  fleet.kill(3);
  BOOST_TEST(base::toSeconds(fleet.time.runUntil([&] { return fleet.allSee(39); }, seconds(10))) <
             3);
  BOOST_TEST(fleet.countSeeing(3, MemberState::kLeft) == 39U);
}

BOOST_AUTO_TEST_CASE(PartitionedZoneGoesOnAndHeals) {
  Fleet fleet(70, 3);
  fleet.time.runUntil([&] { return fleet.allSee(70); }, seconds(30));
  std::set<base::Endpoint> zone;
  for (std::size_t index = 5; index < 70; index += kZones) zone.insert(Fleet::endpointOf(index));
  fleet.network.separate(zone);
  const auto split = [&] {
    return fleet[5].liveMembers().size() == 10 && fleet[0].liveMembers().size() == 60;
  };
  BOOST_TEST(base::toSeconds(fleet.time.runUntil(split, seconds(120))) < 60);
  fleet.time.runFor(seconds(60));
  fleet.network.heal();
  const double bytes = fleet.bytesPerNodeSecond(seconds(5));
  const auto healed = fleet.time.runUntil([&] { return fleet.allSee(70); }, seconds(120));
  BOOST_TEST(base::toSeconds(healed) < 30);
  BOOST_TEST(bytes < 14'000);
}

// Guards against nodes that believe those that were cut off, and hold members dead which they have
// never lost: each role of such a member then has two holders.
BOOST_AUTO_TEST_CASE(VerdictsOfNodesThatWereCutOffAreNotBelieved) {
  std::size_t falselyDead = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(40, seed);
    fleet.time.runUntil([&] { return fleet.allSee(40); }, seconds(30));
    fleet.time.runFor(seconds(10));
    std::set<base::Endpoint> cut;
    for (std::size_t index = 26; index < 40; ++index) cut.insert(Fleet::endpointOf(index));
    fleet.network.separate(cut);
    const auto someHoldOthersDead = [&] { return fleet[26].lostMembers() >= 5; };
    fleet.time.runUntil(someHoldOthersDead, seconds(60));
    fleet.network.heal();
    // Nodes that were not cut off, and the members that they never lost.
    for (int step = 0; step < 500; ++step) {
      fleet.time.runFor(milliseconds(10));
      for (std::size_t node = 0; node < 26; ++node) {
        for (std::size_t member = 0; member < 26; ++member)
          falselyDead += fleet[node].find(Fleet::idOf(member))->state == MemberState::kDead ? 1 : 0;
      }
    }
  }
  BOOST_TEST(falselyDead == 0U);
}

BOOST_AUTO_TEST_CASE(RecordsReachAllNodesAndOnlyRise) {
  Fleet fleet(60, 5);
  fleet.network.loss = 0.05;
  fleet.time.runUntil([&] { return fleet.allSee(60); }, seconds(30));
  std::vector<std::uint64_t> seen;
  fleet[40].subscribe("engine/",
                      [&](const GossipRecord& record) { seen.push_back(record.version); });
  for (std::uint64_t version : {3, 2, 5, 4}) {
    fleet[version].publish({"engine/a", version, "v" + std::to_string(version)});
    fleet.time.runFor(milliseconds(300));
  }
  const auto everywhere = [&] {
    return fleet.count([](const GossipMembership& membership) {
      const auto record = membership.find("engine/a");
      return record && record->version == 5 && record->value == "v5";
    }) == 60;
  };
  BOOST_TEST(base::toSeconds(fleet.time.runUntil(everywhere, seconds(60))) < 10);
  BOOST_TEST(std::is_sorted(seen.begin(), seen.end()));
  BOOST_TEST(seen.back() == 5U);
}

BOOST_AUTO_TEST_CASE(RecordLostByGossipIsRepairedByComparison) {
  Fleet fleet(20, 9);
  fleet.time.runUntil([&] { return fleet.allSee(20); }, seconds(30));
  fleet.network.separate({Fleet::endpointOf(11)});
  fleet[0].publish({"engine/a", 1, "x"});
  fleet.time.runFor(seconds(3));
  fleet.network.heal();
  const auto repaired = [&] { return fleet[11].find("engine/a").has_value(); };
  BOOST_TEST(base::toSeconds(fleet.time.runUntil(repaired, seconds(60))) < 30);
}

BOOST_AUTO_TEST_CASE(LargeFleetCostsAFewHundredBytesASecondAndFindsItsDead) {
  const std::size_t count = largeFleet();
  Fleet fleet(count);
  const auto joined = fleet.time.runUntil([&] { return fleet.allSee(count); }, seconds(60));
  BOOST_TEST_MESSAGE(count << " nodes joined after " << base::toSeconds(joined) << " s");
  BOOST_TEST(base::toSeconds(joined) < 20);
  fleet.time.runFor(seconds(20));
  const double bytes = fleet.bytesPerNodeSecond(seconds(20));
  BOOST_TEST_MESSAGE("idle: " << bytes << " bytes/s a node, sent and received");
  BOOST_TEST(bytes < 500);
  fleet.kill(100);
  const auto suspected = fleet.time.runUntil(
      [&] { return fleet.countSeeing(100, MemberState::kSuspect) > 0; }, seconds(60));
  const auto dead = fleet.time.runUntil([&] { return fleet.allSee(count - 1); }, seconds(60));
  BOOST_TEST_MESSAGE("killed node suspected after " << base::toSeconds(suspected)
                                                    << " s, dead everywhere after "
                                                    << base::toSeconds(suspected + dead) << " s");
  BOOST_TEST(base::toSeconds(suspected + dead) < 15);
}

BOOST_AUTO_TEST_CASE(LargeFleetWithLossAndPausesHoldsNobodyDead) {
  const std::size_t count = largeFleet();
  Fleet fleet(count, 21);
  fleet.network.loss = 0.01;
  fleet.time.runUntil([&] { return fleet.allSee(count); }, seconds(60));
  std::size_t suspicions = 0;
  std::size_t falselyDead = 0;
  for (std::size_t round = 0; round < 20; ++round) {
    for (std::size_t paused = round; paused < count; paused += count / 5)
      fleet.process(paused).pause();
    fleet.time.runFor(milliseconds(1500));
    for (std::size_t index = 0; index < count; ++index)
      suspicions += fleet.countSeeing(index, MemberState::kSuspect) > 0 ? 1 : 0;
    for (std::size_t paused = round; paused < count; paused += count / 5)
      fleet.process(paused).resume();
    fleet.time.runFor(milliseconds(1500));
    for (std::size_t index = 0; index < count; ++index)
      falselyDead += fleet.countSeeing(index, MemberState::kDead);
  }
  BOOST_TEST_MESSAGE(count << " nodes, 1% loss, 5 pauses of 1.5 s in every 3 s, 60 s: "
                           << suspicions << " members suspected by somebody, " << falselyDead
                           << " held dead by somebody");
  BOOST_TEST(falselyDead == 0U);
}

BOOST_AUTO_TEST_CASE(ZoneOfALargeFleetHealsWithoutAStorm) {
  const std::size_t count = largeFleet();
  Fleet fleet(count, 2);
  fleet.time.runUntil([&] { return fleet.allSee(count); }, seconds(60));
  std::set<base::Endpoint> zone;
  for (std::size_t index = 5; index < count; index += kZones) zone.insert(Fleet::endpointOf(index));
  fleet.network.separate(zone);
  const auto split = fleet.time.runUntil(
      [&] {
        return fleet[5].liveMembers().size() == zone.size() &&
               fleet[0].liveMembers().size() == count - zone.size();
      },
      seconds(120));
  BOOST_TEST(base::toSeconds(split) < 60);
  fleet.time.runFor(seconds(20));
  fleet.network.heal();
  double most = 0;
  base::Duration healed{};
  while (!fleet.allSee(count) && healed < seconds(90)) {
    most = std::max(most, fleet.bytesPerNodeSecond(seconds(1)));
    healed += seconds(1);
  }
  BOOST_TEST_MESSAGE("zone of " << zone.size() << " in " << count
                                << " cut off: each side holds the other dead after "
                                << base::toSeconds(split) << " s, healed after "
                                << base::toSeconds(healed) << " s, at most " << most
                                << " bytes/s a node in the mean over a second");
  BOOST_TEST(base::toSeconds(healed) < 60);
  BOOST_TEST(most < 14'000);
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreIgnored) {
  Fleet fleet(3);
  fleet.time.runUntil([&] { return fleet.allSee(3); }, seconds(30));
  const base::PeerIdentity sender{Fleet::idOf(1), 1, Fleet::endpointOf(1)};
  base::SeededRandom random(11);
  const std::string sound =
      encode(MembershipMessage{SyncItems{{"\x01\x02", "\xff"}, {Fleet::idOf(2)}, {7}}});
  for (int round = 0; round < 2000; ++round) {
    std::string payload = sound;
    payload.at(random.below(payload.size())) = static_cast<char>(random.next());
    fleet[0].onPeerMessage(sender, payload.substr(0, random.below(payload.size() + 1)));
  }
  fleet.time.runFor(seconds(5));
  BOOST_TEST(fleet.allSee(3));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::membership
