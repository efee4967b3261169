#include "request/request_fingerprint.h"

namespace covewing::request {

base::RequestFingerprint fingerprintOf(const clients::RelayedRequest& request,
                                       std::string_view tenant) {
  const auto whereAndWho = base::mixHash(base::hashName(request.target), base::hashName(tenant));
  return {base::mixHash(whereAndWho, base::hashName(request.body))};
}

}  // namespace covewing::request
