#include "config/configuration_distributor.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "config/configuration_snapshot.h"
#include "config/template_fixtures.h"
#include "config/virtual_platform.h"

namespace covewing::config {

namespace {

using emulator::ServiceMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The default, or what the environment variable says, for measurements of other sizes.
std::size_t sizeFrom(const char* variable, std::size_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoul(text, nullptr, 10);
}

/// Members that all nodes agree on.
class FixedDirectory final : public membership::MemberDirectory {
 public:
  FixedDirectory(const std::vector<membership::Member>& members, std::size_t self)
      : members_(members), self_(self) {}
  const membership::Member& self() const override { return members_[self_]; }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId id) const override {
    const auto found = std::find_if(members_.begin(), members_.end(),
                                    [&](const auto& member) { return member.id == id; });
    return found == members_.end() ? nullptr : &*found;
  }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return 1; }

 private:
  const std::vector<membership::Member>& members_;
  std::size_t self_;
};

std::vector<membership::Member> makeMembers(std::size_t count) {
  std::vector<membership::Member> members;
  for (std::size_t index = 0; index < count; ++index) {
    membership::Member member;
    member.name = "node-" + std::to_string(index);
    member.id = base::nodeIdOf(member.name);
    member.endpoint = {static_cast<std::uint32_t>(1000 + index), 7000};
    member.region = index % 7 < 4 ? "north" : "south";
    member.zone = "zone-" + std::to_string(index % 7);
    members.push_back(member);
  }
  std::sort(members.begin(), members.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
  return members;
}

class Fleet {
 public:
  explicit Fleet(std::size_t count, std::uint64_t seed = 1)
      : network(time, seed), platform(network, seed), members(makeMembers(count)), nodes_(count) {
    commit("common", baseDocument());
  }

  void start(std::size_t index) {
    Node& node = nodes_[index];
    node = Node{};
    const membership::Member& member = members[index];
    node.process = &network.add(member.name, member.endpoint);
    test::VirtualProcess& process = *node.process;
    node.table = std::make_unique<test::VirtualTableClient>(platform, process);
    node.objects = std::make_unique<test::VirtualObjectStoreClient>(platform, process);
    node.directory = std::make_unique<FixedDirectory>(members, index);
    node.store = std::make_unique<ConfigurationStore>(ConfigurationStoreOptions{}, process, log_);
    ConfigurationDistributorOptions options;
    options.seeds = {members[0].endpoint};
    node.distributor = std::make_unique<ConfigurationDistributor>(
        options, process, process, process.random, log_, process, *node.directory, *node.table,
        *node.objects, *node.store);
    process.handlers[base::Channel::kConfiguration] = node.distributor.get();
    node.distributor->start();
  }
  void startAll() {
    for (std::size_t index = 0; index < nodes_.size(); ++index) start(index);
  }

  base::Revision commit(const std::string& name, const std::string& document,
                        bool retired = false) {
    const clients::TableRow row = rowOf(name, document, 0, retired);
    return platform.table.commitNow({{}, {{row.key, row.value}}}).revision;
  }
  void commitTenants(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      const std::string name = "stall-" + std::to_string(index);
      commit(name, tenantDocument(name));
    }
  }
  /// Commits and hands the row to a node, as its editor does.
  base::Revision accept(std::size_t node, const std::string& name, const std::string& document) {
    clients::TableRow row = rowOf(name, document, 0);
    row.revision = platform.table.commitNow({{}, {{row.key, row.value}}}).revision;
    nodes_[node].distributor->onAccepted(row);
    return row.revision;
  }

  template <class Condition>
  bool all(const Condition& condition) const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
      return node.store == nullptr || condition(*node.store);
    });
  }
  bool allLoaded() const {
    return all([](const ConfigurationStore& store) { return store.loaded(); });
  }
  bool allConfirmed() const {
    return all([](const ConfigurationStore& store) { return store.freshness().confirmed; });
  }
  bool allHave(const std::string& name, base::Revision revision) const {
    return all([&](const ConfigurationStore& store) {
      const auto row = store.findRow(name);
      return row && row->revision >= revision;
    });
  }
  /// The part of the nodes' time within `duration` in which they were unconfirmed.
  double shareUnconfirmed(base::Duration duration) {
    std::size_t samples = 0;
    std::size_t unconfirmed = 0;
    for (base::Duration passed{}; passed < duration; passed += milliseconds(100)) {
      time.runFor(milliseconds(100));
      for (const Node& node : nodes_) {
        ++samples;
        unconfirmed += node.store->freshness().confirmed ? 0 : 1;
      }
    }
    return static_cast<double>(unconfirmed) / static_cast<double>(samples);
  }
  void settle() {
    startAll();
    BOOST_TEST(base::toSeconds(
                   time.runUntil([&] { return allConfirmed() && allLoaded(); }, seconds(60))) < 30);
  }

  ConfigurationStore& store(std::size_t index) { return *nodes_[index].store; }
  ConfigurationDistributor& distributor(std::size_t index) { return *nodes_[index].distributor; }
  test::VirtualProcess& process(std::size_t index) { return *nodes_[index].process; }
  test::VirtualTableClient& table(std::size_t index) { return *nodes_[index].table; }
  std::size_t size() const { return nodes_.size(); }

  test::VirtualTime time;
  test::VirtualNetwork network;
  test::VirtualPlatform platform;
  std::vector<membership::Member> members;

 private:
  struct Node {
    test::VirtualProcess* process = nullptr;
    std::unique_ptr<test::VirtualTableClient> table;
    std::unique_ptr<test::VirtualObjectStoreClient> objects;
    std::unique_ptr<FixedDirectory> directory;
    std::unique_ptr<ConfigurationStore> store;
    std::unique_ptr<ConfigurationDistributor> distributor;
  };
  base::NullEventLog log_;
  std::vector<Node> nodes_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationDistributorTest)

