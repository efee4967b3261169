// The home of a prompt's deepest shared part: what it records and replies, and how lookups behave
// on message loss, node death and restarts.
#include "routing/part_lookup.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>

#include "base/random.h"
#include "routing/delayed_network.h"
#include "routing/fakes.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::DelayedLink;
using testing::DelayedNetwork;
using testing::FakeMembers;
using testing::makeMember;

namespace {

constexpr std::size_t kNodes = 5;

struct LookupNode {
  LookupNode(test_support::VirtualTime& time, test_support::RecordingLog& log,
             DelayedNetwork& network, const std::vector<membership::Member>& ownFirst)
      : members(ownFirst),
        random(ownFirst.front().id.value),
        link(network, {members.self().id, 1, members.self().endpoint}),
        lookup({}, {time, time, random, log, link, members}) {
    network.attach(members.self().endpoint.address,
                   [this](const base::PeerIdentity& sender, std::string_view payload) {
                     lookup.onPeerMessage(sender, payload);
                   });
  }

  FakeMembers members;
  base::SeededRandom random;
  DelayedLink link;
  PartLookup lookup;
};

struct LookupFixture {
  LookupFixture() {
    time.advance(seconds(100));
    for (std::size_t number = 0; number < kNodes; ++number)
      all.push_back(makeMember("node-" + std::to_string(number), "z"));
    for (std::size_t number = 0; number < kNodes; ++number) start(number);
  }

  /// Starts the node, or restarts it with empty state.
  void start(std::size_t number) {
    auto ownFirst = all;
    std::swap(ownFirst.front(), ownFirst[number]);
    nodes[number] = std::make_unique<LookupNode>(time, log, network, ownFirst);
  }
  void stop(std::size_t number) {
    network.detach(all[number].endpoint.address);
    nodes.erase(number);
  }

