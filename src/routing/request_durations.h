/// \file
/// Estimates how long the replicas of a service run a request per expected output token, from this
/// node's own requests, how long a response usually takes, and how many long-running requests this
/// node has in flight on average.
///
/// New weights are loaded when the requests of a replica have ended, so a single long-running
/// request keeps a whole replica out of service. Long-running requests are therefore kept together
/// on few replicas (ReplicaSelector).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace covewing::routing {

struct RequestDurationOptions {
  /// Expected time from the first byte to the end from which a request counts as long-running.
  base::Duration longRequestTime = std::chrono::milliseconds(1000);
  /// Weight of the latest request in the means.
  double smoothing = 0.05;
  /// Minimum number of requests for the means to count.
  std::uint32_t minimumRequests = 5;
  /// Time constant of the number of long-running requests in flight.
  base::Duration timeConstant = std::chrono::seconds(4);
  /// Share of a replica's slots that long-running requests are to fill before another replica is
  /// preferred for them.
  double slotShare = 0.4;
};

class RequestDurations {
 public:
  explicit RequestDurations(RequestDurationOptions options = {}) : options_(options) {}

  /// A long-running request with this expected number of output tokens started.
  void onLongRun(std::string_view service, std::uint32_t tokens, base::TimePoint now);
  /// A request with this expected number of output tokens completed; `took` is the time from its
  /// first byte.
  void onEnd(std::string_view service, std::uint32_t tokens, base::Duration took);

  /// A replica of the service answered a request successfully; `took` is the time from the dispatch
  /// to the end of the response.
  void onAnswered(std::string_view service, base::Duration took);
  /// Time from the dispatch of a request to the end of its response that most requests stay within:
  /// the mean plus the mean deviation from it. Zero while unknown.
  base::Duration usualAnswerTime(std::string_view service) const;

  /// Whether a request with this expected number of output tokens is long-running; false while
  /// unknown.
  bool isLong(std::string_view service, std::uint32_t tokens) const;
  /// Number of replicas with this many slots that the long-running requests of all nodes fill; at
  /// least 1.
  std::size_t replicasForLongRuns(std::string_view service, std::uint32_t slots, std::size_t nodes,
                                  base::TimePoint now) const;

 private:
  struct Service {
    double meanTokens = 0;
    double meanSeconds = 0;
    std::uint32_t requests = 0;
    /// Sum of the expected durations of the long-running requests started, in seconds, decaying
    /// with the time constant `timeConstant`.
    double longRequestSeconds = 0;
    base::TimePoint longRequestSecondsAt{};
    /// Time to the end of the response: mean, and mean deviation from it.
    double answerSeconds = 0;
    double answerDeviation = 0;
    std::uint32_t answers = 0;
  };

  /// Expected duration in seconds; zero while unknown.
  double expectedSeconds(const Service& service, std::uint32_t tokens) const;
  double decayedLongRequestSeconds(const Service& service, base::TimePoint now) const;

  RequestDurationOptions options_;
  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace covewing::routing
