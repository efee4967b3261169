/// \file
/// The few nodes that compete for a lease, so that the table service sees a bounded number of calls
/// however large the fleet is.
#pragma once

#include <string_view>
#include <vector>

#include "base/ids.h"
#include "membership/member_directory.h"

namespace covewing::coordination {

/// Members of `region` (of any, where it is empty) that are live and not draining, at most `count`,
/// chosen by rendezvous hashing of the lease's name, from different zones as long as there are any.
/// Nodes with equal views choose equally; different views only mean more candidates for a while.
std::vector<membership::Member> leaseCandidates(std::string_view leaseName, std::string_view region,
                                                const std::vector<membership::Member>& live,
                                                std::size_t count);

}  // namespace covewing::coordination
