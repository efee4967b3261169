/// \file
/// The version of each model's weights that operators want to be served, and until when requests
/// may still start on an older one.
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
  /// From then on no request is sent to a replica with an older version.
  base::TimePoint olderForbiddenFrom{};
  /// False while the announcement time of the version is provisional and will be replaced by the
  /// one that other nodes know.
  bool dated = true;
};

/// The announced versions of one model that are still relevant, ascending: the newest of those
/// already required, and all that are not required yet.
using WeightsTargetList = std::vector<WeightsTarget>;

/// How long it may take until a new version is required.
struct WeightsBounds {
  /// Time from the acceptance of a version until no request may start on an older one.
  base::Duration inForce = std::chrono::seconds(8);
  /// Reserved at the end of this time for requests that wait at a replica before they start.
  base::Duration margin = std::chrono::milliseconds(1000);
};

class WeightsTargets {
 public:
  explicit WeightsTargets(WeightsBounds bounds = {}) : bounds_(bounds) {}

  /// Sets the listener that is called after each change of a version or a date.
  void onChange(std::function<void()> listener) { listener_ = std::move(listener); }
  /// A version was announced after the given time. A provisional time is replaced by the first one
  /// that onDated reports. Returns false if the version is not newer than the known ones.
  bool onNamed(const std::string& model, base::WeightsVersion version, base::TimePoint namedAfter,
               bool provisional = false);
  /// A version was announced at an unknown time: until the time is known (onDated), the version
  /// counts as required. Returns false if it is not newer than the known ones.
  bool onFound(const std::string& model, base::WeightsVersion version, base::TimePoint now);
  const std::map<std::string, WeightsTargetList, std::less<>>& all() const { return targets_; }
  /// The announcement time of the version is now known, or known to be earlier than assumed; or the
  /// version was announced before another one that is already known.
  void onDated(const std::string& model, base::WeightsVersion version, base::TimePoint namedAt);
  /// The newest version that was announced; 0 if there is none.
  base::WeightsVersion newest(std::string_view model) const;

  /// The oldest version to which a request for the model may be sent now; 0 if any version is
  /// allowed.
  base::WeightsVersion oldestAllowed(std::string_view model, base::TimePoint now) const;
  /// The last moment at which a request may start on the version; empty if no newer one has been
  /// announced. Part of the margin is reserved for delays in the propagation between nodes.
  std::optional<base::TimePoint> startDeadline(std::string_view model,
                                               base::WeightsVersion version) const;
  /// Part of the margin within which a request that was sent in time is expected to start.
  base::Duration maximumStartDelay() const { return bounds_.margin * 3 / 5; }

 private:
  /// Adds a version that is newer than all known ones; removes those that are no longer relevant at
  /// `now`.
  bool add(const std::string& model, WeightsTarget target, base::TimePoint now);

  WeightsBounds bounds_;
  std::map<std::string, WeightsTargetList, std::less<>> targets_;
  std::function<void()> listener_ = [] {};
};

}  // namespace covewing::routing
