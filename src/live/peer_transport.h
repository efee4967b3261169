/// \file
/// Messages between nodes over the network: one UDP datagram where the payload fits, else a TCP
/// connection that carries one length-prefixed frame and is closed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/result_code.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

/// Counts since the start, for metrics.
struct PeerTransportCounters {
  std::uint64_t sentFrames = 0;
  /// Frame bytes without UDP, TCP and IP headers.
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedFrames = 0;
  std::uint64_t receivedBytes = 0;
  /// Malformed frames and frames of another version.
  std::uint64_t rejectedFrames = 0;
  /// Frames not sent for want of buffer space or of a connection.
  std::uint64_t droppedFrames = 0;
};

/// Receives whole, checked frames. `payload` is valid during the call only.
using PeerFrameHandler =
    std::function<void(const base::PeerIdentity&, base::Channel, std::string_view payload)>;

class AsioPeerTransport final : public base::PeerTransport {
 public:
  AsioPeerTransport(boost::asio::io_context& context, base::EventLog& log);
  ~AsioPeerTransport() override;
  AsioPeerTransport(const AsioPeerTransport&) = delete;
  AsioPeerTransport& operator=(const AsioPeerTransport&) = delete;

  /// Binds UDP and TCP to one port (0: a free one) and gives the bound endpoint, or `reason`.
  std::optional<base::Endpoint> bind(const base::Endpoint& endpoint, base::Reason& reason);
  /// Starts receiving; `self` goes into each frame sent from now on.
  void start(const base::PeerIdentity& self, PeerFrameHandler handler);
  void send(const base::Endpoint& destination, base::Channel channel, std::string payload) override;

  /// Called with each frame that is sent; bytes without IP, UDP and TCP headers.
  using SentObserver =
      std::function<void(const base::Endpoint& destination, base::Channel, std::size_t bytes)>;
  void setSentObserver(SentObserver observer);

  const PeerTransportCounters& counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace covewing::live
