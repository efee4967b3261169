/// \file
/// From when the time of a version of weights counts, from all that this node knows of it: what the
/// feed proves, the dates kept in the table service, and when that could not be reached.
#pragma once

#include <optional>
#include <string>

#include "base/event_log.h"
#include "node/route_configuration.h"
#include "node/weights_dates.h"
#include "routing/weights_targets.h"

namespace covewing::node {

class VersionDating {
 public:
  /// All must outlive the dating and share its thread.
  VersionDating(base::Clock& clock, base::EventLog& log, routing::WeightsTargets& targets,
                WeightsDates& dates)
      : clock_(clock), log_(log), targets_(targets), dates_(dates) {}

  /// A newer version was named (RouteConfiguration::onWeights).
  void onWeights(const NamedWeights& named, const VersionNews& news);

 private:
  void onDates(const NamedWeights& named, const VersionNews& news,
               const std::vector<VersionAge>& ages);
  void date(const std::string& model, base::WeightsVersion version, base::Duration age);

  base::Clock& clock_;
  base::EventLog& log_;
  routing::WeightsTargets& targets_;
  WeightsDates& dates_;
};

}  // namespace covewing::node
