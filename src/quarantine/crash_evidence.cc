#include "quarantine/crash_evidence.h"

#include <algorithm>

namespace covewing::quarantine {

CrashEvidence::Crash& CrashEvidence::crashOf(base::EngineId replica, base::TimePoint now) {
  const auto known = std::ranges::find(crashes_, replica, &Crash::replica);
  if (known != crashes_.end()) return *known;
  if (crashes_.size() >= options_.maximumCrashes) crashes_.pop_front();
  crashes_.push_back({replica, now, {}, false});
  return crashes_.back();
}

void CrashEvidence::onReplicaCrash(base::EngineId replica, const base::RequestFeatures& runs,
                                   base::TimePoint now) {
  dropExpired(now);
  auto& crash = crashOf(replica, now);
  for (const auto run : runs) {
    const auto culprit = culprits_.find(run);
    if (culprit != culprits_.end() && now < culprit->second) crash.explained = true;
    const bool known = std::ranges::find(crash.runs, run) != crash.runs.end();
    if (!known && crash.runs.size() < options_.maximumRunsPerCrash) crash.runs.push_back(run);
  }
}

void CrashEvidence::onServed(base::RequestFeature request, base::TimePoint now) {
  servedAt_[request] = now;
  culprits_.erase(request);
}

void CrashEvidence::onQuarantined(base::RequestFeature request, base::TimePoint until) {
  culprits_[request] = until;
  for (Crash& crash : crashes_) {
    if (std::ranges::find(crash.runs, request) != crash.runs.end()) crash.explained = true;
  }
}

bool CrashEvidence::countsAgainst(const Crash& crash, base::RequestFeature request) const {
  if (crash.explained) return false;
  const auto served = servedAt_.find(request);
  return served == servedAt_.end() || crash.at > served->second;
}

std::vector<base::EngineId> CrashEvidence::crashesAgainst(base::RequestFeature request) const {
  std::vector<base::EngineId> replicas;
  for (const Crash& crash : crashes_) {
    const bool ran = std::ranges::find(crash.runs, request) != crash.runs.end();
    if (ran && countsAgainst(crash, request)) replicas.push_back(crash.replica);
  }
  return replicas;
}

void CrashEvidence::dropExpired(base::TimePoint now) {
  const auto oldest = now - options_.retention;
  while (!crashes_.empty() && crashes_.front().at < oldest) crashes_.pop_front();
  std::erase_if(servedAt_, [&](const auto& entry) { return entry.second < oldest; });
  std::erase_if(culprits_, [&](const auto& entry) { return entry.second < now; });
}

CrashEvidence::CrashesBySuspect CrashEvidence::crashesBySuspect() const {
  CrashesBySuspect all;
  for (std::size_t index = 0; index < crashes_.size(); ++index) {
    const Crash& crash = crashes_[index];
    for (const auto run : crash.runs) {
      if (countsAgainst(crash, run)) all[run].push_back(index);
    }
  }
  return all;
}

bool CrashEvidence::separable(const CrashesBySuspect& all, base::RequestFeature request) const {
  const auto& own = all.at(request);
  if (own.size() >= options_.inseparableCrashThreshold) return true;
  return std::ranges::none_of(all, [&](const auto& other) {
    return other.first != request && std::ranges::includes(other.second, own);
  });
}

std::optional<Culprit> CrashEvidence::findCulprit(base::TimePoint now) {
  dropExpired(now);
  const auto all = crashesBySuspect();
  std::optional<Culprit> found;
  for (const auto& [request, crashes] : all) {
    if (crashes.size() < options_.culpritCrashThreshold || !separable(all, request)) continue;
    // Nodes with equal evidence must choose the same request; the iteration order of the map is
    // undefined.
    const bool better = !found || crashes.size() > found->crashes ||
                        (crashes.size() == found->crashes && request < found->feature);
    if (better) found = Culprit{request, crashes.size()};
  }
  return found;
}

}  // namespace covewing::quarantine
