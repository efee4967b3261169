#include "engine_routing/service_model.h"

#include <algorithm>

namespace covewing::engine_routing {

namespace {

base::Duration fromSeconds(double seconds) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return base::Duration{static_cast<base::Duration::rep>(seconds * kMicrosecondsPerSecond)};
}

}  // namespace

ServiceEstimate estimateService(const ServiceModel& model, const ServiceInput& input) {
  const double share = input.doubtful ? model.doubtfulMatchWeight : 1.0;
  const auto cached =
      std::min(input.promptTokens,
               static_cast<std::uint32_t>(static_cast<double>(input.cachedTokens) * share));
  const double rate = model.prefillTokensPerSecond;
  ServiceEstimate estimate;
  estimate.uncachedTokens = input.promptTokens - cached;
  const double inserted = estimate.uncachedTokens;
  double compute = estimate.uncachedTokens / rate;
  double transfer = 0;
  const auto stored = std::min(input.storedTokens, input.promptTokens);
  if (stored > cached && input.importWait <= model.importWaitLimit) {
    const double imported = stored - cached;
    const double importTime = base::toSeconds(input.importWait + model.importLatency) +
                              imported / model.importTokensPerSecond;
    if (importTime < imported / rate) {
      estimate.importedTokens = stored - cached;
      estimate.uncachedTokens = input.promptTokens - stored;
      transfer = importTime;
      compute = estimate.uncachedTokens / rate;
    }
  }
  const double queue = static_cast<double>(input.tokensAhead) / rate;
  estimate.timeToFirstToken =
      fromSeconds(queue + transfer + compute) + input.distance + model.perRequest * input.requests;
  estimate.cost = estimate.timeToFirstToken + fromSeconds(model.insertionWeight * inserted / rate);
  return estimate;
}

}  // namespace covewing::engine_routing