BOOST_AUTO_TEST_CASE(LoneNodeLoadsFromTheTable) {
  Fleet fleet(1);
  fleet.commitTenants(3);
  fleet.start(0);
  fleet.time.runFor(seconds(5));
  BOOST_TEST(fleet.store(0).loaded());
  BOOST_TEST(fleet.store(0).freshness().confirmed);
  BOOST_TEST((fleet.store(0).findByKey("key-stall-2") != nullptr));
}

BOOST_AUTO_TEST_CASE(AcceptedRowIsInForceEverywhereAtOnce) {
  Fleet fleet(100);
  fleet.network.loss = 0.02;
  fleet.settle();
  const base::Revision revision = fleet.accept(11, "new", wholeDocument("new"));
  const auto spread =
      fleet.time.runUntil([&] { return fleet.allHave("new", revision); }, seconds(30));
  BOOST_TEST_MESSAGE("accepted row in force on 100 nodes after " << base::toSeconds(spread)
                                                                 << " s with 2% loss");
  BOOST_TEST(base::toSeconds(spread) < 7);
}

BOOST_AUTO_TEST_CASE(RowOfANodeThatDiedAfterItsCommitReachesAll) {
  Fleet fleet(100);
  fleet.settle();
  double longest = 0;
  for (int round = 0; round < 10; ++round) {
    const base::Revision revision = fleet.commit("new", wholeDocument("new", round));
    const auto spread =
        fleet.time.runUntil([&] { return fleet.allHave("new", revision); }, seconds(30));
    longest = std::max(longest, base::toSeconds(spread));
  }
  BOOST_TEST_MESSAGE("row without any push in force on 100 nodes after at most " << longest
                                                                                 << " s");
  BOOST_TEST(longest < 7);
}

BOOST_AUTO_TEST_CASE(RevisionsOnlyRiseUnderRacesLossAndRestarts) {
  Fleet fleet(20, 5);
  fleet.network.loss = 0.1;
  fleet.settle();
  std::map<std::size_t, base::Revision> seen;
  bool fell = false;
  for (int round = 0; round < 60; ++round) {
    fleet.accept(static_cast<std::size_t>(round) % 20, "a", wholeDocument("a", round));
    fleet.time.runFor(milliseconds(150));
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      const auto row = fleet.store(index).findRow("a");
      if (!row) continue;
      fell = fell || row->revision < seen[index];
      seen[index] = row->revision;
    }
    if (round % 10 == 9) {
      const std::size_t restarted = static_cast<std::size_t>(round) % 7;
      fleet.start(restarted);
      seen.erase(restarted);
    }
  }
  BOOST_TEST(!fell);
  fleet.time.runFor(seconds(20));
  BOOST_TEST(fleet.all(
      [&](const ConfigurationStore& store) { return store.digest() == fleet.store(0).digest(); }));
}

