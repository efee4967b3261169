/// \file
/// What a request demands of a replica, for comparison with other requests. Requests with the same
/// fingerprint demand the same work of a replica, even if they have different identifiers and
/// arrive at different nodes.
#pragma once

#include <string_view>

#include "base/ids.h"
#include "base/request_feature.h"
#include "clients/relay_client.h"
#include "prefix/part_chain.h"

namespace covewing::request {

/// Hash of the path with its query, the tenant's name and the body. The tenant's keys are left out
/// because replicas do not see them. Headers are left out because deadlines and identifiers change
/// with each attempt.
base::RequestFingerprint fingerprintOf(const clients::RelayedRequest& request,
                                       std::string_view tenant);

/// One feature for each shared part of a prompt, in their order. The service counts, because
/// replicas of different services run different models.
base::RequestFeatures partFeaturesOf(const prefix::PartChain& chain, std::string_view service);

}  // namespace covewing::request
