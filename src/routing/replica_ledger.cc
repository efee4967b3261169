#include "routing/replica_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace covewing::routing {

void ReplicaLedger::grant(std::uint64_t id, const PlacementDemand& work,
                          const PlacementTerms& terms, GrantedPrompt prompt, base::TimePoint now) {
  const auto prefillTime = prefillSpeed_.time(work.prefillTokens);
  const auto [entry, added] = grants_.try_emplace(id, Grant{work,
                                                            std::move(prompt),
                                                            now,
                                                            prefillTime,
                                                            terms.maximumPause,
                                                            false,
                                                            pacer_.limited(),
                                                            {}});
  if (!added) return;
  pacer_.onPassed(now);
  health_.onDispatched(now, prefillTime);
  recordConcurrentPrefill(0);
}

std::optional<base::TimePoint> ReplicaLedger::grantedAt(std::uint64_t id) const {
  const auto entry = grants_.find(id);
  return entry == grants_.end() ? std::nullopt : std::optional(entry->second.givenAt);
}

base::Duration ReplicaLedger::timePerRequest(std::uint32_t slots) const {
  const auto bySlots = meanRunTime_ / std::max<base::Duration::rep>(slots, 1);
  return std::max(bySlots, pacer_.interval());
}

void ReplicaLedger::recordConcurrentPrefill(std::uint64_t prefilled) {
  // A weight of 0.03 averages over some 30 changes, which is a few seconds of traffic: 785 of
  // 10,228 streams paused for longer than their bound at half of the capacity, against 1,021 with a
  // weight of 0.1 (load test, 12 seeds).
  constexpr double kSmoothing = 0.03;
  StreamLoad current;
  for (const auto& [id, grant] : grants_) {
    ++current.running;
    if (!grant.started) current.prefillBacklog += grant.work.prefillTokens;
  }
  usualBacklog_ += kSmoothing * (static_cast<double>(current.prefillBacklog) - usualBacklog_);
  for (auto& [id, grant] : grants_) {
    if (!grant.started) continue;
    grant.concurrent.running = std::max(grant.concurrent.running, current.running);
    grant.concurrent.prefillBacklog =
        std::max(grant.concurrent.prefillBacklog, current.prefillBacklog);
    grant.concurrent.prefilledTokens += prefilled;
  }
}

void ReplicaLedger::markStarted(Grant& grant, base::TimePoint now) {
  if (grant.started) return;
  grant.started = true;
  health_.onWaitEnded(now, grant.prefillTime);
}

std::optional<GrantedPrompt> ReplicaLedger::begin(std::uint64_t id, base::TimePoint now) {
  const auto entry = grants_.find(id);
  if (entry == grants_.end() || entry->second.started) return std::nullopt;
  prefillSpeed_.record(entry->second.work.prefillTokens, now - entry->second.givenAt);
  // This prompt was prefilled during the streams that were already running, but not during the new
  // one.
  recordConcurrentPrefill(entry->second.work.prefillTokens);
  markStarted(entry->second, now);
  return std::move(entry->second.prompt);
}

void ReplicaLedger::end(const PlacementEnded& ended, base::NodeId node, double serviceRate,
                        base::TimePoint now) {
  constexpr int kSmoothing = 8;
  const auto entry = grants_.find(ended.id);
  if (entry == grants_.end()) return;
  markStarted(entry->second, now);
  const auto duration = now - entry->second.givenAt;
  speedModel_.addObservation(ended.observed, entry->second.concurrent, node, now);
  if (ended.notSent && entry->second.paced) pacer_.onNotSent();
  grants_.erase(entry);
  switch (ended.outcome) {
    case PlacementOutcome::kServed:
      meanRunTime_ += (duration - meanRunTime_) / kSmoothing;
      health_.onSuccess(now);
      break;
    case PlacementOutcome::kRefused:
      refusals_.onRefused(grants_.size(), now);
      atCapacityUntil_ = now + options_.atCapacityFor;
      break;
    case PlacementOutcome::kFailed:
      health_.onFailure(now, serviceRate);
      break;
    case PlacementOutcome::kUnreachable:
      health_.onUnreachable(now);
      break;
    case PlacementOutcome::kWithdrawn:
      break;
  }
}

