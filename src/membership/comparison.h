/// \file
/// Messages by which two nodes find where their knowledge differs, and bring each other up to date.
/// Builds messages from the tables; what comes back is taken in by the owner.
///
/// The asker sends digests of buckets (SyncRequest); the other the versions in the buckets that
/// differ (SyncSummary); the asker what the other lacks, and what it wants (SyncItems); the other
/// what was wanted (SyncItems).
#pragma once

#include "base/random.h"
#include "membership/member_table.h"
#include "membership/membership_message.h"
#include "membership/record_table.h"

namespace covewing::membership {

class Comparison {
 public:
  Comparison(const MemberTable& members, const RecordTable& records, base::RandomSource& random)
      : members_(members), records_(records), random_(random) {}

  SyncRequest request() const;
  /// `cutOff`: the asker is held dead or unknown here, so that much differs, and many like it ask
  /// at once; only a part is compared then.
  SyncSummary summarize(const SyncRequest& request, bool cutOff) const;
  SyncItems itemsFor(const SyncSummary& summary) const;
  SyncItems wantedItems(const SyncItems& items) const;
  /// All live members and all records, for a node that knows nobody.
  SyncItems everything() const;
  /// Packed full update of this node.
  std::string packedSelf() const;

 private:
  void compareMembers(const SyncSummary& summary, SyncItems& items) const;
  void compareRecords(const SyncSummary& summary, SyncItems& items) const;

  const MemberTable& members_;
  const RecordTable& records_;
  base::RandomSource& random_;
};

}  // namespace covewing::membership
