/// \file
/// Which node is the home of a replica: the one that knows the work of all nodes there
/// (routing/placement.h) and watches the replica's cache.
///
/// Rendezvous hashing over the live members of the replica's zone, or over all where the zone has
/// none, so that nodes with the same view agree without a message.
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

  /// The home of the replica; this node itself where no other member takes roles.
  const membership::Member& homeOf(base::EngineId replica, std::string_view zone) const;
  /// Whether this node is the home, or one of the `count` nodes next in line.
  bool isAmongFirst(base::EngineId replica, std::string_view zone, std::size_t count) const;

 private:
  /// Whether some member of the zone takes roles.
  bool hasMembers(std::string_view zone) const;

  const membership::MemberDirectory& members_;
};

}  // namespace covewing::routing
