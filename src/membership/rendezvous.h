/// \file
/// The homes of a key by rendezvous hashing over the live members: nodes with equal views agree
/// without a message, and a member that comes or goes moves only its own keys.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "membership/member_directory.h"

namespace covewing::membership {

/// The home among the members that take roles and that `accepts` allows; this node itself where
/// there is none.
template <class Accepts>
const Member& rendezvousHome(std::uint64_t key, const MemberDirectory& directory, Accepts accepts) {
  const Member* home = nullptr;
  std::uint64_t best = 0;
  for (const Member& member : directory.liveMembers()) {
    if (member.draining || !accepts(member)) continue;
    const std::uint64_t score = base::mixHash(key, member.id.value);
    if (home != nullptr && score <= best) continue;
    home = &member;
    best = score;
  }
  return home == nullptr ? directory.self() : *home;
}

/// The first `count` homes of the key among the members that take roles, the first one first. Valid
/// until the membership changes.
inline std::vector<const Member*> rendezvousHomes(std::uint64_t key,
                                                  const MemberDirectory& directory,
                                                  std::size_t count) {
  std::vector<const Member*> homes;
  for (const Member& member : directory.liveMembers())
    if (!member.draining) homes.push_back(&member);
  const auto score = [key](const Member* member) { return base::mixHash(key, member->id.value); };
  const auto kept = std::min(count, homes.size());
  std::ranges::partial_sort(homes, homes.begin() + static_cast<std::ptrdiff_t>(kept),
                            std::greater{}, score);
  homes.resize(kept);
  return homes;
}

/// Whether this node is among the first `count` homes of the key, of the members that take roles
/// and that `accepts` allows.
template <class Accepts>
bool isAmongRendezvousHomes(std::uint64_t key, const MemberDirectory& directory, std::size_t count,
                            Accepts accepts) {
  const Member& self = directory.self();
  if (self.draining || !accepts(self)) return false;
  const std::uint64_t own = base::mixHash(key, self.id.value);
  const auto ahead = std::ranges::count_if(directory.liveMembers(), [&](const Member& member) {
    return !member.draining && accepts(member) && base::mixHash(key, member.id.value) > own;
  });
  return static_cast<std::size_t>(ahead) < count;
}

}  // namespace covewing::membership
