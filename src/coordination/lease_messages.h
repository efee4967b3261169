/// \file
/// Messages of a lease's holder and candidates: between candidates, and to the home of a replica
/// whose weights change. They only save waiting; losing all of them costs seconds, nothing else.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/peer_transport.h"
#include "coordination/lease_manager.h"
#include "membership/member_directory.h"

namespace covewing::coordination {

/// First field of each message of the coordination channel.
enum class CoordinationMessageType : std::uint8_t {
  kLeaseReleased = 1,
  kOrdersChanged = 2,
  kLeaseWritten = 3,
  kReplicaChange = 4,
};

/// A message that has no fields but its type.
std::string encodeCoordinationMessage(CoordinationMessageType type);
std::string encodeLeaseWritten(const LeaseAnnouncement& announcement);
/// The gossip record of a replica's change, sent straight to whom it matters to most.
std::string encodeReplicaChange(const membership::GossipRecord& record);

/// A decoded message; `announcement` is there with kLeaseWritten only, `record` with kReplicaChange
/// only.
struct CoordinationMessage {
  CoordinationMessageType type = CoordinationMessageType::kLeaseReleased;
  std::optional<LeaseAnnouncement> announcement;
  std::optional<membership::GossipRecord> record;
};

/// Empty when the payload is malformed.
std::optional<CoordinationMessage> decodeCoordinationMessage(std::string_view payload);

/// Sends the payload to the other nodes that compete for the lease.
void sendToCandidates(base::PeerTransport& peers, const LeaseManager& lease, base::NodeId self,
                      const std::string& payload);

}  // namespace covewing::coordination
