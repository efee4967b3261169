/// \file
/// A copy of one table of the table service that can tell others what changed behind a revision,
/// removals included. Removals are remembered up to a bound; behind that only the whole copy helps.
///
/// When the service comes back from a copy, its history goes on from an earlier point in a new era.
/// The copy then takes the whole table as it is, or all that is different. Each row has its place
/// in the service's history of the latest era, which is the same in the copies of all nodes, and
/// apart from that the first era from which on it has not changed: so the copy can tell a node that
/// knows a former era up to some point, but no further than this copy did, what is different since,
/// without the whole table.
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
  /// passed over. Rows that a node of a former build numbered by an earlier era are taken as of the
  /// copy's revision where they differ.
  void replace(const Rows& rows, base::Revision revision);
  /// Takes the changes up to a revision. Rows older than those known are passed over. Where the
  /// revision is of a later era, they must be all that is different from this copy.
  void apply(const Rows& rows, base::Revision revision);

  /// The revision that the copy is complete up to; empty before the first whole copy.
  std::optional<base::Revision> revision() const { return revision_; }
  /// All rows that are present.
  Rows all() const;
  /// What changed behind `after`, ascending by revision; empty when some of it is not known: it was
  /// forgotten, `after` lies in a former era behind all that this copy knew of it, or between what
  /// this copy knew and a whole copy that it took later, which does not tell of rows that came and
  /// went in between.
  std::optional<Rows> changesAfter(base::Revision after) const;

 private:
  /// Former eras that positions are answered from.
  static constexpr std::size_t kMostFormerEras = 4;
  /// Spans of history that were skipped and are remembered; behind that, older positions are not
  /// answered from.
  static constexpr std::size_t kMostSkippedSpans = 8;

  /// A row, with its revision in the era of the copy.
  struct Entry {
    clients::FeedRow row;
    /// Since this era the service has held the same value under the same number.
    base::StoreEra unchangedSince = 0;
  };

  /// A part of the history of one era that this copy never followed.
  struct SkippedSpan {
    base::Revision after = 0;
    base::Revision upTo = 0;
  };

  void skip(SkippedSpan span);
  /// Goes over to the era of the revision. The service came back with the numbers that it had given
  /// to the rows; when rows that are gone were removed in the new era, nobody tells.
  void enterEraOf(base::Revision revision);
  /// The removals of the rows that are known and not among these.
  Rows missingFrom(const Rows& rows, base::Revision revision) const;
  /// Whether the position, which may be of a former era, lies before the last change of the row.
  static bool changedBehind(const Entry& entry, base::Revision after);
  bool knownUpTo(base::Revision after) const;
  void put(const clients::FeedRow& row);
  /// Takes a row of the copy's era unless a later state of it is known.
  void take(const clients::FeedRow& row);
  /// Takes a row of a whole copy as of `copied`.
  void takeOfWholeCopy(clients::FeedRow row, base::Revision copied);
  /// Takes a row of the first copy of a new era, or of what is different in it.
  void takeOfNewEra(clients::FeedRow row);
  void forgetOldRemovals();

  std::size_t mostRemovals_;
  /// The latest state of each row, removed ones included.
  std::map<std::string, Entry> rows_;
  std::size_t removals_ = 0;
  std::optional<base::Revision> revision_;
  /// Changes behind an earlier revision than this one are not known whole.
  base::Revision oldest_ = 0;
  std::vector<SkippedSpan> skipped_;
  /// What the copy was complete up to in each former era.
  std::map<base::StoreEra, base::Revision> lastOfEra_;
};

}  // namespace covewing::config
