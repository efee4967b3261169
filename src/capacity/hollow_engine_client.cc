#include "capacity/hollow_engine_client.h"

#include <utility>

#include "prefix/block_chain.h"
#include "prefix/prompt.h"
#include "sim/engine_wire.h"

namespace covewing::capacity {

namespace {
/// Timing of a hollow engine: the first token follows the request after kFirstTokenLatency plus
/// kPrefillPerBlock for each uncached block; the response ends kDecodeTime later.
constexpr base::Duration kFirstTokenLatency = std::chrono::milliseconds(150);
constexpr base::Duration kPrefillPerBlock = std::chrono::microseconds(1440);
constexpr base::Duration kDecodeTime = std::chrono::milliseconds(850);
constexpr std::size_t kChunkBytes = 64;
constexpr std::size_t kEndBytes = 110;

using Side = sim::Connection::Side;

/// One request on its connection. The client and the engine share the object; each accesses it from
/// its own simulated process.
class HollowStream final : public std::enable_shared_from_this<HollowStream> {
 public:
  HollowStream(HollowEngine& engine, clients::EngineStreamHandler& handler,
               AdmissionObserver* observer)
      : engine_(engine), handler_(&handler), observer_(observer) {}

  void open(const sim::ConnectionPtr& connection, clients::EngineRequest request) {
    if (connection == nullptr) {
      fail({clients::DispatchFailure::kNotSent,
            {base::ResultCode::kBackEndUnreachable, "no connection"}});
      return;
    }
    if (handler_ == nullptr) {
      connection->close(Side::kClient);
      return;
    }
    connection_ = connection;
    connection->onClosed(Side::kClient, [self = shared_from_this()] {
      self->fail({clients::DispatchFailure::kOutcomeUnknown,
                  {base::ResultCode::kBackEndLost, "the connection broke"}});
    });
    const auto bytes = sim::generateBytes(request);
    connection->send(
        Side::kClient, bytes,
        [self = shared_from_this(), request = std::move(request)] { self->serve(request); });
  }

  void cancel() {
    handler_ = nullptr;
    if (connection_ != nullptr) connection_->close(Side::kClient);
    connection_ = nullptr;
  }

 private:
  /// Runs in the engine's process.
  void serve(const clients::EngineRequest& request) {
    const auto chain = prefix::blockChain(request.identity, *request.prompt);
    const auto matched = engine_.admit(chain);
    if (observer_ != nullptr) observer_->onAdmitted(engine_, chain, matched);
    engine_.onStarted();
    clients::StreamEnd end;
    end.promptTokens = prefix::tokenCount(*request.prompt);
    end.cachedTokens = matched * static_cast<std::uint32_t>(prefix::kTokensPerBlock);
    end.outputTokens = static_cast<std::uint32_t>(request.nextPosition) + 1;
    end.finishReason = "stop";
    const auto uncached = chain.size() - matched;
    const auto first = kFirstTokenLatency + kPrefillPerBlock * uncached;
    auto connection = connection_;
    if (connection == nullptr) return engine_.onEnded();
    connection->send(Side::kServer, sim::kEngineAnswerHead, [self = shared_from_this()] {
      if (self->handler_ != nullptr) self->handler_->onAccepted();
    });
    auto& process = engine_.process();
    process.schedule(first,
                     [self = shared_from_this(), connection, position = request.nextPosition] {
                       connection->send(Side::kServer, kChunkBytes, [self, position] {
                         if (self->handler_ != nullptr)
                           self->handler_->onChunk({position, "token"});
                       });
                     });
    process.schedule(first + kDecodeTime, [self = shared_from_this(), connection, end] {
      self->engine_.onEnded();
      connection->send(Side::kServer, kEndBytes, [self, end] { self->finish(end); });
    });
  }

  void finish(const clients::StreamEnd& end) {
    auto* handler = std::exchange(handler_, nullptr);
    if (connection_ != nullptr) connection_->close(Side::kClient);
    connection_ = nullptr;
    if (handler != nullptr) handler->onEnd(end);
  }

  void fail(const clients::DispatchError& error) {
    connection_ = nullptr;
    auto* handler = std::exchange(handler_, nullptr);
    if (handler != nullptr) handler->onError(error);
  }

