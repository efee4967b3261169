/// \file
/// The version of each model's weights that operators want served, and until when requests may
/// still begin on an older one.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::routing {

struct WeightsTarget {
  base::WeightsVersion version = 0;
  /// From then on no request is sent to a replica on an older version.
  base::TimePoint olderForbiddenFrom{};
  /// False while a date that others know takes the place of this one.
  bool dated = true;
};

/// The versions of one model that were named and still matter, ascending: the newest of those that
/// are in force already, and all that are not yet.
using WeightsTargetList = std::vector<WeightsTarget>;

/// How long a new version may take to be in force.
struct WeightsBounds {
  /// From the acceptance of a version until no request may begin on an older one.
  base::Duration inForce = std::chrono::seconds(8);
  /// Kept free at the end of it, for requests that wait at a replica before they begin.
  base::Duration margin = std::chrono::milliseconds(1000);
};

class WeightsTargets {
 public:
  explicit WeightsTargets(WeightsBounds bounds = {}) : bounds_(bounds) {}

  /// Called after each change of a version or a date.
  void onChange(std::function<void()> listener) { listener_ = std::move(listener); }
  /// A version was named after the given moment; a provisional one is replaced by the first that
  /// onDated tells. False when the version is not newer.
  bool onNamed(const std::string& model, base::WeightsVersion version, base::TimePoint namedAfter,
               bool provisional = false);
  /// A version was named, nobody knows when: until that is known (onDated), it counts as in force.
  /// False when it is not newer.
  bool onFound(const std::string& model, base::WeightsVersion version, base::TimePoint now);
  const std::map<std::string, WeightsTargetList, std::less<>>& all() const { return targets_; }
  /// When the version was named is known, or known to be earlier; or it was named before one that
  /// is known.
  void onDated(const std::string& model, base::WeightsVersion version, base::TimePoint namedAt);
  /// The newest version that was named; 0 when none was.
  base::WeightsVersion newest(std::string_view model) const;

  /// The oldest version that a request of the model may be sent to now; 0 when any may.
  base::WeightsVersion oldestAllowed(std::string_view model, base::TimePoint now) const;
  /// The last moment at which a request may begin on the version; empty while no newer one is
  /// named. Part of the margin is left for what nodes know late.
  std::optional<base::TimePoint> startDeadline(std::string_view model,
                                               base::WeightsVersion version) const;
  /// Part of the margin within which a request that was sent in time is expected to begin.
  base::Duration maximumStartDelay() const { return bounds_.margin * 3 / 5; }

 private:
  /// Adds a version that is newer than all known; forgets those that matter no more at `now`.
  bool add(const std::string& model, WeightsTarget target, base::TimePoint now);

  WeightsBounds bounds_;
  std::map<std::string, WeightsTargetList, std::less<>> targets_;
  std::function<void()> listener_ = [] {};
};

}  // namespace covewing::routing
