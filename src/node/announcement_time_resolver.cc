#include "node/announcement_time_resolver.h"

#include <algorithm>

namespace covewing::node {

namespace {

/// Versions of a model whose dates are written again. Those before them have long been in force.
constexpr std::size_t kMostKept = 4;

}  // namespace

void AnnouncementTimeResolver::onStoreReturned() {
  const auto now = clock_.now();
  for (const auto& [model, versions] : kept_) {
    for (const auto& [version, namedAt] : versions)
      dates_.writeWhenResponsible(model, version, now - namedAt);
  }
}

void AnnouncementTimeResolver::keep(const std::string& model, base::WeightsVersion version,
                                    base::TimePoint namedAt) {
  auto& versions = kept_[model];
  const auto [known, added] = versions.try_emplace(version, namedAt);
  // The earlier date is that of who knew more.
  if (!added) known->second = std::min(known->second, namedAt);
  if (versions.size() > kMostKept) versions.erase(versions.begin());
}

void AnnouncementTimeResolver::onVersionAnnounced(const AnnouncedWeights& named,
                                                  const AnnouncementTime& news) {
  if (news.announcedAfter) {
    if (!news.provisional) keep(named.model, named.version, *news.announcedAfter);
    dates_.writeWhenResponsible(named.model, named.version, clock_.now() - *news.announcedAfter);
    // The service may have turned this node away and served others, who saw the version come: dated
    // by the own failed calls alone, requests were sent to the older version up to 2.9 s too long.
    if (!news.provisional) return;
  }
  dates_.lookUp(
      named.model, named.version,
      [this, named, news](const std::vector<VersionAge>& ages) { onDates(named, news, ages); });
}

void AnnouncementTimeResolver::onDates(const AnnouncedWeights& named, const AnnouncementTime& news,
                                       const std::vector<VersionAge>& ages) {
  const bool nobodyWrote = ages.empty();
  if (nobodyWrote && news.unreachableAt) {
    // It was named while nodes could not learn of it, and its time counts from when they could:
    // forbidden at once, the older version left a fleet that restarted in an outage without
    // replicas (some 800 requests refused).
    const auto countsFrom =
        std::max(*news.unreachableAt, news.announcedAfter.value_or(*news.unreachableAt));
    const auto age = clock_.now() - countsFrom;
    date(named.model, named.version, age);
    dates_.writeWhenResponsible(named.model, named.version, age);
    return;
  }
  for (const auto& dated : ages) date(named.model, dated.version, dated.age);
}

void AnnouncementTimeResolver::date(const std::string& model, base::WeightsVersion version,
                                    base::Duration age) {
  targets_.onDated(model, version, clock_.now() - age);
  keep(model, version, clock_.now() - age);
  log_.write(base::Event::kWeightsDated, {{"model", model},
                                          {"version", std::to_string(version)},
                                          {"age_ms", base::millisecondsText(age)}});
}

}  // namespace covewing::node
