#include "admission/tenant_home.h"

#include "membership/rendezvous.h"

namespace covewing::admission {

const membership::Member& tenantHome(base::TenantId tenant,
                                     const membership::MemberDirectory& directory,
                                     const ExcludeNode& excluded) {
  return membership::rendezvousHome(tenant.value, directory, [&](const membership::Member& member) {
    return !excluded || !excluded(member.id);
  });
}

}  // namespace covewing::admission
