/// \file
/// Removes claims whose retention has ended, without any shared clock.
///
/// The row `claim-epochs` divides the revisions of the table service into epochs. Whoever has seen
/// it unchanged for one epoch's length on its own clock starts the next one by compare-and-set, so
/// an epoch lasts at least that long by anybody's clock. A claim is removed once its revision is
/// older than the start of the last `retainedEpochs` epochs. Each shard of the key space is cleaned
/// by one live node, chosen by rendezvous hashing; two nodes that clean the same shard for a while
/// do no harm, because each removal is conditional on the row's revision.
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
  /// A claim is kept for at least this many epochs.
  std::size_t retainedEpochs = 24;
  /// Mean time between two looks at the epochs, and then at one of this node's shards.
  base::Duration period = std::chrono::seconds(60);
  /// Claims removed in one transaction.
  std::size_t rowsPerRemoval = 100;
};

/// All must outlive the expiry and share its thread.
struct ClaimExpiryEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  clients::TableClient& table;
  const membership::MemberDirectory& members;
};

/// The epochs as stored.
struct ClaimEpochs {
  /// Revisions at which the epochs before the current one started, oldest first.
  std::vector<base::Revision> starts;
  /// Revision at which the current epoch started.
  base::Revision current = 0;

  /// Claims of this revision or an older one may be removed; 0 while none may.
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
  /// The next of the shards that this node cleans; empty when it cleans none.
  std::optional<std::uint32_t> nextShard();
  bool ownsShard(std::uint32_t shard) const;
  void cleanShard(std::uint32_t shard, base::Revision upTo);
  void onScanned(std::uint32_t shard, base::Revision upTo, const clients::TableReply& reply);
  clients::TableCallback guarded(std::function<void(const clients::TableReply&)> callback);

  ClaimExpiryOptions options_;
  ClaimExpiryEnvironment environment_;
  OneShotTimer timer_;
  /// The current epoch and when this node first saw it.
  base::Revision seenEpoch_ = 0;
  bool epochSeen_ = false;
  base::TimePoint epochFirstSeenAt_;
  std::uint32_t lastShard_ = 0;
  std::uint64_t removed_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace covewing::request
