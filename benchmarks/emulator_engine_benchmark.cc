// What a request costs the model of an engine: block chain, cache, batching and its chunks.
#include <benchmark/benchmark.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "emulator/engine_model.h"
#include "prefix/prompt.h"

namespace covewing::emulator {

namespace {

constexpr std::size_t kSharedBlocks = 300;
constexpr std::size_t kOwnBlocks = 60;
constexpr std::size_t kPrompts = 64;
constexpr std::size_t kSharedPrefixes = 8;
constexpr std::uint32_t kAnswerTokens = 100;
/// Six requests a second: the share of one of 640 engines in 3,700 requests a second.
constexpr base::Duration kBetweenRequests{1'000'000 / 6};

class BenchmarkTime final : public base::Clock, public base::TimerService {
 public:
  base::TimePoint now() const override { return now_; }
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    queue_.emplace(now_ + delay, std::move(callback));
    return ++lastTimer_;
  }
  /// No engine of this benchmark cancels a timer.
  void cancel(base::TimerId /*timer*/) override {}
  void run(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto node = queue_.extract(queue_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

 private:
  base::TimePoint now_{};
  base::TimerId lastTimer_ = 0;
  std::multimap<base::TimePoint, std::function<void()>> queue_;
};

class ChunkCounter final : public clients::EngineStreamHandler {
 public:
  void onAccepted() override {}
  void onChunk(clients::StreamChunk /*chunk*/) override { ++chunks; }
  void onEnd(clients::StreamEnd /*end*/) override { ++ends; }
  void onError(clients::DispatchError /*error*/) override {}
  std::uint64_t chunks = 0;
  std::uint64_t ends = 0;
};

std::string randomText(std::size_t blocks, base::RandomSource& random) {
  std::string text(blocks * prefix::kBytesPerBlock, ' ');
  for (char& letter : text) letter = static_cast<char>('a' + random.below(26));
  return text;
}

std::vector<std::shared_ptr<const std::string>> makePrompts(base::RandomSource& random) {
  std::vector<std::string> shared;
  for (std::size_t index = 0; index < kSharedPrefixes; ++index) {
    shared.push_back(randomText(kSharedBlocks, random));
  }
  std::vector<std::shared_ptr<const std::string>> prompts;
  for (std::size_t index = 0; index < kPrompts; ++index) {
    const std::string& prefix = shared[index % kSharedPrefixes];
    prompts.push_back(std::make_shared<const std::string>(prefix + randomText(kOwnBlocks, random)));
  }
  return prompts;
}

void engineRequests(benchmark::State& state) {
  BenchmarkTime time;
  base::SeededRandom random(1);
  const auto prompts = makePrompts(random);
  EngineModelOptions options;
  options.name = "engine";
  options.weights = {{"model", 1, {}}};
  EngineModel engine(options, {}, time, time, random);
  ChunkCounter counter;
  for (auto each : state) {
    clients::EngineRequest request;
    request.identity = {1, "model", "", 1};
    request.prompt = prompts[random.below(kPrompts)];
    request.maximumTokens = kAnswerTokens;
    engine.submit(std::move(request), counter);
    time.run(kBetweenRequests);
  }
  const auto chunks = static_cast<double>(counter.chunks);
  state.counters["chunks"] = benchmark::Counter(chunks, benchmark::Counter::kIsRate);
}
BENCHMARK(engineRequests)->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace covewing::emulator
