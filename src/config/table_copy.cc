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
  apply(missingFrom(rows, revision), revision);
  if (laterEra) {
    putDifferent(rows);
  } else {
    apply(rows, revision);
  }
}

TableCopy::Rows TableCopy::missingFrom(const Rows& rows, base::Revision revision) const {
  std::set<std::string> present;
  for (const auto& row : rows) present.insert(row.key);
  Rows missing;
  for (const auto& [key, row] : rows_) {
    if (row.value && !present.contains(key)) missing.push_back({key, std::nullopt, revision});
  }
  return missing;
}

void TableCopy::putDifferent(const Rows& rows) {
  for (const auto& row : rows) {
    const auto known = rows_.find(row.key);
    // Who knew this value needs not be told of it.
    if (known != rows_.end() && known->second.value == row.value) continue;
    auto changed = row;
    // Told by a node for which it had not changed: here it has, in this era.
    if (base::eraOf(row.revision) < base::eraOf(*revision_)) changed.revision = *revision_;
    put(changed);
  }
}

void TableCopy::enterEraOf(base::Revision revision) {
  lastOfEra_[base::eraOf(*revision_)] = *revision_;
  if (lastOfEra_.size() > kMostFormerEras) lastOfEra_.erase(lastOfEra_.begin());
  revision_ = revision;
}

void TableCopy::apply(const Rows& rows, base::Revision revision) {
  if (revision_ && base::eraOf(revision) > base::eraOf(*revision_)) enterEraOf(revision);
  for (const auto& row : rows) take(row);
  revision_ = std::max(revision_.value_or(0), revision);
  forgetOldRemovals();
}

void TableCopy::put(const clients::FeedRow& row) {
  const auto [known, added] = rows_.try_emplace(row.key, row);
  if (!added) {
    if (!known->second.value) --removals_;
    known->second = row;
  }
  if (!row.value) ++removals_;
}

void TableCopy::take(const clients::FeedRow& row) {
  const auto known = rows_.find(row.key);
  if (known == rows_.end() || known->second.revision < row.revision) put(row);
}

void TableCopy::forgetOldRemovals() {
  while (removals_ > mostRemovals_) {
    auto oldest = rows_.end();
    for (auto row = rows_.begin(); row != rows_.end(); ++row) {
      if (row->second.value) continue;
      if (oldest == rows_.end() || row->second.revision < oldest->second.revision) oldest = row;
    }
    oldest_ = std::max(oldest_, oldest->second.revision);
    rows_.erase(oldest);
    --removals_;
  }
}

TableCopy::Rows TableCopy::all() const {
  Rows present;
  for (const auto& [key, row] : rows_) {
    if (row.value) present.push_back(row);
  }
  return present;
}

bool TableCopy::knownUpTo(base::Revision after) const {
  if (!revision_ || after < oldest_) return false;
  const auto era = base::eraOf(after);
  if (era == base::eraOf(*revision_)) return true;
  // Whoever knew more of a former era than this copy did may hold rows that nobody tells it to
  // drop.
  const auto last = lastOfEra_.find(era);
  return last != lastOfEra_.end() && after <= last->second;
}

std::optional<TableCopy::Rows> TableCopy::changesAfter(base::Revision after) const {
  if (!knownUpTo(after)) return std::nullopt;
  Rows changed;
  for (const auto& [key, row] : rows_) {
    if (row.revision > after) changed.push_back(row);
  }
  std::ranges::sort(changed, {}, &clients::FeedRow::revision);
  return changed;
}

}  // namespace covewing::config
