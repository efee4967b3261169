#include "sim/engine_client.h"

#include <deque>
#include <utility>

#include "sim/engine_wire.h"

namespace covewing::sim {

namespace {
clients::DispatchError notSent(std::string detail) {
  return {clients::DispatchFailure::kNotSent,
          {base::ResultCode::kBackEndUnreachable, std::move(detail)}};
}

/// The client's end of a stream, shared between the node's handle and what is on its way.
class ClientStream final : public EngineStreamReceiver,
                           public std::enable_shared_from_this<ClientStream> {
 public:
  explicit ClientStream(clients::EngineStreamHandler& handler) : handler_(&handler) {}

  void open(const ConnectionPtr& connection, EngineHost& engine,
            const clients::EngineRequest& request) {
    connection_ = connection;
    connection->onClosed(Connection::Side::kClient, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->onLost();
    });
    const auto bytes = generateBytes(request);
    connection->send(Connection::Side::kClient, bytes,
                     [&engine, connection, request = clients::EngineRequest(request),
                      self = shared_from_this()]() mutable {
                       engine.serve(std::move(request), connection, std::move(self));
                     });
  }

  void onAccepted() override {
    push([](clients::EngineStreamHandler& handler) { handler.onAccepted(); });
  }
  void onChunks(const std::vector<clients::StreamChunk>& chunks) override {
    for (const auto& chunk : chunks) {
      push([chunk](clients::EngineStreamHandler& handler) { handler.onChunk(chunk); });
    }
  }
  void onEnd(const clients::StreamEnd& end) override {
    closeConnection();
    push([end](clients::EngineStreamHandler& handler) { handler.onEnd(end); }, true);
  }
  void onError(const clients::DispatchError& error) override {
    closeConnection();
    push([error](clients::EngineStreamHandler& handler) { handler.onError(error); }, true);
  }
  void failed(const clients::DispatchError& error) { onError(error); }

  bool cancelled() const { return handler_ == nullptr; }
  void cancel() {
    handler_ = nullptr;
    queue_.clear();
    closeConnection();
  }
  void setPaused(bool paused) {
    paused_ = paused;
    if (!paused && !queue_.empty()) drain();
  }

 private:
  using Action = std::function<void(clients::EngineStreamHandler&)>;

  void onLost() {
    onError({clients::DispatchFailure::kOutcomeUnknown,
             {base::ResultCode::kBackEndLost, "the connection broke"}});
  }

  void closeConnection() {
    if (connection_ != nullptr) connection_->close(Connection::Side::kClient);
    connection_ = nullptr;
  }

  void push(Action action, bool last = false) {
    if (over_ || cancelled()) return;
    over_ = last;
    queue_.push_back(std::move(action));
    drain();
  }

  /// Delivers what is queued. The handler may destroy the stream from inside a call.
  void drain() {
    if (draining_) return;
    draining_ = true;
    const auto self = shared_from_this();
    while (!paused_ && handler_ != nullptr && !queue_.empty()) {
      const auto action = std::move(queue_.front());
      queue_.pop_front();
      action(*handler_);
    }
    draining_ = false;
  }

  clients::EngineStreamHandler* handler_;
  ConnectionPtr connection_;
  std::deque<Action> queue_;
  bool paused_ = false;
  bool draining_ = false;
  bool over_ = false;
};

/// The node's handle of a stream.
class StreamHandle final : public clients::EngineStream {
 public:
  StreamHandle(std::shared_ptr<ClientStream> stream, Process& process)
      : stream_(std::move(stream)), process_(process) {}
  ~StreamHandle() override { stream_->cancel(); }
  StreamHandle(const StreamHandle&) = delete;
  StreamHandle& operator=(const StreamHandle&) = delete;

  void setPaused(bool paused) override {
    if (paused) {
      stream_->setPaused(true);
      return;
    }
    // Chunks held back are delivered later, not from inside this call.
    process_.schedule(base::Duration::zero(), [weak = std::weak_ptr(stream_)] {
      if (const auto stream = weak.lock()) stream->setPaused(false);
    });
  }

 private:
  std::shared_ptr<ClientStream> stream_;
  Process& process_;
};
}  // namespace

SimEngineClient::SimEngineClient(Network& network, HostId self, EngineLookup engines)
    : network_(network),
      self_(self),
      process_(network.process(self)),
      engines_(std::move(engines)),
      reports_(network, self, TrafficClass::kEngineReports),
      orders_(network, self, TrafficClass::kOrders) {}

