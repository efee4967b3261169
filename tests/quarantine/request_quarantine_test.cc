// Several nodes identify and refuse a request that crashes replicas, under loss, partitions and
// restarts.
#include "quarantine/request_quarantine.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <vector>

#include "support/memory_table_service.h"
#include "support/recording_log.h"
#include "support/shared_records.h"
#include "support/virtual_time.h"

namespace covewing::quarantine {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr base::RequestFeature kCrashing{1};
constexpr base::RequestFeature kPopular{2};
constexpr base::RequestFeature kCrashingPart{3, base::FeatureKind::kPromptPart};
constexpr base::RequestFeature kPopularPart{4, base::FeatureKind::kPromptPart};

base::RequestFeature sessionPart(std::uint64_t value) {
  return {value, base::FeatureKind::kPromptPart};
}

/// The members of a fleet; all nodes have the same view.
struct MemberList {
  explicit MemberList(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      membership::Member member;
      member.name = "node-" + std::to_string(index);
      member.id = base::nodeIdOf(member.name);
      member.endpoint = {1, static_cast<std::uint16_t>(index)};
      all.push_back(member);
    }
    live = all;
  }
  void remove(std::size_t node) {
    std::erase_if(live, [&](const auto& member) { return member.id == all[node].id; });
    ++version;
  }

  std::vector<membership::Member> all;
  std::vector<membership::Member> live;
  std::uint64_t version = 1;
};

/// The list as seen by one of the members.
class ListedMembers final : public membership::MemberDirectory {
 public:
  ListedMembers(const MemberList& list, std::size_t self) : list_(list), self_(self) {}
  const membership::Member& self() const override { return list_.all[self_]; }
  const std::vector<membership::Member>& liveMembers() const override { return list_.live; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return list_.version; }

 private:
  const MemberList& list_;
  std::size_t self_;
};

class QuarantineFleet {
 public:
  explicit QuarantineFleet(std::size_t count) : members(count) {
    for (std::size_t index = 0; index < count; ++index) nodes_.push_back(makeNode(index));
    connectAll();
    for (auto& node : nodes_) node->quarantine.start();
    time.advance(milliseconds(10));
  }

  RequestQuarantine& at(std::size_t node) { return nodes_[node]->quarantine; }
  /// Restarts a node with an empty state.
  void restart(std::size_t index) {
    for (auto& node : nodes_) node->records.disconnect(nodes_[index]->records);
    nodes_[index] = makeNode(index);
    for (auto& node : nodes_) {
      if (node != nodes_[index]) node->records.connect(nodes_[index]->records);
    }
    at(index).start();
    time.advance(milliseconds(10));
  }
  /// Restarts all nodes at once; the gossip records are lost.
  void restartAll() {
    for (std::size_t left = 0; left < nodes_.size(); ++left) {
      for (std::size_t right = 0; right < nodes_.size(); ++right)
        nodes_[left]->records.disconnect(nodes_[right]->records);
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) nodes_[index] = makeNode(index);
    connectAll();
    for (auto& node : nodes_) node->quarantine.start();
    time.advance(milliseconds(10));
  }
  /// A new replica crashes while it runs these requests of one node.
  void crash(std::size_t node, const base::RequestFeatures& runs) {
    at(node).onReplicaCrash({++replicas}, {{runs, false}});
  }
  /// The same under one request whose response had just begun, unless that is denied.
  void crashBegun(std::size_t node, const base::RequestFeatures& features, bool begun = true) {
    at(node).onReplicaCrash({++replicas}, {{features, begun}});
  }
  std::size_t refusingNodes(base::RequestFeature request) {
    return static_cast<std::size_t>(std::ranges::count_if(
        nodes_, [&](const auto& node) { return node->quarantine.find(request).has_value(); }));
  }
  std::size_t rows() { return table.ownRows(std::string{kQuarantineKeyPrefix}).size(); }
  std::size_t suspectRows() { return table.ownRows(std::string{kSuspectKeyPrefix}).size(); }

