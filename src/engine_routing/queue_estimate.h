/// \file
/// Estimate of the prefill work queued at an engine. Reports are delayed, and they count a waiting
/// prompt by what was cached when it arrived rather than by what will be cached when it runs: ten
/// prompts that wait for the same long prefix count ten times. Therefore the work that routers
/// announce is replayed against the engine's speed, and a report only provides lower and upper
/// bounds.
#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include "base/priority.h"
#include "base/time.h"
#include "clients/engine_client.h"

namespace covewing::engine_routing {

struct QueueEstimateOptions {
  /// Prompt tokens that an engine computes per second.
  double prefillTokensPerSecond = 6500;
  /// Age of a load report on arrival.
  base::Duration reportLag = std::chrono::milliseconds(375);
  /// Announced work that no report has covered for this long has finished or never reached the
  /// engine.
  base::Duration dispatchRetention = std::chrono::seconds(5);
  /// Minimum work, in tokens, per request that a report shows as waiting. If all work is complete
  /// according to the replay but requests are still waiting, they wait for memory.
  double waitingTokens = 2000;
};

class QueueEstimate {
 public:
  explicit QueueEstimate(const QueueEstimateOptions& options) : options_(options) {}

  void onReport(const clients::EngineLoad& load, base::TimePoint now);
  void onDispatched(base::PriorityClass priority, std::uint32_t uncachedTokens,
                    base::TimePoint now);
  void clear();

  /// Returns the prompt tokens that will be computed before a request of this priority that arrives
  /// now.
  std::uint64_t tokensAhead(base::PriorityClass priority, base::TimePoint now) const;
  /// Returns the number of requests that are running or waiting.
  std::uint32_t requests() const;

 private:
  struct Dispatch {
    base::TimePoint announcedAt;
    base::PriorityClass priority = base::PriorityClass::kStandard;
    std::uint32_t tokens = 0;
  };

  /// Prompt tokens by priority class.
  using WorkByPriority = std::array<double, base::kPriorityClassCount>;

  /// Subtracts the work that the engine computes within `span`, in order of priority.
  void compute(WorkByPriority& work, base::Duration span) const;

  QueueEstimateOptions options_;
  clients::EngineLoad load_;
  /// Announced work that remained at the time of the latest reported load, and the same work
  /// limited to the bounds from that report.
  WorkByPriority replayed_{};
  WorkByPriority bounded_{};
  base::TimePoint sampledAt_{};
  /// Dispatches that were announced later than `sampledAt_`.
  std::deque<Dispatch> dispatches_;
};

}  // namespace covewing::engine_routing
