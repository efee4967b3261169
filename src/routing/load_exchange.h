/// \file
/// Tells all other nodes what this node has under way at each replica, and keeps what they tell.
///
/// A node sends a bounded number of messages a second, so the more nodes there are, the older are
/// the news. With so many nodes that news are older than what they tell of
/// (kLongestUsefulLoadInterval), nobody relies on them and nothing is sent: each node takes an even
/// share of each replica (ReplicaSelector).
#pragma once

#include <cstdint>
#include <string_view>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/time.h"
#include "membership/member_directory.h"
#include "routing/fleet_load.h"
#include "routing/replica_directory.h"

namespace covewing::routing {

struct LoadExchangeOptions {
  /// Least time between two messages to the same node.
  base::Duration interval = std::chrono::milliseconds(50);
  /// Messages that a node sends a second at most.
  double messagesPerSecond = 120;
  /// News that did not change are repeated after this.
  base::Duration repeatInterval = std::chrono::milliseconds(1000);
};

/// All must outlive the sharing and share its thread.
struct LoadExchangeEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  base::PeerTransport& peers;
  const membership::MemberDirectory& members;
  const ReplicaDirectory& replicas;
  FleetLoad& fleet;
};

class LoadExchange final : public base::PeerHandler {
 public:
  LoadExchange(LoadExchangeOptions options, LoadExchangeEnvironment environment)
      : options_(options), environment_(environment) {}
  ~LoadExchange() override;
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  void start() { tick(); }
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

 private:
  void tick();
  /// Tells the load where it changed, or was told too long ago.
  void sendIfDue();
  /// What this node has under way.
  LoadByReplica ownLoad() const;
  void broadcast(const LoadByReplica& load);
  base::Duration interval() const;

  LoadExchangeOptions options_;
  LoadExchangeEnvironment environment_;
  LoadByReplica lastSent_;
  base::TimePoint lastSentAt_{};
  std::uint64_t lastSequence_ = 0;
  base::TimerId timer_ = 0;
};

}  // namespace covewing::routing
