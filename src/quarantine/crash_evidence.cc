#include "quarantine/crash_evidence.h"

#include <algorithm>

namespace covewing::quarantine {

namespace {

bool isPart(base::RequestFeature feature) { return feature.kind == base::FeatureKind::kPromptPart; }

}  // namespace

CrashEvidence::Crash& CrashEvidence::crashOf(base::EngineId replica, base::TimePoint at) {
  const auto known = std::ranges::find(crashes_, replica, &Crash::replica);
  if (known != crashes_.end()) return *known;
  if (crashes_.size() >= options_.maximumCrashes) crashes_.pop_front();
  const auto next = std::ranges::upper_bound(crashes_, at, {}, &Crash::at);
  return *crashes_.insert(next, Crash{replica, at, {}, 0, false});
}

void CrashEvidence::onReplicaCrash(base::EngineId replica, const base::RequestFeatures& runs,
                                   base::TimePoint at, const base::RequestFeatures& begun) {
  dropExpired(at);
  auto& crash = crashOf(replica, at);
  for (const auto feature : runs) record(crash, feature, at);
  for (const auto feature : begun) {
    const auto run = crash.runs.find(feature);
    if (run != crash.runs.end()) run->second = true;
  }
}

void CrashEvidence::record(Crash& crash, base::RequestFeature feature, base::TimePoint at) {
  const auto culprit = culprits_.find(feature);
  if (culprit != culprits_.end() && at < culprit->second) crash.explained = true;
  const auto requests = crash.runs.size() - crash.parts;
  const bool hasCapacity = isPart(feature) ? crash.parts < options_.maximumPartsPerCrash
                                           : requests < options_.maximumRunsPerCrash;
  if (!hasCapacity || !crash.runs.try_emplace(feature, false).second) return;
  if (isPart(feature)) ++crash.parts;
}

void CrashEvidence::onServed(base::RequestFeature feature, base::TimePoint now) {
  servedAt_[feature] = now;
  expectExpiry(now + options_.retention);
  culprits_.erase(feature);
  formerCulprits_.erase(feature);
}

void CrashEvidence::onQuarantined(base::RequestFeature feature, base::TimePoint until) {
  culprits_[feature] = until;
  expectExpiry(until);
  for (Crash& crash : crashes_) {
    if (crash.runs.contains(feature)) crash.explained = true;
  }
}

void CrashEvidence::rememberCulprit(base::RequestFeature feature, base::TimePoint until) {
  formerCulprits_[feature] = until;
  expectExpiry(until);
}

void CrashEvidence::expectExpiry(base::TimePoint at) { nextExpiry_ = std::min(nextExpiry_, at); }

bool CrashEvidence::countsAgainst(const Crash& crash, base::RequestFeature feature) const {
  if (crash.explained) return false;
  const auto served = servedAt_.find(feature);
  return served == servedAt_.end() || crash.at > served->second;
}

std::vector<CountedCrash> CrashEvidence::crashesAgainst(base::RequestFeature feature) const {
  std::vector<CountedCrash> counted;
  for (const Crash& crash : crashes_) {
    const auto run = crash.runs.find(feature);
    if (run != crash.runs.end() && countsAgainst(crash, feature))
      counted.push_back({crash.replica, crash.at, run->second});
  }
  return counted;
}

void CrashEvidence::dropExpired(base::TimePoint now) {
  const auto oldest = now - options_.retention;
  while (!crashes_.empty() && crashes_.front().at < oldest) crashes_.pop_front();
  if (now <= nextExpiry_) return;
  std::erase_if(servedAt_, [&](const auto& entry) { return entry.second < oldest; });
  std::erase_if(culprits_, [&](const auto& entry) { return entry.second < now; });
  std::erase_if(formerCulprits_, [&](const auto& entry) { return entry.second < now; });
  nextExpiry_ = base::TimePoint::max();
  for (const auto& [feature, at] : servedAt_) expectExpiry(at + options_.retention);
  for (const auto& [feature, until] : culprits_) expectExpiry(until);
  for (const auto& [feature, until] : formerCulprits_) expectExpiry(until);
}

std::vector<std::size_t> CrashEvidence::waves() const {
  std::vector<std::size_t> numbers;
  base::TimePoint start{};
  for (std::size_t index = 0; index < crashes_.size(); ++index) {
    const auto at = crashes_[index].at;
    const bool follows = index > 0 && at - crashes_[index - 1].at < options_.waveGap &&
                         at - start < options_.maximumWave;
    if (!follows) start = at;
    const auto previous = numbers.empty() ? 0 : numbers.back();
    numbers.push_back(follows ? previous : previous + 1);
  }
  return numbers;
}

CrashEvidence::Suspects CrashEvidence::suspects() const {
  const auto waveOf = waves();
  Suspects all;
  for (std::size_t index = 0; index < crashes_.size(); ++index) {
    const Crash& crash = crashes_[index];
    const auto isNewWave = [&](const std::vector<std::size_t>& earlier) {
      return earlier.empty() || waveOf[earlier.back()] != waveOf[index];
    };
    for (const auto& [feature, begun] : crash.runs) {
      if (!countsAgainst(crash, feature)) continue;
      auto& suspect = all[feature];
      if (isNewWave(suspect.crashes)) ++suspect.waves;
      suspect.crashes.push_back(index);
      if (!begun) continue;
      if (isNewWave(suspect.begun)) ++suspect.begunWaves;
      suspect.begun.push_back(index);
    }
  }
  return all;
}

bool CrashEvidence::isProved(const Suspects& all, base::RequestFeature feature) const {
  return isPart(feature) ? isPartProved(all, feature) : isRequestProved(all, feature);
}

bool CrashEvidence::isRequestProved(const Suspects& all, base::RequestFeature request) const {
  const auto& own = all.at(request).crashes;
  if (own.size() < options_.culpritCrashThreshold) return false;
  if (own.size() >= options_.inseparableCrashThreshold) return true;
  // Parts of its own prompt are at the same crashes, and say less than the whole request.
  return std::ranges::none_of(all, [&](const auto& other) {
    return other.first != request && !isPart(other.first) &&
           std::ranges::includes(other.second.crashes, own);
  });
}

bool CrashEvidence::isPartProved(const Suspects& all, base::RequestFeature part) const {
  const auto& own = all.at(part);
  if (!own.begun.empty() && formerCulprits_.contains(part)) return true;
  if (own.waves >= options_.inseparableCrashThreshold) return true;
  const bool burst = own.begunWaves > 1 && own.begun.size() == own.crashes.size() &&
                     own.begun.size() >= options_.burstCrashThreshold;
  if (own.begunWaves < options_.culpritCrashThreshold && !burst) return false;
  return std::ranges::none_of(all, [&](const auto& other) {
    if (other.first == part) return false;
    const auto& crashes = isPart(other.first) ? other.second.begun : other.second.crashes;
    return std::ranges::includes(crashes, own.begun);
  });
}

std::optional<Culprit> CrashEvidence::findCulprit(base::TimePoint now) {
  dropExpired(now);
  const auto all = suspects();
  std::optional<Culprit> found;
  // Nodes with equal evidence must choose the same culprit; the iteration order of the map is
  // undefined. A request explains its crashes better than a part of its prompt.
  const auto better = [&found](base::RequestFeature feature, std::size_t crashes) {
    if (!found || crashes != found->crashes) return !found || crashes > found->crashes;
    if (feature.kind != found->feature.kind) return feature.kind < found->feature.kind;
    return feature.value < found->feature.value;
  };
  for (const auto& [feature, suspect] : all) {
    const auto crashes = suspect.crashes.size();
    if (better(feature, crashes) && isProved(all, feature)) found = Culprit{feature, crashes};
  }
  return found;
}

std::vector<Culprit> CrashEvidence::inseparableFrom(const Culprit& culprit) const {
  std::vector<Culprit> culprits{culprit};
  if (!isPart(culprit.feature)) return culprits;
  const auto all = suspects();
  const auto& own = all.at(culprit.feature).crashes;
  for (const auto& [feature, suspect] : all) {
    const bool same = feature != culprit.feature && isPart(feature) && suspect.crashes == own;
    if (same && isPartProved(all, feature)) culprits.push_back({feature, own.size()});
  }
  return culprits;
}

}  // namespace covewing::quarantine
