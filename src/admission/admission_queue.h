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
/// the replica has room is asked of the caller (`Room`).
///
/// Bounds, stated as what callers lose:
/// - A less urgent kind that can be in time is served a tenth of what it asks for, however much the
///   more urgent ask: that costs these at most a tenth of the replica.
/// - Room kept for more urgent requests that are expected is at most half of the replica, and none
///   where none arrived lately.
/// - A request that lacks room is passed only by requests that do not delay it.
///
/// Contract: single thread; the clock is passed in; equal calls give equal results. Bad input
/// breaks nothing: negative durations count as not known, times more than an hour away count as an
/// hour away, an arrival in the future as one now, a request larger than the memory is refused, and
/// an id that is queued already stays queued by its first terms.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "admission/arrival_rates.h"
#include "admission/granted_runs.h"
#include "admission/return_times.h"
#include "admission/tenant_shares.h"
#include "base/time.h"

namespace covewing::admission {

/// What one request takes of a replica while it runs.
struct QueueCost {
  /// Tokens of memory, growth of its output included.
  std::uint32_t tokens = 0;
  /// Tokens of the prompt to be read.
  std::uint32_t unread = 0;
  /// Expected time from its start to its end; zero: not known.
  base::Duration run{};
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
  base::TimePoint latestInTime{};
  /// Beginning after this is of no use to the caller.
  base::TimePoint latestUseful{};
  QueueCost cost;
  /// Share of the tenant in shortage against other tenants of the same urgency; 0 counts as 1.
  std::uint32_t weight = 1;
};

/// What the home knows of the replica's room now.
class Room {
 public:
  virtual ~Room() = default;
  /// Whether the replica can begin this request now, in time where `inTime` is asked for.
  virtual bool fits(const QueueEntry& entry, bool inTime) const = 0;
  /// Requests that the replica runs at once; 0: not known.
  virtual std::uint32_t slots() const = 0;
  /// Requests that run or have been granted.
  virtual std::uint32_t taken() const = 0;
  /// Memory for requests in tokens, 0: not known; and what running requests take of it.
  virtual std::uint64_t memory() const = 0;
  virtual std::uint64_t memoryTaken() const = 0;
  /// How long a request runs here on average.
  virtual base::Duration runTime() const = 0;
};

enum class QueueVerdict : std::uint8_t {
  /// The request gets room now; the caller counts it in `Room` from here on.
  kGranted,
  /// It waits; a later call of `next`, `expired` or `withdraw` ends that.
  kQueued,
  /// It cannot be served here.
  kRefused,
};

struct QueueOffer {
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
  std::size_t mostEntries = 256;
  /// Time constant of the observed rates of arrivals and grants by urgency: bursts rise within
  /// about a second.
  base::Duration rateMemory = std::chrono::milliseconds(1000);
};

class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionQueueOptions options = {});

  /// A request asks for room. With `mayQueue` false it is granted or refused at once, and a refusal
  /// says what the wait would be; either way it counts as an arrival of its urgency.
  QueueOffer offer(const QueueEntry& entry, const Room& room, bool mayQueue, base::TimePoint now);
  /// Something ended at the replica, or time passed: the request that gets room now, removed from
  /// the queue. Call again, with `room` counting it, until empty.
  std::optional<QueueEntry> next(const Room& room, base::TimePoint now);
  /// The requests that can no longer be served by what is ahead of them, removed from the queue.
  std::vector<QueueRefusal> expired(const Room& room, base::TimePoint now);
  /// The request no longer waits; false when it is not queued.
  bool withdraw(std::uint64_t id);
  /// Takes all entries out, in order: the replica ended, leaves or changes its weights.
  std::vector<QueueEntry> clear();

  std::size_t size() const;

 private:
  struct Waiting {
    QueueEntry entry;
    base::TimePoint since{};
    /// Latest start in time, earlier by the request's age when it asked: one that came back goes
    /// before a fresh one.
    base::TimePoint due{};
  };
  /// Place in the order: members in order of weight, smaller first.
  struct Rank {
    bool late = false;
    /// False for a request within the least share of its kind.
    bool served = false;
    std::uint32_t urgency = 0;
    std::int64_t tenantUse = 0;
    base::TimePoint due{};
    std::uint64_t id = 0;
    auto operator<=>(const Rank&) const = default;
  };
  /// What is the same for all entries at one decision.
  struct Moment;
  /// Expected start of one request.
  struct Forecast {
    base::Duration wait{};
    bool servable = false;
  };
  /// What may pass the head of the queue while that lacks room.
  struct Passing {
    bool none = false;
    bool limited = false;
    FutureRoom headBegins;
  };

  /// Seconds of the whole replica that the kind may have before more urgent ones.
  double owedTo(std::uint32_t urgency, base::TimePoint now) const;
  Moment look(const Room& room, base::TimePoint now);
  Rank rankOf(const Waiting& waiting, const Moment& moment) const;
  std::vector<Rank> ranks(const Moment& moment) const;
  /// The one that gets room now; the queue's size where there is none.
  std::size_t choose(const std::vector<Rank>& ranks, const Room& room, const Moment& moment) const;
  bool mayBegin(const Waiting& waiting, const Rank& rank, const Room& room,
                const Moment& moment) const;
  static FreeRoom reserveFor(const Rank& rank, const Moment& moment);
  Passing passingOf(const Waiting& head, const Rank& rank, const Moment& moment) const;
  static bool passes(const Waiting& waiting, const Passing& passing, const Moment& moment);
  /// The work ahead is in seconds of the whole replica.
  static Forecast forecast(const Waiting& waiting, const Rank& rank, double workAhead,
                           const Moment& moment);
  /// Whether what is ahead of it shows that it cannot be served.
  static bool hopeless(const Waiting& waiting, const Rank& rank, double workAhead,
                       const Moment& moment);
  base::Duration retryAfter(const Waiting& waiting, const Rank& rank, double workAhead,
                            const Moment& moment);
  QueueOffer settle(std::size_t place, bool mayQueue, const std::vector<Rank>& ranks,
                    const Moment& moment);
  void makeRoom(std::vector<Rank> ranks);
  void grant(std::size_t place, const Moment& moment);
  Waiting remove(std::size_t place);

  AdmissionQueueOptions options_;
  /// In no order.
  std::vector<Waiting> waiting_;
  /// Gave way when the queue was full; told by `expired`.
  std::vector<Waiting> displaced_;
  ArrivalRates rates_;
  /// The same over a longer time, for the least share of each kind.
  ArrivalRates longRates_;
  /// Of requests that ask for the first time.
  ArrivalRates fresh_;
  TenantShares shares_;
  GrantedRuns runs_;
  ReturnTimes returns_;
  /// Of those whose time to come back would be past their use.
  ReturnTimes lastTries_;
};

}  // namespace covewing::admission
