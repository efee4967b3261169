#include "node/peer_frame.h"

#include "base/codec.h"

namespace covewing::node {

namespace {
constexpr std::uint32_t kFieldCount = 7;
constexpr auto kFirstChannel = static_cast<std::uint64_t>(base::Channel::kMembership);
constexpr auto kLastChannel = static_cast<std::uint64_t>(base::kLastChannel);

std::nullopt_t reject(base::Reason& reason, base::ResultCode code, std::string detail) {
  reason = {code, std::move(detail)};
  return std::nullopt;
}
}  // namespace

std::string encodePeerFrame(const base::PeerIdentity& sender, base::Channel channel,
                            std::string_view payload) {
  base::Writer writer;
  writer.array(kFieldCount)
      .unsignedInteger(base::kPeerProtocolVersion)
      .unsignedInteger(static_cast<std::uint64_t>(channel))
      .unsignedInteger(sender.node.value)
      .unsignedInteger(sender.incarnation)
      .unsignedInteger(sender.endpoint.address)
      .unsignedInteger(sender.endpoint.port)
      .binary(payload);
  return writer.take();
}

std::optional<PeerFrame> decodePeerFrame(std::string_view bytes, base::Reason& reason) {
  using base::ResultCode;
  base::Reader reader(bytes);
  const auto fields = reader.beginArray();
  const auto version = reader.unsignedInteger();
  if (!reader.ok())
    return reject(reason, ResultCode::kMessageMalformed,
                  "the frame does not start with an array and a version");
  if (version != base::kPeerProtocolVersion)
    return reject(reason, ResultCode::kMessageVersion,
                  "unsupported protocol version " + std::to_string(version));
  const auto channel = reader.unsignedInteger();
  PeerFrame frame;
  frame.sender.node.value = reader.unsignedInteger();
  frame.sender.incarnation = reader.unsignedInteger();
  const auto address = reader.unsignedInteger();
  const auto port = reader.unsignedInteger();
  frame.payload = reader.binary();
  if (!reader.ok() || fields < kFieldCount)
    return reject(reason, ResultCode::kMessageMalformed,
                  "a field is missing or has the wrong type");
  if (channel < kFirstChannel || channel > kLastChannel)
    return reject(reason, ResultCode::kMessageMalformed,
                  "unknown channel " + std::to_string(channel));
  if (address > UINT32_MAX || port > UINT16_MAX)
    return reject(reason, ResultCode::kMessageMalformed,
                  "the sender's address or port is out of range");
  frame.channel = static_cast<base::Channel>(channel);
  frame.sender.endpoint = {static_cast<std::uint32_t>(address), static_cast<std::uint16_t>(port)};
  return frame;
}

}  // namespace covewing::node
