#include "quarantine/served_features.h"

namespace covewing::quarantine {

void ServedFeatures::add(base::RequestFeature feature, base::TimePoint now) {
  auto& recent = feature.kind == base::FeatureKind::kPromptPart ? parts_ : requests_;
  recent.add(feature, now);
}

bool ServedFeatures::contains(base::RequestFeature feature, base::TimePoint now) const {
  const auto& recent = feature.kind == base::FeatureKind::kPromptPart ? parts_ : requests_;
  return recent.contains(feature, now);
}

void ServedFeatures::Recent::add(base::RequestFeature feature, base::TimePoint now) {
  const auto known = entries_.find(feature);
  if (known != entries_.end()) {
    known->second->at = now;
    order_.splice(order_.end(), order_, known->second);
  } else {
    entries_[feature] = order_.insert(order_.end(), {feature, now});
  }
  while (order_.size() > capacity_ || now - order_.front().at > kRetention) {
    entries_.erase(order_.front().feature);
    order_.pop_front();
  }
}

bool ServedFeatures::Recent::contains(base::RequestFeature feature, base::TimePoint now) const {
  const auto known = entries_.find(feature);
  return known != entries_.end() && now - known->second->at <= kRetention;
}

}  // namespace covewing::quarantine
