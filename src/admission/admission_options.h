/// \file
/// Parameters of admission on one node. docs/design/admission.md gives the reason of each default.
#pragma once

#include <array>
#include <cstdint>

#include "base/priority.h"
#include "base/time.h"

namespace covewing::admission {

/// Retries allowed on one node, by all layers together.
struct RetryBudgetOptions {
  /// Retries earned by each admitted request.
  double ratio = 0.1;
  /// Retries earned each second without any request, so that a quiet node may still retry.
  double minimumPerSecond = 1.0;
  /// Most retries saved up.
  double capacity = 20.0;
};

/// Leases of tenant limits between a tenant's home node and the nodes that use them.
struct QuotaOptions {
  /// Time without an answer after which an ask is repeated, and after the last repeat the home
  /// counts as unreachable.
  base::Duration requestTimeout = std::chrono::milliseconds(40);
  std::uint32_t requestRetries = 1;
  /// How long a home that did not answer is not asked again.
  base::Duration unresponsiveHomeBackoff = std::chrono::seconds(1);
  /// Life of leased concurrency slots without renewal.
  base::Duration slotLease = std::chrono::seconds(3);
  /// Life of leased rate tokens.
  base::Duration tokenLease = std::chrono::seconds(1);
  /// Tokens are leased for this much of a node's own recent demand.
  base::Duration tokenBatch = std::chrono::milliseconds(250);
  /// Longest time that a refusal by the home is remembered and given without asking.
  base::Duration refusalCacheTime = std::chrono::milliseconds(500);
  /// Refused requests are told to come back one behind the other, at most this far ahead.
  base::Duration maximumRetryDelay = std::chrono::seconds(5);
  /// Part of a full bucket that a tenant's new home starts with: the former home may have granted
  /// the whole just before.
  double initialBucketShare = 1.0;
  /// A home that started less than this ago starts with an empty bucket: after a restart of all
  /// nodes each takes itself for every tenant's home until it sees the others.
  base::Duration clusterFormationTime{};
  /// For so long after its start a node assumes that there are more nodes than it sees.
  base::Duration joinPeriod{};
  std::size_t assumedNodesWhileJoining = 1;
  /// Part of the limits that a node grants when it is asked in place of a silent home, which other
  /// nodes may still reach.
  double actingHomeShare = 0.2;
  /// A tenant with less than this part of its bucket left is close to its limit.
  double nearLimitShare = 0.25;
  /// Part of its local share that a node grants while it sees other nodes but no home answers.
  double localShareFactor = 0.25;
  /// Part by which a home that does not see all nodes grants more than belongs to those it sees. A
  /// few machines that are replaced cost tenants little then.
  double partialViewTolerance = 0.0;
};

/// The window of requests that wait for their first token.
struct WindowOptions {
  double initial = 64;
  double minimum = 4;
  double maximum = 2000;
  /// Factor on the window when a first token came later than its target.
  double shrinkFactor = 0.8;
  /// Share of the window that a class may fill.
  std::array<double, base::kPriorityClassCount> classShare = {1.0, 0.5, 0.35, 0.25};
};

/// Hold and shed by the expected time to first token.
struct CapacityOptions {
  /// Expected first token, by class, above which a class is held; also bounded by the deadline.
  std::array<base::Duration, base::kPriorityClassCount> target = {
      std::chrono::milliseconds(1500), std::chrono::milliseconds(1000),
      std::chrono::milliseconds(1000), std::chrono::milliseconds(750)};
  WindowOptions window;
  /// The target is at most this share of the template's deadline.
  double deadlineShare = 0.5;
  /// The estimate halves for each such time without a new sample, so that a held class is probed.
  base::Duration estimateHalfLife = std::chrono::milliseconds(500);
  /// While a class is held and nothing is heard of the engines for this long, one request is let
  /// through to see how it fares.
  base::Duration probeInterval = std::chrono::milliseconds(250);
  /// A class is not refused for lack of capacity until no less urgent one has run on this node for
  /// this long: such requests may still run through other nodes.
  base::Duration lowerClassIdleTime = std::chrono::seconds(10);
  /// Requests that may run ahead of their routing estimate while their class is being held.
  std::uint32_t maximumAwaitingEstimate = 4;
  /// Requests held on this node over all classes.
  std::uint32_t maximumHeld = 1000;
  /// Requests admitted and not over on this node.
  std::uint32_t maximumRunning = 10'000;
  /// How often held requests are looked at when nothing else happens.
  base::Duration reviewPeriod = std::chrono::milliseconds(50);
  /// Shortest and longest advice to callers that were refused for lack of capacity.
  base::Duration minimumRetryAfter = std::chrono::seconds(1);
  base::Duration maximumRetryAfter = std::chrono::seconds(30);
};

struct AdmissionOptions {
  CapacityOptions capacity;
  QuotaOptions quota;
  RetryBudgetOptions retry;
};

}  // namespace covewing::admission
