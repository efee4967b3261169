/// \file
/// Which nodes read the feeds of the table service themselves: a few in each zone, by rendezvous
/// hashing over the live members. All other nodes ask those of their own zone, so that the calls to
/// the service grow with the zones and not with the nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/random.h"
#include "membership/member_directory.h"

namespace covewing::config {

class FeedWatchers {
 public:
  /// Among whom a node to ask is chosen.
  enum class Scope : std::uint8_t {
    /// The watchers of this node's zone.
    kOwnZone,
    /// The watchers of all zones.
    kAllZones,
    /// All live members, whether they are watchers or not.
    kAnyMember,
  };

  FeedWatchers(const membership::MemberDirectory& members, std::size_t watchersPerZone)
      : members_(members), watchersPerZone_(watchersPerZone) {}

  /// Whether this node is one of its zone's watchers.
  bool isWatcher() const;
  /// A random other node of the scope; null when there is none.
  const membership::Member* randomOther(Scope scope, base::RandomSource& random) const;

 private:
  using Members = std::vector<const membership::Member*>;
  Members membersOf(Scope scope) const;

  const membership::MemberDirectory& members_;
  std::size_t watchersPerZone_;
};

}  // namespace covewing::config
