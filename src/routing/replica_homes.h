/// \file
/// Determines which node is the home of a replica: the node that tracks the work of all nodes there
/// (routing/placement.h) and watches the replica's cache.
///
/// Uses rendezvous hashing over the live members of the replica's zone, or over all live members if
/// the zone has none, so that nodes with the same membership view agree without messages.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "membership/member_directory.h"

namespace covewing::routing {

class ReplicaHomes {
 public:
  explicit ReplicaHomes(const membership::MemberDirectory& members) : members_(members) {}

  /// The home of the replica; this node if no other member takes roles.
  const membership::Member& homeOf(base::EngineId replica, std::string_view zone) const;
  /// Whether this node is among the `count` highest-ranked nodes for the replica, the first of
  /// which is the home.
  bool isAmongFirst(base::EngineId replica, std::string_view zone, std::size_t count) const;

 private:
  /// Whether any member of the zone takes roles.
  bool hasMembers(std::string_view zone) const;

  const membership::MemberDirectory& members_;
};

}  // namespace covewing::routing
