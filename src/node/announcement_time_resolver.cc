#include "node/announcement_time_resolver.h"

#include <algorithm>

namespace covewing::node {

namespace {

/// Number of versions of a model whose announcement times are rewritten after a restore. Earlier
/// versions have long been required.
constexpr std::size_t kMaximumVersions = 4;

}  // namespace

void AnnouncementTimeResolver::onStoreReturned() {
  const auto now = clock_.now();
  for (const auto& [model, versions] : announcementTimes_) {
    for (const auto& [version, announcedAt] : versions)
      store_.writeWhenResponsible(model, version, now - announcedAt);
  }
}

void AnnouncementTimeResolver::recordTime(const std::string& model, base::WeightsVersion version,
                                          base::TimePoint announcedAt) {
  auto& versions = announcementTimes_[model];
  const auto [known, added] = versions.try_emplace(version, announcedAt);
  // The earlier time comes from the node with better information.
  if (!added) known->second = std::min(known->second, announcedAt);
  if (versions.size() > kMaximumVersions) versions.erase(versions.begin());
}

void AnnouncementTimeResolver::onVersionAnnounced(const AnnouncedWeights& weights,
                                                  const AnnouncementTime& announcement) {
  if (announcement.announcedAfter) {
    if (!announcement.provisional)
      recordTime(weights.model, weights.version, *announcement.announcedAfter);
    store_.writeWhenResponsible(weights.model, weights.version,
                                clock_.now() - *announcement.announcedAfter);
    // The service may have refused this node's calls while it served other nodes, which received
    // the version in time. When the time came from this node's own failed calls alone, requests
    // were sent to the older version for up to 2.9 s too long.
    if (!announcement.provisional) return;
  }
  store_.lookUp(weights.model, weights.version,
                [this, weights, announcement](const std::vector<VersionAge>& ages) {
                  onStoredAges(weights, announcement, ages);
                });
}

void AnnouncementTimeResolver::onStoredAges(const AnnouncedWeights& weights,
                                            const AnnouncementTime& announcement,
                                            const std::vector<VersionAge>& ages) {
  const bool noStoredTime = ages.empty();
  if (noStoredTime && announcement.unreachableAt) {
    // The version was announced while nodes could not receive it, so its transition period counts
    // from the end of the outage. When the older version was forbidden at once, a fleet that
    // restarted during an outage was left without usable replicas and refused some 800 requests.
    const auto countsFrom =
        std::max(*announcement.unreachableAt,
                 announcement.announcedAfter.value_or(*announcement.unreachableAt));
    const auto age = clock_.now() - countsFrom;
    setAge(weights.model, weights.version, age);
    store_.writeWhenResponsible(weights.model, weights.version, age);
    return;
  }
  for (const auto& stored : ages) setAge(weights.model, stored.version, stored.age);
}

void AnnouncementTimeResolver::setAge(const std::string& model, base::WeightsVersion version,
                                      base::Duration age) {
  targets_.onDated(model, version, clock_.now() - age);
  recordTime(model, version, clock_.now() - age);
  log_.write(base::Event::kWeightsDated, {{"model", model},
                                          {"version", std::to_string(version)},
                                          {"age_ms", base::millisecondsText(age)}});
}

}  // namespace covewing::node
