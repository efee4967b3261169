/// \file
/// From when the time of a version of weights counts, from all that this node knows of it: what the
/// feed proves, the dates kept in the table service, and when that could not be reached.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/event_log.h"
#include "node/announcement_time_store.h"
#include "node/route_configuration.h"
#include "routing/weights_targets.h"

namespace covewing::node {

class AnnouncementTimeResolver {
 public:
  /// All must outlive the dating and share its thread.
  AnnouncementTimeResolver(base::Clock& clock, base::EventLog& log,
                           routing::WeightsTargets& targets, AnnouncementTimeStore& store)
      : clock_(clock), log_(log), targets_(targets), store_(store) {}

  /// A newer version was named (RouteConfiguration::setWeightsListener).
  void onVersionAnnounced(const AnnouncedWeights& weights, const AnnouncementTime& announcement);
  /// The table service came back from a copy, which may lack dates: writes those again that this
  /// node knows.
  void onStoreReturned();

 private:
  void onStoredAges(const AnnouncedWeights& weights, const AnnouncementTime& announcement,
                    const std::vector<VersionAge>& ages);
  void setAge(const std::string& model, base::WeightsVersion version, base::Duration age);
  /// Keeps the date for as long as somebody may ask for it.
  void recordTime(const std::string& model, base::WeightsVersion version,
                  base::TimePoint announcedAt);

  base::Clock& clock_;
  base::EventLog& log_;
  routing::WeightsTargets& targets_;
  AnnouncementTimeStore& store_;
  /// From when the time of the latest versions counts, by model and version.
  std::map<std::string, std::map<base::WeightsVersion, base::TimePoint>> announcementTimes_;
};

}  // namespace covewing::node
