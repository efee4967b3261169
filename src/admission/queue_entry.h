/// \file
/// A request that asks for room at one replica, and what is known of that room.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace covewing::admission {

/// What one request takes of a replica while it runs.
struct QueueCost {
  /// Tokens of memory, growth of its output included.
  std::uint32_t tokens = 0;
  /// Tokens of the prompt to be read.
  std::uint32_t prefillTokens = 0;
  /// Expected time from its start to its end; zero: not known.
  base::Duration runTime{};
};

/// A request that asks for room. Times are on the home's clock.
struct QueueEntry {
  /// Names the request at its home; unique.
  std::uint64_t id = 0;
  /// 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Hash of the tenant's name; 0: none.
  std::uint64_t tenant = 0;
  /// When the request reached the system; equal for a request that came back after a refusal where
  /// that is known.
  base::TimePoint arrivedAt{};
  /// The answer is in time if the request begins by then.
  base::TimePoint softStartDeadline{};
  /// Beginning after this is of no use to the caller.
  base::TimePoint hardStartDeadline{};
  QueueCost cost;
  /// Share of the tenant in shortage against other tenants of the same urgency; 0 counts as 1.
  std::uint32_t weight = 1;
};

/// A request that asks this long after it reached the system does not ask for the first time.
constexpr base::Duration kFirstAttemptWithin = std::chrono::milliseconds(250);

/// Whether the request that asks at this time came back after a refusal, or asked elsewhere before.
inline bool isRetry(const QueueEntry& entry, base::TimePoint at) {
  return at - entry.arrivedAt >= kFirstAttemptWithin;
}

/// What the home knows of the replica's room now.
class ReplicaCapacity {
 public:
  virtual ~ReplicaCapacity() = default;
  /// Whether the replica can begin this request now, in time where `inTime` is asked for.
  virtual bool fits(const QueueEntry& entry, bool onTime) const = 0;
  /// Requests that the replica runs at once; 0: not known.
  virtual std::uint32_t slots() const = 0;
  /// Requests that run or have been granted.
  virtual std::uint32_t slotsInUse() const = 0;
  /// Memory for requests in tokens, 0: not known; and what running requests take of it.
  virtual std::uint64_t memory() const = 0;
  virtual std::uint64_t memoryInUse() const = 0;
  /// How long a request runs here on average.
  virtual base::Duration meanRunTime() const = 0;
};

}  // namespace covewing::admission
