#include "live/relay_part_options.h"

#include <algorithm>

#include "clients/weights_client.h"
#include "live/asio_runtime.h"
#include "node/node_count.h"

namespace covewing::live {

namespace {

/// Replicas that load weights change their entries in quick succession.
constexpr base::Duration kReplicaListPause = std::chrono::milliseconds(250);
/// A node that restarts joins within a few milliseconds where a machine that it asks is up; one
/// that has joined nobody by then reads the table service itself. Longer waits delay the serving.
constexpr base::Duration kMaximumJoinTime = std::chrono::milliseconds(60);
/// A third of the tolerance of limits that operators usually state, 10%: a home grants so much more
/// than what belongs to the nodes that it sees.
constexpr double kPartialViewTolerance = 0.03;
/// Shorter than it takes to declare a node dead, so that two homes at once grant little.
constexpr base::Duration kUnresponsiveHomeBackoff = std::chrono::milliseconds(500);
/// A new home starts with a quarter of a bucket: the former one may have granted a whole one.
constexpr double kInitialBucketShare = 0.25;
/// Where a link loses 5% of the packets, a question in a thousand finds its home silent with two
/// repeats, and one in a hundred with one; then two homes grant at once.
constexpr std::uint32_t kQuotaRequestRetries = 2;
/// A node that restarts with all others sees most of them after some 0.3 s.
constexpr base::Duration kJoinPeriod = std::chrono::milliseconds(800);
/// Nodes assumed by the limits of tenants meanwhile. Each node that has just started takes itself
/// for the home of all tenants; where there are more nodes than are assumed, they grant more than
/// the limit together: 72 nodes that assumed 32 let a tenant with 280,000 tokens a second use
/// 600,000 more than that within 3 s of their start, and with 128 assumed 20,000.
constexpr std::size_t kAssumedNodesWhileJoining = 128;

}  // namespace

HttpClientLimits replicaLimits(const RelayDialect& dialect) {
  HttpClientLimits limits;
  limits.requestIdHeader = dialect.requestIdHeader();
  limits.skipMismatchedResponses = true;
  limits.unacknowledgedTimeout = std::chrono::milliseconds(1000);
  limits.connectTimeout = std::chrono::milliseconds(500);
  limits.idleTimeout = std::chrono::seconds(20);
  return limits;
}

membership::GossipMembershipOptions membershipOptions(const RelaySettings& settings) {
  membership::GossipMembershipOptions options;
  options.name = settings.name;
  options.zone = settings.zone;
  options.region = settings.region;
  options.endpoint = settings.peerEndpoint;
  options.incarnation = startIncarnation();
  for (const auto& seed : settings.seeds)
    options.seeds.push_back({seed.address, settings.peerEndpoint.port});
  return options;
}

node::WeightsCoordinatorOptions coordinatorOptions(const RelaySettings& settings) {
  constexpr std::string_view kLeaseName = "weights";
  node::WeightsCoordinatorOptions options;
  options.lease.name = kLeaseName;
  // The last renewal may be most of an interval older than the holder's last order.
  options.lease.duration = settings.lease * 6 / 5;
  options.lease.margin = settings.lease / 10;
  options.lease.renewInterval = settings.lease / 4;
  if (!settings.fencingEnforced) {
    options.lease.orderGap = settings.lease;
    options.lease.orderWindow = settings.lease / 2;
    options.lease.orderTransitTime = clients::kWeightsCallTimeout;
  }
  return options;
}

admission::QuotaOptions quotaOptions() {
  admission::QuotaOptions options;
  // A node sees few requests of a tenant between two asks: what it leases ahead lapses unused.
  options.tokenBatch = {};
  options.requestRetries = kQuotaRequestRetries;
  options.unresponsiveHomeBackoff = kUnresponsiveHomeBackoff;
  options.initialBucketShare = kInitialBucketShare;
  options.clusterFormationTime = node::NodeCountOptions{}.clusterFormationTime;
  options.joinPeriod = kJoinPeriod;
  options.assumedNodesWhileJoining = kAssumedNodesWhileJoining;
  options.partialViewTolerance = kPartialViewTolerance;
  return options;
}

node::NodeCountOptions retryNodeCount() {
  // Nodes that are cut off still send. A fleet that was made smaller has smaller parts for so long.
  constexpr base::Duration kMemory = std::chrono::minutes(10);
  node::NodeCountOptions options;
  options.memory = kMemory;
  options.trustsSingleNodeView = false;
  return options;
}

config::SharedFeedOptions feedOptions(const RelaySettings& settings) {
  const bool mayJoin = std::ranges::any_of(settings.seeds, [&](const base::Endpoint& seed) {
    return seed.address != settings.peerEndpoint.address;
  });
  config::SharedFeedOptions options;
  if (mayJoin) options.joinPatience = kMaximumJoinTime;
  return options;
}

config::TableWatchOptions replicaWatchOptions(const std::string& table) {
  config::TableWatchOptions options;
  options.table = table;
  options.pause = kReplicaListPause;
  return options;
}

}  // namespace covewing::live
