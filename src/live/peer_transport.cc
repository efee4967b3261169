#include "live/peer_transport.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "live/asio_runtime.h"
#include "live/handler_failures.h"
#include "live/lazy_deadline.h"
#include "node/peer_frame.h"

namespace covewing::live {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t kDatagramBuffer = 2048;
constexpr std::size_t kPrefixBytes = sizeof(std::uint32_t);
/// Maximum size in bytes of a frame over TCP. A complete snapshot of the configuration at its
/// present size takes a fraction of it.
constexpr std::size_t kMaximumFrame = 32U << 20U;
/// Memory that is reserved at a time for the rest of a frame.
constexpr std::size_t kFrameStepBytes = 64U << 10U;
constexpr std::size_t kMaximumIncomingConnections = 256;
constexpr std::size_t kMaximumOutgoingConnections = 256;
/// Wait before accepting again after an error such as too many open files.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
constexpr base::Duration kConnectionTimeout = std::chrono::seconds(10);
constexpr int kPortAttempts = 32;
constexpr std::string_view kMessageSource = "message of another node";
constexpr std::string_view kAcceptSource = "listener for other nodes";

/// One TCP connection that carries one frame, in either direction.
struct FrameConnection : IncomingMessage, std::enable_shared_from_this<FrameConnection> {
  FrameConnection(tcp::socket connected, std::size_t& openCounter, MemoryAccountPtr account)
      : socket(std::move(connected)),
        openCount(openCounter),
        deadline(socket.get_executor(), [this] { close(); }),
        memory(std::move(account)),
        charge(memory, MemoryClass::kPeers) {
    ++openCount;
    deadline.set(kConnectionTimeout);
  }
  ~FrameConnection() override {
    if (memory) memory->removeIncoming(*this);
    --openCount;
  }
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  MemoryClass memoryClass() const override { return MemoryClass::kPeers; }
  std::size_t heldBytes() const override { return charge.bytes(); }
  base::TimePoint heldSince() const override { return openedAt; }
  /// The memory itself goes with the handler of the read that is outstanding.
  void dropForMemory() override {
    dropped = true;
    charge.resize(MemoryClass::kPeers, 0);
    close();
  }

  void close() {
    boost::system::error_code error;
    socket.close(error);
  }
  /// Enters the memory of a frame that is being received. Returns false if that was too much.
  bool enterReceived() {
    if (!memory) return true;
    memory->addIncoming(*this);
    charge.resize(MemoryClass::kPeers, frame.capacity());
    memory->makeRoom(MemoryClass::kPeers, AsioClock{}.now());
    return !dropped;
  }

  tcp::socket socket;
  std::size_t& openCount;
  LazyDeadline deadline;
  /// Null if frames are not entered anywhere.
  MemoryAccountPtr memory;
  MemoryCharge charge;
  base::TimePoint openedAt = AsioClock{}.now();
  /// Ended because frames took too much memory.
  bool dropped = false;
  std::array<unsigned char, kPrefixBytes> prefix{};
  std::string frame;
};

}  // namespace

struct AsioPeerTransport::Impl : std::enable_shared_from_this<AsioPeerTransport::Impl> {
  Impl(asio::io_context& ioContext, base::EventLog& eventLog, MemoryAccountPtr account)
      : context(ioContext),
        log(eventLog),
        memory(std::move(account)),
        datagrams(ioContext),
        acceptor(ioContext),
        acceptRetryTimer(ioContext) {}

