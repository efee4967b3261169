#include "live/peer_transport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>

#include "live/descriptor_limits.h"
#include "live/http_test_client.h"
#include "support/address_space.h"

namespace covewing::live {

namespace {

struct Received {
  base::PeerIdentity sender;
  base::Channel channel;
  std::string payload;
};

struct Peer {
  explicit Peer(boost::asio::io_context& context, std::string_view name,
                MemoryAccountPtr memory = nullptr)
      : transport(context, log, std::move(memory)) {
    base::Reason reason;
    const auto bound = transport.bind({kLoopback, 0}, reason);
    BOOST_REQUIRE_MESSAGE(bound.has_value(), reason.detail);
    self = {base::nodeIdOf(name), 3, *bound};
    transport.start(self, [this](const base::PeerIdentity& sender, base::Channel channel,
                                 std::string_view payload) {
      received.push_back({sender, channel, std::string{payload}});
    });
  }

  base::NullEventLog log;
  AsioPeerTransport transport;
  base::PeerIdentity self;
  std::vector<Received> received;
};

struct Fixture {
  void waitUntilReceived() {
    runUntil(context, [this] { return !right.received.empty(); });
  }

  boost::asio::io_context context{1};
  Peer left{context, "left"};
  Peer right{context, "right"};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(PeerTransportTest)

BOOST_AUTO_TEST_CASE(SmallPayloadGoesAsOneDatagram) {
  Fixture fixture;
  const std::string payload(base::PeerTransport::kDatagramLimit, 'x');
  fixture.left.transport.send(fixture.right.self.endpoint, base::Channel::kCacheIndex, payload);
  BOOST_TEST(fixture.left.transport.counters().sentFrames == 1U);
  fixture.waitUntilReceived();
  const auto& message = fixture.right.received.front();
  BOOST_TEST(message.payload == payload);
  BOOST_TEST((message.channel == base::Channel::kCacheIndex));
  BOOST_TEST((message.sender.node == fixture.left.self.node));
  BOOST_TEST(message.sender.incarnation == 3U);
}

BOOST_AUTO_TEST_CASE(LargePayloadGoesOverAConnection) {
  Fixture fixture;
  const std::string payload(3U << 20U, 'y');
  fixture.left.transport.send(fixture.right.self.endpoint, base::Channel::kConfiguration, payload);
  fixture.waitUntilReceived();
  BOOST_TEST((fixture.right.received.front().payload == payload));
}

BOOST_AUTO_TEST_CASE(MalformedFramesAreCountedAndTheNextIsReceived) {
  Fixture fixture;
  boost::asio::ip::udp::socket socket(fixture.context, boost::asio::ip::udp::v4());
  const boost::asio::ip::udp::endpoint target(boost::asio::ip::address_v4(kLoopback),
                                              fixture.right.self.endpoint.port);
  for (const std::string bytes : {"", "noise", "\x92\x63\x01"})
    socket.send_to(boost::asio::buffer(bytes), target);
  runUntil(fixture.context, [&] { return fixture.right.transport.counters().rejectedFrames == 3; });
  fixture.left.transport.send(fixture.right.self.endpoint, base::Channel::kRequest, "good");
  fixture.waitUntilReceived();
  BOOST_TEST(fixture.right.received.front().payload == "good");
}

BOOST_AUTO_TEST_CASE(OversizedFrameIsRejected) {
  Fixture fixture;
  TestClient client(fixture.context, fixture.right.self.endpoint);
  client.send("\xff\xff\xff\xff");
  runUntil(fixture.context, [&] { return fixture.right.transport.counters().rejectedFrames == 1; });
}

// Guards against memory that is reserved for frames of which nothing but the length has come.
BOOST_AUTO_TEST_CASE(NothingIsReservedForAFrameThatIsOnlyAnnounced) {
  constexpr std::size_t kConnections = 16;
  constexpr std::size_t kMostKilobytes = 16U << 10U;
  Fixture fixture;
  std::deque<TestClient> clients;
  const auto before = test_support::peakAddressSpaceKilobytes();
  for (std::size_t count = 0; count < kConnections; ++count) {
    clients.emplace_back(fixture.context, fixture.right.self.endpoint);
    // The longest frame that is read.
    clients.back().send(std::string("\x02\x00\x00\x00", 4));
  }
  fixture.context.run_for(std::chrono::milliseconds(200));
  BOOST_TEST(fixture.right.transport.counters().rejectedFrames == 0U);
  BOOST_TEST(test_support::peakAddressSpaceKilobytes() - before < kMostKilobytes);
}

// Guards against whoever connects to the port for other nodes and sends large frames that never
// end.
BOOST_AUTO_TEST_CASE(FramesTogetherKeepToTheirShareOfMemory) {
  constexpr std::size_t kShare = 1'000'000;
  constexpr std::uint32_t kAnnounced = 900'000;
  constexpr std::size_t kConnections = 4;
  boost::asio::io_context context{1};
  const auto account =
      std::make_shared<MemoryAccount>(MemoryBounds{kShare, {kShare, kShare, kShare, kShare}});
  Peer receiver(context, "receiver", account);
  Peer sender(context, "sender");
  std::deque<TestClient> clients;
  for (std::size_t index = 0; index < kConnections; ++index) {
    auto& client = clients.emplace_back(context, receiver.self.endpoint);
    std::string prefix(sizeof kAnnounced, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(prefix.data()), kAnnounced);
    client.send(prefix + std::string(kAnnounced / 2, 'a'));
    context.restart();
    context.run_for(std::chrono::milliseconds(30));
    BOOST_TEST(account->held() <= kShare);
  }
  BOOST_TEST(account->refused() > 0U);
  BOOST_TEST(clients.front().closed());
  sender.transport.send(receiver.self.endpoint, base::Channel::kConfiguration,
                        std::string(base::PeerTransport::kDatagramLimit + 1, 'y'));
  runUntil(context, [&receiver] { return !receiver.received.empty(); });
}

BOOST_AUTO_TEST_CASE(UnreachablePeerIsCountedAsDropped) {
  Fixture fixture;
  boost::asio::ip::tcp::acceptor closed(fixture.context,
                                        {boost::asio::ip::address_v4(kLoopback), 0});
  const base::Endpoint endpoint{kLoopback, closed.local_endpoint().port()};
  closed.close();
  fixture.left.transport.send(endpoint, base::Channel::kConfiguration, std::string(5000, 'z'));
  runUntil(fixture.context, [&] { return fixture.left.transport.counters().droppedFrames == 1; });
}

// Guards against a node that has no free descriptor and tries to accept without a pause: it would
// take a processor, and descriptors would be no sooner free.
BOOST_AUTO_TEST_CASE(ConnectionWaitsWithoutLoadWhereNoDescriptorIsFree) {
  constexpr std::chrono::milliseconds kExhausted{500};
  constexpr std::size_t kMostHandlers = 50;
  Fixture fixture;
  // Without a frame, the connection keeps its own descriptor.
  boost::asio::ip::tcp::socket waiting(fixture.context);
  const auto& endpoint = fixture.right.self.endpoint;
  waiting.connect({boost::asio::ip::address_v4(endpoint.address), endpoint.port});
  {
    const NoFreeDescriptors exhausted;
    BOOST_TEST(fixture.context.run_for(kExhausted) < kMostHandlers);
  }
  const std::string payload(100'000, 'x');
  fixture.left.transport.send(endpoint, base::Channel::kCacheIndex, payload);
  fixture.waitUntilReceived();
  BOOST_TEST((fixture.right.received.front().payload == payload));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
