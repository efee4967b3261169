#include "engine_routing/service_model.h"

#include <boost/test/unit_test.hpp>

#include "engine_routing/import_queue.h"
#include "engine_routing/memory_estimate.h"
#include "engine_routing/prefix_demand.h"
#include "engine_routing/queue_estimate.h"

namespace covewing::engine_routing {

namespace {

using namespace std::chrono_literals;
using base::PriorityClass;

constexpr base::TimePoint kStart{1000s};

}  // namespace

BOOST_AUTO_TEST_SUITE(ServiceModelTest)

BOOST_AUTO_TEST_CASE(QueueAndUncachedTokensDetermineTheTime) {
  ServiceModel model;
  model.prefillTokensPerSecond = 1000;
  const auto estimate = estimateService(
      model, {.promptTokens = 3000, .cachedTokens = 1000, .tokensAhead = 500, .distance = 3ms});
  BOOST_TEST(estimate.uncachedTokens == 2000U);
  BOOST_TEST(base::toMilliseconds(estimate.timeToFirstToken) == 2503.0);
  BOOST_TEST(base::toMilliseconds(estimate.cost - estimate.timeToFirstToken) ==
             2000.0 * model.insertionWeight);
  BOOST_TEST(estimate.importedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(ImportsOnlyIfFasterThanRecomputing) {
  ServiceModel model;
  model.prefillTokensPerSecond = 1000;
  model.importTokensPerSecond = 10'000;
  model.importLatency = 100ms;
  const auto much = estimateService(model, {.promptTokens = 3000, .storedTokens = 2000});
  BOOST_TEST(much.importedTokens == 2000U);
  BOOST_TEST(base::toMilliseconds(much.timeToFirstToken) == 1300.0);
  const auto little =
      estimateService(model, {.promptTokens = 3000, .cachedTokens = 1950, .storedTokens = 2000});
  BOOST_TEST(little.importedTokens == 0U);
  const auto late =
      estimateService(model, {.promptTokens = 3000, .storedTokens = 2000, .importWait = 1800ms});
  BOOST_TEST(late.importedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(UncertainMatchCountsInPart) {
  ServiceModel model;
  const auto sure = estimateService(model, {.promptTokens = 4000, .cachedTokens = 4000});
  const auto doubtful =
      estimateService(model, {.promptTokens = 4000, .cachedTokens = 4000, .doubtful = true});
  BOOST_TEST(sure.uncachedTokens == 0U);
  BOOST_TEST(doubtful.uncachedTokens == 2000U);
}

BOOST_AUTO_TEST_CASE(AnnouncedWorkIsReplayedAtTheEngineSpeed) {
  QueueEstimate queue({.prefillTokensPerSecond = 1000, .reportLag = 0ms});
  queue.onReport({}, kStart);
  queue.onDispatched(PriorityClass::kStandard, 500, kStart);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kBackground, kStart + 300ms) == 200U);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kInteractive, kStart + 300ms) == 0U);
  queue.onDispatched(PriorityClass::kInteractive, 300, kStart + 600ms);
  // The first 500 tokens were finished after 500 ms; then the engine was idle for 100 ms.
  BOOST_TEST(queue.tokensAhead(PriorityClass::kInteractive, kStart + 700ms) == 200U);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 700ms) == 0U);
  BOOST_TEST(queue.requests() == 2U);
  queue.onReport({}, kStart + 800ms);
  BOOST_TEST(queue.requests() == 0U);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kBackground, kStart + 800ms) == 0U);
}

BOOST_AUTO_TEST_CASE(ReportBoundsTheReplayFromBothSides) {
  QueueEstimate queue({.prefillTokensPerSecond = 1000, .reportLag = 0ms, .waitingTokens = 400});
  queue.onReport({}, kStart);
  queue.onDispatched(PriorityClass::kUrgent, 3000, kStart);
  clients::EngineLoad load;
  load.waiting = {3, 0, 0, 0};
  // Ten prompts that wait for the same prefix are reported with all their tokens.
  load.queuedPrefillTokens = {30'000, 0, 0, 0};
  queue.onReport(load, kStart + 500ms);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 500ms) == 2500U);
  load.queuedPrefillTokens = {900, 0, 0, 0};
  queue.onReport(load, kStart + 600ms);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 600ms) == 900U);
  // The replay is complete, but three requests still wait for memory.
  load.queuedPrefillTokens = {30'000, 0, 0, 0};
  queue.onReport(load, kStart + 5s);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 5s) == 1200U);
}

BOOST_AUTO_TEST_CASE(SharedPrefixesUseMemoryOnce) {
  MemoryEstimate memory;
  const PromptFootprint prompt{7, 1000, 100};
  BOOST_TEST(memory.missingBlocks(prompt) == 0U);
  memory.setCapacity(1300);
  BOOST_TEST(memory.missingBlocks(prompt) == 0U);
  memory.onDispatched(prompt);
  memory.onDispatched(prompt);
  BOOST_TEST(memory.missingBlocks(prompt) == 0U);
  memory.onDispatched(prompt);
  BOOST_TEST(memory.missingBlocks(prompt) == 100U);
  BOOST_TEST(memory.missingBlocks({8, 500, 100}) == 600U);
  memory.keepLatest(1);
  BOOST_TEST(memory.missingBlocks(prompt) == 0U);
}

BOOST_AUTO_TEST_CASE(DispatchMoreRecentThanTheReportLagIsKept) {
  QueueEstimate queue({.prefillTokensPerSecond = 1000, .reportLag = 400ms});
  queue.onDispatched(PriorityClass::kUrgent, 2000, kStart);
  queue.onReport({}, kStart + 300ms);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 300ms) == 1700U);
  queue.onReport({}, kStart + 500ms);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 500ms) == 0U);
}

BOOST_AUTO_TEST_CASE(HolderCountGrowsAtOnceAndShrinksByStep) {
  PrefixDemand demand({});
  for (int request = 0; request < 20; ++request) demand.record(1, 1000, kStart);
  BOOST_TEST(demand.tokensPerSecond(1, kStart) == 10'000.0);
  BOOST_TEST(demand.tokensPerSecond(1, kStart + 10s) < 100.0);
  BOOST_TEST(demand.holderCount(1, 8, kStart) == 8U);
  BOOST_TEST(demand.holderCount(1, 2, kStart + 1s) == 8U);
  BOOST_TEST(demand.holderCount(1, 2, kStart + 2s) == 7U);
  BOOST_TEST(demand.holderCount(1, 2, kStart + 3s) == 7U);
  BOOST_TEST(demand.holderCount(1, 2, kStart + 4s) == 6U);
}

BOOST_AUTO_TEST_CASE(ImportsOfAllNodesQueueAtTheStore) {
  ImportQueue imports(10'000);
  BOOST_TEST(base::toMilliseconds(imports.wait(kStart)) == 0.0);
  imports.onImport(500, 4, kStart);
  BOOST_TEST(base::toMilliseconds(imports.wait(kStart)) == 200.0);
  BOOST_TEST(base::toMilliseconds(imports.wait(kStart + 150ms)) == 50.0);
  BOOST_TEST(base::toMilliseconds(imports.wait(kStart + 1s)) == 0.0);
}

BOOST_AUTO_TEST_CASE(RootsWithTheLowestDemandAreEvicted) {
  PrefixDemand demand({.maximumRoots = 2});
  demand.record(1, 100, kStart);
  demand.record(2, 5000, kStart);
  demand.record(3, 5000, kStart);
  BOOST_TEST(demand.roots() == 2U);
  BOOST_TEST(demand.tokensPerSecond(1, kStart) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::engine_routing
