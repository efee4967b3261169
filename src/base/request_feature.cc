#include "base/request_feature.h"

namespace covewing::base {

std::string toString(RequestFeature feature) {
  const auto digits = toString(RequestFingerprint{feature.value});
  return feature.kind == FeatureKind::kPromptPart ? "part-" + digits : digits;
}

std::string toString(const RequestFeatures& features) {
  std::string text;
  for (const auto feature : features) {
    if (!text.empty()) text += ' ';
    text += toString(feature);
  }
  return text;
}

}  // namespace covewing::base
