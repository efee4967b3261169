#include "request/request_fingerprint.h"

namespace covewing::request {

base::RequestFingerprint fingerprintOf(const clients::RelayedRequest& request,
                                       std::string_view tenant) {
  const auto targetAndTenant =
      base::mixHash(base::hashName(request.target), base::hashName(tenant));
  return {base::mixHash(targetAndTenant, base::hashName(request.body))};
}

}  // namespace covewing::request
