/// \file
/// What one node knows of all members: their versions, the live ones in order, suspicions with
/// their deadlines, and digests by which two nodes find where their knowledge differs. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "membership/member_directory.h"
#include "membership/member_update.h"

namespace covewing::membership {

/// How long members that are gone stay known, so that outdated updates do not bring them back and
/// partitions are found to have healed.
struct MemberRetention {
  base::Duration dead = std::chrono::minutes(30);
  base::Duration left = std::chrono::minutes(5);
};

/// What an update did.
struct MemberChange {
  enum class Kind : std::uint8_t {
    /// Nothing new.
    kNone,
    /// Older than what is known.
    kOutdated,
    /// About a member that is not known, without its address.
    kUnknown,
    kChanged,
  };
  Kind kind = Kind::kNone;
  /// Empty for a member that was not known.
  std::optional<MemberState> before;
  const Member* member = nullptr;
};

/// A live member's version as digest exchange compares it.
struct MemberSummary {
  base::NodeId id;
  base::Incarnation incarnation = 0;
  std::uint32_t sequence = 0;
};

class MemberTable {
 public:
  static constexpr std::size_t kBucketCount = 16;
  using BucketDigests = std::array<std::uint32_t, kBucketCount>;

  MemberTable(Member self, MemberRetention retention);

  const Member& self() const { return self_->member; }
  /// Live members ascending by id; valid until the next change.
  const std::vector<Member>& live() const;
  const Member* find(base::NodeId id) const;
  /// Members held dead; those that left by themselves do not count.
  std::size_t lost() const;
  std::uint64_t version() const { return version_; }

  /// Applies an update about another member. Whoever is suspected is to be held dead at `deadline`,
  /// which is on the time scale of `expiredSuspicions`.
  MemberChange apply(const MemberUpdate& update, base::TimePoint now, base::Duration deadline);
  /// Raises the own sequence above `accused` (0: above the present one), as alive or left.
  void renewSelf(std::uint32_t accused, MemberState state, bool draining);
  std::uint32_t sequenceOf(base::NodeId id) const;
  MemberVersion versionOf(base::NodeId id) const;

  /// Members whose suspicion has run out. `running` is the time that this process has been running,
  /// pauses left out: what it could not hear in a pause condemns nobody.
  std::vector<base::NodeId> expiredSuspicions(base::Duration running) const;
  /// When the member is to be held dead, on the time scale of `expiredSuspicions`; empty if it is
  /// not suspected.
  std::optional<base::Duration> suspicionDeadline(base::NodeId id) const;
  /// Forgets members that have been gone for long.
  void purge(base::TimePoint now);

  /// A random live member other than self and `excluded`; null if there is none.
  const Member* randomLive(base::RandomSource& random, base::NodeId excluded = {}) const;
  /// Up to `count` different ones, in random order.
  std::vector<const Member*> randomLive(base::RandomSource& random, std::size_t count,
                                        base::NodeId excluded) const;
  /// Up to `count` different suspected members.
  std::vector<base::NodeId> randomSuspects(base::RandomSource& random, std::size_t count) const;
  /// A random member held dead; null if there is none.
  const Member* randomDead(base::RandomSource& random) const;

  const BucketDigests& digests() const { return digests_; }
  static std::size_t bucketOf(base::NodeId id) { return id.value % kBucketCount; }
  /// The live members of the buckets whose bit is set.
  std::vector<MemberSummary> summary(std::uint32_t bucketMask) const;

 private:
  struct Entry {
    Member member;
    std::uint32_t sequence = 0;
    base::TimePoint changedAt;
  };

  void changed(const Entry& entry, std::uint32_t digestBefore);

  MemberRetention retention_;
  std::map<base::NodeId, Entry> entries_;
  /// Suspected members and when they are held dead.
  std::map<base::NodeId, base::Duration> suspicions_;
  /// Members held dead or known to have left.
  std::set<base::NodeId> gone_;
  Entry* self_;
  /// Built when first asked for after a change.
  mutable std::vector<Member> live_;
  mutable bool liveOutdated_ = true;
  BucketDigests digests_{};
  std::uint64_t version_ = 0;
};

}  // namespace covewing::membership
