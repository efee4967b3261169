/// \file
/// Decides whether more replicas may load a version of weights.
///
/// Prevents all replicas from being ordered to load a version that terminates them. A new version
/// is loaded by one replica first, as a canary, and by more once that one serves it or has been
/// loading for longer than a load takes. If two replicas have terminated while they loaded a
/// version that none serves, the version is stopped. Replicas also terminate for other reasons, so
/// a stopped version is tried again on one replica, after a back-off that doubles each time, until
/// a replica serves it.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::coordination {

struct VersionWatchOptions {
  /// A version that no replica serves is stopped after this many replicas terminated while they
  /// loaded it.
  std::size_t maximumTerminations = 2;
  /// The first replica that loads a version is observed for this long; loads take under a second.
  base::Duration canaryTime = std::chrono::milliseconds(1500);
  /// Back-off before a stopped version is tried again.
  base::Duration firstBackOff = std::chrono::seconds(4);
  base::Duration maximumBackOff = std::chrono::seconds(60);
};

class VersionWatch {
 public:
  explicit VersionWatch(VersionWatchOptions options = {}) : options_(options) {}

  /// Whether one more replica may be ordered to load the version.
  bool mayOrder(const std::string& model, base::WeightsVersion version, base::TimePoint now) const;
  /// Whether no replica was ordered to load the version and none is known to serve it.
  bool untried(const std::string& model, base::WeightsVersion version) const;
  /// Whether too many replicas have terminated and the back-off is not over.
  bool stopped(const std::string& model, base::WeightsVersion version, base::TimePoint now) const;
  void onOrdered(const std::string& model, base::WeightsVersion version, base::TimePoint now);
  void onServed(const std::string& model, base::WeightsVersion version);
  /// A replica terminated while it loaded the version. Returns true if that stops the version.
  bool onTerminated(const std::string& model, base::WeightsVersion version, base::TimePoint now);
  /// Number of replicas that terminated while they loaded the version.
  std::size_t terminations(const std::string& model, base::WeightsVersion version) const;

 private:
  struct Trial {
    bool served = false;
    std::size_t terminations = 0;
    /// Start of the observation: the first order, or the latest one since a replica terminated.
    base::TimePoint orderedAt{};
    base::TimePoint stoppedUntil{};
  };
  using Key = std::pair<std::string, base::WeightsVersion>;

  const Trial* find(const std::string& model, base::WeightsVersion version) const;

  VersionWatchOptions options_;
  std::map<Key, Trial> trials_;
};

}  // namespace covewing::coordination
