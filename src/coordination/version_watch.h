/// \file
/// Whether a version of weights may be loaded by more replicas.
///
/// Failure that it prevents: a version whose load ends the replica, ordered to all of them. A new
/// version is loaded by one replica first and by more when that one serves it, or goes on loading
/// for longer than a load takes. When two replicas have ended while they loaded it and none serves
/// it, it is stopped; replicas also end for other reasons, so that it is tried again at one, after
/// pauses that double, until one serves it.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::coordination {

struct VersionWatchOptions {
  /// Replicas that end while they load a version that nobody serves, before it is stopped.
  std::size_t maximumTerminations = 2;
  /// The first replica that loads a version is watched for so long: loads take under a second.
  base::Duration canaryTime = std::chrono::milliseconds(1500);
  /// Pauses before a stopped version is tried again.
  base::Duration firstBackoff = std::chrono::seconds(4);
  base::Duration maximumBackoff = std::chrono::seconds(60);
};

class VersionWatch {
 public:
  explicit VersionWatch(VersionWatchOptions options = {}) : options_(options) {}

  /// Whether one more replica may be ordered to load the version.
  bool mayOrder(const std::string& model, base::WeightsVersion version, base::TimePoint now) const;
  /// Nobody was ordered to load it, and nobody is known to serve it.
  bool untried(const std::string& model, base::WeightsVersion version) const;
  /// Too many have ended, and it is not yet time to try again.
  bool stopped(const std::string& model, base::WeightsVersion version, base::TimePoint now) const;
  void onOrdered(const std::string& model, base::WeightsVersion version, base::TimePoint now);
  void onServed(const std::string& model, base::WeightsVersion version);
  /// A replica ended while it loaded the version. True when the version is stopped by that.
  bool onTerminated(const std::string& model, base::WeightsVersion version, base::TimePoint now);
  /// How many have ended so.
  std::size_t terminations(const std::string& model, base::WeightsVersion version) const;

 private:
  struct Trial {
    bool served = false;
    std::size_t terminations = 0;
    /// The latest order while nobody serves the version.
    base::TimePoint orderedAt{};
    base::TimePoint stoppedUntil{};
  };
  using Key = std::pair<std::string, base::WeightsVersion>;

  const Trial* find(const std::string& model, base::WeightsVersion version) const;

  VersionWatchOptions options_;
  std::map<Key, Trial> trials_;
};

}  // namespace covewing::coordination