  MemberList members;
  test_support::VirtualTime time;
  base::SeededRandom random{1};
  test_support::RecordingLog log;
  test_support::MemoryTableService table{time, time, "own"};
  /// Fraction of the messages that are lost.
  double loss = 0;
  /// Partitioned nodes: they neither receive messages nor reach other nodes.
  std::set<std::size_t> partitioned;
  std::uint64_t replicas = 0;
  std::size_t messages = 0;

 private:
  /// Delivers messages to other nodes after half a millisecond.
  class Peers final : public base::PeerTransport {
   public:
    Peers(QuarantineFleet& fleet, std::size_t self) : fleet_(fleet), self_(self) {}
    void send(const base::Endpoint& destination, base::Channel /*channel*/,
              std::string payload) override {
      ++fleet_.messages;
      const std::size_t target = destination.port;
      if (fleet_.partitioned.contains(self_) || fleet_.partitioned.contains(target)) return;
      if (fleet_.random.unit() < fleet_.loss) return;
      fleet_.time.schedule(std::chrono::microseconds(500),
                           [this, target, payload = std::move(payload)] {
                             fleet_.at(target).onPeerMessage({}, payload);
                           });
    }

   private:
    QuarantineFleet& fleet_;
    std::size_t self_;
  };

  struct Node {
    Node(QuarantineFleet& fleet, std::size_t self)
        : members(fleet.members, self),
          peers(fleet, self),
          quarantine({}, {fleet.time, fleet.time, fleet.random, fleet.log, peers, members, records,
                          fleet.table, [&fleet] { return fleet.table.serviceTime(); }}) {}
    ListedMembers members;
    test_support::SharedRecords records;
    Peers peers;
    RequestQuarantine quarantine;
  };

  void connectAll() {
    for (std::size_t left = 0; left < nodes_.size(); ++left) {
      for (std::size_t right = left + 1; right < nodes_.size(); ++right)
        nodes_[left]->records.connect(nodes_[right]->records);
    }
  }

  std::unique_ptr<Node> makeNode(std::size_t index) { return std::make_unique<Node>(*this, index); }

  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(RequestQuarantineTest)

BOOST_AUTO_TEST_CASE(CrashesReportedByDifferentNodesAddUp) {
  QuarantineFleet fleet(5);
  for (std::size_t node = 0; node < 3; ++node) {
    BOOST_TEST(fleet.refusingNodes(kCrashing) == 0U);
    fleet.crash(node, {kCrashing, {100 + node}});
    fleet.time.advance(milliseconds(400));
  }
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 5U);
  BOOST_TEST(fleet.refusingNodes({100}) == 0U);
  const auto status = fleet.at(4).find(kCrashing);
  BOOST_TEST(status->crashes == 3U);
  BOOST_TEST((status->remaining > minutes(59)));
  BOOST_TEST(fleet.log.count(base::Event::kRequestQuarantined) == 5U);
}

BOOST_AUTO_TEST_CASE(EvidenceArrivesThoughAThirdOfTheMessagesIsLost) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    QuarantineFleet fleet(7);
    fleet.random = base::SeededRandom(seed);
    fleet.loss = 0.33;
    for (std::size_t count = 0; count < 3; ++count) {
      fleet.crash(count * 2, {kCrashing});
      fleet.time.advance(milliseconds(500));
    }
    fleet.time.advance(seconds(1));
    BOOST_TEST(fleet.refusingNodes(kCrashing) == 7U);
  }
}

// Both home nodes of a request are killed between its crashes, and their evidence is lost. If only
// the first reports counted, the culprit would need three more crashes.
BOOST_AUTO_TEST_CASE(EvidenceSurvivesTheNodesThatHeldIt) {
  constexpr std::size_t kNodes = 6;
  for (std::size_t first = 0; first < kNodes; ++first) {
    for (std::size_t second = 0; second < first; ++second) {
      QuarantineFleet fleet(kNodes);
      std::size_t reporter = 0;
      while (reporter == first || reporter == second) ++reporter;
      for (int count = 0; count < 2; ++count) fleet.crash(reporter, {kCrashing, {10}});
      fleet.time.advance(seconds(1));
      // The two die before any node receives the third report, and are declared dead later.
      fleet.partitioned = {first, second};
      fleet.crash(reporter, {kCrashing});
      fleet.time.advance(seconds(2));
      fleet.members.remove(first);
      fleet.members.remove(second);
      fleet.time.advance(seconds(2));
      for (std::size_t node = 0; node < kNodes; ++node) {
        if (!fleet.partitioned.contains(node))
          BOOST_TEST(fleet.at(node).find(kCrashing).has_value());
      }
    }
  }
}

