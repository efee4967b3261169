/// \file
/// The live nodes as one node sees them, and small records spread to all by gossip.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"

namespace covewing::membership {

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

struct Member {
  base::NodeId id;
  std::string name;
  base::Endpoint endpoint;
  std::string zone;
  std::string region;
  base::Incarnation incarnation = 0;
  MemberState state = MemberState::kAlive;
  /// The node takes no new roles and no new requests.
  bool draining = false;
};

/// Read access to the membership. The order of members is by id, equal on all nodes with equal
/// views.
class MemberDirectory {
 public:
  virtual ~MemberDirectory() = default;
  virtual const Member& self() const = 0;
  /// Members alive or suspected, self included, ascending by id.
  virtual const std::vector<Member>& liveMembers() const = 0;
  /// The member, in whatever state it is known; null if unknown.
  virtual const Member* find(base::NodeId id) const = 0;
  /// Members held dead that did not leave by themselves: they may live, and not be reached.
  virtual std::size_t lostMembers() const = 0;
  /// Seeds that no live member has and that may still be about to join; 0 once they had time to
  /// reply. Each may belong to a group of nodes that this one does not know yet.
  virtual std::size_t missingSeeds() const = 0;
  /// Number that grows whenever liveMembers changes; lets users cache what they derive from it.
  virtual std::uint64_t version() const = 0;
};

/// A small value that is spread to all nodes; for one key the higher version wins everywhere.
struct GossipRecord {
  /// Kind of record, then the entity, such as "engine/rules-07".
  std::string key;
  /// For state of a process: incarnation in the high bits, a counter below (see recordVersion).
  std::uint64_t version = 0;
  std::string value;
};

/// Spreads records by gossip and repairs losses by digest. Bounded: at most kMaximumValue bytes a
/// record.
class RecordDissemination {
 public:
  static constexpr std::size_t kMaximumValue = 256;
  using Listener = std::function<void(const GossipRecord&)>;

  virtual ~RecordDissemination() = default;
  /// Stores and spreads the record, unless a higher version of its key is known.
  virtual void publish(GossipRecord record) = 0;
  virtual std::optional<GossipRecord> find(std::string_view key) const = 0;
  /// Calls `listener` for each record with this key prefix that is new here, and at once for those
  /// known.
  virtual void subscribe(std::string keyPrefix, Listener listener) = 0;
};

}  // namespace covewing::membership
