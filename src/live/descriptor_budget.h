/// \file
/// Divides the descriptors that the operating system allows this process between callers'
/// connections and everything else a relaying node needs, so that callers cannot take what the node
/// needs to serve them. docs/CAPACITY.md has the reckoning.
#pragma once

#include <cstddef>

namespace covewing::live {

/// Files.
inline constexpr std::size_t kFileDescriptors = 200;
/// Event loop, listeners, log, and the connections to the table service, of readiness checks and of
/// scrapes of metrics.
inline constexpr std::size_t kOwnDescriptors = 64;
/// Connections to replicas: requests under way, kept-alive ones, watches of caches and probes.
inline constexpr std::size_t kReplicaDescriptors = 1000;
/// Connections for messages between nodes that do not fit into a datagram, in both directions.
inline constexpr std::size_t kPeerMessageDescriptors = 256;
/// Connections on which other nodes have requests passed on: those under way and kept-alive ones.
inline constexpr std::size_t kPeerRelayDescriptors = 512;
inline constexpr std::size_t kReserveDescriptors = kFileDescriptors + kOwnDescriptors +
                                                   kReplicaDescriptors + kPeerMessageDescriptors +
                                                   kPeerRelayDescriptors;
/// Maximum number of callers' connections however many descriptors there are.
inline constexpr std::size_t kMaximumCallerConnections = 20'000;

struct DescriptorBudget {
  /// All descriptors that the process may open.
  std::size_t limit = 0;
  /// Descriptors that callers' connections never take.
  std::size_t reserve = 0;
  /// Maximum number of callers' connections.
  std::size_t callerConnections = 0;
  /// Maximum number of connections of other nodes that have requests passed on; part of the
  /// reserve.
  std::size_t peerRelayConnections = 0;
};

/// Divides `limit` descriptors. With few of them, half are reserved, and the parts of the reserve
/// shrink in proportion.
DescriptorBudget divideDescriptors(std::size_t limit);

/// Maximum number of descriptors of this process, as the operating system sets it now.
std::size_t descriptorLimit();

}  // namespace covewing::live
