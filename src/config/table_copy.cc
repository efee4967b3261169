#include "config/table_copy.h"

#include <algorithm>
#include <set>

namespace covewing::config {

void boundChange(clients::FeedRow& row, base::Revision copied,
                 const std::optional<base::TimePoint>& provedAt) {
  if (!provedAt || row.revision <= copied) return;
  row.changedAfter = std::max(row.changedAfter.value_or(*provedAt), *provedAt);
}

void TableCopy::replace(const Rows& rows, base::Revision revision) {
  const bool first = !revision_;
  if (!first && base::eraOf(revision) < base::eraOf(*revision_)) return;
  // What was removed before the first copy was never seen.
  if (first) oldest_ = revision;
  const bool laterEra = !first && base::eraOf(revision) > base::eraOf(*revision_);
  if (!first && !laterEra && revision > *revision_) skip({*revision_, revision});
  apply(missingFrom(rows, revision), revision);
  for (const auto& row : rows) {
    if (laterEra) {
      takeOfNewEra(row);
    } else {
      takeOfWholeCopy(row, revision);
    }
  }
}

TableCopy::Rows TableCopy::missingFrom(const Rows& rows, base::Revision revision) const {
  std::set<std::string> present;
  for (const auto& row : rows) present.insert(row.key);
  Rows missing;
  for (const auto& [key, entry] : rows_) {
    if (entry.row.value && !present.contains(key)) missing.push_back({key, std::nullopt, revision});
  }
  return missing;
}

void TableCopy::skip(SkippedSpan span) {
  skipped_.push_back(span);
  if (skipped_.size() <= kMostSkippedSpans) return;
  oldest_ = std::max(oldest_, skipped_.front().upTo);
  skipped_.erase(skipped_.begin());
}

void TableCopy::enterEraOf(base::Revision revision) {
  lastOfEra_[base::eraOf(*revision_)] = *revision_;
  if (lastOfEra_.size() > kMostFormerEras) lastOfEra_.erase(lastOfEra_.begin());
  revision_ = revision;
  skip({base::revisionAt(base::eraOf(revision), 0), revision});
  for (auto& [key, entry] : rows_) {
    auto& row = entry.row;
    if (row.value) {
      row.revision = base::revisionAt(base::eraOf(revision), base::numberOf(row.revision));
    } else {
      entry = {{key, std::nullopt, revision}, base::eraOf(revision)};
    }
  }
}

void TableCopy::apply(const Rows& rows, base::Revision revision) {
  const bool laterEra = revision_ && base::eraOf(revision) > base::eraOf(*revision_);
  if (laterEra) enterEraOf(revision);
  revision_ = std::max(revision_.value_or(0), revision);
  for (const auto& row : rows) {
    if (laterEra) {
      takeOfNewEra(row);
    } else {
      take(row);
    }
  }
  forgetOldRemovals();
}

void TableCopy::put(const clients::FeedRow& row) {
  const Entry entry{row, base::eraOf(row.revision)};
  const auto [known, added] = rows_.try_emplace(row.key, entry);
  if (!added) {
    if (!known->second.row.value) --removals_;
    known->second = entry;
  }
  if (!row.value) ++removals_;
}

void TableCopy::take(const clients::FeedRow& row) {
  const auto known = rows_.find(row.key);
  if (known == rows_.end() || known->second.row.revision < row.revision) put(row);
}

void TableCopy::takeOfWholeCopy(clients::FeedRow row, base::Revision copied) {
  const auto era = base::eraOf(copied);
  const bool ofFormerEra = base::eraOf(row.revision) < era;
  if (ofFormerEra) row.revision = base::revisionAt(era, base::numberOf(row.revision));
  const auto known = rows_.find(row.key);
  const bool differs = known != rows_.end() && known->second.row.value != row.value;
  if (ofFormerEra && differs && known->second.row.revision < copied) row.revision = copied;
  take(row);
}

void TableCopy::takeOfNewEra(clients::FeedRow row) {
  // Told by a node of a former build, for which it had not changed.
  if (base::eraOf(row.revision) < base::eraOf(*revision_)) row.revision = *revision_;
  const auto known = rows_.find(row.key);
  if (known == rows_.end()) return put(row);
  const auto& knownRow = known->second.row;
  const bool sameValue = knownRow.value == row.value;
  if (sameValue && knownRow.revision == row.revision) return;
  // Written again with the value that it had: the value is as old as before.
  if (sameValue) row.changedAfter = knownRow.changedAfter;
  put(row);
}

void TableCopy::forgetOldRemovals() {
  while (removals_ > mostRemovals_) {
    auto oldest = rows_.end();
    for (auto entry = rows_.begin(); entry != rows_.end(); ++entry) {
      const auto& row = entry->second.row;
      if (row.value) continue;
      if (oldest == rows_.end() || row.revision < oldest->second.row.revision) oldest = entry;
    }
    oldest_ = std::max(oldest_, oldest->second.row.revision);
    rows_.erase(oldest);
    --removals_;
  }
}

TableCopy::Rows TableCopy::all() const {
  Rows present;
  for (const auto& [key, entry] : rows_) {
    if (entry.row.value) present.push_back(entry.row);
  }
  return present;
}

bool TableCopy::knownUpTo(base::Revision after) const {
  if (!revision_ || after < oldest_) return false;
  const auto isWithin = [after](const SkippedSpan& span) {
    return span.after < after && after < span.upTo;
  };
  if (std::ranges::any_of(skipped_, isWithin)) return false;
  const auto era = base::eraOf(after);
  if (era == base::eraOf(*revision_)) return true;
  // Whoever knew more of a former era than this copy did may hold rows that nobody tells it to
  // drop.
  const auto last = lastOfEra_.find(era);
  return last != lastOfEra_.end() && after <= last->second;
}

bool TableCopy::changedBehind(const Entry& entry, base::Revision after) {
  const auto era = base::eraOf(after);
  if (entry.unchangedSince > era) return true;
  return base::numberOf(entry.row.revision) > base::numberOf(after);
}

std::optional<TableCopy::Rows> TableCopy::changesAfter(base::Revision after) const {
  if (!knownUpTo(after)) return std::nullopt;
  Rows changed;
  for (const auto& [key, entry] : rows_) {
    if (changedBehind(entry, after)) changed.push_back(entry.row);
  }
  std::ranges::sort(changed, {}, &clients::FeedRow::revision);
  return changed;
}

}  // namespace covewing::config
