/// \file
/// An update about one member as it travels between nodes, and the order that decides which of two
/// updates wins.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member_directory.h"
#include "membership/packed_bytes.h"

namespace covewing::membership {

/// Position of an update in a member's life. The later one wins: a higher incarnation (run of
/// the process), then a higher sequence (which only the member itself raises, to refute a suspicion
/// or to change its draining mark), then the graver state.
struct MemberVersion {
  base::Incarnation incarnation = 0;
  std::uint32_t sequence = 0;
  MemberState state = MemberState::kAlive;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
  auto operator<=>(const MemberVersion&) const = default;
};

struct MemberUpdate {
  base::NodeId id;
  MemberVersion version;
  bool draining = false;
  /// Name, zone, region and endpoint are present. Without them the update is of use only to nodes
  /// that know the member already.
  bool full = false;
  std::string name;
  base::Endpoint endpoint;
  std::string zone;
  std::string region;
};

/// Everything known of the member.
MemberUpdate fullUpdate(const Member& member, std::uint32_t sequence);
/// The same without the parts that do not change: about 20 bytes.
MemberUpdate compactUpdate(const Member& member, std::uint32_t sequence);

void encode(const MemberUpdate& update, PackedWriter& writer);
/// All updates of a packed list; those before a malformed one are kept.
std::vector<MemberUpdate> decodeMemberUpdates(std::string_view bytes);

}  // namespace covewing::membership
