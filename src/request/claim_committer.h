/// \file
/// Writes claims into the table service. Claims that are waiting at the same time are committed in
/// one transaction.
///
/// States of a claim:
///
///     waiting -> committing -> owned                      (the row carries our value)
///                           -> duplicate                  (the row carries another value)
///                           -> waiting                    (rate limit, no connection, conflict of
///                                                          another claim in the same transaction)
///                           -> reading back -> owned, duplicate or waiting   (reply lost)
///     any of them -> abandoned (time limit): reported as unavailable at once; if the row later
///                    turns out to be ours, it is released.
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

/// Limits on the load that one committer puts on the table service.
struct ClaimCommitOptions {
  /// Maximum number of claims in one transaction.
  std::size_t maximumBatch = 64;
  /// Maximum number of transactions in flight.
  std::size_t maximumTransactions = 4;
  /// Rate limit in transactions per second, and the burst; a rate of 0 means no limit. Claims that
  /// have to wait share a later transaction.
  double transactionsPerSecond = 0;
  double transactionBurst = 1;
  /// Whether an abandoned claim is released if it turns out to have been committed. Only the node
  /// that would dispatch the request may release it.
  bool releaseAbandoned = true;
  /// Back-off after the table service rejected a transaction: starts at the minimum and doubles up
  /// to the maximum.
  base::Duration minimumBackOff = std::chrono::milliseconds(20);
  base::Duration maximumBackOff = std::chrono::seconds(1);
  /// Maximum number of attempts to release a claim, and of read-backs to find out whether an
  /// abandoned claim was committed.
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

  /// Writes the claim. Calls `callback` exactly once, asynchronously, within `limit`. If the result
  /// is kDuplicate or kUnavailable, the request must not be dispatched.
  void claim(ClaimSpec spec, base::Duration limit, ClaimCallback callback);

  /// Releases the claim, so that the key can be claimed again. Only allowed for a request that
  /// provably was not executed and will not be dispatched again under this claim.
  void release(Claim claim);

  const ClaimCommitCounters& counters() const { return counters_; }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;
  using Batch = std::vector<PendingPtr>;

  void sendWaiting();
  /// Whether the rate limit allows a transaction now. If not, starts a timer that sends the waiting
  /// claims later.
  bool takeRateToken();
  Batch takeBatch();
  void commit(Batch batch);
  void onCommitted(const Batch& batch, const clients::TableReply& reply);
  void onConflict(const Batch& batch, const std::vector<clients::TableRow>& rows);
  void readBack(Batch batch);
  void onReadBack(const Batch& batch, const clients::TableReply& reply);
  /// Settles the claims whose row is in `rows`, and returns the others.
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
  /// Wraps `callback` so that it is not called after this committer was destroyed.
  clients::TableCallback guarded(std::function<void(const clients::TableReply&)> callback);
  base::TimerId scheduleGuarded(base::Duration delay, std::function<void()> callback);

  clients::TableClient& table_;
  base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  ClaimCommitOptions options_;
  ClaimCommitCounters counters_;
  std::deque<PendingPtr> waiting_;
  /// Keys of the claims that are in a transaction. A second claim of the same key waits until the
  /// first is settled.
  std::set<std::string> keysInFlight_;
  std::size_t transactions_ = 0;
  std::uint32_t consecutiveRejections_ = 0;
  TokenBucket rateLimit_;
  OneShotTimer backOffTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace covewing::request
