#include "routing/weights_targets.h"

#include <algorithm>

namespace covewing::routing {

bool WeightsTargets::onNamed(const std::string& model, base::WeightsVersion version,
                             base::TimePoint namedAfter, bool provisional) {
  const auto from = namedAfter + bounds_.inForce - bounds_.margin;
  return add(model, {version, from, !provisional}, namedAfter);
}

bool WeightsTargets::onFound(const std::string& model, base::WeightsVersion version,
                             base::TimePoint now) {
  return add(model, {version, now - maximumStartDelay(), false}, now);
}

bool WeightsTargets::add(const std::string& model, WeightsTarget target, base::TimePoint now) {
  if (target.version <= newest(model)) return false;
  auto& targets = targets_[model];
  // Of the versions that are already required, only the newest is relevant.
  const auto pending = std::ranges::find_if(
      targets, [now](const auto& one) { return one.olderForbiddenFrom > now; });
  if (pending - targets.begin() > 1) targets.erase(targets.begin(), pending - 1);
  targets.push_back(target);
  listener_();
  return true;
}

void WeightsTargets::onDated(const std::string& model, base::WeightsVersion version,
                             base::TimePoint namedAt) {
  auto& targets = targets_[model];
  const auto from = namedAt + bounds_.inForce - bounds_.margin;
  const auto position = std::ranges::lower_bound(targets, version, {}, &WeightsTarget::version);
  if (position != targets.end() && position->version == version) {
    position->olderForbiddenFrom =
        position->dated ? std::min(position->olderForbiddenFrom, from) : from;
    position->dated = true;
  } else {
    targets.insert(position, {version, from});
  }
  listener_();
}

base::WeightsVersion WeightsTargets::newest(std::string_view model) const {
  const auto found = targets_.find(model);
  return found == targets_.end() ? 0 : found->second.back().version;
}

std::optional<base::TimePoint> WeightsTargets::startDeadline(std::string_view model,
                                                             base::WeightsVersion version) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return std::nullopt;
  for (const WeightsTarget& target : found->second) {
    if (target.version > version) return target.olderForbiddenFrom + maximumStartDelay();
  }
  return std::nullopt;
}

base::WeightsVersion WeightsTargets::oldestAllowed(std::string_view model,
                                                   base::TimePoint now) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return 0;
  base::WeightsVersion oldest = 0;
  for (const WeightsTarget& target : found->second) {
    if (target.olderForbiddenFrom <= now) oldest = target.version;
  }
  return oldest;
}

}  // namespace covewing::routing
