#include "live/peer_traffic.h"

namespace covewing::live {

std::string_view channelName(base::Channel channel) {
  switch (channel) {
    case base::Channel::kMembership:
      return "membership";
    case base::Channel::kConfiguration:
      return "configuration";
    case base::Channel::kCacheIndex:
      return "cache_index";
    case base::Channel::kCoordination:
      return "coordination";
    case base::Channel::kAdmission:
      return "admission";
    case base::Channel::kRequest:
      return "request";
    case base::Channel::kTableFeed:
      return "table_feed";
    case base::Channel::kReplicaLoad:
      return "replica_load";
    case base::Channel::kStreamOrigin:
      return "stream_origin";
    case base::Channel::kPartIndex:
      return "part_index";
    case base::Channel::kPlacement:
      return "placement";
    case base::Channel::kQuarantine:
      return "quarantine";
  }
  return "unknown";
}

bool PeerTraffic::isInOwnZone(const base::Endpoint& destination) {
  if (members_.version() != directoryVersion_) {
    inOwnZone_.clear();
    directoryVersion_ = members_.version();
    for (const auto& member : members_.liveMembers())
      inOwnZone_[member.endpoint.address] = member.zone == members_.self().zone;
  }
  const auto found = inOwnZone_.find(destination.address);
  return found != inOwnZone_.end() && found->second;
}

void PeerTraffic::recordSent(const base::Endpoint& destination, base::Channel channel,
                             std::size_t bytes) {
  auto& traffic = channels_.at(static_cast<std::size_t>(channel));
  ++traffic.frames;
  (isInOwnZone(destination) ? traffic.bytesInZone : traffic.bytesToOtherZones) += bytes;
}

void PeerTraffic::logTotals(base::EventLog& log) const {
  for (std::size_t number = 1; number < kChannelArraySize; ++number) {
    const auto& traffic = channels_.at(number);
    if (traffic.frames == 0) continue;
    log.write(base::Event::kPeerTraffic,
              {{"channel", std::string{channelName(static_cast<base::Channel>(number))}},
               {"frames", std::to_string(traffic.frames)},
               {"bytes_in_zone", std::to_string(traffic.bytesInZone)},
               {"bytes_to_other_zones", std::to_string(traffic.bytesToOtherZones)}});
  }
}

}  // namespace covewing::live
