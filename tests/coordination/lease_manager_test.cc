// The lease under crashes, pauses, lost replies, races and differing clocks.
#include "coordination/lease_manager.h"

#include <boost/test/unit_test.hpp>

#include "base/codec.h"
#include "coordination/lease_candidates.h"
#include "coordination/order_request.h"
#include "coordination_world.h"

namespace covewing::coordination {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LeaseRow leaseRowIn(const World& world) {
  const auto reply = world.table.readNow({leaseKey(coordinatorLeaseName(kRegion))});
  BOOST_REQUIRE(!reply.rows.empty());
  base::Reason reason;
  return *parseLeaseRow(reply.rows[0].value, reason);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LeaseManagerTest)

BOOST_AUTO_TEST_CASE(OneNodeBecomesHolder) {
  World world;
  world.addNodes();
  world.start();
  BOOST_TEST(world.runUntil(seconds(2), [&] { return !world.holder().empty(); }));
  const std::string holder = world.holder();
  const base::FencingToken token = leaseRowIn(world).token;
  for (int second = 0; second < 60; ++second) {
    world.run(seconds(1));
    BOOST_TEST(world.holder() == holder);
  }
  BOOST_TEST(leaseRowIn(world).token == token);
}

BOOST_AUTO_TEST_CASE(CrashedHolderIsReplacedOnlyAfterItsLeaseHasExpired) {
  World world;
  world.addNodes();
  world.start();
  world.run(seconds(10));
  const base::FencingToken token = leaseRowIn(world).token;
  const LeaseOptions defaults;
  world.crash(world.holder());
  // The last renewal was at most one interval before the crash.
  world.run(defaults.duration - defaults.renewInterval - milliseconds(100));
  BOOST_TEST(world.holder().empty());
  BOOST_TEST(world.runUntil(defaults.renewInterval + 2 * defaults.margin + milliseconds(200),
                            [&] { return !world.holder().empty(); }));
  BOOST_TEST(leaseRowIn(world).token == token + 1);
}

BOOST_AUTO_TEST_CASE(ReleaseHandsOverAtOnce) {
  World world;
  world.addNodes();
  world.start();
  world.run(seconds(10));
  const std::string former = world.holder();
  bool released = false;
  world.nodes.at(former)->coordinator.drain([&] { released = true; });
  BOOST_TEST(world.holder().empty());
  BOOST_TEST(world.runUntil(milliseconds(100), [&] { return !world.holder().empty(); }));
  BOOST_TEST(released);
  BOOST_TEST(world.holder() != former);
}

BOOST_AUTO_TEST_CASE(PausedHolderIsReplacedAndLosesTheLease) {
  World world;
  world.addNodes();
  world.start();
  world.run(seconds(10));
  const std::string former = world.holder();
  TestNode& paused = *world.nodes.at(former);
  paused.time.pause();
  world.run(seconds(20));
  paused.time.resume();
  BOOST_TEST(!paused.coordinator.leaseStatus().held);
  BOOST_TEST(world.holder() != former);
  BOOST_TEST(!world.holder().empty());
  world.run(seconds(10));
  BOOST_TEST(paused.log.counts[base::Event::kLeaseLost] == 1U);
}

BOOST_AUTO_TEST_CASE(HolderCutOffStopsBeforeTheNextStarts) {
  World world;
  world.addNodes();
  world.start();
  world.run(seconds(10));
  const std::string former = world.holder();
  world.nodes.at(former)->table.cutOff = true;
  const bool replaced = world.runUntil(seconds(20), [&] {
    const std::string now = world.holder();
    return !now.empty() && now != former;
  });
  BOOST_TEST(replaced);
}

BOOST_AUTO_TEST_CASE(LostRepliesAreReadBackByNonce) {
  World world;
  world.addNodes();
  world.table.conditions().loseNextAnswers(3);
  world.start();
  BOOST_TEST(world.runUntil(seconds(5), [&] { return !world.holder().empty(); }));
  const std::string holder = world.holder();
  const base::FencingToken token = leaseRowIn(world).token;
  world.table.conditions().setAnswerLoss(0.7);
  for (int tick = 0; tick < 600; ++tick) {
    world.run(milliseconds(100));
    world.holder();  // checks that there are never two
  }
  world.table.conditions().setAnswerLoss(0);
  world.run(seconds(10));
  BOOST_TEST(world.holder() == holder);
  BOOST_TEST(leaseRowIn(world).token == token);
  BOOST_TEST(world.table.conditions().answersLost() > 20U);
}

BOOST_AUTO_TEST_CASE(TableDownLongerThanTheLease) {
  World world;
  world.addNodes();
  world.start();
  world.run(seconds(10));
  world.table.conditions().setMode(emulator::ServiceMode::kDown);
  world.run(seconds(30));
  BOOST_TEST(world.holder().empty());
  world.table.conditions().setMode(emulator::ServiceMode::kNormal);
  BOOST_TEST(world.runUntil(seconds(10), [&] { return !world.holder().empty(); }));
}

BOOST_AUTO_TEST_CASE(SlowTableNeverGivesAnExpiredLease) {
  World world;
  world.addNodes();
  world.table.conditions().setMode(emulator::ServiceMode::kSlow);
  world.table.conditions().setSlowLatency(seconds(7));
  world.start();
  world.runUntil(
      seconds(60), [] { return false; }, [&] { BOOST_TEST(world.holder().empty()); });
}

BOOST_AUTO_TEST_CASE(RacingCandidatesResultInOneHolderAndOneToken) {
  for (int shift = 0; shift < 40; ++shift) {
    World world;
    world.addNode("node-a", "zone-1");
    world.addNode("node-b", "zone-1", seconds(shift));
    world.shared.random = base::SeededRandom(static_cast<std::uint64_t>(shift) + 1);
    world.start();
    world.runUntil(
        seconds(3), [] { return false; }, [&] { world.holder(); });
    BOOST_TEST(!world.holder().empty());
    BOOST_TEST(leaseRowIn(world).token == 1U);
  }
}

// The new incarnation never uses the lease of the earlier one. It acquires the lease again, with a
// higher token and another tenure, so that late writes of the earlier incarnation are rejected.
BOOST_AUTO_TEST_CASE(RestartedHolderReacquiresItsLeaseAtOnce) {
  World world;
  world.addNode("node-a", "zone-1");
  world.start();
  world.run(seconds(10));
  const auto tenure = leaseTenureKey(coordinatorLeaseName(kRegion));
  const auto before = world.table.readNow({tenure}).rows.at(0).revision;
  world.crash("node-a");
  world.addNode("node-a", "zone-1", base::Duration::zero(), 2).coordinator.start();
  BOOST_TEST(world.holder().empty());
  BOOST_TEST(world.runUntil(milliseconds(600), [&] { return world.holder() == "node-a"; }));
  BOOST_TEST(leaseRowIn(world).token == 2U);
  BOOST_TEST(world.table.readNow({tenure}).rows.at(0).revision > before);
}

BOOST_AUTO_TEST_CASE(FleetRestartedAsAWholeHasAHolderAtOnce) {
  World world;
  world.addNodes();
  world.start();
  world.run(seconds(10));
  for (const char* name : {"node-a", "node-b", "node-c"}) world.crash(name);
  world.addNode("node-a", "zone-1", base::Duration::zero(), 2);
  world.addNode("node-b", "zone-2", seconds(9), 2);
  world.addNode("node-c", "zone-3", seconds(4), 2);
  world.start();
  BOOST_TEST(world.runUntil(milliseconds(600), [&] { return !world.holder().empty(); }));
  BOOST_TEST(leaseRowIn(world).token == 2U);
}

BOOST_AUTO_TEST_CASE(MachineOfTheSameNameAtAnotherAddressWaitsForTheLeaseToExpire) {
  World world;
  world.addNode("node-a", "zone-1");
  world.start();
  world.run(seconds(10));
  // The address is changed in the row, because the test fleet assigns one address to each name.
  LeaseRow row = leaseRowIn(world);
  world.crash("node-a");
  row.address = "10.9.9.9:1";
  clients::TableTransaction transaction;
  transaction.writes.push_back({leaseKey(coordinatorLeaseName(kRegion)), encodeLeaseRow(row)});
  world.table.commitNow(transaction);
  world.addNode("node-a", "zone-1", base::Duration::zero(), 2).coordinator.start();
  world.run(seconds(3));
  BOOST_TEST(world.holder().empty());
  world.run(seconds(7));
  BOOST_TEST(world.holder() == "node-a");
  BOOST_TEST(leaseRowIn(world).token == 2U);
}

BOOST_AUTO_TEST_CASE(NextHolderSendsOrdersOnlyAfterTheGap) {
  LeaseOptions options;
  options.duration = milliseconds(3600);
  options.margin = milliseconds(300);
  BOOST_TEST((settleTime(Succession::kExpired, options) == base::Duration::zero()));
  options.orderGap = milliseconds(3000);
  options.orderTransitTime = milliseconds(800);
  BOOST_TEST((settleTime(Succession::kFirst, options) == base::Duration::zero()));
  BOOST_TEST((settleTime(Succession::kRestartedHolder, options) == options.orderTransitTime));
  BOOST_TEST((settleTime(Succession::kRecentlyActive, options) ==
              options.orderGap + options.orderTransitTime));
  // The previous holder sent its last order at most one window after its last write, and the order
  // was in transit for up to its transit time. The lease was acquired `duration + margin` after
  // that write.
  for (const auto window : {milliseconds(900), milliseconds(1500), milliseconds(3600)}) {
    options.orderWindow = window;
    const auto settle = settleTime(Succession::kExpired, options);
    BOOST_TEST((options.duration + options.margin + settle - window - options.orderTransitTime >=
                options.orderGap));
  }
}

BOOST_AUTO_TEST_CASE(CallsToTheTableAreBoundedForAnyNumberOfNodes) {
  World world;
  for (int index = 0; index < 60; ++index) {
    world.addNode("node-" + std::to_string(index), "zone-" + std::to_string(index % 5));
  }
  world.start();
  world.run(seconds(10));
  const std::uint64_t before = world.table.conditions().admitted();
  world.run(seconds(60));
  // Calls of the holder: a renewal every 2 s and a scan every 5 s.
  BOOST_TEST(world.table.conditions().admitted() - before <= 30U + 12U + 2U);
}

BOOST_AUTO_TEST_CASE(CandidatesWithoutAnnouncementsReadTheRow) {
  World world;
  world.addNodes();
  world.dropPeerMessages = true;
  world.start();
  world.run(seconds(10));
  const std::uint64_t before = world.table.conditions().admitted();
  world.run(seconds(60));
  // Calls of the holder as above, and of two watching candidates: a read every 6.5 s.
  BOOST_TEST(world.table.conditions().admitted() - before <= 30U + 12U + 20U + 2U);
  world.crash(world.holder());
  BOOST_TEST(world.runUntil(seconds(14), [&] { return !world.holder().empty(); }));
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreRejected) {
  World world;
  world.addNodes();
  world.start();
  world.run(seconds(5));
  TestNode& node = world.nonHolder();
  base::Writer writer;
  const std::string truncated = writer.array(2).unsignedInteger(3).unsignedInteger(9).take();
  const std::string unknown = writer.array(1).unsignedInteger(77).take();
  for (const std::string& payload : {std::string("x"), std::string(), truncated, unknown}) {
    node.coordinator.onPeerMessage({}, payload);
  }
  BOOST_TEST(node.log.counts[base::Event::kMessageRejected] == 4U);
}

BOOST_AUTO_TEST_CASE(CandidatesAreFewInDifferentZonesAndNotDraining) {
  World world;
  for (int index = 0; index < 30; ++index) {
    world.addNode("node-" + std::to_string(index), "zone-" + std::to_string(index % 3));
  }
  const auto chosen = leaseCandidates("lease", kRegion, world.members.live, 3);
  BOOST_REQUIRE(chosen.size() == 3U);
  BOOST_TEST(chosen[0].zone != chosen[1].zone);
  BOOST_TEST(chosen[1].zone != chosen[2].zone);
  for (auto& member : world.members.live) member.draining = member.id == chosen[0].id;
  for (const auto& member : leaseCandidates("lease", kRegion, world.members.live, 3)) {
    BOOST_TEST(!(member.id == chosen[0].id));
  }
  BOOST_TEST(leaseCandidates("lease", "elsewhere", world.members.live, 3).empty());
}

BOOST_AUTO_TEST_CASE(RowIsEqualAfterEncodingAndParsing) {
  const LeaseRow row{"node-a", 7, ~std::uint64_t{0}, 12, true, "10.1.2.3:9", true};
  base::Reason reason;
  const auto parsed = parseLeaseRow(encodeLeaseRow(row), reason);
  BOOST_REQUIRE(parsed);
  BOOST_TEST(parsed->holder == row.holder);
  BOOST_TEST(parsed->nonce == row.nonce);
  BOOST_TEST(parsed->token == row.token);
  BOOST_TEST(parsed->released);
  BOOST_TEST(parsed->address == row.address);
  BOOST_TEST(parsed->settled);
  BOOST_TEST(!parseLeaseRow("nonsense", reason));
  BOOST_TEST((reason.code == base::ResultCode::kMessageMalformed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