  bool tryBind(const base::Endpoint& endpoint, boost::system::error_code& error) {
    close();
    const asio::ip::address_v4 address(endpoint.address);
    acceptor.open(tcp::v4(), error);
    if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor.bind({address, endpoint.port}, error);
    if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) return false;
    const auto port = acceptor.local_endpoint().port();
    datagrams.open(udp::v4(), error);
    if (!error) datagrams.bind({address, port}, error);
    if (!error) datagrams.non_blocking(true, error);
    return !error;
  }

  void close() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    acceptRetryTimer.cancel();
    datagrams.close(ignored);
  }

  void receiveDatagram() {
    datagrams.async_receive_from(
        asio::buffer(datagramBuffer), datagramSender,
        [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
          if (error == asio::error::operation_aborted) return;
          // Other errors stem from earlier sends, such as a refused port.
          if (!error) self->deliver({self->datagramBuffer.data(), bytes});
          if (self->datagrams.is_open()) self->receiveDatagram();
        });
  }

  void accept() {
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code error,
                                                      tcp::socket socket) {
      if (error == asio::error::operation_aborted || !self->acceptor.is_open()) return;
      if (error) {
        self->acceptLater();
        return;
      }
      if (self->incomingCount < kMaximumIncomingConnections) {
        runHandler(
            self->context, kAcceptSource, [&] { self->receiveFrame(std::move(socket)); }, [] {});
      }
      self->accept();
    });
  }

  /// Without a wait, a node that has no free descriptor would try again without end.
  void acceptLater() {
    acceptRetryTimer.expires_after(kAcceptRetryDelay);
    acceptRetryTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
      if (!error && self->acceptor.is_open()) self->accept();
    });
  }

  void receiveFrame(tcp::socket socket) {
    auto connection = std::make_shared<FrameConnection>(std::move(socket), incomingCount, memory);
    asio::async_read(
        connection->socket, asio::buffer(connection->prefix),
        [self = shared_from_this(), connection](boost::system::error_code error, std::size_t) {
          if (error) return;
          const auto length = boost::endian::load_big_u32(connection->prefix.data());
          if (length > kMaximumFrame) {
            self->reject({base::ResultCode::kMessageMalformed, "frame too long"});
            return;
          }
          self->receiveBody(connection, length);
        });
  }

  /// Reads the rest of a frame of `length` bytes, whose memory grows with what has arrived.
  void receiveBody(const std::shared_ptr<FrameConnection>& connection, std::size_t length) {
    const auto received = connection->frame.size();
    if (received == length) {
      deliver(connection->frame);
      return;
    }
    connection->frame.resize(std::min(length, received + kFrameStepBytes));
    if (!connection->enterReceived()) {
      rejectForMemory();
      return;
    }
    asio::async_read(connection->socket, asio::buffer(connection->frame) + received,
                     [self = shared_from_this(), connection, length](
                         boost::system::error_code error, std::size_t) {
                       if (connection->dropped) {
                         self->rejectForMemory();
                       } else if (!error) {
                         self->receiveBody(connection, length);
                       }
                     });
  }

  void deliver(std::string_view bytes) {
    base::Reason reason;
    const auto frame = node::decodePeerFrame(bytes, reason);
    if (!frame) {
      reject(reason);
      return;
    }
    ++counters.receivedFrames;
    counters.receivedBytes += bytes.size();
    if (!handler) return;
    // What one message changes is soft state that other messages and timers replace, so a message
    // that was handled in part does no more harm than one that was lost.
    runHandler(
        context, kMessageSource, [&] { handler(frame->sender, frame->channel, frame->payload); },
        [this] { ++counters.rejectedFrames; });
  }

  void rejectForMemory() {
    reject({base::ResultCode::kRequestMemoryUsedUp, "no memory for the rest of a frame"});
  }

  void reject(const base::Reason& reason) {
    ++counters.rejectedFrames;
    log.write(
        base::Event::kMessageRejected,
        {{"code", std::to_string(static_cast<unsigned>(reason.code))}, {"detail", reason.detail}});
  }

  void sendDatagram(const base::Endpoint& destination, const std::string& frame) {
    boost::system::error_code error;
    datagrams.send_to(asio::buffer(frame),
                      {asio::ip::address_v4(destination.address), destination.port}, 0, error);
    if (error) {
      ++counters.droppedFrames;
      return;
    }
    countSent(frame.size());
  }

  void sendOverConnection(const base::Endpoint& destination, std::string frame) {
    if (outgoingCount >= kMaximumOutgoingConnections || frame.size() > kMaximumFrame) {
      ++counters.droppedFrames;
      return;
    }
    auto connection =
        std::make_shared<FrameConnection>(tcp::socket(context), outgoingCount, nullptr);
    boost::endian::store_big_u32(connection->prefix.data(),
                                 static_cast<std::uint32_t>(frame.size()));
    connection->frame = std::move(frame);
    connection->socket.async_connect(
        {asio::ip::address_v4(destination.address), destination.port},
        [self = shared_from_this(), connection](boost::system::error_code error) {
          if (error) {
            ++self->counters.droppedFrames;
            return;
          }
          self->writeFrame(connection);
        });
  }

  void writeFrame(const std::shared_ptr<FrameConnection>& connection) {
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(connection->prefix),
                                                       asio::buffer(connection->frame)};
    asio::async_write(
        connection->socket, buffers,
        [self = shared_from_this(), connection](boost::system::error_code error, std::size_t) {
          if (error) {
            ++self->counters.droppedFrames;
          } else {
            self->countSent(connection->frame.size());
          }
        });
  }

  void countSent(std::size_t bytes) {
    ++counters.sentFrames;
    counters.sentBytes += bytes;
  }

  asio::io_context& context;
  base::EventLog& log;
  MemoryAccountPtr memory;
  udp::socket datagrams;
  tcp::acceptor acceptor;
  asio::steady_timer acceptRetryTimer;
  udp::endpoint datagramSender;
  std::array<char, kDatagramBuffer> datagramBuffer{};
  std::size_t incomingCount = 0;
  std::size_t outgoingCount = 0;
  base::PeerIdentity self;
  PeerFrameHandler handler;
  SentObserver observer;
  PeerTransportCounters counters;
};