BOOST_AUTO_TEST_CASE(FreshnessIsLostWithTheTableAndComesBack) {
  Fleet fleet(60);
  fleet.settle();
  fleet.platform.table.conditions().setMode(ServiceMode::kDown);
  fleet.time.runFor(seconds(10));
  BOOST_TEST(fleet.all([](const ConfigurationStore& store) {
    return store.loaded() && !store.freshness().confirmed;
  }));
  fleet.time.runFor(seconds(120));
  fleet.platform.table.conditions().setMode(ServiceMode::kNormal);
  const auto back = fleet.time.runUntil([&] { return fleet.allConfirmed(); }, seconds(60));
  BOOST_TEST_MESSAGE("table service back after 130 s: all confirmed after " << base::toSeconds(back)
                                                                            << " s");
  BOOST_TEST(base::toSeconds(back) < 8);
}

BOOST_AUTO_TEST_CASE(FreshnessStaysConfirmedInAHealthyFleet) {
  Fleet fleet(200, 3);
  fleet.network.loss = 0.01;
  fleet.settle();
  base::Duration oldest{};
  std::size_t unconfirmed = 0;
  for (int round = 0; round < 100; ++round) {
    fleet.time.runFor(milliseconds(200));
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      const Freshness freshness = fleet.store(index).freshness();
      oldest = std::max(oldest, freshness.age);
      unconfirmed += freshness.confirmed ? 0 : 1;
    }
  }
  BOOST_TEST_MESSAGE("oldest confirmation in 200 nodes, 1% loss: " << base::toSeconds(oldest)
                                                                   << " s");
  BOOST_TEST(unconfirmed == 0U);
}

BOOST_AUTO_TEST_CASE(RegionWithoutTheTableIsConfirmedThroughTheOther) {
  Fleet fleet(100);
  fleet.settle();
  for (std::size_t index = 0; index < fleet.size(); ++index)
    fleet.table(index).cutOff = fleet.members[index].region == "south";
  fleet.time.runFor(seconds(10));
  BOOST_TEST_MESSAGE("share of time unconfirmed, one region without the table: "
                     << fleet.shareUnconfirmed(seconds(20)));
  BOOST_TEST(fleet.shareUnconfirmed(seconds(20)) < 0.01);
}

BOOST_AUTO_TEST_CASE(SlowTableStillConfirms) {
  Fleet fleet(100);
  fleet.settle();
  fleet.platform.table.conditions().setMode(ServiceMode::kSlow);
  fleet.platform.table.conditions().setSlowLatency(milliseconds(1500));
  fleet.time.runFor(seconds(10));
  const double share = fleet.shareUnconfirmed(seconds(20));
  BOOST_TEST_MESSAGE("share of time unconfirmed, table 1.5 s slow: " << share);
  BOOST_TEST(share < 0.01);
}

BOOST_AUTO_TEST_CASE(HerdRestartWithTheTableDownIsServedByPeers) {
  Fleet fleet(60);
  fleet.commitTenants(300);
  fleet.settle();
  fleet.platform.table.conditions().setMode(ServiceMode::kDown);
  for (std::size_t index = 0; index < 50; ++index) fleet.start(index);
  const auto loaded = fleet.time.runUntil([&] { return fleet.allLoaded(); }, seconds(60));
  BOOST_TEST_MESSAGE("50 of 60 nodes restarted, table down, 300 templates: loaded after "
                     << base::toSeconds(loaded) << " s");
  BOOST_TEST(base::toSeconds(loaded) < 5);
  BOOST_TEST((fleet.store(7).findByKey("key-stall-299") != nullptr));
  fleet.time.runFor(seconds(6));
  BOOST_TEST(
      fleet.all([](const ConfigurationStore& store) { return !store.freshness().confirmed; }));
}

