#include "coordination/version_watch.h"

#include <algorithm>

namespace covewing::coordination {

const VersionWatch::Trial* VersionWatch::find(const std::string& model,
                                              base::WeightsVersion version) const {
  const auto found = trials_.find({model, version});
  return found == trials_.end() ? nullptr : &found->second;
}

bool VersionWatch::mayOrder(const std::string& model, base::WeightsVersion version,
                            base::TimePoint now) const {
  const Trial* trial = find(model, version);
  if (trial == nullptr || trial->served) return true;
  if (now < trial->stoppedUntil) return false;
  const bool watched = now - trial->orderedAt < options_.watchFor;
  return !watched;
}

bool VersionWatch::untried(const std::string& model, base::WeightsVersion version) const {
  return find(model, version) == nullptr;
}

bool VersionWatch::stopped(const std::string& model, base::WeightsVersion version,
                           base::TimePoint now) const {
  const Trial* trial = find(model, version);
  return trial != nullptr && !trial->served && now < trial->stoppedUntil;
}

void VersionWatch::onOrdered(const std::string& model, base::WeightsVersion version,
                             base::TimePoint now) {
  auto& trial = trials_[{model, version}];
  // Later orders are watched only where a replica has ended.
  if (trial.orderedAt == base::TimePoint{} || trial.ends > 0) trial.orderedAt = now;
}

void VersionWatch::onServed(const std::string& model, base::WeightsVersion version) {
  trials_[{model, version}].served = true;
}

bool VersionWatch::onEnded(const std::string& model, base::WeightsVersion version,
                           base::TimePoint now) {
  auto& trial = trials_[{model, version}];
  if (trial.served) return false;
  ++trial.ends;
  trial.orderedAt = {};
  if (trial.ends < options_.mostEnds) return false;
  auto pause = options_.firstPause;
  for (auto end = options_.mostEnds; end < trial.ends && pause < options_.longestPause; ++end)
    pause *= 2;
  const bool wasStopped = now < trial.stoppedUntil;
  trial.stoppedUntil = now + std::min(pause, options_.longestPause);
  return !wasStopped;
}

std::size_t VersionWatch::ends(const std::string& model, base::WeightsVersion version) const {
  const Trial* trial = find(model, version);
  return trial == nullptr ? 0 : trial->ends;
}

}  // namespace covewing::coordination