// All nodes are restarted in turn between the second and the third crash of a request: in the end
// no node is left that received the first two reports from the nodes that observed the crashes.
BOOST_AUTO_TEST_CASE(EvidenceSurvivesARollingRestartOfAllNodes) {
  QuarantineFleet fleet(4);
  for (int count = 0; count < 2; ++count) fleet.crash(0, {kCrashing});
  fleet.time.advance(seconds(1));
  for (std::size_t node = 0; node < 4; ++node) {
    fleet.restart(node);
    fleet.time.advance(seconds(1));
  }
  fleet.crash(1, {kCrashing});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 4U);
}

// All nodes are killed 0.2 s after the third crash of a request, before its verdict. Without stored
// evidence none of them had a record of the three crashes, so that the request crashed four more
// replicas and was refused 5.3 s after the third crash.
BOOST_AUTO_TEST_CASE(EvidenceSurvivesASimultaneousRestartOfAllNodes) {
  QuarantineFleet fleet(6);
  for (std::size_t node = 0; node < 3; ++node) fleet.crash(node, {kCrashing, {100 + node}});
  fleet.time.advance(milliseconds(200));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 0U);
  fleet.restartAll();
  fleet.time.advance(milliseconds(500));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 6U);
  BOOST_TEST(fleet.refusingNodes({100}) == 0U);
}

BOOST_AUTO_TEST_CASE(OneMoreCrashSufficesAfterARestartFollowingTheSecond) {
  QuarantineFleet fleet(6);
  for (std::size_t node = 0; node < 2; ++node) fleet.crash(node, {kCrashing});
  fleet.time.advance(milliseconds(100));
  fleet.restartAll();
  fleet.crash(3, {kCrashing});
  fleet.time.advance(milliseconds(500));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 6U);
}

BOOST_AUTO_TEST_CASE(RowsOfSuspectsAreRemovedOnceServedQuarantinedOrExpired) {
  QuarantineFleet fleet(4);
  for (const auto request : {kCrashing, kPopular, base::RequestFeature{3}}) {
    for (int count = 0; count < 2; ++count) fleet.crash(0, {request});
  }
  fleet.time.advance(seconds(2));
  BOOST_TEST(fleet.suspectRows() == 3U);
  fleet.at(2).onServed({kPopular});
  fleet.time.advance(seconds(2));
  BOOST_TEST(fleet.suspectRows() == 2U);
  fleet.crash(1, {kCrashing});
  fleet.time.advance(seconds(2));
  BOOST_TEST(fleet.suspectRows() == 1U);
  fleet.time.advance(minutes(11));
  BOOST_TEST(fleet.suspectRows() == 0U);
}

// A row whose home nodes were killed before they removed it no longer counts and is removed.
BOOST_AUTO_TEST_CASE(ExpiredRowsOfSuspectsAreRemovedByStartingNodes) {
  QuarantineFleet fleet(3);
  for (int count = 0; count < 2; ++count) fleet.crash(0, {kCrashing});
  fleet.time.advance(seconds(2));
  const auto left = fleet.table.ownRows(std::string{kSuspectKeyPrefix});
  BOOST_REQUIRE(left.size() == 1U);
  fleet.time.advance(minutes(11));
  fleet.table.put("own", left.front().key, left.front().value);
  fleet.restartAll();
  fleet.crash(1, {kCrashing});
  fleet.time.advance(seconds(2));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 0U);
  BOOST_TEST(fleet.suspectRows() == 0U);
}

// Each write costs a call to the table service; requests present at two crashes are announced once.
BOOST_AUTO_TEST_CASE(SuspectsAreStoredByOneOfTheirHomes) {
  QuarantineFleet fleet(40);
  const auto before = fleet.table.commits;
  for (int count = 0; count < 2; ++count) fleet.crash(fleet.random.below(40), {kCrashing, {10}});
  fleet.time.advance(seconds(5));
  BOOST_TEST(fleet.table.commits - before <= 2);
}

