/// \file
/// Estimate of the prefill work queued at an engine. Reports lag, and count a waiting prompt by
/// what was cached when it came, not by what will be when it runs: ten prompts that wait for one
/// long prefix count ten times. So the work that routers announced is replayed against the engine's
/// speed, and a report only bounds it from both sides.
#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include "base/priority.h"
#include "base/time.h"
#include "clients/engine_client.h"

namespace covewing::routing {

struct QueueEstimateOptions {
  /// Prompt tokens that an engine computes a second.
  double prefillTokensPerSecond = 6500;
  /// How old a load report is on arrival.
  base::Duration reportLag = std::chrono::milliseconds(375);
  /// Work not seen in a report for this long is over or was never there.
  base::Duration dispatchRetention = std::chrono::seconds(5);
  /// Least work that a request stands for which a report shows waiting, in tokens: where the replay
  /// says that all is done, requests wait for memory.
  double waitingTokens = 2000;
};

class QueueEstimate {
 public:
  explicit QueueEstimate(const QueueEstimateOptions& options) : options_(options) {}

  void onReport(const clients::EngineLoad& load, base::TimePoint now);
  void onDispatched(base::PriorityClass priority, std::uint32_t uncachedTokens,
                    base::TimePoint now);
  void clear();

  /// Prompt tokens that are computed before a request of this priority that comes now.
  std::uint64_t tokensAhead(base::PriorityClass priority, base::TimePoint now) const;
  /// Requests running or waiting.
  std::uint32_t requests() const;

 private:
  struct Dispatch {
    base::TimePoint announcedAt;
    base::PriorityClass priority = base::PriorityClass::kStandard;
    std::uint32_t tokens = 0;
  };

  /// Prompt tokens by priority class.
  using WorkByPriority = std::array<double, base::kPriorityClassCount>;

  /// Computes for `span`, the most important class first.
  void compute(WorkByPriority& work, base::Duration span) const;

  QueueEstimateOptions options_;
  clients::EngineLoad load_;
  /// Announced work that was left when the reported load was true, and that work bounded by it.
  WorkByPriority replayed_{};
  WorkByPriority bounded_{};
  base::TimePoint sampledAt_{};
  /// Later than `sampledAt_`.
  std::deque<Dispatch> dispatches_;
};

}  // namespace covewing::routing