  /// Returns the result that the node receives and stores the time that it took.
  std::vector<PartHolder> lookup(std::size_t number, std::uint64_t part, CacheScope scope = 77) {
    std::optional<std::vector<PartHolder>> result;
    const auto startedAt = time.now();
    nodes.at(number)->lookup.lookup(part, scope, [&](const auto& holders) {
      BOOST_TEST(!result.has_value());
      result = holders.value_or(std::vector<PartHolder>{});
      elapsed = time.now() - startedAt;
    });
    time.advance(milliseconds(40));
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  /// Reports the holder, and returns the number of the node that is the home of the part.
  std::size_t homeOf(std::uint64_t part) {
    nodes.begin()->second->lookup.announce(part, holder);
    time.advance(milliseconds(5));
    const auto home = std::ranges::find_if(
        nodes, [](const auto& entry) { return entry.second->lookup.size() > 0; });
    return home == nodes.end() ? kNodes : home->first;
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  DelayedNetwork network{time, 3};
  std::vector<membership::Member> all;
  std::map<std::size_t, std::unique_ptr<LookupNode>> nodes;
  PartHolder holder{base::engineIdOf("r1"), 77};
  base::Duration elapsed{};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PartLookupTest, LookupFixture)

BOOST_AUTO_TEST_CASE(HolderAnnouncedByOneNodeIsFoundByAllNodes) {
  nodes[2]->lookup.announce(9, holder);
  time.advance(milliseconds(5));
  for (std::size_t number = 0; number < kNodes; ++number)
    BOOST_TEST((lookup(number, 9) == std::vector{holder}));
  BOOST_TEST(lookup(1, 10).empty());
}

BOOST_AUTO_TEST_CASE(HolderThatDroppedThePartIsRemoved) {
  const PartHolder other{base::engineIdOf("r2"), 77};
  nodes[2]->lookup.announce(9, holder);
  nodes[3]->lookup.announce(9, other);
  time.advance(milliseconds(5));
  nodes[4]->lookup.announce(9, holder, false);
  time.advance(milliseconds(5));
  for (std::size_t number = 0; number < kNodes; ++number)
    BOOST_TEST((lookup(number, 9) == std::vector{other}));
}

BOOST_AUTO_TEST_CASE(HoldersAreOrderedByRecencyAndBounded) {
  PartIndex index;
  for (std::uint64_t number = 0; number < 20; ++number)
    index.add(9, {base::EngineId{number}, 1}, time.now());
  index.add(9, {base::EngineId{17}, 1}, time.now());
  const auto holders = index.holdersOf(9, 1, time.now());
  BOOST_TEST(holders.size() == 6U);
  BOOST_TEST((holders.front() == PartHolder{base::EngineId{17}, 1}));
  BOOST_TEST(index.holdersOf(9, 1, time.now() + seconds(61)).empty());
}

BOOST_AUTO_TEST_CASE(HoldersUnderOneScopeDoNotDisplaceThoseUnderAnother) {
  // A part that all tenants share is held under a separate scope for each isolated tenant.
  constexpr std::uint64_t kScopes = 12;
  constexpr std::uint64_t kReplicas = 9;
  for (std::uint64_t replica = 0; replica < kReplicas; ++replica) {
    for (std::uint64_t scope = 0; scope < kScopes; ++scope)
      nodes[replica % kNodes]->lookup.announce(9, {base::EngineId{replica}, scope});
  }
  time.advance(milliseconds(5));
  for (std::uint64_t scope = 0; scope < kScopes; ++scope) {
    const auto holders = lookup(scope % kNodes, 9, scope);
    BOOST_TEST(holders.size() == PartIndexOptions{}.maximumHolders);
    for (const auto& found : holders) BOOST_TEST(found.scope == scope);
  }
}

BOOST_AUTO_TEST_CASE(HoldersUnderAllScopesAreBounded) {
  PartIndex index;
  const auto maximum = PartIndexOptions{}.maximumHoldersOfAllScopes;
  for (std::uint64_t scope = 0; scope < 2 * maximum; ++scope)
    index.add(9, {base::EngineId{1}, scope}, time.now());
  BOOST_TEST(index.holdersOf(9, maximum - 1, time.now()).empty());
  BOOST_TEST(index.holdersOf(9, maximum, time.now()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FullIndexDropsExpiredParts) {
  PartIndexOptions options;
  options.maximumParts = 10;
  PartIndex index(options);
  for (std::uint64_t part = 0; part < 30; ++part) index.add(part, holder, time.now());
  BOOST_TEST(index.size() == 10U);
  index.add(99, holder, time.now() + seconds(90));
  BOOST_TEST(index.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DeadHomeCausesOneTimeoutPerSecond) {
  const auto home = homeOf(9);
  BOOST_REQUIRE(home < kNodes);
  const std::size_t queryingNode = home == 0 ? 1 : 0;
  stop(home);
  BOOST_TEST(lookup(queryingNode, 9).empty());
  BOOST_TEST((elapsed == milliseconds(15)));
  BOOST_TEST(lookup(queryingNode, 9).empty());
  BOOST_TEST((elapsed == milliseconds(0)));
  // Once its death is known another node becomes the home and is filled by the next reports.
  auto left = all;
  left.erase(left.begin() + static_cast<std::ptrdiff_t>(home));
  for (auto& [number, node] : nodes) {
    auto ownFirst = left;
    std::ranges::iter_swap(ownFirst.begin(),
                           std::ranges::find(ownFirst, all[number].id, &membership::Member::id));
    node->members.set(ownFirst);
  }
  nodes[queryingNode]->lookup.announce(9, holder);
  time.advance(milliseconds(5));
  for (const auto& [number, node] : nodes) BOOST_TEST((lookup(number, 9) == std::vector{holder}));
}

BOOST_AUTO_TEST_CASE(RestartedHomeIsRefilledByAnnouncements) {
  const auto home = homeOf(9);
  BOOST_REQUIRE(home < kNodes);
  stop(home);
  start(home);
  BOOST_TEST(lookup((home + 1) % kNodes, 9).empty());
  nodes[(home + 2) % kNodes]->lookup.announce(9, holder);
  time.advance(milliseconds(5));
  BOOST_TEST((lookup((home + 1) % kNodes, 9) == std::vector{holder}));
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreDropped) {
  nodes[0]->lookup.onPeerMessage({base::nodeIdOf("x"), 1, {}}, "nonsense");
  BOOST_TEST(log.count(base::Event::kMessageRejected) == 1U);
}

// Random reports and lookups under message loss: no result names a holder that was never reported
// for the part, and every lookup ends exactly once, in time.
BOOST_AUTO_TEST_CASE(RepliesUnderLossAreCorrectAndInTime) {
  network.loss = 0.3;
  base::SeededRandom random{5};
  std::map<std::uint64_t, std::set<std::uint64_t>> reported;
  for (int step = 0; step < 400; ++step) {
    const std::uint64_t part = random.below(20);
    const auto number = random.below(kNodes);
    if (random.below(2) == 0) {
      const PartHolder one{base::EngineId{1 + random.below(6)}, 7};
      reported[part].insert(one.replica.value);
      nodes[number]->lookup.announce(part, one);
      continue;
    }
    for (const auto& found : lookup(number, part, 7))
      BOOST_TEST(reported[part].contains(found.replica.value));
    BOOST_TEST((elapsed <= milliseconds(15)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
