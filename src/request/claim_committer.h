/// \file
/// Writes claims into the table service, those that wait at the same time in one transaction.
///
/// Life of a claim:
///
///     waiting -> committing -> owned                      (the row carries our value)
///                           -> duplicate                  (the row carries another value)
///                           -> waiting                    (rate limit, no connection, conflict of
///                                                          another claim in the same transaction)
///                           -> reading back -> owned, duplicate or waiting   (answer lost)
///     any of them -> abandoned (time limit): answered "unavailable" at once; should the row turn
///                    out to be ours later, it is released.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "request/claim.h"
#include "request/one_shot_timer.h"
#include "request/token_bucket.h"

namespace covewing::request {

/// Limits of one committer's use of the table service.
struct ClaimCommitOptions {
  /// Claims that share one transaction.
  std::size_t maximumBatch = 64;
  /// Transactions in flight.
  std::size_t maximumTransactions = 4;
  /// Transactions a second, and at once; 0: not paced. Claims that must wait share a later one.
  double transactionsPerSecond = 0;
  double transactionBurst = 1;
  /// An abandoned claim that turns out to be made is released. Only whoever would dispatch the
  /// request may do so.
  bool releaseAbandoned = true;
  /// Shortest pause after a refusal by the service; doubles up to the longest.
  base::Duration minimumBackOff = std::chrono::milliseconds(20);
  base::Duration maximumBackOff = std::chrono::seconds(1);
  /// Attempts to release one claim, or to find out whether an abandoned one took effect.
  std::uint32_t maximumReleaseAttempts = 8;
};

/// Counters for metrics and measurements.
struct ClaimCommitCounters {
  std::uint64_t claims = 0;
  std::uint64_t commits = 0;
  std::uint64_t readBacks = 0;
  std::uint64_t releases = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t unavailable = 0;
};

class ClaimCommitter {
 public:
  ClaimCommitter(clients::TableClient& table, base::Clock& clock, base::TimerService& timers,
                 base::RandomSource& random, ClaimCommitOptions options = {});
  ~ClaimCommitter();
  ClaimCommitter(const ClaimCommitter&) = delete;
  ClaimCommitter& operator=(const ClaimCommitter&) = delete;

  /// Makes the claim. Calls back exactly once, later, within `limit`; after kDuplicate and
  /// kUnavailable the request must not be dispatched.
  void claim(ClaimSpec spec, base::Duration limit, ClaimCallback callback);

  /// Gives the claim up, so that the key can be claimed again. Only for a request that provably did
  /// not run, and that will not be dispatched again under this claim.
  void release(Claim claim);

  const ClaimCommitCounters& counters() const { return counters_; }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;
  using Batch = std::vector<PendingPtr>;

  void sendWaiting();
  /// False, with a timer set, when the pace allows no transaction now.
  bool takeRateToken();
  Batch takeBatch();
  void commit(Batch batch);
  void onCommitted(const Batch& batch, const clients::TableReply& reply);
  void onConflict(const Batch& batch, const std::vector<clients::TableRow>& rows);
  void readBack(Batch batch);
  void onReadBack(const Batch& batch, const clients::TableReply& reply);
  /// Settles each claim whose row is there; returns the others.
  Batch settleFromRows(const Batch& batch, const std::vector<clients::TableRow>& rows);
  void resolve(const PendingPtr& pending, ClaimResult result);
  void settleOwned(const PendingPtr& pending, base::Revision revision);
  void settleDuplicate(const PendingPtr& pending, const clients::TableRow& row);
  void onTimeLimit(const PendingPtr& pending);
  void requeue(const Batch& batch, bool backOff);
  void unlockKey(const PendingPtr& pending);
  void releaseLater(Claim claim, std::uint32_t attempt);
  void sendRelease(Claim claim, std::uint32_t attempt);
  base::Duration nextBackOff();
  /// Runs `callback` with a later reply, unless this store is gone by then.
  clients::TableCallback guarded(std::function<void(const clients::TableReply&)> callback);
  base::TimerId scheduleGuarded(base::Duration delay, std::function<void()> callback);

  clients::TableClient& table_;
  base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  ClaimCommitOptions options_;
  ClaimCommitCounters counters_;
  std::deque<PendingPtr> waiting_;
  /// Keys of the claims in a transaction: a second claim of the same key waits for the first.
  std::set<std::string> keysInFlight_;
  std::size_t transactions_ = 0;
  std::uint32_t consecutiveRejections_ = 0;
  TokenBucket rateLimit_;
  OneShotTimer backOffTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace covewing::request
