/// \file
/// Selection of a tenant's home node, which keeps the tenant's limits.
#pragma once

#include <functional>

#include "base/ids.h"
#include "membership/member_directory.h"

namespace covewing::admission {

/// Whether a node must not be selected, for example because it is unresponsive.
using ExcludeNode = std::function<bool(base::NodeId)>;

/// The home node of a tenant by rendezvous hashing over the live members that are not draining;
/// this node itself if it sees no other. Nodes with the same view that exclude none agree on it.
const membership::Member& tenantHome(base::TenantId tenant,
                                     const membership::MemberDirectory& directory,
                                     const ExcludeNode& excluded = {});

}  // namespace covewing::admission
