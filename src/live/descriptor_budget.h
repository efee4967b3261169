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
/// Kept-alive connections to replicas, watches of caches and probes.
inline constexpr std::size_t kKeptReplicaDescriptors = 250;
/// Connections for messages between nodes that do not fit into a datagram, in both directions.
inline constexpr std::size_t kPeerMessageDescriptors = 256;
/// Connections on which other nodes have requests passed on: those under way and kept-alive ones.
inline constexpr std::size_t kPeerRelayDescriptors = 512;
/// Connections to replicas for the requests of other nodes.
inline constexpr std::size_t kPassedOnDescriptors = 256;
/// What a node needs beside callers' connections and the calls to replicas for their requests.
inline constexpr std::size_t kFixedDescriptors = kFileDescriptors + kOwnDescriptors +
                                                 kKeptReplicaDescriptors + kPeerMessageDescriptors +
                                                 kPeerRelayDescriptors + kPassedOnDescriptors;
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

/// Divides `limit` descriptors so that each connection of a caller finds one for the call to a
/// replica. With few of them, the parts of kFixedDescriptors shrink in proportion. Callers get no
/// more than `maximumCallerConnections`.
DescriptorBudget divideDescriptors(
    std::size_t limit, std::size_t maximumCallerConnections = kMaximumCallerConnections);

/// Maximum number of descriptors of this process, as the operating system sets it now.
std::size_t descriptorLimit();

}  // namespace covewing::live