BOOST_AUTO_TEST_CASE(RestartOfAZoneLoadsAllPeersAlike) {
  const std::size_t count = sizeFrom("COVEWING_TEST_NODES", 70);
  const std::size_t templates = sizeFrom("COVEWING_TEST_TEMPLATES", 300);
  Fleet fleet(count);
  fleet.commitTenants(templates);
  fleet.settle();
  fleet.platform.table.conditions().setMode(ServiceMode::kDown);
  std::map<std::size_t, std::uint64_t> sentBefore;
  std::size_t restarted = 0;
  for (std::size_t index = 0; index < count; ++index) {
    if (fleet.members[index].zone == "zone-3") {
      fleet.start(index);
      ++restarted;
    } else {
      sentBefore[index] = fleet.process(index).bytesSent;
    }
  }
  const auto loaded = fleet.time.runUntil([&] { return fleet.allLoaded(); }, seconds(60));
  double total = 0;
  double most = 0;
  for (const auto& [index, before] : sentBefore) {
    const auto sent = static_cast<double>(fleet.process(index).bytesSent - before);
    total += sent;
    most = std::max(most, sent);
  }
  const double mean = total / static_cast<double>(sentBefore.size());
  BOOST_TEST_MESSAGE("zone of " << restarted << " in " << count << " restarted, table down, "
                                << templates << " templates: loaded after "
                                << base::toSeconds(loaded) << " s; a peer sent " << mean / 1000
                                << " kB in the mean, " << most / 1000 << " kB at most");
  BOOST_TEST(base::toSeconds(loaded) < 10);
  BOOST_TEST(most < 8 * mean + 200'000);
}

BOOST_AUTO_TEST_CASE(RestartOfAllStaysUnderTheTablesLimit) {
  Fleet fleet(100);
  fleet.commitTenants(600);
  fleet.platform.table.conditions().setMode(ServiceMode::kSlow);
  fleet.platform.table.conditions().setSlowLatency(milliseconds(800));
  const std::uint64_t before = fleet.platform.calls;
  fleet.startAll();
  const auto loaded = fleet.time.runUntil([&] { return fleet.allLoaded(); }, seconds(60));
  const std::uint64_t calls = fleet.platform.calls - before;
  BOOST_TEST_MESSAGE("100 nodes started at once, table slow, 600 templates: loaded after "
                     << base::toSeconds(loaded) << " s with " << calls << " calls to the table");
  BOOST_TEST(base::toSeconds(loaded) < 20);
  BOOST_TEST(static_cast<double>(calls) < 10 * base::toSeconds(loaded));
  BOOST_TEST(fleet.platform.table.conditions().rateLimited() == 0U);
}

BOOST_AUTO_TEST_CASE(RestartOfAllWithTheTableDownReadsTheSnapshot) {
  Fleet fleet(40);
  fleet.commitTenants(100);
  fleet.settle();
  fleet.time.runFor(seconds(5));
  const base::Revision changed = fleet.accept(3, "late", wholeDocument("late"));
  fleet.time.runFor(seconds(8));
  fleet.platform.table.conditions().setMode(ServiceMode::kDown);
  fleet.startAll();
  const auto loaded = fleet.time.runUntil([&] { return fleet.allLoaded(); }, seconds(60));
  BOOST_TEST_MESSAGE("40 nodes started at once, table down: loaded from the snapshot after "
                     << base::toSeconds(loaded) << " s");
  BOOST_TEST(base::toSeconds(loaded) < 4);
  BOOST_TEST((fleet.store(3).findByKey("key-stall-99") != nullptr));
  fleet.time.runFor(seconds(1));
  BOOST_TEST(fleet.allHave("late", changed));
  BOOST_TEST(
      fleet.all([](const ConfigurationStore& store) { return !store.freshness().confirmed; }));
}

BOOST_AUTO_TEST_CASE(TornSnapshotIsNotTaken) {
  Fleet fleet(4);
  fleet.commitTenants(10);
  fleet.settle();
  fleet.time.runFor(seconds(5));
  base::Reason reason;
  const std::string sound =
      encode(ConfigurationSnapshot{0, 9, {rowOf("x", wholeDocument("x"), 3)}});
  BOOST_TEST(decodeSnapshot(sound, reason).has_value());
  fleet.platform.objects.put(std::string(kSnapshotObject), sound.substr(0, sound.size() - 1),
                             [](const clients::ObjectReply&) {});
  fleet.platform.table.conditions().setMode(ServiceMode::kDown);
  fleet.time.runFor(seconds(1));
  fleet.startAll();
  fleet.time.runFor(seconds(20));
  BOOST_TEST(fleet.all([](const ConfigurationStore& store) { return !store.loaded(); }));
  fleet.platform.table.conditions().setMode(ServiceMode::kNormal);
  BOOST_TEST(base::toSeconds(fleet.time.runUntil([&] { return fleet.allLoaded(); }, seconds(60))) <
             15);
}

BOOST_AUTO_TEST_CASE(NodeThatWakesFromAPauseChecksBeforeItIsFreshAgain) {
  Fleet fleet(30);
  fleet.commit("gone", wholeDocument("gone"));
  fleet.settle();
  fleet.process(9).pause();
  fleet.time.runFor(seconds(3));
  const base::Revision retired = fleet.commit("gone", wholeDocument("gone"), true);
  fleet.time.runFor(seconds(30));
  const Freshness asleep = fleet.store(9).freshness();
  BOOST_TEST(!asleep.confirmed);
  BOOST_TEST(asleep.checking);
  fleet.process(9).resume();
  const auto confirmed =
      fleet.time.runUntil([&] { return fleet.store(9).freshness().confirmed; }, seconds(10));
  BOOST_TEST(base::toSeconds(confirmed) < 1);
  BOOST_TEST(fleet.store(9).findRow("gone")->revision == retired);
  BOOST_TEST(fleet.store(9).findByName("gone")->retired);
}

BOOST_AUTO_TEST_CASE(NodeThatIsCutOffKnowsThatItMayBeStale) {
  Fleet fleet(30);
  fleet.settle();
  fleet.network.separate({fleet.members[4].endpoint});
  fleet.table(4).cutOff = true;
  const base::Revision revision = fleet.accept(1, "new", wholeDocument("new"));
  fleet.time.runFor(seconds(10));
  BOOST_TEST(!fleet.store(4).freshness().confirmed);
  BOOST_TEST(!fleet.store(4).findRow("new").has_value());
  fleet.network.heal();
  fleet.table(4).cutOff = false;
  const auto healed = fleet.time.runUntil(
      [&] { return fleet.allHave("new", revision) && fleet.allConfirmed(); }, seconds(30));
  BOOST_TEST(base::toSeconds(healed) < 7);
}

BOOST_AUTO_TEST_CASE(ComparisonFindsARowThatEverythingElseMissed) {
  Fleet fleet(10);
  fleet.settle();
  const base::Revision revision = fleet.commit("new", wholeDocument("new"));
  fleet.store(2).advance(revision);
  fleet.time.runFor(seconds(5));
  BOOST_TEST(!fleet.store(2).findRow("new").has_value());
  const auto repaired =
      fleet.time.runUntil([&] { return fleet.allHave("new", revision); }, seconds(120));
  BOOST_TEST(base::toSeconds(repaired) < 60);
}

BOOST_AUTO_TEST_CASE(LargeFleetPollsTheTableFewTimesAndCostsLittle) {
  Fleet fleet(340);
  fleet.commitTenants(50);
  fleet.settle();
  fleet.time.runFor(seconds(5));
  const std::uint64_t callsBefore = fleet.platform.calls;
  std::vector<std::uint64_t> before;
  for (std::size_t index = 0; index < fleet.size(); ++index)
    before.push_back(fleet.process(index).bytesSent + fleet.process(index).bytesReceived);
  fleet.time.runFor(seconds(20));
  double total = 0;
  double most = 0;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    const auto bytes = static_cast<double>(fleet.process(index).bytesSent +
                                           fleet.process(index).bytesReceived - before[index]) /
                       20;
    total += bytes;
    most = std::max(most, bytes);
  }
  const double calls = static_cast<double>(fleet.platform.calls - callsBefore) / 20;
  BOOST_TEST_MESSAGE("340 nodes idle: " << total / 340 << " bytes/s a node in the mean, " << most
                                        << " at most; table calls/s: " << calls);
  BOOST_TEST(total / 340 < 500);
  BOOST_TEST(most < 5000);
  BOOST_TEST(calls < 8);
  const base::Revision revision = fleet.accept(200, "new", wholeDocument("new"));
  const auto spread =
      fleet.time.runUntil([&] { return fleet.allHave("new", revision); }, seconds(30));
  BOOST_TEST_MESSAGE("accepted row in force on 340 nodes after " << base::toSeconds(spread)
                                                                 << " s");
  BOOST_TEST(base::toSeconds(spread) < 7);
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreIgnored) {
  Fleet fleet(2);
  fleet.settle();
  const std::uint64_t digest = fleet.store(0).digest();
  base::SeededRandom random(3);
  const std::string sound = encode(ConfigurationMessage{
      PageReply{7, false, {rowOf("x", wholeDocument("x"), 99)}, 5, true, true, std::nullopt}});
  const base::PeerIdentity sender{fleet.members[1].id, 1, fleet.members[1].endpoint};
  for (int round = 0; round < 1000; ++round) {
    std::string payload = sound;
    payload.at(random.below(payload.size())) = static_cast<char>(random.next());
    fleet.distributor(0).onPeerMessage(sender, payload.substr(0, random.below(payload.size())));
  }
  BOOST_TEST(fleet.store(0).digest() == digest);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
