#include "sim/peer_transport.h"

#include <memory>
#include <utility>

namespace covewing::sim {

namespace {
/// Bytes that a frame adds to its payload: version, sender, channel and the length of the payload.
constexpr std::size_t kFrameOverhead = 32;
}  // namespace

SimPeerTransport::SimPeerTransport(Network& network, HostId host, base::PeerIdentity self,
                                   PeerReceiverLookup receivers)
    : network_(network), host_(host), self_(self), receivers_(std::move(receivers)) {}

void SimPeerTransport::send(const base::Endpoint& destination, base::Channel channel,
                            std::string payload) {
  const auto size = payload.size() + kFrameOverhead;
  ++count_.messages.at(static_cast<std::size_t>(channel));
  count_.bytes.at(static_cast<std::size_t>(channel)) += size;
  const auto* found = network_.findHost(destination);
  if (found == nullptr) return;
  const auto target = *found;
  const bool datagram = payload.size() <= kDatagramLimit;
  auto shared = std::make_shared<const std::string>(std::move(payload));
  auto deliver = [receivers = receivers_, sender = self_, target, channel, shared] {
    if (auto* receiver = receivers(target)) receiver->onPeerMessage(sender, channel, *shared);
  };
  if (datagram) {
    network_.sendDatagram(host_, target, size, TrafficClass::kPeerDatagram, std::move(deliver));
    return;
  }
  network_.connect(
      host_, target, TrafficClass::kPeerStream,
      [size, deliver = std::move(deliver)](ConnectResult, const ConnectionPtr& connection) {
        if (connection == nullptr) return;
        connection->send(Connection::Side::kClient, size, deliver);
        connection->close(Connection::Side::kClient);
      });
}

}  // namespace covewing::sim
