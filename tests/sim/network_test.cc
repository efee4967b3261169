#include "sim/network.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "sim/peer_transport.h"

namespace covewing::sim {
namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

base::Endpoint endpointOf(std::uint32_t host) { return {0x0a000000U + host, 7000}; }

struct Fixture {
  Scheduler scheduler;
  Process near{scheduler, "near", 1};
  Process zoneMate{scheduler, "zone-mate", 1};
  Process otherZone{scheduler, "other-zone", 1};
  Process otherRegion{scheduler, "other-region", 1};
  Network network{scheduler, NetworkOptions{}, 1};
  HostId hostNear = add(near, 1, "a1", "a");
  HostId hostZoneMate = add(zoneMate, 2, "a1", "a");
  HostId hostOtherZone = add(otherZone, 3, "a2", "a");
  HostId hostOtherRegion = add(otherRegion, 4, "b1", "b");

  HostId add(Process& process, std::uint32_t number, const char* zone, const char* region) {
    process.start();
    return network.addHost(process, endpointOf(number), zone, region);
  }
  void runFor(base::Duration duration) { scheduler.runUntil(scheduler.now() + duration); }
  int datagramsArrived(HostId from, HostId to, int count) {
    int arrived = 0;
    for (int index = 0; index < count; ++index) {
      network.sendDatagram(from, to, 10, TrafficClass::kPeerDatagram, [&] { ++arrived; });
    }
    runFor(seconds(1));
    return arrived;
  }
  ConnectionPtr connected(HostId from, HostId to) {
    ConnectionPtr result;
    network.connect(from, to, TrafficClass::kData,
                    [&](ConnectResult, ConnectionPtr connection) { result = connection; });
    runFor(seconds(1));
    return result;
  }
};

BOOST_FIXTURE_TEST_SUITE(NetworkTest, Fixture)

BOOST_AUTO_TEST_CASE(cutZoneKeepsItsInsideTogether) {
  network.cutZone("a1", true);
  BOOST_TEST(datagramsArrived(hostNear, hostZoneMate, 5) == 5);
  BOOST_TEST(datagramsArrived(hostNear, hostOtherZone, 5) == 0);
  network.cutZone("a1", false);
  BOOST_TEST(datagramsArrived(hostNear, hostOtherZone, 5) == 5);
  BOOST_TEST(network.count().cut == 5U);
}

BOOST_AUTO_TEST_CASE(cutRegionsKeepsZonesTogether) {
  network.cutRegions("b", "a", true);
  BOOST_TEST(datagramsArrived(hostNear, hostOtherRegion, 3) == 0);
  BOOST_TEST(datagramsArrived(hostNear, hostOtherZone, 3) == 3);
}

BOOST_AUTO_TEST_CASE(losesAndRepeatsDatagramsAtTheirRates) {
  network.options().sameZone.loss = 0.5;
  const auto arrived = datagramsArrived(hostNear, hostZoneMate, 1000);
  BOOST_TEST(arrived > 400);
  BOOST_TEST(arrived < 600);
  network.options().sameZone.loss = 0;
  network.options().sameZone.duplicate = 1;
  BOOST_TEST(datagramsArrived(hostNear, hostZoneMate, 10) == 20);
}

BOOST_AUTO_TEST_CASE(connectionKeepsOrderUnderJitterAndLoss) {
  network.options().sameZone.loss = 0.3;
  network.options().sameZone.jitter = milliseconds(3);
  const auto connection = connected(hostNear, hostZoneMate);
  std::vector<int> order;
  for (int index = 0; index < 50; ++index) {
    connection->send(Connection::Side::kClient, 100, [&order, index] { order.push_back(index); });
  }
  runFor(seconds(20));
  BOOST_REQUIRE(order.size() == 50U);
  BOOST_TEST(std::is_sorted(order.begin(), order.end()));
}

BOOST_AUTO_TEST_CASE(connectionBreaksOnBothSidesWhenItMeetsACut) {
  const auto connection = connected(hostNear, hostOtherZone);
  int told = 0;
  int arrived = 0;
  connection->onClosed(Connection::Side::kClient, [&] { ++told; });
  connection->onClosed(Connection::Side::kServer, [&] { ++told; });
  network.cutZone("a2", true);
  connection->send(Connection::Side::kServer, 10, [&] { ++arrived; });
  runFor(seconds(1));
  BOOST_TEST(told == 0);
  runFor(seconds(2));
  BOOST_TEST(told == 2);
  BOOST_TEST(arrived == 0);
  BOOST_TEST(!connection->open());
}

BOOST_AUTO_TEST_CASE(crashOfAnEndTellsTheOther) {
  const auto connection = connected(hostNear, hostOtherZone);
  int told = 0;
  connection->onClosed(Connection::Side::kClient, [&] { ++told; });
  otherZone.crash();
  network.breakConnections(hostOtherZone);
  runFor(milliseconds(5));
  BOOST_TEST(told == 1);
  ConnectResult result = ConnectResult::kConnected;
  network.connect(hostNear, hostOtherZone, TrafficClass::kData,
                  [&](ConnectResult got, const ConnectionPtr&) { result = got; });
  runFor(milliseconds(5));
  BOOST_TEST((result == ConnectResult::kRefused));
}

BOOST_AUTO_TEST_CASE(deliveryToARestartedProcessOverAnOldConnectionIsDropped) {
  const auto connection = connected(hostNear, hostOtherZone);
  int arrived = 0;
  connection->send(Connection::Side::kClient, 10, [&] { ++arrived; });
  otherZone.crash();
  otherZone.start();
  runFor(seconds(1));
  BOOST_TEST(arrived == 0);
}

BOOST_AUTO_TEST_CASE(countsBytesWithHeaders) {
  BOOST_TEST(datagramsArrived(hostNear, hostZoneMate, 2) == 2);
  BOOST_TEST(network.traffic(hostNear).controlSent() == 2U * (10 + 28));
  BOOST_TEST(network.traffic(hostZoneMate).controlReceived() == 2U * (10 + 28));
}

/// Remembers the sizes of the messages it received.
struct RecordingReceiver final : PeerReceiver {
  std::vector<std::size_t> sizes;
  base::PeerIdentity lastSender;
  void onPeerMessage(const base::PeerIdentity& sender, base::Channel /*channel*/,
                     std::string_view payload) override {
    lastSender = sender;
    sizes.push_back(payload.size());
  }
};

BOOST_AUTO_TEST_CASE(peerTransportCarriesSmallAndLargeMessages) {
  RecordingReceiver receiver;
  const base::PeerIdentity self{base::nodeIdOf("near"), 1, endpointOf(1)};
  SimPeerTransport transport(network, hostNear, self, [&](HostId host) {
    return host == hostOtherZone ? &receiver : nullptr;
  });
  transport.send(endpointOf(3), base::Channel::kMembership, std::string(100, 'x'));
  transport.send(endpointOf(3), base::Channel::kConfiguration, std::string(5000, 'x'));
  transport.send(endpointOf(99), base::Channel::kMembership, "nobody");
  runFor(seconds(1));
  BOOST_TEST(receiver.sizes == (std::vector<std::size_t>{100, 5000}),
             boost::test_tools::per_element());
  BOOST_TEST((receiver.lastSender.node == self.node));
}

BOOST_AUTO_TEST_SUITE_END()
}  // namespace
}  // namespace covewing::sim
