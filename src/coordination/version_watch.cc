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
  const bool inTrial = now - trial->orderedAt < options_.canaryTime;
  return !inTrial;
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
  // Later orders restart the observation only if a replica has terminated during a load.
  if (trial.orderedAt == base::TimePoint{} || trial.terminations > 0) trial.orderedAt = now;
}

void VersionWatch::onServed(const std::string& model, base::WeightsVersion version) {
  trials_[{model, version}].served = true;
}

bool VersionWatch::onTerminated(const std::string& model, base::WeightsVersion version,
                                base::TimePoint now) {
  auto& trial = trials_[{model, version}];
  if (trial.served) return false;
  ++trial.terminations;
  trial.orderedAt = {};
  if (trial.terminations < options_.maximumTerminations) return false;
  auto backOff = options_.firstBackOff;
  for (auto count = options_.maximumTerminations;
       count < trial.terminations && backOff < options_.maximumBackOff; ++count)
    backOff *= 2;
  const bool wasStopped = now < trial.stoppedUntil;
  trial.stoppedUntil = now + std::min(backOff, options_.maximumBackOff);
  return !wasStopped;
}

std::size_t VersionWatch::terminations(const std::string& model,
                                       base::WeightsVersion version) const {
  const Trial* trial = find(model, version);
  return trial == nullptr ? 0 : trial->terminations;
}

}  // namespace covewing::coordination
