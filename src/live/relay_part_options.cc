#include "live/relay_part_options.h"

#include <algorithm>

#include "clients/weights_client.h"
#include "live/asio_runtime.h"
#include "node/node_count.h"

namespace covewing::live {

namespace {

/// Changes are collected for this long: replicas that load weights change their rows in quick
/// succession.
constexpr base::Duration kReplicaListPause = std::chrono::milliseconds(250);
/// A restarting node joins within a few milliseconds if one of the machines it contacts is up; a
/// node that has not joined any other within this time reads the table service itself. A longer
/// wait delays the time from which the node serves requests.
constexpr base::Duration kMaximumJoinTime = std::chrono::milliseconds(60);
/// A home node grants this fraction more than the share of the nodes that it sees: a third of the
/// tolerance that operators usually specify for limits, 10%.
constexpr double kPartialViewTolerance = 0.03;
/// Shorter than the time to declare a node dead, so that two nodes acting as home at the same time
/// grant little.
constexpr base::Duration kUnresponsiveHomeBackOff = std::chrono::milliseconds(500);
/// A new home node starts with a quarter of a bucket, because the former home may have granted a
/// whole one already.
constexpr double kInitialBucketShare = 0.25;
/// On a link with 5% packet loss, one request in a thousand gets no reply from its home node with
/// two retries, and one in a hundred with one retry; two homes then grant at the same time.
constexpr std::uint32_t kQuotaRequestRetries = 2;
/// A node that restarts together with all others sees most of them after about 0.3 s.
constexpr base::Duration kJoinPeriod = std::chrono::milliseconds(800);
/// Number of nodes assumed for tenants' limits during kJoinPeriod. Each node that has just started
/// acts as the home of all tenants; if there are more nodes than assumed, together they grant more
/// than the limit. 72 nodes that assumed 32 let a tenant with a limit of 280,000 tokens per second
/// use 600,000 tokens more than that within 3 s of their start; assuming 128, they let it use
/// 20,000 more.
constexpr std::size_t kAssumedNodesWhileJoining = 128;

}  // namespace

HttpClientLimits peerLimits(const RelayDialect& dialect) {
  HttpClientLimits limits;
  limits.requestIdHeader = dialect.requestIdHeader();
  limits.unacknowledgedTimeout = std::chrono::milliseconds(1000);
  limits.connectTimeout = std::chrono::milliseconds(300);
  limits.idleTimeout = std::chrono::seconds(20);
  return limits;
}

HttpClientLimits replicaLimits(const RelayDialect& dialect, const RelaySettings& settings) {
  HttpClientLimits limits;
  limits.sourceAddress = settings.sourceAddress;
  limits.requestIdHeader = dialect.requestIdHeader();
  limits.skipMismatchedResponses = true;
  // A sound replica may be silent for more than a second. What it has received by then may not be
  // sent again, and waits for it.
  limits.unacknowledgedTimeout = std::chrono::milliseconds(2500);
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
  // When the holder sends its last order, its last renewal may be almost one interval old.
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
  // A node receives few requests of a tenant between two lease requests, so tokens leased in
  // advance would expire unused.
  options.tokenBatch = {};
  options.requestRetries = kQuotaRequestRetries;
  options.unresponsiveHomeBackOff = kUnresponsiveHomeBackOff;
  options.initialBucketShare = kInitialBucketShare;
  options.clusterFormationTime = node::NodeCountOptions{}.clusterFormationTime;
  options.joinPeriod = kJoinPeriod;
  options.assumedNodesWhileJoining = kAssumedNodesWhileJoining;
  options.partialViewTolerance = kPartialViewTolerance;
  return options;
}

node::NodeCountOptions retryNodeCount() {
  // Unreachable nodes may still send retries, so they are counted for this long. After the fleet
  // was reduced, shares stay smaller for as long.
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
