#include "sim/peer_transport.h"

#include <memory>
#include <utility>

#include "node/peer_frame.h"

namespace covewing::sim {

SimPeerTransport::SimPeerTransport(Network& network, HostId host, base::PeerIdentity self,
                                   PeerReceiverLookup receivers)
    : network_(network), host_(host), self_(self), receivers_(std::move(receivers)) {}

void SimPeerTransport::send(const base::Endpoint& destination, base::Channel channel,
                            std::string payload) {
  const bool datagram = payload.size() <= kDatagramLimit;
  auto frame = std::make_shared<const std::string>(
      node::encodePeerFrame(self_, channel, std::move(payload)));
  const auto size = frame->size();
  ++count_.messages.at(static_cast<std::size_t>(channel));
  count_.bytes.at(static_cast<std::size_t>(channel)) += size;
  const auto* found = network_.findHost(destination);
  if (found == nullptr) return;
  const auto target = *found;
  auto deliver = [receivers = receivers_, target, frame = std::move(frame)] {
    auto* receiver = receivers(target);
    if (receiver == nullptr) return;
    base::Reason reason;
    const auto decoded = node::decodePeerFrame(*frame, reason);
    if (decoded) receiver->onPeerMessage(decoded->sender, decoded->channel, decoded->payload);
  };
  if (datagram) {
    network_.sendDatagram(host_, target, size, TrafficClass::kPeerDatagram, deliver);
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
