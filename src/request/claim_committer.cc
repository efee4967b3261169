#include "request/claim_committer.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace covewing::request {

using clients::TableReply;
using clients::TableRow;
using clients::TableStatus;

namespace {

constexpr double kBackOffJitter = 0.5;
constexpr std::uint32_t kMaximumDoublings = 6;

const TableRow* findRow(const std::vector<TableRow>& rows, const std::string& key) {
  const auto found = std::ranges::find(rows, key, &TableRow::key);
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace

struct ClaimCommitter::Pending {
  std::string key;
  std::string value;
  ClaimCallback callback;
  base::TimerId limitTimer = 0;
  /// A transaction with this claim was sent, and its outcome is unknown.
  bool uncertain = false;
  /// The time limit has passed before the claim was settled.
  bool abandoned = false;
  /// Number of read-backs since the claim was abandoned.
  std::uint32_t readBacksSinceAbandoned = 0;
};

ClaimCommitter::ClaimCommitter(clients::TableClient& table, base::Clock& clock,
                               base::TimerService& timers, base::RandomSource& random,
                               ClaimCommitOptions options)
    : table_(table),
      clock_(clock),
      timers_(timers),
      random_(random),
      options_(options),
      rateLimit_(options.transactionsPerSecond, options.transactionBurst, clock.now()),
      backOffTimer_(timers) {}

ClaimCommitter::~ClaimCommitter() = default;

void ClaimCommitter::claim(ClaimSpec spec, base::Duration limit, ClaimCallback callback) {
  ++counters_.claims;
  const auto pending = std::make_shared<Pending>();
  pending->key = std::move(spec.key);
  pending->value = std::move(spec.value);
  pending->uncertain = spec.uncertain;
  pending->callback = std::move(callback);
  const std::weak_ptr<Pending> weak = pending;
  pending->limitTimer = scheduleGuarded(limit, [this, weak] {
    if (const PendingPtr locked = weak.lock()) onTimeLimit(locked);
  });
  waiting_.push_back(pending);
  sendWaiting();
}

void ClaimCommitter::sendWaiting() {
  while (!backOffTimer_.running() && transactions_ < options_.maximumTransactions) {
    if (waiting_.empty() || !takeRateToken()) return;
    Batch batch = takeBatch();
    if (batch.empty()) return;
    const auto firstAbandoned = std::stable_partition(
        batch.begin(), batch.end(), [](const PendingPtr& pending) { return !pending->abandoned; });
    // Abandoned claims are only read back, so that they can be released if they were committed.
    Batch abandoned(firstAbandoned, batch.end());
    batch.erase(firstAbandoned, batch.end());
    if (!abandoned.empty()) readBack(std::move(abandoned));
    if (!batch.empty()) commit(std::move(batch));
  }
}

void ClaimCommitter::resolve(const PendingPtr& pending, ClaimResult result) {
  timers_.cancel(pending->limitTimer);
  const ClaimCallback callback = std::exchange(pending->callback, nullptr);
  if (callback != nullptr) callback(std::move(result));
}

bool ClaimCommitter::takeRateToken() {
  if (options_.transactionsPerSecond <= 0) return true;
  const base::Duration wait = rateLimit_.take(clock_.now());
  if (wait == base::Duration::zero()) return true;
  backOffTimer_.start(wait, [this] { sendWaiting(); });
  return false;
}

ClaimCommitter::Batch ClaimCommitter::takeBatch() {
  Batch batch;
  std::deque<PendingPtr> remaining;
  for (PendingPtr& pending : waiting_) {
    if (pending->abandoned && !pending->uncertain) continue;
    const bool full = batch.size() >= options_.maximumBatch;
    if (full || !keysInFlight_.insert(pending->key).second) {
      remaining.push_back(std::move(pending));
    } else {
      batch.push_back(std::move(pending));
    }
  }
  waiting_ = std::move(remaining);
  return batch;
}

void ClaimCommitter::commit(Batch batch) {
  clients::TableTransaction transaction;
  for (const PendingPtr& pending : batch) {
    transaction.conditions.push_back({pending->key, 0});
    transaction.writes.push_back({pending->key, pending->value});
  }
  ++counters_.commits;
  ++transactions_;
  table_.commit(std::move(transaction),
                guarded([this, batch = std::move(batch)](const TableReply& reply) {
                  --transactions_;
                  onCommitted(batch, reply);
                  sendWaiting();
                }));
}

void ClaimCommitter::onCommitted(const Batch& batch, const TableReply& reply) {
  switch (reply.status) {
    case TableStatus::kOk:
      consecutiveRejections_ = 0;
      for (const PendingPtr& pending : batch) settleOwned(pending, reply.revision);
      return;
    case TableStatus::kConflict:
      consecutiveRejections_ = 0;
      onConflict(batch, reply.rows);
      return;
    case TableStatus::kRateLimited:
    case TableStatus::kUnavailable:
      requeue(batch, true);
      return;
    case TableStatus::kUnknown:
      for (const PendingPtr& pending : batch) pending->uncertain = true;
      readBack(batch);
      return;
  }
}

void ClaimCommitter::onConflict(const Batch& batch, const std::vector<TableRow>& rows) {
  const Batch others = settleFromRows(batch, rows);
  // If no claim was settled, the conflict is unexplained: back off instead of retrying at once.
  const bool unexplained = others.size() == batch.size();
  requeue(others, unexplained);
}

void ClaimCommitter::readBack(Batch batch) {
  std::vector<std::string> keys;
  keys.reserve(batch.size());
  for (const PendingPtr& pending : batch) keys.push_back(pending->key);
  ++counters_.readBacks;
  ++transactions_;
  table_.read(std::move(keys), guarded([this, batch = std::move(batch)](const TableReply& reply) {
                --transactions_;
                onReadBack(batch, reply);
                sendWaiting();
              }));
}

void ClaimCommitter::onReadBack(const Batch& batch, const TableReply& reply) {
  if (reply.status == TableStatus::kOk) {
    consecutiveRejections_ = 0;
    requeue(settleFromRows(batch, reply.rows), false);
    return;
  }
  Batch remaining;
  for (const PendingPtr& pending : batch) {
    const bool exhausted =
        pending->abandoned && ++pending->readBacksSinceAbandoned > options_.maximumReleaseAttempts;
    if (exhausted) {
      unlockKey(pending);
    } else {
      remaining.push_back(pending);
    }
  }
  if (remaining.empty()) return;
  scheduleGuarded(nextBackOff(), [this, remaining = std::move(remaining)] { readBack(remaining); });
}

ClaimCommitter::Batch ClaimCommitter::settleFromRows(const Batch& batch,
                                                     const std::vector<TableRow>& rows) {
  Batch others;
  for (const PendingPtr& pending : batch) {
    const TableRow* row = findRow(rows, pending->key);
    if (row == nullptr) {
      others.push_back(pending);
    } else if (row->value == pending->value) {
      settleOwned(pending, row->revision);
    } else {
      settleDuplicate(pending, *row);
    }
  }
  return others;
}

void ClaimCommitter::settleOwned(const PendingPtr& pending, base::Revision revision) {
  unlockKey(pending);
  Claim claim{pending->key, revision};
  if (pending->abandoned) {
    if (options_.releaseAbandoned) release(std::move(claim));
    return;
  }
  resolve(pending, {ClaimStatus::kOwned, std::move(claim), {}});
}

void ClaimCommitter::settleDuplicate(const PendingPtr& pending, const TableRow& row) {
  unlockKey(pending);
  if (pending->abandoned) return;
  ++counters_.duplicates;
  base::Reason reason{base::ResultCode::kDuplicateRequest,
                      fmt::format("claimed before by request {}", requestIdOfClaim(row.value))};
  resolve(pending, {ClaimStatus::kDuplicate, {}, std::move(reason)});
}

void ClaimCommitter::onTimeLimit(const PendingPtr& pending) {
  ++counters_.unavailable;
  pending->abandoned = true;
  resolve(pending, {ClaimStatus::kUnavailable,
                    {},
                    {base::ResultCode::kClaimUnavailable, "the table service did not answer"}});
}

void ClaimCommitter::requeue(const Batch& batch, bool backOff) {
  if (batch.empty()) return;
  for (const PendingPtr& pending : batch) {
    unlockKey(pending);
    // An abandoned claim is not written again. A delayed commit of it may still take effect later.
    // The only effect of such a row is that its key is refused until the retention of the claim
    // ends.
    if (!pending->abandoned) waiting_.push_back(pending);
  }
  if (!backOff || backOffTimer_.running()) return;
  backOffTimer_.start(nextBackOff(), [this] { sendWaiting(); });
}

void ClaimCommitter::unlockKey(const PendingPtr& pending) { keysInFlight_.erase(pending->key); }

void ClaimCommitter::release(Claim claim) { sendRelease(std::move(claim), 1); }

void ClaimCommitter::sendRelease(Claim claim, std::uint32_t attempt) {
  ++counters_.releases;
  clients::TableTransaction transaction;
  // The condition is the revision of our own write, so the row of another request is never removed.
  transaction.conditions.push_back({claim.key, claim.revision});
  transaction.writes.push_back({claim.key, std::nullopt});
  table_.commit(std::move(transaction),
                guarded([this, claim = std::move(claim), attempt](const TableReply& reply) {
                  const bool settled =
                      reply.status == TableStatus::kOk || reply.status == TableStatus::kConflict;
                  if (settled || attempt >= options_.maximumReleaseAttempts) return;
                  releaseLater(claim, attempt + 1);
                }));
}

void ClaimCommitter::releaseLater(Claim claim, std::uint32_t attempt) {
  const base::Duration delay =
      options_.minimumBackOff * (1U << std::min(attempt, kMaximumDoublings));
  scheduleGuarded(random_.jittered(delay, kBackOffJitter),
                  [this, claim = std::move(claim), attempt] { sendRelease(claim, attempt); });
}

base::Duration ClaimCommitter::nextBackOff() {
  const std::uint32_t doublings = std::min(consecutiveRejections_++, kMaximumDoublings);
  const base::Duration backOff = options_.minimumBackOff * (1U << doublings);
  return random_.jittered(std::min(backOff, options_.maximumBackOff), kBackOffJitter);
}

clients::TableCallback ClaimCommitter::guarded(std::function<void(const TableReply&)> callback) {
  const std::weak_ptr<bool> alive = alive_;
  return [alive, callback = std::move(callback)](const TableReply& reply) {
    if (!alive.expired()) callback(reply);
  };
}

base::TimerId ClaimCommitter::scheduleGuarded(base::Duration delay,
                                              std::function<void()> callback) {
  const std::weak_ptr<bool> alive = alive_;
  return timers_.schedule(delay, [alive, callback = std::move(callback)] {
    if (!alive.expired()) callback();
  });
}

}  // namespace covewing::request