BOOST_AUTO_TEST_CASE(RestartedNodeDoesNotSuspectARequestServedSince) {
  QuarantineFleet fleet(4);
  for (int count = 0; count < 2; ++count) fleet.crash(0, {kPopular});
  fleet.time.advance(seconds(1));
  fleet.at(2).onServed({kPopular});
  fleet.time.advance(minutes(2));
  for (std::size_t node = 0; node < 4; ++node) fleet.restart(node);
  fleet.crash(1, {kPopular});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(kPopular) == 0U);
}

// A popular request is in flight at every replica; if three replicas lose power together, all of
// its executions end.
BOOST_AUTO_TEST_CASE(PopularRequestIsNotRefusedWhenSeveralReplicasCrashAtOnce) {
  QuarantineFleet fleet(4);
  fleet.at(3).onServed({kPopular});
  fleet.time.advance(seconds(20));
  for (std::size_t node = 0; node < 3; ++node) fleet.crash(node, {kPopular, {100 + node}});
  fleet.time.advance(seconds(5));
  BOOST_TEST(fleet.refusingNodes(kPopular) == 0U);
  BOOST_TEST(fleet.log.count(base::Event::kRequestQuarantined) == 0U);
}

BOOST_AUTO_TEST_CASE(RequestServedBetweenCrashesIsNotRefused) {
  QuarantineFleet fleet(3);
  for (int count = 0; count < 6; ++count) {
    fleet.crash(0, {kPopular});
    fleet.time.advance(seconds(1));
    if (count % 2 == 1) fleet.at(2).onServed({kPopular});
    fleet.time.advance(seconds(70));
  }
  BOOST_TEST(fleet.refusingNodes(kPopular) == 0U);
}

BOOST_AUTO_TEST_CASE(PartitionedNodeReceivesTheVerdictOfTheOthers) {
  QuarantineFleet fleet(3);
  fleet.partitioned = {2};
  for (int count = 0; count < 3; ++count) fleet.crash(0, {kCrashing});
  fleet.time.advance(seconds(1));
  // Gossip delivers what the node has missed.
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 3U);
}

BOOST_AUTO_TEST_CASE(VerdictSurvivesARestartOfAllNodes) {
  QuarantineFleet fleet(3);
  for (int count = 0; count < 3; ++count) fleet.crash(0, {kCrashing});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.rows() == 1U);
  QuarantineFleet restarted(3);
  restarted.table.put("own", keyOf(kCrashing),
                      fleet.table.ownRows(std::string{kQuarantineKeyPrefix}).front().value);
  // The service's clock has advanced; a node that starts later reads the row.
  restarted.time.advance(seconds(60));
  for (std::size_t node = 0; node < 3; ++node) restarted.at(node).start();
  restarted.time.advance(seconds(1));
  BOOST_TEST(restarted.refusingNodes(kCrashing) == 3U);
  BOOST_TEST((restarted.at(0).find(kCrashing)->remaining <= hours(1) - seconds(59)));
}

BOOST_AUTO_TEST_CASE(VerdictIsStoredOnceTheTableServiceIsAvailableAgain) {
  QuarantineFleet fleet(3);
  fleet.table.down = true;
  for (int count = 0; count < 3; ++count) fleet.crash(0, {kCrashing});
  fleet.time.advance(minutes(3));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 3U);
  BOOST_TEST(fleet.rows() == 0U);
  fleet.table.down = false;
  fleet.time.advance(minutes(1));
  BOOST_TEST(fleet.rows() == 1U);
}

BOOST_AUTO_TEST_CASE(VerdictIsLiftedEverywhereWhenTheRequestCompletes) {
  QuarantineFleet fleet(3);
  for (int count = 0; count < 3; ++count) fleet.crash(0, {kCrashing});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 3U);
  fleet.at(1).onServed({kCrashing});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 0U);
  BOOST_TEST(fleet.rows() == 0U);
  BOOST_TEST(fleet.log.count(base::Event::kQuarantineLifted) == 3U);
}

