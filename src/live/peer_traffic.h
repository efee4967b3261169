/// \file
/// Counts the frames and bytes that a node sends to other nodes, by channel and by whether they
/// leave the zone, for metrics and the log.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "membership/member_directory.h"

namespace covewing::live {

/// Traffic sent on one channel. Byte counts exclude IP, UDP and TCP headers.
struct ChannelTraffic {
  std::uint64_t frames = 0;
  std::uint64_t bytesInZone = 0;
  std::uint64_t bytesToOtherZones = 0;
};

/// Size of an array that is indexed by channel number. Channels are numbered from 1, so entry 0 is
/// unused.
inline constexpr std::size_t kChannelArraySize = static_cast<std::size_t>(base::kLastChannel) + 1;

/// Returns the name of a channel in metrics and logs.
std::string_view channelName(base::Channel channel);

class PeerTraffic {
 public:
  explicit PeerTraffic(const membership::MemberDirectory& members) : members_(members) {}

  void recordSent(const base::Endpoint& destination, base::Channel channel, std::size_t bytes);
  const std::array<ChannelTraffic, kChannelArraySize>& channels() const { return channels_; }
  /// Logs the totals of each channel since the start of the process (event PeerTraffic).
  void logTotals(base::EventLog& log) const;

 private:
  /// Whether the destination is in this node's zone. An address that belongs to no live member
  /// counts as being in another zone.
  bool isInOwnZone(const base::Endpoint& destination);

  const membership::MemberDirectory& members_;
  std::array<ChannelTraffic, kChannelArraySize> channels_{};
  /// Whether the member at an address is in this node's zone, as of version `directoryVersion_` of
  /// the member directory.
  std::unordered_map<std::uint32_t, bool> inOwnZone_;
  std::uint64_t directoryVersion_ = 0;
};

}  // namespace covewing::live
