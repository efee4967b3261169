/// \file
/// The fingerprint of a request: what tells whether a request that comes again, under another
/// identifier and at any node, asks the same of a replica as one before.
#pragma once

#include <string_view>

#include "base/ids.h"
#include "clients/relay_client.h"

namespace covewing::request {

/// Of the path with its query, the tenant's name and the body. A tenant's keys do not count, since
/// no replica sees them; headers do not, since deadlines and identifiers change with each attempt.
base::RequestFingerprint fingerprintOf(const clients::RelayedRequest& request,
                                       std::string_view tenant);

}  // namespace covewing::request
