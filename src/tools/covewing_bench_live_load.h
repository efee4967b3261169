/// \file
/// Load generator of `covewing-bench live`: starts streams, measures them and records what the
/// callers received.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "bench/quantiles.h"
#include "bench/workload.h"
#include "live/asio_runtime.h"
#include "live/http_client.h"
#include "live/http_engine_client.h"
#include "sim/history.h"
#include "tools/covewing_bench_live_options.h"

namespace boost::asio {
class io_context;
}

namespace covewing::tools {

/// Measurements of the streams of one kind: through nodes, or directly to engines.
struct LiveMeasurements {
  std::uint64_t started = 0;
  std::uint64_t complete = 0;
  std::uint64_t failed = 0;
  std::uint64_t tokens = 0;
  /// Time to first token and time between tokens, in milliseconds.
  bench::Quantiles firstToken;
  bench::Quantiles betweenTokens;
};

class LiveLoad {
 public:
  LiveLoad(boost::asio::io_context& context, const LiveOptions& options);
  ~LiveLoad();
  LiveLoad(const LiveLoad&) = delete;
  LiveLoad& operator=(const LiveLoad&) = delete;

  /// Runs until all streams have ended, or until a fixed time after new streams are no longer
  /// started.
  void run();

  LiveMeasurements& throughNodes() { return throughNodes_; }
  LiveMeasurements& directToEngines() { return directToEngines_; }
  /// Record of the calls through nodes, as input for the checkers.
  sim::History& history() { return history_; }
  base::Duration duration() const { return endedAt_ - startedAt_; }
  std::size_t peakOpen() const { return peakOpen_; }

 private:
  class Stream;
  class NodeStream;
  class DirectStream;

  void fetchWeightsVersion();
  void startNext();
  void scheduleOpenLoop();
  void onStreamEnded(std::uint64_t number, bool complete);
  bool mayStart() const;
  std::shared_ptr<const std::string> makePrompt();

  boost::asio::io_context& context_;
  const LiveOptions& options_;
  live::AsioClock clock_;
  live::AsioTimerService timers_;
  live::HttpClient http_;
  live::HttpEngineClient engines_;
  base::SeededRandom random_;
  bench::PromptSegment shared_;
  base::WeightsVersion weightsVersion_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Stream>> open_;
  std::uint64_t nextStream_ = 0;
  std::size_t peakOpen_ = 0;
  base::TimePoint startedAt_;
  base::TimePoint endedAt_;
  LiveMeasurements throughNodes_;
  LiveMeasurements directToEngines_;
  sim::History history_;
};

}  // namespace covewing::tools
