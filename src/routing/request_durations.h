/// \file
/// How long a service's replicas run a request for each token that it is expected to make, as this
/// node has seen it, and how many long runs this node has under way on average.
///
/// New weights are loaded when a replica's runs have ended, so one long run keeps a whole replica
/// away. Long runs are therefore kept together on few replicas (ReplicaSelector).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace covewing::routing {

struct RequestDurationOptions {
  /// Expected time from the first byte to the end from which a run counts as long.
  base::Duration longRequestTime = std::chrono::milliseconds(1000);
  /// Weight of the latest run in the means.
  double smoothing = 0.05;
  /// Runs before the means count.
  std::uint32_t minimumRequests = 5;
  /// Time constant of the number of long runs under way.
  base::Duration timeConstant = std::chrono::seconds(4);
  /// Part of a replica's slots that long runs are to fill before another replica takes them too.
  double slotShare = 0.4;
};

class RequestDurations {
 public:
  explicit RequestDurations(RequestDurationOptions options = {}) : options_(options) {}

  /// A long run began that is expected to make so many tokens.
  void onLongRun(std::string_view service, std::uint32_t tokens, base::TimePoint now);
  /// A whole run of such a request took so long from its first byte.
  void onEnd(std::string_view service, std::uint32_t tokens, base::Duration took);

  /// Whether a request that is expected to make so many tokens runs long; false while unknown.
  bool isLong(std::string_view service, std::uint32_t tokens) const;
  /// Replicas of so many slots that long runs of all nodes fill; at least 1.
  std::size_t replicasForLongRuns(std::string_view service, std::uint32_t slots, std::size_t nodes,
                                  base::TimePoint now) const;

 private:
  struct Service {
    double meanTokens = 0;
    double meanSeconds = 0;
    std::uint32_t requests = 0;
    /// Expected seconds of the long runs begun, decaying with the memory.
    double longRequestSeconds = 0;
    base::TimePoint longRequestSecondsAt{};
  };

  /// Zero while unknown.
  double expectedSeconds(const Service& service, std::uint32_t tokens) const;
  double decayedLongRequestSeconds(const Service& service, base::TimePoint now) const;

  RequestDurationOptions options_;
  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace covewing::routing
