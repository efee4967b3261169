/// \file
/// A copy of one table of the table service that can tell others what changed behind a revision,
/// removals included. Removals are remembered up to a bound; behind that only the whole copy helps.
///
/// When the service comes back from a copy, its history goes on from an earlier point in a new era.
/// The copy takes the whole table as it is then, and keeps the rows that have not changed: so it
/// can still tell a node that knows the former era up to some point, but no further than this copy
/// did, what is different since, without the whole table.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clients/table_feed_client.h"

namespace covewing::config {

/// A row that is newer than a copy was changed after the copy was proved current: takes that for
/// the moment after which it was changed, unless a later one is known.
void boundChange(clients::FeedRow& row, base::Revision copied,
                 const std::optional<base::TimePoint>& provedAt);

class TableCopy {
 public:
  using Rows = std::vector<clients::FeedRow>;

  /// `removals` is the number of removed rows that are remembered.
  explicit TableCopy(std::size_t removals = 256) : mostRemovals_(removals) {}

  /// Takes a whole copy as of a revision; rows that it lacks were removed. One of a former era is
  /// passed over.
  void replace(const Rows& rows, base::Revision revision);
  /// Takes the changes up to a revision. Rows older than those known are passed over. Where the
  /// revision is of a later era, they must be all that is different from this copy.
  void apply(const Rows& rows, base::Revision revision);

  /// The revision that the copy is complete up to; empty before the first whole copy.
  std::optional<base::Revision> revision() const { return revision_; }
  /// All rows that are present.
  Rows all() const;
  /// What changed behind `after`, ascending by revision; empty when some of it was forgotten, or
  /// when `after` lies in a former era behind all that this copy knew of it.
  std::optional<Rows> changesAfter(base::Revision after) const;

 private:
  /// Former eras that positions are answered from.
  static constexpr std::size_t kMostFormerEras = 4;

  /// Goes over to the era of the revision.
  void enterEraOf(base::Revision revision);
  /// The removals of the rows that are known and not among these.
  Rows missingFrom(const Rows& rows, base::Revision revision) const;
  /// Takes those rows whose values differ, whatever their revisions are.
  void putDifferent(const Rows& rows);
  bool knownUpTo(base::Revision after) const;
  void put(const clients::FeedRow& row);
  void take(const clients::FeedRow& row);
  void forgetOldRemovals();

  std::size_t mostRemovals_;
  /// The latest state of each row, removed ones included.
  std::map<std::string, clients::FeedRow> rows_;
  std::size_t removals_ = 0;
  std::optional<base::Revision> revision_;
  /// Changes behind an earlier revision than this one are not known whole.
  base::Revision oldest_ = 0;
  /// What the copy was complete up to in each former era.
  std::map<base::StoreEra, base::Revision> lastOfEra_;
};

}  // namespace covewing::config
