/// \file
/// The fingerprint of a request. Requests with the same fingerprint demand the same work of a
/// replica, even if they have different identifiers and arrive at different nodes.
#pragma once

#include <string_view>

#include "base/ids.h"
#include "clients/relay_client.h"

namespace covewing::request {

/// Hash of the path with its query, the tenant's name and the body. The tenant's keys are left out
/// because replicas do not see them. Headers are left out because deadlines and identifiers change
/// with each attempt.
base::RequestFingerprint fingerprintOf(const clients::RelayedRequest& request,
                                       std::string_view tenant);

}  // namespace covewing::request
