/// \file
/// The node that keeps a tenant's limits.
#pragma once

#include <functional>

#include "base/ids.h"
#include "membership/member_directory.h"

namespace covewing::admission {

/// Says that a node is not to be taken, as one that does not answer.
using ExcludeNode = std::function<bool(base::NodeId)>;

/// The home of a tenant by rendezvous hashing over the live, not draining members; this node itself
/// where it sees no other. Equal on all nodes with equal views that pass over none.
const membership::Member& tenantHome(base::TenantId tenant,
                                     const membership::MemberDirectory& directory,
                                     const ExcludeNode& excluded = {});

}  // namespace covewing::admission