BOOST_AUTO_TEST_CASE(VerdictExpiresAndIsPassedAgainAfterThreeMoreCrashes) {
  QuarantineFleet fleet(3);
  for (int count = 0; count < 3; ++count) fleet.crash(0, {kCrashing});
  fleet.time.advance(hours(1) + seconds(1));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 0U);
  for (int count = 0; count < 2; ++count) fleet.crash(0, {kCrashing});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 0U);
  fleet.crash(0, {kCrashing});
  fleet.time.advance(minutes(1));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 3U);
  // The row is the one of the new verdict: a node that starts now does not treat it as expired.
  const auto row = fleet.table.ownRows(std::string{kQuarantineKeyPrefix}).front();
  BOOST_TEST(
      (fleet.table.serviceTime() - decodeQuarantineEntry(row.value)->decidedAt < minutes(2)));
}

// The table service is restored from a backup without the rows: if all nodes restarted before one
// of them compared its verdicts, the request would crash three more replicas.
BOOST_AUTO_TEST_CASE(RowsLostByTheTableServiceAreRewritten) {
  QuarantineFleet fleet(3);
  const auto copy = fleet.table.copy();
  for (int count = 0; count < 3; ++count) fleet.crash(0, {kCrashing});
  for (int count = 0; count < 2; ++count) fleet.crash(0, {kPopular});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.rows() == 1U);
  BOOST_TEST(fleet.suspectRows() == 1U);
  fleet.table.returnFrom(copy);
  for (std::size_t node = 0; node < 3; ++node) fleet.at(node).onStoreReturned();
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.rows() == 1U);
  BOOST_TEST(fleet.suspectRows() == 1U);
  fleet.restartAll();
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 3U);
}

// If all nodes were informed, each crash of a zone would cost 299 messages per request, three times
// over.
BOOST_AUTO_TEST_CASE(CrashesOfManyReplicasCostFewMessagesInALargeFleet) {
  QuarantineFleet fleet(300);
  fleet.time.advance(minutes(5));
  BOOST_TEST(fleet.messages == 0U);
  constexpr std::size_t kReplicas = 200;
  constexpr std::size_t kRuns = 20;
  std::uint64_t run = 1000;
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    ++fleet.replicas;
    for (std::size_t count = 0; count < kRuns; ++count)
      fleet.at(fleet.random.below(300)).onReplicaCrash({fleet.replicas}, {{{{++run}}, false}});
  }
  fleet.time.advance(seconds(5));
  BOOST_TEST_MESSAGE(fleet.messages << " messages");
  // Two home nodes, three times.
  BOOST_TEST(fleet.messages <= kReplicas * kRuns * 6);
  BOOST_TEST(fleet.log.count(base::Event::kRequestQuarantined) == 0U);
}

BOOST_AUTO_TEST_CASE(CulpritIsAnnouncedInALargeFleetAndStoredOnce) {
  QuarantineFleet fleet(300);
  for (int count = 0; count < 3; ++count) fleet.crash(fleet.random.below(300), {kCrashing});
  fleet.time.advance(milliseconds(310));
  BOOST_TEST(fleet.refusingNodes(kCrashing) == 300U);
  fleet.time.advance(seconds(2));
  BOOST_TEST(fleet.rows() == 1U);
  BOOST_TEST_MESSAGE(fleet.messages << " messages");
  // Two home nodes each inform all nodes of two more crashes and of the verdict, three times each.
  BOOST_TEST(fleet.messages <= std::size_t{2} * 3 * 3 * 299 + 18);
}

