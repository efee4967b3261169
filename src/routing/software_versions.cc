#include "routing/software_versions.h"

#include <algorithm>

namespace covewing::routing {

namespace {

/// A list that was confirmed longer ago may lack replicas that other nodes know.
constexpr base::Duration kMaximumListAge = std::chrono::seconds(3);
/// Versions whose last replica was removed longer ago are forgotten. Longer than any stream lasts.
constexpr base::Duration kRetention = std::chrono::minutes(10);

}  // namespace

void SoftwareVersions::onListed(const std::string& service, const std::string& version,
                                base::TimePoint now) {
  auto& versions = services_[service];
  std::erase_if(versions, [now](const auto& entry) {
    return entry.second.replicas == 0 && entry.second.removedAt + kRetention < now;
  });
  ++versions[version].replicas;
}

void SoftwareVersions::onRemoved(const std::string& service, const std::string& version,
                                 base::TimePoint now) {
  auto& entry = services_[service][version];
  if (entry.replicas > 0) --entry.replicas;
  entry.removedAt = now;
}

void SoftwareVersions::onCurrent(base::TimePoint now) {
  if (!completeSince_) completeSince_ = now;
  confirmedAt_ = now;
}

bool SoftwareVersions::isCurrent(base::TimePoint now) const {
  return completeSince_ && now - confirmedAt_ <= kMaximumListAge;
}

std::vector<std::string> SoftwareVersions::services() const {
  std::vector<std::string> names;
  for (const auto& [service, versions] : services_) names.push_back(service);
  return names;
}

std::vector<std::string> SoftwareVersions::listed(const std::string& service,
                                                  base::TimePoint now) const {
  std::vector<std::string> names;
  const auto found = services_.find(service);
  if (found == services_.end() || !isCurrent(now)) return names;
  for (const auto& [version, entry] : found->second)
    if (entry.replicas > 0) names.push_back(version);
  return names;
}

std::optional<SoleVersion> SoftwareVersions::soleVersion(std::string_view service,
                                                         base::TimePoint now) const {
  if (!isCurrent(now)) return std::nullopt;
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const std::string* sole = nullptr;
  auto since = *completeSince_;
  for (const auto& [version, entry] : found->second) {
    if (entry.replicas == 0) {
      since = std::max(since, entry.removedAt);
      continue;
    }
    if (sole != nullptr) return std::nullopt;
    sole = &version;
  }
  if (sole == nullptr) return std::nullopt;
  return SoleVersion{*sole, now - since};
}

}  // namespace covewing::routing
