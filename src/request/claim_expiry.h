/// \file
/// Removes claims whose retention period has ended, without relying on synchronized clocks.
///
/// The row `claim-epochs` divides the revisions of the table service into epochs. A node that has
/// seen this row unchanged for the length of an epoch, by its own clock, starts the next epoch by
/// compare-and-set. So every epoch lasts at least that long, whichever node ends it. A claim is
/// removed once its revision is older than the start of the last `retainedEpochs` epochs. The
/// expired claims of each shard of the key space are removed by one live node, chosen by rendezvous
/// hashing. Two nodes may temporarily work on the same shard; this does no harm, because each
/// removal is conditional on the revision of the row.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "membership/member_directory.h"
#include "request/one_shot_timer.h"

namespace covewing::request {

struct ClaimExpiryOptions {
  base::Duration epochLength = std::chrono::hours(1);
  /// Minimum retention of a claim, in epochs.
  std::size_t retainedEpochs = 24;
  /// Mean interval between two rounds. Each round reads the epochs and then removes expired claims
  /// from one of this node's shards.
  base::Duration period = std::chrono::seconds(60);
  /// Maximum number of claims removed in one transaction.
  std::size_t rowsPerRemoval = 100;
};

/// Services used by ClaimExpiry. All must outlive it and are used on its thread.
struct ClaimExpiryEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  clients::TableClient& table;
  const membership::MemberDirectory& members;
};

/// Content of the epochs row.
struct ClaimEpochs {
  /// Revisions at which earlier epochs started, oldest first.
  std::vector<base::Revision> starts;
  /// Revision at which the current epoch started.
  base::Revision current = 0;

  /// Latest revision whose claims may be removed; 0 if no claim may be removed yet.
  base::Revision expiredUpTo(std::size_t retainedEpochs) const;
};

class ClaimExpiry {
 public:
  static constexpr std::string_view kEpochsKey = "claim-epochs";

  ClaimExpiry(ClaimExpiryOptions options, const ClaimExpiryEnvironment& environment);
  ~ClaimExpiry();
  ClaimExpiry(const ClaimExpiry&) = delete;
  ClaimExpiry& operator=(const ClaimExpiry&) = delete;

  void start();
  std::uint64_t removed() const { return removed_; }

 private:
  void scheduleNext();
  void onPeriod();
  void onEpochs(const clients::TableReply& reply);
  void startEpoch(const ClaimEpochs& epochs);
  /// The next shard for which this node is responsible; empty if it is responsible for none.
  std::optional<std::uint32_t> nextShard();
  bool ownsShard(std::uint32_t shard) const;
  void cleanShard(std::uint32_t shard, base::Revision upTo);
  void onScanned(std::uint32_t shard, base::Revision upTo, const clients::TableReply& reply);
  clients::TableCallback guarded(std::function<void(const clients::TableReply&)> callback);

  ClaimExpiryOptions options_;
  ClaimExpiryEnvironment environment_;
  OneShotTimer timer_;
  /// The current epoch, and the time at which this node first saw it.
  base::Revision seenEpoch_ = 0;
  bool epochSeen_ = false;
  base::TimePoint epochFirstSeenAt_;
  std::uint32_t lastShard_ = 0;
  std::uint64_t removed_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace covewing::request
