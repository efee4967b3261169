#include "request/request_fingerprint.h"

namespace covewing::request {

base::RequestFingerprint fingerprintOf(const clients::RelayedRequest& request,
                                       std::string_view tenant) {
  const auto targetAndTenant =
      base::mixHash(base::hashName(request.target), base::hashName(tenant));
  return {base::mixHash(targetAndTenant, base::hashName(request.body.text()))};
}

base::RequestFeatures partFeaturesOf(const prefix::PartChain& chain, std::string_view service) {
  base::RequestFeatures features;
  const auto serviceHash = base::hashName(service);
  for (std::size_t part = 0; part < chain.sharedParts(); ++part) {
    const auto value = base::mixHash(serviceHash, chain.parts()[part].id);
    features.push_back({value, base::FeatureKind::kPromptPart});
  }
  return features;
}

}  // namespace covewing::request