void ReplicaLedger::dropExpired(base::TimePoint now) {
  for (auto entry = grants_.begin(); entry != grants_.end();) {
    auto& grant = entry->second;
    const auto limit =
        grant.started ? options_.maximumLifetime : options_.maximumWait + 2 * grant.prefillTime;
    if (now - grant.givenAt <= limit) {
      ++entry;
      continue;
    }
    markStarted(grant, now);
    entry = grants_.erase(entry);
  }
}

ReplicaLoad ReplicaLedger::load(base::TimePoint now) {
  dropExpired(now);
  ReplicaLoad sum;
  for (const auto& [id, grant] : grants_)
    sum += {1, grant.work.tokens, grant.started ? 0U : grant.work.prefillTokens};
  return sum;
}

bool ReplicaLedger::hasCapacity(const PlacementDemand& work, base::TimePoint now) {
  constexpr std::uint32_t kMinimumWaiting = 2;
  if (!pacer_.mayPass(now)) return false;
  const auto current = load(now);
  if (!refusals_.allows(current.requests, work.slots, now)) return false;
  if (current.requests == 0) return true;
  const auto waiting = std::max(kMinimumWaiting, work.slots / 2);
  if (work.slots > 0 && current.requests >= work.slots + waiting) return false;
  return work.memory == 0 || current.tokens + work.tokens <= work.memory;
}

base::Duration ReplicaLedger::slotWait(const ReplicaLoad& load, const PlacementDemand& work) const {
  if (work.slots == 0 || load.requests < work.slots) return {};
  const auto ahead = static_cast<base::Duration::rep>(load.requests - work.slots) + 1;
  return meanRunTime_ * ahead / static_cast<base::Duration::rep>(work.slots);
}

base::Duration ReplicaLedger::expectedWait(const PlacementDemand& work, base::TimePoint now) {
  const auto current = load(now);
  auto wait = prefillSpeed_.minimumTime(current.pendingPrefillTokens) + slotWait(current, work);
  if (now < atCapacityUntil_) wait += meanRunTime_;
  return std::max(wait, pacer_.untilNext(now));
}

base::Duration ReplicaLedger::pauseExcess(const PlacementDemand& work, const PlacementTerms& terms,
                                          base::TimePoint now) {
  const auto current = load(now);
  // The current backlog is prefilled before the new stream starts; the stream will encounter the
  // usual backlog of later requests.
  const StreamLoad ownLoad{current.requests + 1, static_cast<std::uint64_t>(usualBacklog_), 0};
  const StreamLoad loadWithRequest{current.requests + 1,
                                   current.pendingPrefillTokens + work.prefillTokens, 0};
  const auto own = speedModel_.expectedLongestPause(ownLoad, now);
  const auto others = speedModel_.expectedLongestPause(loadWithRequest, now);
  const auto before =
      speedModel_.expectedLongestPause({current.requests, current.pendingPrefillTokens, 0}, now);
  if (!own || !others || !before) return {};
  const auto excessOver = [](base::Duration pause, base::Duration bound) {
    const bool hasBound = bound > base::Duration::zero();
    return hasBound ? std::max(pause - bound, base::Duration::zero()) : base::Duration::zero();
  };
  auto excess = excessOver(*own, terms.maximumPause);
  for (const auto& [id, grant] : grants_)
    if (grant.started && *before <= grant.maximumPause)
      excess += excessOver(*others, grant.maximumPause);
  return excess;
}

std::uint32_t ReplicaLedger::speedPercent() const {
  constexpr double kPercent = 100;
  return static_cast<std::uint32_t>(std::lround(speedModel_.speed().value_or(0) * kPercent));
}

bool ReplicaLedger::available(base::TimePoint now) {
  dropExpired(now);
  return health_.available(now);
}

}  // namespace covewing::routing