AsioPeerTransport::AsioPeerTransport(asio::io_context& context, base::EventLog& log,
                                     MemoryAccountPtr memory)
    : impl_(std::make_shared<Impl>(context, log, std::move(memory))) {}

AsioPeerTransport::~AsioPeerTransport() {
  impl_->handler = nullptr;
  impl_->close();
}

std::optional<base::Endpoint> AsioPeerTransport::bind(const base::Endpoint& endpoint,
                                                      base::Reason& reason) {
  boost::system::error_code error;
  // A port that is free for TCP may be in use for UDP: with port 0, other ports are tried.
  const int attempts = endpoint.port == 0 ? kPortAttempts : 1;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    if (impl_->tryBind(endpoint, error))
      return base::Endpoint{endpoint.address, impl_->acceptor.local_endpoint().port()};
  }
  reason = {base::ResultCode::kSettingsInvalid,
            "cannot bind " + toString(endpoint) + ": " + error.message()};
  return std::nullopt;
}

void AsioPeerTransport::start(const base::PeerIdentity& self, PeerFrameHandler handler) {
  impl_->self = self;
  impl_->handler = std::move(handler);
  impl_->receiveDatagram();
  impl_->accept();
}

void AsioPeerTransport::send(const base::Endpoint& destination, base::Channel channel,
                             std::string payload) {
  auto frame = node::encodePeerFrame(impl_->self, channel, payload);
  if (impl_->observer) impl_->observer(destination, channel, frame.size());
  if (payload.size() <= kDatagramLimit) {
    impl_->sendDatagram(destination, frame);
  } else {
    impl_->sendOverConnection(destination, std::move(frame));
  }
}

void AsioPeerTransport::setSentObserver(SentObserver observer) {
  impl_->observer = std::move(observer);
}

const PeerTransportCounters& AsioPeerTransport::counters() const { return impl_->counters; }

}  // namespace covewing::live
