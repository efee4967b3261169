#include "engine_routing/machine_list_watch.h"

#include <boost/test/unit_test.hpp>

#include "routing/fakes.h"

namespace covewing::engine_routing {

namespace {

using namespace std::chrono_literals;
using routing::testing::makeEngineMachine;
using routing::testing::makeMember;

class CountingMachineList final : public clients::MachineListClient {
 public:
  explicit CountingMachineList(routing::testing::ManualTime& time) : list(time) {}
  void fetch(clients::MachineListCallback callback) override {
    ++fetches;
    list.fetch(std::move(callback));
  }
  routing::testing::FakeMachineList list;
  std::size_t fetches = 0;
};

struct WatchFixture : MachineObserver {
  routing::testing::ManualTime time;
  base::SeededRandom random{3};
  CountingMachineList machines{time};
  routing::testing::FakeMembers members{{makeMember("node-a", "north")}};
  routing::testing::FakeRecords records;
  MachineListWatch watch{{}, {time, time, random, machines, members, records}, *this};
  std::map<std::string, clients::Machine> observed;

  void onMachine(const clients::Machine& machine) override { observed[machine.name] = machine; }
  void onMachineRemoved(const clients::Machine& machine) override { observed.erase(machine.name); }

  void growFleet(std::size_t nodes) {
    std::vector<membership::Member> all;
    for (std::size_t index = 0; index < nodes; ++index) {
      all.push_back(makeMember("node-" + std::to_string(index), "north"));
    }
    members.set(all);
  }
  void deliverRecord(const clients::Machine& machine, bool removed, std::uint64_t version) {
    records.deliver({std::string(kMachineRecordPrefix) + machine.name, version,
                     encodeMachineRecord({machine, removed})});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(MachineListWatchTest, WatchFixture)

BOOST_AUTO_TEST_CASE(InitialListIsNotPublished) {
  machines.list.machines->push_back(makeEngineMachine("rules-1", "north"));
  watch.start();
  BOOST_TEST(!watch.hasReadList());
  time.advance(100ms);
  BOOST_TEST(watch.hasReadList());
  BOOST_TEST(observed.size() == 1U);
  BOOST_TEST(records.published.empty());
}

BOOST_AUTO_TEST_CASE(ChangesArePublishedOnce) {
  machines.list.machines->push_back(makeEngineMachine("rules-1", "north"));
  watch.start();
  time.advance(100ms);
  machines.list.machines->front().state = clients::MachineState::kLeaving;
  time.advance(3s);
  BOOST_TEST((observed.at("rules-1").state == clients::MachineState::kLeaving));
  BOOST_REQUIRE(records.published.size() == 1U);
  time.advance(20s);
  BOOST_TEST(records.published.size() == 1U);
  machines.list.machines->clear();
  time.advance(3s);
  BOOST_TEST(observed.empty());
  BOOST_REQUIRE(records.published.size() == 2U);
  BOOST_TEST(records.published[1].version > records.published[0].version);
}

BOOST_AUTO_TEST_CASE(ReadsAreSharedAmongManyNodes) {
  watch.start();
  time.advance(1s);
  growFleet(340);
  time.advance(3s);
  const auto before = machines.fetches;
  time.advance(3400s);
  // Each node reads every 170 s on average.
  BOOST_TEST(machines.fetches - before > 10U);
  BOOST_TEST(machines.fetches - before < 40U);
}

BOOST_AUTO_TEST_CASE(ChangePublishedByAnotherNodeIsApplied) {
  watch.start();
  time.advance(100ms);
  auto machine = makeEngineMachine("pairings-1", "north");
  machine.kind = clients::MachineKind::kApplication;
  machine.application = "pairings";
  deliverRecord(machine, false, 1);
  BOOST_REQUIRE(observed.contains("pairings-1"));
  BOOST_TEST((observed.at("pairings-1") == machine));
  deliverRecord(machine, true, 2);
  BOOST_TEST(observed.empty());
  // An older record has no effect.
  deliverRecord(machine, false, 1);
  BOOST_TEST(observed.empty());
}

BOOST_AUTO_TEST_CASE(RecentRecordOverridesListUntilPrecedenceExpires) {
  machines.list.machines->push_back(makeEngineMachine("rules-1", "north"));
  watch.start();
  time.advance(100ms);
  auto leaving = makeEngineMachine("rules-1", "north");
  leaving.state = clients::MachineState::kLeaving;
  deliverRecord(leaving, false, 1);
  time.advance(8s);
  BOOST_TEST((observed.at("rules-1").state == clients::MachineState::kLeaving));
  BOOST_TEST(records.published.empty());
  time.advance(6s);
  BOOST_TEST((observed.at("rules-1").state == clients::MachineState::kLive));
  BOOST_REQUIRE(records.published.size() == 1U);
  BOOST_TEST(records.published[0].version == 2U);
}

BOOST_AUTO_TEST_CASE(MalformedRecordsAreIgnored) {
  watch.start();
  records.deliver({std::string(kMachineRecordPrefix) + "rules-1", 1, "nonsense"});
  records.deliver({std::string(kMachineRecordPrefix) + "rules-1", 2, ""});
  BOOST_TEST(observed.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::engine_routing
