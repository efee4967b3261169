#include "routing/software_versions.h"

#include <algorithm>
#include <set>

namespace covewing::routing {

namespace {

/// A list that was confirmed longer ago may lack replicas that other nodes know.
constexpr base::Duration kMaximumListAge = std::chrono::seconds(3);
/// Callers may continue a stream for this long.
constexpr base::Duration kContinuationTime = std::chrono::seconds(60);
/// Removals longer ago are forgotten. Longer than any stream lasts.
constexpr base::Duration kRetention = std::chrono::minutes(10);

}  // namespace

void SoftwareVersions::onRemoved(const Replica& replica, base::TimePoint now) {
  auto& removed = removedAt_[replica.service];
  std::erase_if(removed, [now](const auto& entry) { return entry.second + kRetention < now; });
  removed[replica.softwareVersion] = now;
}

void SoftwareVersions::onCurrent(base::TimePoint now) {
  if (!completeSince_) completeSince_ = now;
  confirmedAt_ = now;
}

std::vector<std::string> SoftwareVersions::services() const {
  std::set<std::string> names;
  for (const auto& [instance, record] : replicas_.all()) names.insert(record->facts().service);
  return {names.begin(), names.end()};
}

std::vector<std::string> SoftwareVersions::listed(std::string_view service,
                                                  base::TimePoint now) const {
  std::set<std::string> versions;
  if (!completeSince_ || now - confirmedAt_ > kMaximumListAge) return {};
  // A replica whose entry cannot be read at present may have begun streams as well.
  for (const auto& [instance, record] : replicas_.all())
    if (record->facts().service == service) versions.insert(record->facts().softwareVersion);
  return {versions.begin(), versions.end()};
}

bool SoftwareVersions::mixedLately(std::string_view service, base::TimePoint now) const {
  std::set<std::string_view> versions;
  for (const auto& record : replicas_.ofService(service))
    versions.insert(record->facts().softwareVersion);
  const auto removed = removedAt_.find(service);
  if (removed != removedAt_.end()) {
    for (const auto& [version, removedAt] : removed->second)
      if (now - removedAt < kContinuationTime) versions.insert(version);
  }
  return versions.size() > 1;
}

std::optional<SoleVersion> SoftwareVersions::soleVersion(std::string_view service,
                                                         base::TimePoint now) const {
  const auto versions = listed(service, now);
  if (versions.size() != 1) return std::nullopt;
  auto replacedAt = unseenRemovedAt_;
  const auto removed = removedAt_.find(service);
  if (removed != removedAt_.end()) {
    for (const auto& [version, removedAt] : removed->second)
      if (version != versions.front()) replacedAt = std::max(replacedAt, std::optional{removedAt});
  }
  SoleVersion sole{versions.front(), now - *completeSince_};
  if (replacedAt) {
    sole.replacedAgo = now - *replacedAt;
    sole.since = std::min(sole.since, *sole.replacedAgo);
  }
  return sole;
}

}  // namespace covewing::routing
