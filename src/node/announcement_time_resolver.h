/// \file
/// Determines when the transition period of an announced version of weights began. It combines the
/// confirmations of the feed, the announcement times stored in the table service, and the times at
/// which the service was unreachable.
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
  /// All arguments must outlive the resolver and be used on its thread.
  AnnouncementTimeResolver(base::Clock& clock, base::EventLog& log,
                           routing::WeightsTargets& targets, AnnouncementTimeStore& store)
      : clock_(clock), log_(log), targets_(targets), store_(store) {}

  /// Called when a newer version has been announced (RouteConfiguration::setWeightsListener).
  void onVersionAnnounced(const AnnouncedWeights& weights, const AnnouncementTime& announcement);
  /// The table service was restored from an older backup, which may lack announcement times:
  /// rewrites those that this node has.
  void onStoreReturned();

 private:
  /// Handles the result of a look-up in the store; `ages` is empty if it holds no time.
  void onStoredAges(const AnnouncedWeights& weights, const AnnouncementTime& announcement,
                    const std::vector<VersionAge>& ages);
  /// Sets the announcement time in the targets, records and logs it.
  void setAge(const std::string& model, base::WeightsVersion version, base::Duration age);
  /// Records the announcement time so that it can be rewritten after a restore.
  void recordTime(const std::string& model, base::WeightsVersion version,
                  base::TimePoint announcedAt);

  base::Clock& clock_;
  base::EventLog& log_;
  routing::WeightsTargets& targets_;
  AnnouncementTimeStore& store_;
  /// Moment from which the transition period of the latest versions counts, by model and version.
  std::map<std::string, std::map<base::WeightsVersion, base::TimePoint>> announcementTimes_;
};

}  // namespace covewing::node