EngineHost* SimEngineClient::find(const clients::BackEndAddress& engine) const {
  const auto* host = network_.findHost(engine.endpoint);
  return host == nullptr ? nullptr : engines_(*host);
}

std::unique_ptr<clients::EngineStream> SimEngineClient::start(
    const clients::BackEndAddress& engine, clients::EngineRequest request,
    clients::EngineStreamHandler& handler) {
  auto stream = std::make_shared<ClientStream>(handler);
  auto handle = std::make_unique<StreamHandle>(stream, process_);
  auto* target = find(engine);
  if (target == nullptr) {
    process_.schedule(base::Duration::zero(),
                      [stream] { stream->failed(notSent("no engine at this address")); });
    return handle;
  }
  network_.connect(
      self_, target->host(), TrafficClass::kData,
      [stream, target, request = std::move(request)](ConnectResult result,
                                                     const ConnectionPtr& connection) {
        if (connection == nullptr) {
          stream->failed(notSent(result == ConnectResult::kRefused ? "connection refused"
                                                                   : "connection timed out"));
        } else if (stream->cancelled()) {
          connection->close(Connection::Side::kClient);
        } else {
          stream->open(connection, *target, request);
        }
      });
  return handle;
}

void SimEngineClient::askReport(const clients::BackEndAddress& engine,
                                std::function<void(emulator::EngineModel&, ReportCallback)> ask,
                                ReportCallback callback) {
  using Result = ExchangeResult<ReportAnswer>;
  const auto reply = process_.expect<Result>(
      [callback = std::move(callback)](Result result) { callback(std::move(result.response)); });
  auto* target = find(engine);
  if (target == nullptr) {
    process_.scheduler().after(base::Duration::zero(), [reply] {
      reply({ExchangeStatus::kNotSent, {}});
    });
    return;
  }
  ExchangePool<ReportAnswer>::Request request;
  request.server = target->host();
  request.bytes = kEngineRequestHead;
  request.timeout = kEngineTimeout;
  request.serve = [target, ask = std::move(ask)](const ExchangePool<ReportAnswer>::Answer& answer) {
    ask(target->model(), [answer](ReportAnswer report) {
      const auto size = reportBytes(report);
      answer(std::move(report), size);
    });
  };
  reports_.call(std::move(request), reply);
}

void SimEngineClient::poll(const clients::BackEndAddress& engine, std::uint64_t fromSequence,
                           std::function<void(std::optional<clients::EngineReport>)> callback) {
  askReport(
      engine,
      [fromSequence](emulator::EngineModel& model, ReportCallback done) {
        model.report(fromSequence, std::move(done));
      },
      std::move(callback));
}

void SimEngineClient::snapshot(const clients::BackEndAddress& engine,
                               std::function<void(std::optional<clients::EngineReport>)> callback) {
  askReport(
      engine,
      [](emulator::EngineModel& model, ReportCallback done) { model.snapshot(std::move(done)); },
      std::move(callback));
}

void SimEngineClient::order(const clients::BackEndAddress& engine, clients::EngineOrder order,
                            std::function<void(clients::OrderReply)> callback) {
  using Pool = ExchangePool<clients::OrderReply>;
  using Result = ExchangeResult<clients::OrderReply>;
  const auto reply = process_.expect<Result>([callback = std::move(callback)](Result result) {
    if (result.status == ExchangeStatus::kNotSent) {
      result.response.status = clients::OrderStatus::kUnreachable;
    }
    callback(std::move(result.response));
  });
  auto* target = find(engine);
  if (target == nullptr) {
    process_.scheduler().after(base::Duration::zero(), [reply] {
      reply({ExchangeStatus::kNotSent, {}});
    });
    return;
  }
  Pool::Request request;
  request.server = target->host();
  request.bytes = kOrderBytes;
  request.timeout = kEngineTimeout;
  request.serve = [target, order = std::move(order)](const Pool::Answer& answer) {
    target->model().order(order, [answer](clients::OrderReply result) {
      answer(std::move(result), kEngineAnswerHead);
    });
  };
  const auto delay = network_.options().orderDelay;
  if (delay == base::Duration::zero()) {
    orders_.call(std::move(request), reply);
    return;
  }
  process_.schedule(delay,
                    [this, request = std::move(request), reply] { orders_.call(request, reply); });
}

}  // namespace covewing::sim
