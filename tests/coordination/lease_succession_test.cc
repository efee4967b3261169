// Time that a new holder waits before it sends orders, depending on the row that it found.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>

#include "coordination/lease_manager.h"
#include "coordination/lease_messages.h"
#include "coordination_world.h"

namespace covewing::coordination {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The only candidate for a lease whose row was written by another holder.
struct NextHolder : LeaseListener {
  explicit NextHolder(const std::string& previousRow)
      : NextHolder([&](const membership::Member& /*self*/) { return previousRow; }) {}
  explicit NextHolder(const std::function<std::string(const membership::Member&)>& rowFor) {
    clients::TableTransaction transaction;
    transaction.writes.push_back({leaseKey("orders"), rowFor(node.members.self())});
    world.table.commitNow(transaction);
    LeaseOptions options;
    options.name = "orders";
    options.duration = milliseconds(3600);
    options.margin = milliseconds(300);
    options.renewInterval = milliseconds(750);
    options.orderGap = seconds(3);
    options.orderWindow = milliseconds(1500);
    options.orderTransitTime = milliseconds(800);
    lease.emplace(options,
                  LeaseEnvironment{node.time, node.time, node.random, node.log, node.table,
                                   node.members, [this] { return able; }},
                  *this);
    lease->start();
  }
  void onLeaseWritten(const LeaseAnnouncement& /*announcement*/) override {}
  void onLeaseAcquired(const LeaseGrant& grant) override {
    ++acquired;
    settleTime = grant.settleTime;
  }
  void onLeaseLost() override { ++lost; }
  bool rowSettled() const {
    base::Reason reason;
    const auto reply = world.table.readNow({leaseKey("orders")});
    return parseLeaseRow(reply.rows.at(0).value, reason)->settled;
  }
  bool waitForAcquisition(int times) {
    return world.runUntil(seconds(10), [&] { return acquired == times; });
  }

  World world;
  TestNode& node = world.addNode("node-a", "zone-1");
  std::optional<LeaseManager> lease;
  int acquired = 0;
  int lost = 0;
  base::Duration settleTime{};
  bool able = true;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(LeaseSuccessionTest)

BOOST_AUTO_TEST_CASE(ExpiredLeaseOfAHolderWithAnOrderWindow) {
  NextHolder next(encodeLeaseRow({"node-b", 1, 5, 7, false, "10.1.2.3:9", true}));
  BOOST_REQUIRE(next.waitForAcquisition(1));
  BOOST_TEST((next.settleTime == milliseconds(1700)));
}

// A holder of a build without order windows sends orders as long as it holds the lease.
BOOST_AUTO_TEST_CASE(ExpiredLeaseOfAnOlderBuildRequiresTheWholeGap) {
  NextHolder next(R"({"holder":"node-b","incarnation":1,"nonce":5,"token":7,"released":false})");
  BOOST_REQUIRE(next.waitForAcquisition(1));
  BOOST_TEST((next.settleTime == milliseconds(3800)));
}

// The node that wrote the row may be sending orders.
BOOST_AUTO_TEST_CASE(UnreadableRowRequiresTheWholeGap) {
  NextHolder next("nonsense");
  BOOST_REQUIRE(next.waitForAcquisition(1));
  BOOST_TEST((next.settleTime == milliseconds(3800)));
}

// The settle time of a tenure is not over because its lease expired and a late reply restored it.
BOOST_AUTO_TEST_CASE(LeaseRestoredByALateReplyIsNotSettled) {
  NextHolder next(encodeLeaseRow({"node-b", 1, 5, 7, true, "10.1.2.3:9", true}));
  BOOST_REQUIRE(next.waitForAcquisition(1));
  BOOST_TEST((next.settleTime == milliseconds(3800)));
  next.world.table.conditions().setMode(emulator::ServiceMode::kSlow);
  next.world.table.conditions().setSlowLatency(milliseconds(1350));
  next.world.table.conditions().loseNextAnswers(1);
  BOOST_REQUIRE(next.waitForAcquisition(2));
  BOOST_TEST(next.lost == 1);
  BOOST_TEST(next.lease->status().token == 8U);
  BOOST_TEST(!next.lease->grantForOrders().has_value());
  BOOST_TEST((next.settleTime > base::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(HolderSendsOrdersAfterItsSettleTimeUntilItsWindowEnds) {
  NextHolder next(encodeLeaseRow({"node-b", 1, 5, 7, false, "10.1.2.3:9", true}));
  BOOST_REQUIRE(next.waitForAcquisition(1));
  next.world.run(milliseconds(1690));
  BOOST_TEST(!next.lease->grantForOrders().has_value());
  next.world.run(milliseconds(20));
  BOOST_TEST(next.lease->grantForOrders().has_value());
  next.world.table.conditions().setMode(emulator::ServiceMode::kDown);
  next.world.run(milliseconds(1500));
  BOOST_TEST(!next.lease->grantForOrders().has_value());
  BOOST_TEST(next.lease->grant().has_value());
}

// The next incarnation of the holder relies on it: an incarnation that had not settled may have
// acquired the lease just after another holder sent orders.
BOOST_AUTO_TEST_CASE(RowShowsWhetherTheHolderHasSettled) {
  NextHolder next(encodeLeaseRow({"node-b", 1, 5, 7, true, "10.1.2.3:9", true}));
  BOOST_REQUIRE(next.waitForAcquisition(1));
  next.world.run(milliseconds(1600));
  BOOST_TEST(!next.rowSettled());
  next.world.run(seconds(4));
  BOOST_TEST(next.rowSettled());
}

BOOST_AUTO_TEST_CASE(SettleTimeAfterARestartDependsOnTheRow) {
  for (const bool settled : {false, true}) {
    NextHolder next([settled](const membership::Member& self) {
      return encodeLeaseRow(
          {self.name, self.incarnation - 1, 5, 7, false, base::toString(self.endpoint), settled});
    });
    BOOST_REQUIRE(next.waitForAcquisition(1));
    BOOST_TEST((next.settleTime == milliseconds(settled ? 800 : 3800)));
  }
}

BOOST_AUTO_TEST_CASE(AnnouncementContainsTheFieldsOfTheRow) {
  const LeaseAnnouncement announcement{{"node-b", 3, 0, 7, false, "10.1.2.3:9", true}, 20, 19};
  const auto message = decodeCoordinationMessage(encodeLeaseWritten(announcement));
  BOOST_REQUIRE(message.has_value());
  BOOST_REQUIRE(message->announcement.has_value());
  BOOST_TEST(message->announcement->revision == 20U);
  BOOST_TEST(message->announcement->row.holder == "node-b");
  BOOST_TEST(message->announcement->row.address == "10.1.2.3:9");
  BOOST_TEST(message->announcement->row.settled);
}

// A holder that reaches no replica would keep the lease, and no version would be rolled out.
BOOST_AUTO_TEST_CASE(HolderThatCannotOrderLetsTheLeaseExpire) {
  NextHolder next(encodeLeaseRow({"node-b", 1, 5, 7, true, "10.1.2.3:9", true}));
  BOOST_REQUIRE(next.waitForAcquisition(1));
  next.able = false;
  next.world.run(milliseconds(800));
  BOOST_TEST(next.lost == 1);
  BOOST_TEST(!next.lease->grant().has_value());
  const auto row = next.world.table.readNow({leaseKey("orders")}).rows.at(0).revision;
  next.world.run(seconds(10));
  BOOST_TEST(next.world.table.readNow({leaseKey("orders")}).rows.at(0).revision == row);
  next.able = true;
  BOOST_TEST(next.waitForAcquisition(2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
