/// \file
/// Estimate of the prefill work queued at an engine: its last report, which lags, plus the work
/// known to have been sent since, less what the engine has computed in the meantime.
#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include "base/priority.h"
#include "base/time.h"
#include "platform/engine_client.h"

namespace covewing::routing {

struct QueueEstimateOptions {
  /// Prompt tokens that an engine computes a second.
  double prefillTokensPerSecond = 8000;
  /// How old a load report is on arrival.
  base::Duration reportLag = std::chrono::milliseconds(375);
  /// Work not seen in a report for this long is over or was never there.
  base::Duration dispatchMemory = std::chrono::seconds(5);
};

class QueueEstimate {
 public:
  explicit QueueEstimate(const QueueEstimateOptions& options) : options_(options) {}

  void onReport(const platform::EngineLoad& load, base::TimePoint now);
  void onDispatched(base::PriorityClass priority, std::uint32_t uncachedTokens,
                    base::TimePoint now);
  void clear();

  /// Prompt tokens that are computed before a request of this priority that comes now.
  std::uint64_t tokensAhead(base::PriorityClass priority, base::TimePoint now) const;
  /// Requests running or waiting.
  std::uint32_t requests() const;

 private:
  struct Dispatch {
    base::TimePoint at;
    base::PriorityClass priority = base::PriorityClass::kStandard;
    std::uint32_t tokens = 0;
  };

  QueueEstimateOptions options_;
  platform::EngineLoad load_;
  /// When the reported load was true.
  base::TimePoint sampledAt_{};
  std::deque<Dispatch> dispatches_;
};

}  // namespace covewing::routing
