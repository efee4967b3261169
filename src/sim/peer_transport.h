/// \file
/// Binding of base::PeerTransport to the simulated network: messages up to the datagram limit as
/// one datagram each, larger ones over a connection of their own.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/peer_transport.h"
#include "sim/network.h"

namespace covewing::sim {

/// Receiver of the peer messages that arrive at a host. Called on the host's process.
class PeerReceiver {
 public:
  virtual ~PeerReceiver() = default;
  virtual void onPeerMessage(const base::PeerIdentity& sender, base::Channel channel,
                             std::string_view payload) = 0;
};

/// Finds the receiver at a host when a message arrives; null when its process has none.
using PeerReceiverLookup = std::function<PeerReceiver*(HostId)>;

inline constexpr std::size_t kChannelCount = 8;

/// Messages sent by channel, for the split of control traffic. Indexed by base::Channel.
struct PeerMessageCount {
  std::array<std::uint64_t, kChannelCount> messages{};
  /// Frame bytes, without network headers.
  std::array<std::uint64_t, kChannelCount> bytes{};
};

/// Sends the messages of one run of a node's process.
class SimPeerTransport final : public base::PeerTransport {
 public:
  SimPeerTransport(Network& network, HostId host, base::PeerIdentity self,
                   PeerReceiverLookup receivers);
  void send(const base::Endpoint& destination, base::Channel channel, std::string payload) override;
  const PeerMessageCount& count() const { return count_; }

 private:
  Network& network_;
  HostId host_;
  base::PeerIdentity self_;
  PeerReceiverLookup receivers_;
  PeerMessageCount count_;
};

}  // namespace covewing::sim
