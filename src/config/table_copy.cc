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
  std::set<std::string> present;
  for (const auto& row : rows) present.insert(row.key);
  Rows removed;
  for (const auto& [key, row] : rows_) {
    if (row.value && !present.contains(key)) removed.push_back({key, std::nullopt, revision});
  }
  // What was removed before the first copy was never seen.
  if (!revision_) oldest_ = revision;
  apply(removed, revision);
  apply(rows, revision);
}

void TableCopy::apply(const Rows& rows, base::Revision revision) {
  for (const auto& row : rows) take(row);
  revision_ = std::max(revision_.value_or(0), revision);
  forgetOldRemovals();
}

void TableCopy::take(const clients::FeedRow& row) {
  const auto [known, added] = rows_.try_emplace(row.key, row);
  if (!added) {
    if (known->second.revision >= row.revision) return;
    if (!known->second.value) --removals_;
    known->second = row;
  }
  if (!row.value) ++removals_;
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

std::optional<TableCopy::Rows> TableCopy::changesAfter(base::Revision after) const {
  if (!revision_ || after < oldest_) return std::nullopt;
  Rows changed;
  for (const auto& [key, row] : rows_) {
    if (row.revision > after) changed.push_back(row);
  }
  std::ranges::sort(changed, {}, &clients::FeedRow::revision);
  return changed;
}

}  // namespace covewing::config
