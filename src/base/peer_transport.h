/// \file
/// Messages between covewing nodes. Each subsystem owns a channel and encodes its own typed
/// messages with base/codec.h; the transport adds sender and version and may lose, delay, repeat or
/// reorder.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/ids.h"

namespace covewing::base {

/// Version of the frame and of all channel messages; a frame of another version is dropped and
/// counted.
inline constexpr std::uint8_t kPeerProtocolVersion = 1;

/// The subsystem that a message belongs to.
enum class Channel : std::uint8_t {
  kMembership = 1,
  kConfiguration = 2,
  kCacheIndex = 3,
  kCoordination = 4,
  kAdmission = 5,
  kRequest = 6,
  kTableFeed = 7,
  kReplicaLoad = 8,
  kPartIndex = 9,
  kPlacement = 10,
  kQuarantine = 11,
  kStreamOrigin = 12,
};
inline constexpr Channel kLastChannel = Channel::kStreamOrigin;

/// Who sent a message.
struct PeerIdentity {
  NodeId node;
  Incarnation incarnation = 0;
  Endpoint endpoint;
};

/// Unreliable sender of messages to other nodes. Payloads up to kDatagramLimit go as one UDP
/// datagram, larger ones over TCP; either way delivery is not confirmed, and callers set their own
/// timeouts.
class PeerTransport {
 public:
  static constexpr std::size_t kDatagramLimit = 1200;

  virtual ~PeerTransport() = default;
  virtual void send(const Endpoint& destination, Channel channel, std::string payload) = 0;
};

/// Receiver of one channel's messages.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  /// `payload` is valid during the call only. A malformed payload is counted and ignored.
  virtual void onPeerMessage(const PeerIdentity& sender, std::string_view payload) = 0;
};

}  // namespace covewing::base
