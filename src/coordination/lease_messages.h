/// \file
/// Messages of a lease's holder and candidates: among the candidates, and to the home node of a
/// replica whose weights change. They only shorten waits: if all of them are lost, actions are
/// delayed by seconds and nothing else changes.
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

/// Encodes a message that consists of its type only.
std::string encodeCoordinationMessage(CoordinationMessageType type);
std::string encodeLeaseWritten(const LeaseAnnouncement& announcement);
/// Encodes the gossip record of a replica's change of weights, which is sent directly to the node
/// that depends on it most.
std::string encodeReplicaChange(const membership::GossipRecord& record);

/// A decoded message. `announcement` is set for kLeaseWritten only, `record` for kReplicaChange
/// only.
struct CoordinationMessage {
  CoordinationMessageType type = CoordinationMessageType::kLeaseReleased;
  std::optional<LeaseAnnouncement> announcement;
  std::optional<membership::GossipRecord> record;
};

/// Empty when the payload is malformed.
std::optional<CoordinationMessage> decodeCoordinationMessage(std::string_view payload);

/// Sends the payload to the other candidates for the lease.
void sendToCandidates(base::PeerTransport& peers, const LeaseManager& lease, base::NodeId self,
                      const std::string& payload);

}  // namespace covewing::coordination
