/// \file
/// Finds the replicas and stores that hold the shared parts of a prompt, whichever node sent
/// prompts to them.
///
/// Each long shared part has a home among the live nodes, chosen by rendezvous hashing. Nodes
/// report to the home which replicas have prefilled the part, nodes that watch a replica's cache
/// report what it keeps and evicts, and nodes query the home for the holders. A prompt therefore
/// costs a few small messages, independent of the number of nodes.
///
/// A lookup never fails or noticeably delays a request: it ends without a result after a few
/// milliseconds, and a home that did not reply is not queried again for a while. After a membership
/// change a part may have a new home whose index is still empty; reports about the next prompts
/// fill it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/member_directory.h"
#include "routing/part_index.h"

namespace covewing::routing {

struct PartLookupOptions {
  PartIndexOptions index;
  /// Maximum wait for the reply of a home.
  base::Duration timeout = std::chrono::milliseconds(15);
  /// A home that did not reply is not queried for this long.
  base::Duration avoidFor = std::chrono::milliseconds(1000);
};

/// All referenced objects must outlive the lookup and be used on its thread only.
struct PartLookupEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  const membership::MemberDirectory& members;
};

class PartLookup final : public base::PeerHandler {
 public:
  /// Receives the holders that the home has on record; empty if the home did not reply.
  using HoldersCallback = std::function<void(const std::optional<std::vector<PartHolder>>&)>;

  PartLookup(PartLookupOptions options, PartLookupEnvironment environment)
      : options_(options), environment_(environment), index_(options.index) {}
  ~PartLookup() override;
  PartLookup(const PartLookup&) = delete;
  PartLookup& operator=(const PartLookup&) = delete;

  /// Looks up the holders of the part under the scope. Calls `found` exactly once; calls it before
  /// returning if this node is the home or the home is not to be queried.
  void lookup(std::uint64_t part, CacheScope scope, HoldersCallback found);
  /// Reports to the home of the part that the holder has prefilled a prompt with the part (`held`
  /// is true), or no longer holds it.
  void announce(std::uint64_t part, const PartHolder& holder, bool held = true);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  /// Number of parts in the index of this node, which is their home.
  std::size_t size() const { return index_.size(); }

 private:
  struct Pending {
    base::NodeId home;
    base::TimerId timer = 0;
    HoldersCallback found;
  };

  const membership::Member& homeOf(std::uint64_t part) const;
  bool isAvoided(base::NodeId home) const;
  void send(const base::Endpoint& destination, const PartMessage& message);
  void onQuery(const base::PeerIdentity& sender, const PartQuery& query);
  void onReply(const base::PeerIdentity& sender, const PartReply& reply);
  void onUpdate(const PartUpdate& update);
  void onTimeout(std::uint64_t nonce);

  PartLookupOptions options_;
  PartLookupEnvironment environment_;
  PartIndex index_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::map<base::NodeId, base::TimePoint> avoidedUntil_;
};

}  // namespace covewing::routing
