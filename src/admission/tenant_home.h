/// \file
/// The node that keeps a tenant's limits.
#pragma once

#include "base/ids.h"
#include "membership/member_directory.h"

namespace covewing::admission {

/// The home of a tenant by rendezvous hashing over the live, not draining members; this node itself
/// where it sees no other. Equal on all nodes with equal views.
const membership::Member& tenantHome(base::TenantId tenant,
                                     const membership::MemberDirectory& directory);

}  // namespace covewing::admission
