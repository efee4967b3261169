/// \file
/// Selects the few nodes that compete for a lease, so that the number of calls to the table service
/// is bounded however large the fleet is.
#pragma once

#include <string_view>
#include <vector>

#include "base/ids.h"
#include "membership/member_directory.h"

namespace covewing::coordination {

/// Returns at most `count` members of `region` (of any region if it is empty) that are live and not
/// draining. They are chosen by rendezvous hashing of the lease's name, from different zones as far
/// as possible. Nodes with equal membership views choose equally; different views only result in
/// more candidates for a while.
std::vector<membership::Member> leaseCandidates(std::string_view leaseName, std::string_view region,
                                                const std::vector<membership::Member>& live,
                                                std::size_t count);

}  // namespace covewing::coordination
