#include "routing/replica_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace covewing::routing {

void ReplicaLedger::grant(std::uint64_t id, const PlacementDemand& work,
                          const PlacementTerms& terms, GrantedPrompt prompt, base::TimePoint now) {
  const auto reading = prefillSpeed_.time(work.prefillTokens);
  const auto [entry, added] = grants_.try_emplace(
      id,
      Grant{
          work, std::move(prompt), now, reading, terms.longestPause, false, pacer_.limited(), {}});
  if (!added) return;
  pacer_.onPassed(now);
  health_.onDispatched(now, reading);
  noteBeside(0);
}

std::optional<base::TimePoint> ReplicaLedger::grantedAt(std::uint64_t id) const {
  const auto entry = grants_.find(id);
  return entry == grants_.end() ? std::nullopt : std::optional(entry->second.at);
}

base::Duration ReplicaLedger::timePerRequest(std::uint32_t slots) const {
  const auto bySlots = runTime_ / std::max<base::Duration::rep>(slots, 1);
  return std::max(bySlots, pacer_.interval());
}

void ReplicaLedger::noteBeside(std::uint64_t read) {
  // Some 30 changes, a few seconds of traffic: 785 of 10,228 streams paused for longer than their
  // bound at half of the room, 1,021 with a weight of 0.1 (load test, 12 seeds).
  constexpr double kSmoothing = 0.03;
  PaceLoad current;
  for (const auto& [id, grant] : grants_) {
    ++current.running;
    if (!grant.begun) current.unread += grant.work.prefillTokens;
  }
  usualUnread_ += kSmoothing * (static_cast<double>(current.unread) - usualUnread_);
  for (auto& [id, grant] : grants_) {
    if (!grant.begun) continue;
    grant.beside.running = std::max(grant.beside.running, current.running);
    grant.beside.unread = std::max(grant.beside.unread, current.unread);
    grant.beside.read += read;
  }
}

void ReplicaLedger::noteBegun(Grant& grant, base::TimePoint now) {
  if (grant.begun) return;
  grant.begun = true;
  health_.onWaitEnded(now, grant.reading);
}

std::optional<GrantedPrompt> ReplicaLedger::begin(std::uint64_t id, base::TimePoint now) {
  const auto entry = grants_.find(id);
  if (entry == grants_.end() || entry->second.begun) return std::nullopt;
  prefillSpeed_.learn(entry->second.work.prefillTokens, now - entry->second.at);
  // Those that ran before had this prompt read beside them; the new stream had not.
  noteBeside(entry->second.work.prefillTokens);
  noteBegun(entry->second, now);
  return std::move(entry->second.prompt);
}

void ReplicaLedger::end(const PlacementEnded& ended, base::NodeId node, double serviceRate,
                        base::TimePoint now) {
  constexpr int kSmoothing = 8;
  const auto entry = grants_.find(ended.id);
  if (entry == grants_.end()) return;
  noteBegun(entry->second, now);
  const auto ran = now - entry->second.at;
  pace_.learn(ended.observed, entry->second.beside, node, now);
  if (ended.notSent && entry->second.paced) pacer_.onNotSent();
  grants_.erase(entry);
  switch (ended.outcome) {
    case PlacementOutcome::kServed:
      runTime_ += (ran - runTime_) / kSmoothing;
      health_.onSuccess(now);
      break;
    case PlacementOutcome::kRefused:
      fullUntil_ = now + options_.fullFor;
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

void ReplicaLedger::dropLapsed(base::TimePoint now) {
  for (auto entry = grants_.begin(); entry != grants_.end();) {
    auto& grant = entry->second;
    const auto limit = grant.begun ? options_.longestRun : options_.longestWait + 2 * grant.reading;
    if (now - grant.at <= limit) {
      ++entry;
      continue;
    }
    noteBegun(grant, now);
    entry = grants_.erase(entry);
  }
}

ReplicaLoad ReplicaLedger::load(base::TimePoint now) {
  dropLapsed(now);
  ReplicaLoad sum;
  for (const auto& [id, grant] : grants_)
    sum += {1, grant.work.tokens, grant.begun ? 0U : grant.work.prefillTokens};
  return sum;
}

bool ReplicaLedger::hasRoom(const PlacementDemand& work, base::TimePoint now) {
  constexpr std::uint32_t kLeastWaiting = 2;
  if (!pacer_.mayPass(now)) return false;
  const auto current = load(now);
  if (current.requests == 0) return true;
  const auto waiting = std::max(kLeastWaiting, work.slots / 2);
  if (work.slots > 0 && current.requests >= work.slots + waiting) return false;
  return work.memory == 0 || current.tokens + work.tokens <= work.memory;
}

base::Duration ReplicaLedger::timeForPlace(const ReplicaLoad& load,
                                           const PlacementDemand& work) const {
  if (work.slots == 0 || load.requests < work.slots) return {};
  const auto ahead = static_cast<base::Duration::rep>(load.requests - work.slots) + 1;
  return runTime_ * ahead / static_cast<base::Duration::rep>(work.slots);
}

base::Duration ReplicaLedger::expectedWait(const PlacementDemand& work, base::TimePoint now) {
  const auto current = load(now);
  auto wait = prefillSpeed_.leastTime(current.pendingPrefillTokens) + timeForPlace(current, work);
  if (now < fullUntil_) wait += runTime_;
  return std::max(wait, pacer_.untilNext(now));
}

base::Duration ReplicaLedger::pauseExcess(const PlacementDemand& work, const PlacementTerms& terms,
                                          base::TimePoint now) {
  const auto current = load(now);
  // What waits now is read before the new stream begins; it meets what usually comes later.
  const PaceLoad met{current.requests + 1, static_cast<std::uint64_t>(usualUnread_), 0};
  const PaceLoad added{current.requests + 1, current.pendingPrefillTokens + work.prefillTokens, 0};
  const auto own = pace_.expectedLongestPause(met, now);
  const auto others = pace_.expectedLongestPause(added, now);
  const auto already =
      pace_.expectedLongestPause({current.requests, current.pendingPrefillTokens, 0}, now);
  if (!own || !others || !already) return {};
  const auto beyond = [](base::Duration pause, base::Duration bound) {
    const bool bounded = bound > base::Duration::zero();
    return bounded ? std::max(pause - bound, base::Duration::zero()) : base::Duration::zero();
  };
  auto excess = beyond(*own, terms.longestPause);
  for (const auto& [id, grant] : grants_)
    if (grant.begun && *already <= grant.longestPause)
      excess += beyond(*others, grant.longestPause);
  return excess;
}

std::uint32_t ReplicaLedger::speedPercent() const {
  constexpr double kPercent = 100;
  return static_cast<std::uint32_t>(std::lround(pace_.speed().value_or(0) * kPercent));
}

bool ReplicaLedger::available(base::TimePoint now) {
  dropLapsed(now);
  return health_.available(now);
}

}  // namespace covewing::routing
