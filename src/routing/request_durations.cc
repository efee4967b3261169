#include "routing/request_durations.h"

#include <algorithm>
#include <cmath>

namespace covewing::routing {

double RequestDurations::expectedSeconds(const Service& service, std::uint32_t tokens) const {
  if (service.requests < options_.minimumRequests || service.meanTokens <= 0) return 0;
  return tokens * service.meanSeconds / service.meanTokens;
}

double RequestDurations::decayedLongRequestSeconds(const Service& service,
                                                   base::TimePoint now) const {
  const double age = base::toSeconds(now - service.longRequestSecondsAt);
  return service.longRequestSeconds * std::exp(-age / base::toSeconds(options_.timeConstant));
}

void RequestDurations::onLongRun(std::string_view service, std::uint32_t tokens,
                                 base::TimePoint now) {
  auto& facts = services_.try_emplace(std::string{service}).first->second;
  facts.longRequestSeconds = decayedLongRequestSeconds(facts, now) + expectedSeconds(facts, tokens);
  facts.longRequestSecondsAt = now;
}

void RequestDurations::onEnd(std::string_view service, std::uint32_t tokens, base::Duration took) {
  auto& facts = services_.try_emplace(std::string{service}).first->second;
  ++facts.requests;
  // The first requests have equal weights, so that the means do not depend mainly on the very first
  // one.
  const double weight = std::max(options_.smoothing, 1.0 / facts.requests);
  facts.meanTokens += weight * (tokens - facts.meanTokens);
  facts.meanSeconds += weight * (base::toSeconds(took) - facts.meanSeconds);
}

void RequestDurations::onAnswered(std::string_view service, base::Duration took) {
  auto& facts = services_.try_emplace(std::string{service}).first->second;
  ++facts.answers;
  const double weight = std::max(options_.smoothing, 1.0 / facts.answers);
  const double difference = base::toSeconds(took) - facts.answerSeconds;
  facts.answerSeconds += weight * difference;
  facts.answerDeviation += weight * (std::abs(difference) - facts.answerDeviation);
}

base::Duration RequestDurations::usualAnswerTime(std::string_view service) const {
  const auto known = services_.find(service);
  if (known == services_.end() || known->second.answers < options_.minimumRequests) return {};
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(known->second.answerSeconds + known->second.answerDeviation));
}

bool RequestDurations::isLong(std::string_view service, std::uint32_t tokens) const {
  const auto known = services_.find(service);
  return known != services_.end() &&
         expectedSeconds(known->second, tokens) >= base::toSeconds(options_.longRequestTime);
}

std::size_t RequestDurations::replicasForLongRuns(std::string_view service, std::uint32_t slots,
                                                  std::size_t nodes, base::TimePoint now) const {
  const auto known = services_.find(service);
  if (known == services_.end()) return 1;
  const double inFlight =
      decayedLongRequestSeconds(known->second, now) / base::toSeconds(options_.timeConstant);
  const double sharers = static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double slotsPerReplica = std::max(1U, slots) * options_.slotShare;
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(inFlight * sharers / slotsPerReplica)));
}

}  // namespace covewing::routing
