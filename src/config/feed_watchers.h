/// \file
/// Who reads the feeds of the table service, and whom the other nodes ask.
///
/// Three tiers, by rendezvous hashing over the live members: a few readers of the whole fleet call
/// the service, a few watchers in each zone ask the readers, and all other nodes ask the watchers
/// of their own zone. So the calls to the service do not grow with the fleet, and what crosses
/// zones grows with the zones and not with the nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/random.h"
#include "membership/member_directory.h"

namespace covewing::config {

/// How many nodes read and watch.
struct FeedWatcherCounts {
  /// Of the whole fleet, in different zones where there are some. Two, so that the loss of one
  /// costs the others only a question.
  std::size_t readers = 2;
  /// In each zone.
  std::size_t watchersPerZone = 2;
};

class FeedWatchers {
 public:
  enum class Role : std::uint8_t { kReader, kZoneWatcher, kFollower };
  /// Among whom a node to ask is chosen.
  enum class Scope : std::uint8_t {
    kReaders,
    /// The watchers of this node's zone.
    kOwnZone,
    /// The watchers of all zones.
    kAllZones,
    /// All live members, whether they are watchers or not.
    kAnyMember,
  };

  FeedWatchers(const membership::MemberDirectory& members, FeedWatcherCounts counts)
      : members_(members), counts_(counts) {}

  /// What this node is, by the members that it sees.
  Role role() const;
  /// A random other node of the scope; null when there is none.
  const membership::Member* randomOther(Scope scope, base::RandomSource& random) const;

 private:
  using Members = std::vector<const membership::Member*>;
  /// The members that take roles, those ranked first in front.
  Members ranked() const;
  Members readers() const;
  Members watchersOf(const std::string& zone) const;
  Members membersOf(Scope scope) const;

  const membership::MemberDirectory& members_;
  FeedWatcherCounts counts_;
};

}  // namespace covewing::config
