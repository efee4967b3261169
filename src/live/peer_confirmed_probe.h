/// \file
/// Probes an address from this node and, if it does not accept a connection, from another node as
/// well: a node that has lost its own links must not conclude that replicas have ended.
#pragma once

#include <functional>
#include <memory>

#include "clients/reachability_client.h"
#include "live/http_client.h"
#include "routing/relay_peers.h"
#include "routing/replica_directory.h"

namespace covewing::live {

/// All must outlive the probe and be used on its thread.
struct PeerConfirmedProbeEnvironment {
  base::Clock& clock;
  /// Probes from this node.
  clients::ReachabilityClient& direct;
  HttpClient& peerHttp;
  const routing::ReplicaDirectory& replicas;
  routing::RelayPeers& relayPeers;
};

class PeerConfirmedProbe final : public clients::ReachabilityClient {
 public:
  explicit PeerConfirmedProbe(PeerConfirmedProbeEnvironment environment)
      : environment_(environment) {}

  /// If another node reaches the replica at the address, reports that it accepts; if the other node
  /// does not answer, that nothing is known.
  void connect(const base::Endpoint& address, base::Duration timeout,
               std::function<void(clients::Reachability)> callback) override;

 private:
  void confirm(const base::Endpoint& address, base::Duration timeout,
               clients::Reachability seenHere, std::function<void(clients::Reachability)> callback);

  PeerConfirmedProbeEnvironment environment_;
  /// Allows callbacks that run after the destruction of this object to detect it.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::live
