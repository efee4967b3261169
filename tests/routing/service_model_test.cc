#include "routing/service_model.h"

#include <boost/test/unit_test.hpp>

#include "routing/prefix_heat.h"
#include "routing/queue_estimate.h"

namespace covewing::routing {

namespace {

using namespace std::chrono_literals;
using base::PriorityClass;

constexpr base::TimePoint kStart{1000s};

}  // namespace

BOOST_AUTO_TEST_SUITE(ServiceModelTest)

BOOST_AUTO_TEST_CASE(QueueAndUncachedTokensMakeTheTime) {
  ServiceModel model;
  model.prefillTokensPerSecond = 1000;
  const auto estimate = estimateService(model, {3000, 1000, false, 0, 500, 3ms});
  BOOST_TEST(estimate.uncachedTokens == 2000U);
  BOOST_TEST(base::toMilliseconds(estimate.firstToken) == 2503.0);
  BOOST_TEST(!estimate.import);
}

BOOST_AUTO_TEST_CASE(ImportsOnlyWhereItBeatsRecomputing) {
  ServiceModel model;
  model.prefillTokensPerSecond = 1000;
  model.importTokensPerSecond = 10'000;
  model.importLatency = 100ms;
  const auto much = estimateService(model, {3000, 0, false, 2000, 0, 0ms});
  BOOST_TEST(much.import);
  BOOST_TEST(base::toMilliseconds(much.firstToken) == 1300.0);
  const auto little = estimateService(model, {3000, 1950, false, 2000, 0, 0ms});
  BOOST_TEST(!little.import);
}

BOOST_AUTO_TEST_CASE(ADoubtfulMatchCountsInPart) {
  ServiceModel model;
  const auto sure = estimateService(model, {4000, 4000, false, 0, 0, 0ms});
  const auto doubtful = estimateService(model, {4000, 4000, true, 0, 0, 0ms});
  BOOST_TEST(sure.uncachedTokens == 0U);
  BOOST_TEST(doubtful.uncachedTokens == 2000U);
}

BOOST_AUTO_TEST_CASE(TheQueueDrainsAndOwnDispatchesAdd) {
  QueueEstimate queue({.prefillTokensPerSecond = 1000, .reportLag = 0ms});
  platform::EngineLoad load;
  load.queuedPrefillTokens = {100, 400, 0, 5000};
  queue.onReport(load, kStart);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart) == 100U);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kInteractive, kStart) == 500U);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kBackground, kStart) == 5500U);
  queue.onDispatched(PriorityClass::kInteractive, 300, kStart + 600ms);
  // 500 tokens were done after 500 ms; then the engine was idle for 100 ms.
  BOOST_TEST(queue.tokensAhead(PriorityClass::kInteractive, kStart + 700ms) == 200U);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 700ms) == 0U);
  BOOST_TEST(queue.requests() == 1U);
  queue.onReport(load, kStart + 800ms);
  BOOST_TEST(queue.requests() == 0U);
}

BOOST_AUTO_TEST_CASE(ADispatchYoungerThanTheReportsLagIsKept) {
  QueueEstimate queue({.prefillTokensPerSecond = 1000, .reportLag = 400ms});
  queue.onDispatched(PriorityClass::kUrgent, 2000, kStart);
  queue.onReport({}, kStart + 300ms);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 300ms) == 1700U);
  queue.onReport({}, kStart + 500ms);
  BOOST_TEST(queue.tokensAhead(PriorityClass::kUrgent, kStart + 500ms) == 0U);
}

BOOST_AUTO_TEST_CASE(HeatWidensAtOnceAndNarrowsByStep) {
  PrefixHeat heat({});
  for (int request = 0; request < 20; ++request) heat.note(1, 1000, kStart);
  BOOST_TEST(heat.tokensPerSecond(1, kStart) == 10'000.0);
  BOOST_TEST(heat.tokensPerSecond(1, kStart + 10s) < 100.0);
  BOOST_TEST(heat.width(1, 8, kStart) == 8U);
  BOOST_TEST(heat.width(1, 2, kStart + 1s) == 8U);
  BOOST_TEST(heat.width(1, 2, kStart + 2s) == 7U);
  BOOST_TEST(heat.width(1, 2, kStart + 3s) == 7U);
  BOOST_TEST(heat.width(1, 2, kStart + 4s) == 6U);
}

BOOST_AUTO_TEST_CASE(HeatForgetsTheColdestRoots) {
  PrefixHeat heat({.maximumRoots = 2});
  heat.note(1, 100, kStart);
  heat.note(2, 5000, kStart);
  heat.note(3, 5000, kStart);
  BOOST_TEST(heat.roots() == 2U);
  BOOST_TEST(heat.tokensPerSecond(1, kStart) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