// A popular request is present at hundreds of simultaneous crashes, and was recently served by most
// nodes.
BOOST_AUTO_TEST_CASE(PopularRequestAtManyCrashesCostsBoundedMessages) {
  QuarantineFleet fleet(300);
  for (std::size_t node = 0; node < 300; ++node) fleet.at(node).onServed({kPopular});
  for (int count = 0; count < 200; ++count) fleet.crash(fleet.random.below(300), {kPopular});
  fleet.time.advance(seconds(5));
  BOOST_TEST(fleet.refusingNodes(kPopular) == 0U);
  BOOST_TEST_MESSAGE(fleet.messages << " messages");
  BOOST_TEST(fleet.messages < 60'000U);
}

// No two requests are alike, and they come at different nodes. Each has the crashing part, one that
// all nodes serve, and one of its own.
BOOST_AUTO_TEST_CASE(PartOfDifferentRequestsIsRefusedAfterThreeCrashes) {
  QuarantineFleet fleet(6);
  for (std::size_t node = 0; node < 6; ++node) fleet.at(node).onServed({kPopularPart});
  for (std::uint64_t count = 0; count < 3; ++count) {
    BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 0U);
    fleet.crashBegun(count, {{100 + count}, kPopularPart, kCrashingPart, sessionPart(200 + count)});
    fleet.time.advance(milliseconds(500));
  }
  BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 6U);
  BOOST_TEST(fleet.refusingNodes(kPopularPart) == 0U);
  for (std::uint64_t count = 0; count < 3; ++count) {
    BOOST_TEST(fleet.refusingNodes({100 + count}) == 0U);
    BOOST_TEST(fleet.refusingNodes(sessionPart(200 + count)) == 0U);
  }
  BOOST_TEST((fleet.at(5).find(kCrashingPart)->remaining <= minutes(10)));
  BOOST_TEST(fleet.at(5).size(base::FeatureKind::kPromptPart) == 1U);
  BOOST_TEST(fleet.at(5).size(base::FeatureKind::kRequest) == 0U);
  fleet.time.advance(seconds(2));
  const auto rows = fleet.table.ownRows(std::string{kQuarantineKeyPrefix});
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows.front().key == "quarantine/part-0000000000000003");
  fleet.time.advance(minutes(10));
  BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 0U);
}

BOOST_AUTO_TEST_CASE(PartIsFoundThoughAThirdOfTheMessagesIsLost) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    QuarantineFleet fleet(7);
    fleet.random = base::SeededRandom(seed);
    fleet.loss = 0.33;
    for (std::size_t count = 0; count < 3; ++count) {
      fleet.crashBegun(count * 2, {{100 + count}, kCrashingPart});
      fleet.time.advance(milliseconds(500));
    }
    fleet.time.advance(seconds(1));
    BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 7U);
  }
}

// The times of the crashes and which runs had begun have to survive as well: otherwise all crashes
// of a row would be taken as one wave.
BOOST_AUTO_TEST_CASE(EvidenceAgainstAPartSurvivesASimultaneousRestartOfAllNodes) {
  QuarantineFleet fleet(6);
  for (std::uint64_t count = 0; count < 2; ++count) {
    fleet.crashBegun(count, {{100 + count}, kCrashingPart});
    fleet.time.advance(milliseconds(400));
  }
  BOOST_TEST(fleet.suspectRows() == 1U);
  fleet.restartAll();
  fleet.time.advance(milliseconds(200));
  fleet.crashBegun(4, {{104}, kCrashingPart});
  fleet.time.advance(milliseconds(500));
  BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 6U);
}

// The part is served by one node only, which is neither of its home nodes in most fleets.
BOOST_AUTO_TEST_CASE(PartThatAnyNodeServesIsNotRefused) {
  for (std::size_t server = 0; server < 6; ++server) {
    QuarantineFleet fleet(6);
    for (std::uint64_t count = 0; count < 12; ++count) {
      if (count % 4 == 0) fleet.at(server).onServed({kPopularPart});
      fleet.crashBegun(count % 6, {{100 + count}, kPopularPart});
      fleet.time.advance(seconds(3));
    }
    BOOST_TEST(fleet.refusingNodes(kPopularPart) == 0U);
    BOOST_TEST(fleet.suspectRows() == 0U);
  }
}