  HollowEngine& engine_;
  clients::EngineStreamHandler* handler_;
  AdmissionObserver* observer_;
  sim::ConnectionPtr connection_;
};

class StreamHandle final : public clients::EngineStream {
 public:
  explicit StreamHandle(std::shared_ptr<HollowStream> stream) : stream_(std::move(stream)) {}
  ~StreamHandle() override { stream_->cancel(); }
  StreamHandle(const StreamHandle&) = delete;
  StreamHandle& operator=(const StreamHandle&) = delete;
  /// Ignored: the response is a single small chunk, which is delivered even while paused.
  void setPaused(bool /*paused*/) override {}

 private:
  std::shared_ptr<HollowStream> stream_;
};

/// Stream returned for an address without an engine.
class NullStream final : public clients::EngineStream {
 public:
  void setPaused(bool /*paused*/) override {}
};
}  // namespace

HollowEngineClient::HollowEngineClient(sim::Network& network, sim::HostId self,
                                       HollowEngineLookup engines, AdmissionObserver* observer)
    : network_(network),
      self_(self),
      process_(network.process(self)),
      engines_(std::move(engines)),
      observer_(observer),
      reports_(network, self, sim::TrafficClass::kEngineReports) {}

HollowEngine* HollowEngineClient::find(const clients::BackEndAddress& engine) const {
  const auto* host = network_.findHost(engine.endpoint);
  return host == nullptr ? nullptr : engines_(*host);
}

std::unique_ptr<clients::EngineStream> HollowEngineClient::start(
    const clients::BackEndAddress& engine, clients::EngineRequest request,
    clients::EngineStreamHandler& handler) {
  auto* target = find(engine);
  if (target == nullptr) {
    process_.schedule(base::Duration::zero(), [&handler] {
      handler.onError({clients::DispatchFailure::kNotSent,
                       {base::ResultCode::kBackEndUnreachable, "no engine at this address"}});
    });
    return std::make_unique<NullStream>();
  }
  auto stream = std::make_shared<HollowStream>(*target, handler, observer_);
  network_.connect(self_, target->host(), sim::TrafficClass::kData,
                   [stream, request = std::move(request)](sim::ConnectResult,
                                                          const sim::ConnectionPtr& connection) {
                     stream->open(connection, request);
                   });
  return std::make_unique<StreamHandle>(stream);
}

void HollowEngineClient::requestReport(const clients::BackEndAddress& engine,
                                       std::function<clients::EngineReport(HollowEngine&)> read,
                                       std::function<void(OptionalReport)> callback) {
  using Result = sim::ExchangeResult<OptionalReport>;
  const auto reply = process_.expect<Result>(
      [callback = std::move(callback)](Result result) { callback(std::move(result.response)); });
  auto* target = find(engine);
  if (target == nullptr) {
    process_.scheduler().after(base::Duration::zero(), [reply] {
      reply({sim::ExchangeStatus::kNotSent, {}});
    });
    return;
  }
  sim::ExchangePool<OptionalReport>::Request request;
  request.server = target->host();
  request.bytes = sim::kEngineRequestHead;
  request.timeout = sim::kEngineTimeout;
  request.serve =
      [target, read = std::move(read)](const sim::ExchangePool<OptionalReport>::Answer& answer) {
        OptionalReport report = read(*target);
        const auto size = sim::reportBytes(report);
        answer(std::move(report), size);
      };
  reports_.call(std::move(request), reply);
}

void HollowEngineClient::poll(const clients::BackEndAddress& engine, std::uint64_t fromSequence,
                              std::function<void(std::optional<clients::EngineReport>)> callback) {
  requestReport(
      engine, [fromSequence](HollowEngine& target) { return target.report(fromSequence); },
      std::move(callback));
}

void HollowEngineClient::snapshot(
    const clients::BackEndAddress& engine,
    std::function<void(std::optional<clients::EngineReport>)> callback) {
  requestReport(
      engine, [](HollowEngine& target) { return target.snapshot(); }, std::move(callback));
}

void HollowEngineClient::order(const clients::BackEndAddress& /*engine*/,
                               clients::EngineOrder /*order*/,
                               std::function<void(clients::OrderReply)> callback) {
  const auto reply = process_.expect<clients::OrderReply>(std::move(callback));
  process_.scheduler().after(base::Duration::zero(), [reply] {
    reply({clients::OrderStatus::kInvalid, 0, "a hollow engine takes no orders"});
  });
}

}  // namespace covewing::capacity
