/// \file
/// Finds the holders of a prompt's shared parts, whichever node sent prompts there.
///
/// Each long shared part has a home among the live nodes by rendezvous hashing. Nodes tell the home
/// which replicas have read the part, those that watch a replica's cache tell what it keeps and
/// drops, and nodes ask the home. So a prompt costs a few small messages, however many nodes there
/// are.
///
/// A lookup never costs a request: it ends without an answer after a few milliseconds, and a home
/// that did not answer is not asked again for a while. After a change of members a part may have
/// another home that knows nothing yet; the prompts that come next teach it.
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
  /// Longest wait for an answer.
  base::Duration timeout = std::chrono::milliseconds(15);
  /// A home that did not answer is passed over for so long.
  base::Duration avoidFor = std::chrono::milliseconds(1000);
};

/// All must outlive the lookup and share its thread.
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
  /// The holders that the home knows; empty when it did not answer.
  using HoldersCallback = std::function<void(const std::optional<std::vector<PartHolder>>&)>;

  PartLookup(PartLookupOptions options, PartLookupEnvironment environment)
      : options_(options), environment_(environment), index_(options.index) {}
  ~PartLookup() override;
  PartLookup(const PartLookup&) = delete;
  PartLookup& operator=(const PartLookup&) = delete;

  /// Asks for the holders under the scope. Calls `found` once; inside the call where the answer is
  /// known or cannot be had.
  void lookup(std::uint64_t part, CacheScope scope, HoldersCallback found);
  /// The holder has read a prompt with the part, or no longer holds it.
  void announce(std::uint64_t part, const PartHolder& holder, bool held = true);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  /// Parts that this node is the home of.
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
