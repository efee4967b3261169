/// \file
/// At-most-once claims: before a not-repeatable request with an Idempotency-Key is dispatched, a
/// row for its tenant and key is created in the table service. Whoever created the row may
/// dispatch; everybody else is refused. docs/design/request-life.md weighs the ways.
///
/// Life of a claim:
///
///     waiting -> committing -> owned                      (the row carries our nonce)
///                           -> duplicate                  (the row carries another nonce)
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
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/result_code.h"
#include "base/time.h"
#include "platform/table_client.h"
#include "request/one_shot_timer.h"

namespace covewing::request {

/// A row that this node created; the right to dispatch one request once.
struct Claim {
  std::string key;
  /// Revision of the commit that created the row: condition of its release.
  base::Revision revision = 0;
};

enum class ClaimStatus : std::uint8_t { kOwned, kDuplicate, kUnavailable };

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  /// Set with kOwned.
  Claim claim;
  base::Reason reason;
};

using ClaimCallback = std::function<void(ClaimResult)>;

/// Limits of one node's use of the table service for claims.
struct ClaimOptions {
  /// Claims that share one transaction.
  std::size_t maximumBatch = 64;
  /// Transactions in flight.
  std::size_t maximumTransactions = 4;
  /// Shortest pause after a refusal by the service; doubles up to the longest.
  base::Duration shortestPause = std::chrono::milliseconds(20);
  base::Duration longestPause = std::chrono::seconds(1);
  /// Attempts to release one claim, or to find out whether an abandoned one took effect.
  std::uint32_t maximumReleaseAttempts = 8;
};

/// Counters for metrics and measurements.
struct ClaimCounters {
  std::uint64_t claims = 0;
  std::uint64_t commits = 0;
  std::uint64_t readBacks = 0;
  std::uint64_t releases = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t unavailable = 0;
};

/// Makes and releases claims for one node. Claims that wait at the same time share a transaction.
class ClaimStore {
 public:
  ClaimStore(platform::TableClient& table, base::TimerService& timers, base::RandomSource& random,
             ClaimOptions options = {});
  ~ClaimStore();
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  /// Claims `idempotencyKey` for the request. Calls back exactly once, later, within `limit`; after
  /// kDuplicate and kUnavailable the request must not be dispatched.
  void claim(base::TenantId tenant, std::string_view idempotencyKey, const base::RequestId& request,
             base::Duration limit, ClaimCallback callback);

  /// Gives the claim up, so that the key can be claimed again. Only for a request that provably did
  /// not run, and that will not be dispatched again under this claim.
  void release(Claim claim);

  const ClaimCounters& counters() const { return counters_; }

  /// Key of the claim's row: tenant and a 128-bit hash of the Idempotency-Key.
  static std::string rowKey(base::TenantId tenant, std::string_view idempotencyKey);
  /// First part of every claim's row key.
  static constexpr std::string_view kKeyPrefix = "claim/";

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;
  using Batch = std::vector<PendingPtr>;

  void sendWaiting();
  Batch takeBatch();
  void commit(Batch batch);
  void onCommitted(const Batch& batch, const platform::TableReply& reply);
  void onConflict(const Batch& batch, const std::vector<platform::TableRow>& rows);
  void readBack(Batch batch);
  void onReadBack(const Batch& batch, const platform::TableReply& reply);
  /// Settles each claim whose row is there; returns the others.
  Batch settleFromRows(const Batch& batch, const std::vector<platform::TableRow>& rows);
  void settleOwned(const PendingPtr& pending, base::Revision revision);
  void settleDuplicate(const PendingPtr& pending, const platform::TableRow& row);
  void onTimeLimit(const PendingPtr& pending);
  void waitAgain(const Batch& batch, bool pause);
  void forget(const PendingPtr& pending);
  void releaseLater(Claim claim, std::uint32_t attempt);
  void sendRelease(Claim claim, std::uint32_t attempt);
  base::Duration nextPause();
  /// Runs `callback` with a later reply, unless this store is gone by then.
  platform::TableCallback guarded(std::function<void(const platform::TableReply&)> callback);
  void afterPause(base::Duration delay, std::function<void()> callback);

  platform::TableClient& table_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  ClaimOptions options_;
  ClaimCounters counters_;
  std::deque<PendingPtr> waiting_;
  /// Keys of the claims in a transaction: a second claim of the same key waits for the first.
  std::set<std::string> keysInFlight_;
  std::size_t transactions_ = 0;
  std::uint32_t refusalsInARow_ = 0;
  OneShotTimer pause_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace covewing::request
