/// \file
/// Priority queue of the requests that wait for capacity of one replica. The home node of the
/// replica keeps it.
///
/// Purpose: the queue orders requests when more are offered than the replicas can start in time.
/// Without an order, the request that polls at the right moment gets the next slot, and requests
/// with a short target are abandoned first, however urgent they are.
///
/// Order: requests that can still meet their soft deadline come before late ones; among these, the
/// more urgent come first; within one urgency level, the tenant that has used the least of its
/// share comes first; within one tenant, the request with the earliest due time. A request that the
/// work ahead of it rules out is refused immediately. The queue has no knowledge of caches,
/// messages or the network; the caller provides the state of the replica through `ReplicaCapacity`.
///
/// Guarantees:
/// - A less urgent level whose requests can be on time is served at least a tenth of its demand,
///   regardless of the demand of more urgent levels. Each such level costs the more urgent ones at
///   most a tenth of the replica.
/// - At most half of the replica's capacity is reserved for expected requests of more urgent
///   levels, and none if no such requests arrived recently.
/// - A request that lacks capacity is overtaken only by requests that do not delay it.
///
/// Contract: single-threaded; the clock is passed in; the same calls give the same results. Invalid
/// input is tolerated: negative durations count as unknown, times more than an hour away count as
/// an hour away, an arrival time in the future counts as now, a request larger than the replica's
/// memory is refused, and an offer with the id of a queued request is decided by the terms of the
/// first offer.
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
  /// The request gets capacity now; from here on the caller includes it in `ReplicaCapacity`.
  kGranted,
  /// The request waits until `next`, `removeExpired`, `withdraw` or `clear` removes it.
  kQueued,
  /// The request cannot be served by this replica.
  kRefused,
};

struct OfferResult {
  QueueVerdict verdict = QueueVerdict::kRefused;
  /// For a queued request: expected time until it starts. For a refusal: delay until a request of
  /// this urgency and size could start on time, spread so that refused requests are not retried
  /// together. For a request that was not allowed to queue: the expected wait it would have had.
  base::Duration wait{};
  /// Number of queued requests ahead of it.
  std::size_t ahead = 0;
};

/// A request that left the queue without getting capacity.
struct QueueRefusal {
  std::uint64_t id = 0;
  base::Duration retryAfter{};
  /// Time spent in the queue, and number of requests that were ahead when it left.
  base::Duration waited{};
  std::size_t ahead = 0;
};

struct AdmissionQueueOptions {
  /// Maximum number of entries. A request beyond it replaces the last one in order, or is refused.
  /// A replica serves some 30 to 100 requests a second, and callers wait a few seconds.
  std::size_t maximumEntries = 256;
  /// Time constant of the observed rates of arrivals and grants per urgency level: bursts build up
  /// within about a second.
  base::Duration rateTimeConstant = std::chrono::milliseconds(1000);
};

class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionQueueOptions options = {});

  /// Offers a request to the queue. If `mayQueue` is false, the request is granted or refused
  /// immediately, and a refusal carries the expected wait. Either way it counts as an arrival of
  /// its urgency level.
  OfferResult offer(const QueueEntry& entry, const ReplicaCapacity& capacity, bool mayQueue,
                    base::TimePoint now);
  /// To be called when a request ended at the replica, or time passed: returns the request that
  /// gets capacity now and removes it from the queue. Call it again, with `capacity` including that
  /// request, until it returns nothing.
  std::optional<QueueEntry> next(const ReplicaCapacity& capacity, base::TimePoint now);
  /// Returns the requests that can no longer be served given the work ahead of them, and removes
  /// them.
  std::vector<QueueRefusal> removeExpired(const ReplicaCapacity& capacity, base::TimePoint now);
  /// Removes a request that no longer waits; false if it is not queued.
  bool withdraw(std::uint64_t id);
  /// Removes and returns all entries in order, for when the replica ended, leaves or changes its
  /// weights.
  std::vector<QueueEntry> clear();

  std::size_t size() const;

 private:
  struct QueuedRequest {
    QueueEntry entry;
    base::TimePoint queuedAt{};
    /// Soft deadline of the start, moved earlier by the age of the request at its offer, so that a
    /// retried request precedes a first attempt.
    base::TimePoint due{};
  };
  /// Position in the order. Members are compared in this sequence; smaller values come first.
  struct Rank {
    /// Past its hard deadline, or larger than the replica's memory: gets no capacity and blocks no
    /// other request.
    bool ineligible = false;
    bool late = false;
    /// False for a request covered by the minimum share of its urgency level.
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
  /// Expected start of a request.
  struct Forecast {
    base::Duration wait{};
    bool servable = false;
  };
  /// Which requests may overtake the head of the queue while it lacks capacity.
  struct OvertakingRule {
    /// If set, only requests with at most this many tokens to prefill may overtake.
    std::optional<std::uint32_t> maximumPrefillTokens;
    /// If set, only requests that do not delay the head may overtake.
    bool mustNotDelayHead = false;
    FutureCapacity headStart;
  };

  Rank rankOf(const QueuedRequest& waiting, const LoadSnapshot& load) const;
  std::vector<Rank> ranks(const LoadSnapshot& load) const;
  /// Index of the request that gets capacity now; the size of the queue if there is none.
  std::size_t selectNext(const std::vector<Rank>& ranks, const ReplicaCapacity& capacity,
                         const LoadSnapshot& load) const;
  bool canStart(const QueuedRequest& waiting, const Rank& rank, const ReplicaCapacity& capacity,
                const LoadSnapshot& load) const;
  /// Capacity that must be free for the request to start: its own, and the reserve for more urgent
  /// requests.
  static FreeCapacity requiredCapacity(const QueuedRequest& waiting, const Rank& rank,
                                       const LoadSnapshot& load);
  static bool ineligible(const QueueEntry& entry, const LoadSnapshot& load);
  OvertakingRule overtakingRule(const QueuedRequest& head, const Rank& rank,
                                const LoadSnapshot& load) const;
  static bool mayOvertake(const QueuedRequest& waiting, const OvertakingRule& rule,
                          const LoadSnapshot& load);
  /// `workAhead` is in seconds of the whole replica.
  static Forecast forecast(const QueuedRequest& waiting, const Rank& rank, double workAhead,
                           const LoadSnapshot& load);
  /// Whether the work ahead of the request shows that it cannot be served.
  static bool unservable(const QueuedRequest& waiting, const Rank& rank, double workAhead,
                         const LoadSnapshot& load);
  OfferResult queueOrRefuse(std::size_t position, bool mayQueue, const std::vector<Rank>& ranks,
                            const LoadSnapshot& load);
  void displaceLast(std::vector<Rank> ranks);
  void grant(std::size_t position, const LoadSnapshot& load);
  QueuedRequest remove(std::size_t position);

  AdmissionQueueOptions options_;
  /// Unordered.
  std::vector<QueuedRequest> waiting_;
  /// Displaced while the queue was full; returned by the next `removeExpired`.
  std::vector<QueuedRequest> displaced_;
  ReplicaLoad load_;
  TenantShares shares_;
  RetrySchedule retrySchedule_;
};

}  // namespace covewing::admission
