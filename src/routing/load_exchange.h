/// \file
/// Sends this node's load at each replica to all other nodes, and records the load that they
/// report.
///
/// The number of messages that a node sends per second is limited, so the updates become older as
/// the number of nodes grows. If there are so many nodes that updates would be out of date on
/// arrival (kMaximumUsefulLoadInterval), no node relies on them and none are sent; each node then
/// uses an even share of each replica (ReplicaSelector).
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
  /// Minimum interval between two messages to the same node.
  base::Duration interval = std::chrono::milliseconds(50);
  /// Maximum number of messages that a node sends per second.
  double messagesPerSecond = 120;
  /// An unchanged update is sent again after this interval.
  base::Duration repeatInterval = std::chrono::milliseconds(1000);
};

/// All references must outlive the exchange and are used on its thread.
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
  /// Sends the load if it has changed or was last sent too long ago.
  void sendIfDue();
  /// The load that this node has in progress.
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
