/// \file
/// A request that needs capacity of one replica, and the interface to the state of that capacity.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace covewing::admission {

/// Resources of a replica that one request uses while it runs.
struct QueueCost {
  /// Tokens of memory, including the growth by the request's output.
  std::uint32_t tokens = 0;
  /// Tokens of the prompt that have to be prefilled.
  std::uint32_t prefillTokens = 0;
  /// Expected time from the start of the request to its end; zero if unknown.
  base::Duration runTime{};
};

/// A request for capacity. Times refer to the clock of the replica's home node.
struct QueueEntry {
  /// Identifies the request at the home node; unique.
  std::uint64_t id = 0;
  /// Urgency level; 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Hash of the tenant's name; 0 if the request has no tenant.
  std::uint64_t tenant = 0;
  /// When the request first reached the system. A retry after a refusal keeps the time of its first
  /// attempt if that is known.
  base::TimePoint arrivedAt{};
  /// Soft deadline: the response is on time if the request starts by then.
  base::TimePoint softStartDeadline{};
  /// Hard deadline: a start after this is of no use to the caller.
  base::TimePoint hardStartDeadline{};
  QueueCost cost;
  /// Relative share of the tenant against other tenants of the same urgency level in a shortage; 0
  /// counts as 1.
  std::uint32_t weight = 1;
};

/// A request that arrives here later than this after it reached the system is not a first attempt.
constexpr base::Duration kFirstAttemptWithin = std::chrono::milliseconds(250);

/// Whether a request that arrives at this time is a retry after a refusal, or was offered elsewhere
/// before.
inline bool isRetry(const QueueEntry& entry, base::TimePoint at) {
  return at - entry.arrivedAt >= kFirstAttemptWithin;
}

/// Capacity of a replica, as known to its home node.
class ReplicaCapacity {
 public:
  virtual ~ReplicaCapacity() = default;
  /// Whether the replica can start this request now; with `onTime`, whether it can start it before
  /// its soft deadline.
  virtual bool fits(const QueueEntry& entry, bool onTime) const = 0;
  /// Maximum number of concurrent requests of the replica; 0 if unknown.
  virtual std::uint32_t slots() const = 0;
  /// Number of requests that run or have been granted.
  virtual std::uint32_t slotsInUse() const = 0;
  /// Memory for requests in tokens (0 if unknown), and the part of it that running requests use.
  virtual std::uint64_t memory() const = 0;
  virtual std::uint64_t memoryInUse() const = 0;
  /// Average run time of a request on this replica.
  virtual base::Duration meanRunTime() const = 0;
};

}  // namespace covewing::admission
