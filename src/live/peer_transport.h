/// \file
/// Sends and receives messages between nodes over the network: as one UDP datagram if the payload
/// fits, otherwise over a TCP connection that carries one length-prefixed frame and is then
/// closed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/result_code.h"
#include "live/memory_account.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

/// Totals since the start, for metrics.
struct PeerTransportCounters {
  std::uint64_t sentFrames = 0;
  /// Size of the sent frames in bytes, without UDP, TCP and IP headers.
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedFrames = 0;
  std::uint64_t receivedBytes = 0;
  /// Received frames that were malformed or of another protocol version.
  std::uint64_t rejectedFrames = 0;
  /// Frames that could not be sent, for lack of buffer space or of a connection, or because they
  /// were too long.
  std::uint64_t droppedFrames = 0;
};

/// Receives complete, validated frames. `payload` is valid only during the call.
using PeerFrameHandler =
    std::function<void(const base::PeerIdentity&, base::Channel, std::string_view payload)>;

class AsioPeerTransport final : public base::PeerTransport {
 public:
  /// Frames that are being received are entered in `memory`, if that is given.
  AsioPeerTransport(boost::asio::io_context& context, base::EventLog& log,
                    MemoryAccountPtr memory = nullptr);
  ~AsioPeerTransport() override;
  AsioPeerTransport(const AsioPeerTransport&) = delete;
  AsioPeerTransport& operator=(const AsioPeerTransport&) = delete;

  /// Binds UDP and TCP to the same port (0 selects a free one) and returns the bound endpoint.
  /// Returns nothing, with `reason`, if binding fails.
  std::optional<base::Endpoint> bind(const base::Endpoint& endpoint, base::Reason& reason);
  /// Starts receiving. `self` is the sender in each frame sent from now on.
  void start(const base::PeerIdentity& self, PeerFrameHandler handler);
  void send(const base::Endpoint& destination, base::Channel channel, std::string payload) override;

  /// Called with each frame that is to be sent. `bytes` is the size of the frame without IP, UDP
  /// and TCP headers.
  using SentObserver =
      std::function<void(const base::Endpoint& destination, base::Channel, std::size_t bytes)>;
  void setSentObserver(SentObserver observer);

  const PeerTransportCounters& counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace covewing::live
