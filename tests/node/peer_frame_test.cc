#include "node/peer_frame.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "base/codec.h"

namespace covewing::node {

namespace {
const base::PeerIdentity kSender{base::nodeIdOf("north-1"), 7, {0x7F000001, 7400}};
}

BOOST_AUTO_TEST_SUITE(PeerFrameTest)

BOOST_AUTO_TEST_CASE(RoundTrip) {
  const auto bytes = encodePeerFrame(kSender, base::Channel::kCacheIndex, "payload");
  base::Reason reason;
  const auto frame = decodePeerFrame(bytes, reason);
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST((frame->sender.node == kSender.node));
  BOOST_TEST(frame->sender.incarnation == kSender.incarnation);
  BOOST_TEST((frame->sender.endpoint == kSender.endpoint));
  BOOST_TEST((frame->channel == base::Channel::kCacheIndex));
  BOOST_TEST(frame->payload == "payload");
}

BOOST_AUTO_TEST_CASE(OverheadIsBounded) {
  const base::PeerIdentity largest{{UINT64_MAX}, UINT64_MAX, {UINT32_MAX, UINT16_MAX}};
  const std::string payload(base::PeerTransport::kDatagramLimit, 'x');
  const auto bytes = encodePeerFrame(largest, base::Channel::kRequest, payload);
  BOOST_TEST(bytes.size() <= payload.size() + kPeerFrameOverhead);
}

BOOST_AUTO_TEST_CASE(OtherVersionIsNamed) {
  base::Writer writer;
  writer.array(2).unsignedInteger(base::kPeerProtocolVersion + 1).text("anything");
  base::Reason reason;
  BOOST_TEST(!decodePeerFrame(writer.take(), reason).has_value());
  BOOST_TEST((reason.code == base::ResultCode::kMessageVersion));
}

BOOST_AUTO_TEST_CASE(UnknownChannelIsMalformed) {
  auto bytes = encodePeerFrame(kSender, static_cast<base::Channel>(99), "payload");
  base::Reason reason;
  BOOST_TEST(!decodePeerFrame(bytes, reason).has_value());
  BOOST_TEST((reason.code == base::ResultCode::kMessageMalformed));
}

RC_BOOST_PROP(TruncatedFrameIsRefused, ()) {
  const auto bytes = encodePeerFrame(kSender, base::Channel::kRequest, "some payload");
  const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
  base::Reason reason;
  RC_ASSERT(!decodePeerFrame(std::string_view{bytes}.substr(0, length), reason).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