// A part that all nodes serve is at hundreds of crashes: its home nodes know that it is sound, and
// tell nobody.
BOOST_AUTO_TEST_CASE(PopularPartsAtManyCrashesAreNotAnnounced) {
  QuarantineFleet fleet(300);
  for (std::size_t node = 0; node < 300; ++node) fleet.at(node).onServed({kPopularPart});
  for (std::uint64_t count = 0; count < 200; ++count)
    fleet.crashBegun(fleet.random.below(300), {kPopularPart});
  fleet.time.advance(seconds(5));
  BOOST_TEST(fleet.refusingNodes(kPopularPart) == 0U);
  BOOST_TEST_MESSAGE(fleet.messages << " messages");
  // Each report to two home nodes, three times.
  BOOST_TEST(fleet.messages <= std::size_t{200} * 2 * 3);
}

BOOST_AUTO_TEST_CASE(VerdictOnAPartIsLiftedEverywhereWhenARunWithItCompletes) {
  QuarantineFleet fleet(4);
  for (std::uint64_t count = 0; count < 3; ++count) {
    fleet.crashBegun(0, {{100 + count}, kCrashingPart});
    fleet.time.advance(milliseconds(500));
  }
  BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 4U);
  fleet.at(2).onServed({{500}, kCrashingPart});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 0U);
  BOOST_TEST(fleet.rows() == 0U);
}

// Guards against a part that goes on to crash replicas costing three of them each ten minutes, and
// against that being forgotten when all nodes restart.
BOOST_AUTO_TEST_CASE(PartIsRefusedAgainAfterTheFirstCrashOnceItsVerdictHasLapsed) {
  for (const bool restart : {false, true}) {
    QuarantineFleet fleet(4);
    for (std::uint64_t count = 0; count < 3; ++count) {
      fleet.crashBegun(0, {{100 + count}, kCrashingPart});
      fleet.time.advance(milliseconds(500));
    }
    fleet.time.advance(minutes(11));
    BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 0U);
    if (restart) fleet.restartAll();
    fleet.time.advance(seconds(1));
    fleet.crashBegun(1, {{200}, sessionPart(7), kCrashingPart}, false);
    fleet.time.advance(seconds(1));
    BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 0U);
    fleet.crashBegun(1, {{201}, sessionPart(7), kCrashingPart});
    fleet.time.advance(seconds(1));
    BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 4U);
    BOOST_TEST(fleet.refusingNodes(sessionPart(7)) == 0U);
    BOOST_TEST(fleet.at(3).find(kCrashingPart)->crashes == 2U);
  }
}

// A part that was served after its verdict had lapsed is one like any other, also to nodes that
// start later.
BOOST_AUTO_TEST_CASE(PartThatWasServedSinceItsVerdictIsNotRefusedAfterOneCrash) {
  QuarantineFleet fleet(4);
  for (std::uint64_t count = 0; count < 3; ++count) {
    fleet.crashBegun(0, {{100 + count}, kCrashingPart});
    fleet.time.advance(milliseconds(500));
  }
  fleet.time.advance(minutes(11));
  fleet.at(2).onServed({kCrashingPart});
  fleet.time.advance(minutes(2));
  BOOST_TEST(fleet.rows() == 0U);
  fleet.restartAll();
  fleet.time.advance(seconds(1));
  fleet.crashBegun(1, {{200}, kCrashingPart});
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 0U);
}

// Both home nodes are lost after the second crash and before they could announce it. Guards against
// the repeated reports being taken as two crashes of one wave.
BOOST_AUTO_TEST_CASE(RepeatedReportsKeepTheTimesOfTheCrashes) {
  constexpr std::size_t kNodes = 6;
  for (std::size_t first = 0; first < kNodes; ++first) {
    for (std::size_t second = 0; second < first; ++second) {
      QuarantineFleet fleet(kNodes);
      std::size_t reporter = 0;
      while (reporter == first || reporter == second) ++reporter;
      fleet.partitioned = {first, second};
      for (int count = 0; count < 2; ++count) {
        fleet.crashBegun(reporter, {kCrashingPart});
        fleet.time.advance(milliseconds(700));
      }
      fleet.members.remove(first);
      fleet.members.remove(second);
      fleet.time.advance(seconds(2));
      fleet.crashBegun(reporter, {kCrashingPart});
      fleet.time.advance(seconds(1));
      for (std::size_t node = 0; node < kNodes; ++node) {
        if (!fleet.partitioned.contains(node))
          BOOST_TEST(fleet.at(node).find(kCrashingPart).has_value());
      }
    }
  }
}

