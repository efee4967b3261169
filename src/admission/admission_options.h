/// \file
/// Parameters of admission control on one node. docs/design/admission.md gives the reason for each
/// default.
#pragma once

#include <array>
#include <cstdint>

#include "base/priority.h"
#include "base/time.h"

namespace covewing::admission {

/// Limit on the retries of one node, shared by all layers that retry.
struct RetryBudgetOptions {
  /// Retries earned per admitted request.
  double ratio = 0.1;
  /// Retries earned per second regardless of traffic, so that a node with few requests can still
  /// retry.
  double minimumPerSecond = 1.0;
  /// Maximum number of unused retries that can accumulate.
  double capacity = 20.0;
};

/// Leasing of tenant limits by a tenant's home node to the nodes that serve the tenant.
struct QuotaOptions {
  /// Time without a reply after which a lease request is sent again. If the last retry is not
  /// answered within this time either, the home node counts as unresponsive.
  base::Duration requestTimeout = std::chrono::milliseconds(40);
  std::uint32_t requestRetries = 1;
  /// Time during which an unresponsive home node is not queried again.
  base::Duration unresponsiveHomeBackOff = std::chrono::seconds(1);
  /// Lifetime of leased concurrency slots unless renewed.
  base::Duration slotLease = std::chrono::seconds(3);
  /// Lifetime of leased rate tokens.
  base::Duration tokenLease = std::chrono::seconds(1);
  /// Rate tokens are leased ahead for this much of the node's own recent demand.
  base::Duration tokenBatch = std::chrono::milliseconds(250);
  /// Maximum time for which a refusal by the home node is cached and applied without another query.
  base::Duration refusalCacheTime = std::chrono::milliseconds(500);
  /// Retries of refused requests are scheduled one after the other, at most this far ahead.
  base::Duration maximumRetryDelay = std::chrono::seconds(5);
  /// Fraction of a full bucket with which a new home node of a tenant starts. The previous home
  /// node may have granted a whole bucket just before.
  double initialBucketShare = 1.0;
  /// A home node that started less than this ago gives new accounts an empty bucket: after a
  /// restart of the whole cluster each node considers itself the home node of every tenant until it
  /// sees the others.
  base::Duration clusterFormationTime{};
  /// For this long after its start a node assumes that there are more nodes than its member list
  /// shows: at least `assumedNodesWhileJoining`.
  base::Duration joinPeriod{};
  std::size_t assumedNodesWhileJoining = 1;
  /// Fraction of the limits that a node grants as a stand-in for an unresponsive home node, which
  /// other nodes may still be able to reach.
  double actingHomeShare = 0.2;
  /// A tenant is near its limit if less than this fraction of its bucket is left.
  double nearLimitShare = 0.25;
  /// Fraction of its local share that a node grants while it sees other nodes but no home node
  /// responds.
  double localShareFactor = 0.25;
  /// Fraction by which a home node that does not see all nodes may grant more than the part of the
  /// limits that belongs to the nodes it sees. This reduces the cost to tenants while a few
  /// machines are being replaced.
  double partialViewTolerance = 0.0;
};

/// Congestion window: limits the number of requests that wait for their first token.
struct WindowOptions {
  double initial = 64;
  double minimum = 4;
  double maximum = 2000;
  /// Factor applied to the window when a first token arrived later than its target.
  double shrinkFactor = 0.8;
  /// Fraction of the window that each class may use.
  std::array<double, base::kPriorityClassCount> classShare = {1.0, 0.5, 0.35, 0.25};
};

/// Hold and shed decisions based on the expected time to first token.
struct CapacityOptions {
  /// Expected time to first token above which requests of a class are held, by class. The deadline
  /// of the request bounds it as well.
  std::array<base::Duration, base::kPriorityClassCount> target = {
      std::chrono::milliseconds(1500), std::chrono::milliseconds(1000),
      std::chrono::milliseconds(1000), std::chrono::milliseconds(750)};
  WindowOptions window;
  /// The target is at most this fraction of the deadline in the tenant's template.
  double deadlineShare = 0.5;
  /// The estimate halves for each such period without a new sample, so that a held class is probed
  /// eventually.
  base::Duration estimateHalfLife = std::chrono::milliseconds(500);
  /// If a class is held and nothing was observed of the engines for this long, one request is let
  /// through as a probe.
  base::Duration probeInterval = std::chrono::milliseconds(250);
  /// A class is not refused for lack of capacity until no request of a less urgent class has run on
  /// this node for this long: such requests may still be running through other nodes.
  base::Duration lowerClassIdleTime = std::chrono::seconds(10);
  /// Maximum number of requests of a held class that may run before their routing estimates arrive.
  std::uint32_t maximumAwaitingEstimate = 4;
  /// Maximum number of requests held on this node, over all classes.
  std::uint32_t maximumHeld = 1000;
  /// Maximum number of admitted, unfinished requests on this node.
  std::uint32_t maximumRunning = 10'000;
  /// Interval at which held requests are re-examined if no other event occurs.
  base::Duration reviewPeriod = std::chrono::milliseconds(50);
  /// Bounds of the retry delay recommended to callers that were refused for lack of capacity.
  base::Duration minimumRetryAfter = std::chrono::seconds(1);
  base::Duration maximumRetryAfter = std::chrono::seconds(30);
};

struct AdmissionOptions {
  CapacityOptions capacity;
  QuotaOptions quota;
  RetryBudgetOptions retry;
};

}  // namespace covewing::admission
