/// \file
/// The ordered queue of requests that wait for room at one replica, kept by the replica's home.
///
/// Load that it answers: more is asked than the replicas can begin in time. Without an order the
/// request that happens to ask at the right moment gets the next place, and a kind of request with
/// a short target gives up first, however urgent it is.
///
/// Order: requests that can still be in time before those that cannot; among these the more urgent
/// first; within one urgency the tenant that has had least of its share; within one tenant the
/// least time left against what the request takes. A request that cannot be served by what is ahead
/// of it is refused at once. The queue knows nothing of caches, messages or the network; whether
/// the replica has room is asked of the caller (`ReplicaCapacity`).
///
/// Bounds, stated as what callers lose:
/// - A less urgent kind that can be in time is served a tenth of what it asks for, however much the
///   more urgent ask: that costs these at most a tenth of the replica for each such kind.
/// - Room kept for more urgent requests that are expected is at most half of the replica, and none
///   where none arrived lately.
/// - A request that lacks room is passed only by requests that do not delay it.
///
/// Contract: single thread; the clock is passed in; equal calls give equal results. Bad input
/// breaks nothing: negative durations count as not known, times more than an hour away count as an
/// hour away, an arrival in the future as one now, a request larger than the memory is refused, and
/// an id that is queued already is answered by its first terms.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "admission/queue_entry.h"
#include "admission/replica_load.h"
#include "admission/retry_schedule.h"
#include "admission/tenant_shares.h"
#include "base/time.h"

namespace covewing::admission {

enum class QueueVerdict : std::uint8_t {
  /// The request gets room now; the caller counts it in `ReplicaCapacity` from here on.
  kGranted,
  /// It waits; a later call of `next`, `removeExpired` or `withdraw` ends that.
  kQueued,
  /// It cannot be served here.
  kRefused,
};

struct OfferResult {
  QueueVerdict verdict = QueueVerdict::kRefused;
  /// Expected time until the request begins; for a refusal, until a request of this urgency and
  /// size would begin in time, spread so that those refused do not come back together. Where the
  /// request might not queue: the expected time until it would have begun.
  base::Duration wait{};
  /// Requests ahead of it.
  std::size_t ahead = 0;
};

/// A request that left the queue without room.
struct QueueRefusal {
  std::uint64_t id = 0;
  base::Duration retryAfter{};
  /// How long it waited, and how many were ahead of it when it left.
  base::Duration waited{};
  std::size_t ahead = 0;
};

struct AdmissionQueueOptions {
  /// Most entries; a request beyond takes the place of the last one in order or is refused.
  /// A replica serves some 30 to 100 requests a second, callers wait a few seconds.
  std::size_t maximumEntries = 256;
  /// Time constant of the observed rates of arrivals and grants by urgency: bursts rise within
  /// about a second.
  base::Duration rateTimeConstant = std::chrono::milliseconds(1000);
};

class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionQueueOptions options = {});

  /// A request asks for room. With `mayQueue` false it is granted or refused at once, and a refusal
  /// says what the wait would be; either way it counts as an arrival of its urgency.
  OfferResult offer(const QueueEntry& entry, const ReplicaCapacity& capacity, bool mayQueue,
                    base::TimePoint now);
  /// Something ended at the replica, or time passed: the request that gets room now, removed from
  /// the queue. Call again, with `room` counting it, until empty.
  std::optional<QueueEntry> next(const ReplicaCapacity& capacity, base::TimePoint now);
  /// The requests that can no longer be served by what is ahead of them, removed from the queue.
  std::vector<QueueRefusal> removeExpired(const ReplicaCapacity& capacity, base::TimePoint now);
  /// The request no longer waits; false when it is not queued.
  bool withdraw(std::uint64_t id);
  /// Takes all entries out, in order: the replica ended, leaves or changes its weights.
  std::vector<QueueEntry> clear();

  std::size_t size() const;

 private:
  struct QueuedRequest {
    QueueEntry entry;
    base::TimePoint queuedAt{};
    /// Latest start in time, earlier by the request's age when it asked: one that came back goes
    /// before a fresh one.
    base::TimePoint due{};
  };
  /// Place in the order: members in order of weight, smaller first.
  struct Rank {
    /// Past its use, or larger than the replica's memory is now: gets no room and holds back
    /// nobody.
    bool ineligible = false;
    bool late = false;
    /// False for a request within the least share of its kind.
    bool beyondMinimumShare = false;
    std::uint32_t urgency = 0;
    std::int64_t tenantUsage = 0;
    base::TimePoint due{};
    std::uint64_t id = 0;
    bool operator<(const Rank& other) const {
      return std::tie(ineligible, late, beyondMinimumShare, urgency, tenantUsage, due, id) <
             std::tie(other.ineligible, other.late, other.beyondMinimumShare, other.urgency,
                      other.tenantUsage, other.due, other.id);
    }
  };
  /// Expected start of one request.
  struct Forecast {
    base::Duration wait{};
    bool servable = false;
  };
  /// What may pass the head of the queue while that lacks room.
  struct OvertakingRule {
    /// Where given, only what has to read at most this many tokens passes.
    std::optional<std::uint32_t> maximumPrefillTokens;
    /// Only what does not delay the head passes.
    bool mustNotDelayHead = false;
    FutureCapacity headStart;
  };

  Rank rankOf(const QueuedRequest& waiting, const LoadSnapshot& load) const;
  std::vector<Rank> ranks(const LoadSnapshot& load) const;
  /// The one that gets room now; the queue's size where there is none.
  std::size_t selectNext(const std::vector<Rank>& ranks, const ReplicaCapacity& capacity,
                         const LoadSnapshot& load) const;
  bool canStart(const QueuedRequest& waiting, const Rank& rank, const ReplicaCapacity& capacity,
                const LoadSnapshot& load) const;
  /// What must be free for it to begin: its own and what is kept for more urgent ones.
  static FreeCapacity requiredCapacity(const QueuedRequest& waiting, const Rank& rank,
                                       const LoadSnapshot& load);
  static bool ineligible(const QueueEntry& entry, const LoadSnapshot& load);
  OvertakingRule overtakingRule(const QueuedRequest& head, const Rank& rank,
                                const LoadSnapshot& load) const;
  static bool mayOvertake(const QueuedRequest& waiting, const OvertakingRule& rule,
                          const LoadSnapshot& load);
  /// The work ahead is in seconds of the whole replica.
  static Forecast forecast(const QueuedRequest& waiting, const Rank& rank, double workAhead,
                           const LoadSnapshot& load);
  /// Whether what is ahead of it shows that it cannot be served.
  static bool unservable(const QueuedRequest& waiting, const Rank& rank, double workAhead,
                         const LoadSnapshot& load);
  OfferResult queueOrRefuse(std::size_t position, bool mayQueue, const std::vector<Rank>& ranks,
                            const LoadSnapshot& load);
  void displaceLast(std::vector<Rank> ranks);
  void grant(std::size_t position, const LoadSnapshot& load);
  QueuedRequest remove(std::size_t position);

  AdmissionQueueOptions options_;
  /// In no order.
  std::vector<QueuedRequest> waiting_;
  /// Gave way when the queue was full; told by `removeExpired`.
  std::vector<QueuedRequest> displaced_;
  ReplicaLoad load_;
  TenantShares shares_;
  RetrySchedule retrySchedule_;
};

}  // namespace covewing::admission