// Without a common verdict, one of two parts that always run together would be refused, and the
// other one would go on to crash replicas in other prompts.
BOOST_AUTO_TEST_CASE(PartsThatAlwaysRunTogetherAreRefusedTogether) {
  QuarantineFleet fleet(6);
  for (std::uint64_t count = 0; count < 5; ++count) {
    BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 0U);
    fleet.crashBegun(count, {{100 + count}, sessionPart(7), kCrashingPart});
    fleet.time.advance(milliseconds(500));
  }
  BOOST_TEST(fleet.refusingNodes(kCrashingPart) == 6U);
  BOOST_TEST(fleet.refusingNodes(sessionPart(7)) == 6U);
}

BOOST_AUTO_TEST_CASE(MalformedMessageIsLoggedAndIgnored) {
  QuarantineFleet fleet(1);
  fleet.at(0).onPeerMessage({}, "nonsense");
  BOOST_TEST(fleet.log.count(base::Event::kMessageRejected) == 1U);
}

// Guards against a crash under prompts of many parts that keeps the event loops of all nodes busy:
// each part was announced by messages of its own, each of which cost a search among all parts.
BOOST_AUTO_TEST_CASE(CrashUnderManyPartsTakesFewerMessagesThanParts) {
  constexpr std::uint64_t kParts = 4000;
  base::RequestFeatures features;
  for (std::uint64_t part = 1; part <= kParts; ++part) features.push_back(sessionPart(part));
  QuarantineFleet fleet(5);
  for (int crash = 0; crash < 4; ++crash) {
    const auto before = fleet.messages;
    fleet.crashBegun(0, features);
    fleet.time.advance(seconds(4));
    BOOST_TEST(fleet.messages - before < kParts);
  }
  // Nothing tells the parts apart.
  BOOST_TEST(fleet.refusingNodes(features.front()) == 0U);
  fleet.crashBegun(0, features);
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.refusingNodes(features.front()) == 5U);
}

// Guards against other verdicts where parts share messages than where each has its own, as builds
// before send them.
BOOST_AUTO_TEST_CASE(PartsThatShareMessagesGetTheVerdictsOfSeparateOnes) {
  constexpr std::uint64_t kParts = 12;
  std::size_t verdicts = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    base::SeededRandom draw(seed);
    QuarantineFleet separate(1);
    QuarantineFleet joined(1);
    for (std::uint64_t replica = 1; replica <= 12; ++replica) {
      // The parts of one prompt, of which a replica crashes, and their crashes so far.
      const auto first = 1 + 4 * draw.below(3);
      const base::RequestFeatures parts{sessionPart(first), sessionPart(first + 1),
                                        sessionPart(first + 1 + draw.below(3))};
      RequestSuspected suspected{parts.front(), {{replica}}};
      suspected.announcedAt = separate.table.serviceTime();
      suspected.ages = {milliseconds(draw.below(50))};
      if (draw.below(4) > 0) suspected.begun = suspected.replicas;
      suspected.furtherParts = {parts.begin() + 1, parts.end()};
      RequestServed served{parts.back(), {parts.front()}};
      const bool answered = draw.below(5) == 0;
      joined.at(0).onPeerMessage({}, answered ? encode(served) : encode(suspected));
      served.furtherParts.clear();
      suspected.furtherParts.clear();
      const auto named = answered ? base::RequestFeatures{parts.back(), parts.front()} : parts;
      for (const auto part : named) {
        served.feature = part;
        suspected.feature = part;
        separate.at(0).onPeerMessage({}, answered ? encode(served) : encode(suspected));
      }
      const auto wait = milliseconds(draw.below(3) == 0 ? 20 : 700);
      separate.time.advance(wait);
      joined.time.advance(wait);
      for (std::uint64_t part = 1; part <= kParts; ++part) {
        const auto refused = separate.refusingNodes(sessionPart(part));
        BOOST_TEST(joined.refusingNodes(sessionPart(part)) == refused);
        verdicts += refused;
      }
    }
  }
  BOOST_TEST(verdicts > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::quarantine
