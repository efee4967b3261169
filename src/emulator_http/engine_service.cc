#include "emulator_http/engine_service.h"

#include <charconv>
#include <utility>

#include "emulator_http/wire.h"

namespace covewing::emulator_http {

using base::Reason;
using base::ResultCode;
using live::HttpExchangePtr;

namespace {

constexpr unsigned kStatusOk = 200;

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  if (text.empty()) return 0;
  std::uint64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

void respondWithReport(const HttpExchangePtr& exchange,
                       const std::optional<clients::EngineReport>& report) {
  if (!report) {
    exchange->abort();
    return;
  }
  exchange->respond(live::jsonResponse(kStatusOk, encodeReport(*report)));
}

}  // namespace

/// One generation call: writes the engine's output to the response as server-sent events.
class EngineService::Stream final : public clients::EngineStreamHandler {
 public:
  Stream(EngineService& service, StreamId id, HttpExchangePtr exchange)
      : service_(service), id_(id), exchange_(std::move(exchange)) {}

  void onAccepted() override {
    accepted_ = true;
    exchange_->beginStream(kStatusOk,
                           {{"Content-Type", "text/event-stream"}, {"X-Engine-Accepted", "1"}});
  }
  void onChunk(clients::StreamChunk chunk) override { exchange_->write(encodeChunkEvent(chunk)); }
  void onEnd(clients::StreamEnd end) override {
    exchange_->write(encodeEndEvent(end));
    exchange_->end();
    service_.removeStream(id_);
  }
  void onError(clients::DispatchError error) override {
    const bool refused = error.failure == clients::DispatchFailure::kRefusedNotRun;
    if (refused && !accepted_) {
      exchange_->respond(errorResponse(error.reason, false));
    } else {
      exchange_->abort();
    }
    service_.removeStream(id_);
  }

  /// Execution identifier assigned by the engine; 0 until it is assigned.
  emulator::ExecutionId execution = 0;

 private:
  EngineService& service_;
  StreamId id_;
  HttpExchangePtr exchange_;
  bool accepted_ = false;
};

EngineService::EngineService(emulator::EngineModel& engine) : engine_(engine) {}

EngineService::~EngineService() {
  for (const auto& [id, stream] : streams_) engine_.cancel(stream->execution);
}

void EngineService::handle(const HttpExchangePtr& exchange) {
  const live::HttpRequest& request = exchange->request();
  const std::string_view path = request.path();
  const bool isPost = request.method == "POST";
  const bool isGet = request.method == "GET";
  if (path == "/v1/generate" && isPost) return generate(exchange);
  if (path == "/v1/orders" && isPost) return order(exchange);
  if (path == "/v1/report" && isGet) return report(exchange);
  if (path == "/v1/snapshot" && isGet) return snapshot(exchange);
  exchange->respond(errorResponse(Reason{ResultCode::kUnknownPath, std::string(path)}, false));
}

void EngineService::generate(const HttpExchangePtr& exchange) {
  Reason reason;
  auto request = parseEngineRequest(exchange->request().body.text(), reason);
  if (!request) {
    exchange->respond(errorResponse(reason, false));
    return;
  }
  const StreamId id = ++lastStreamId_;
  Stream& stream =
      *streams_.emplace(id, std::make_unique<Stream>(*this, id, exchange)).first->second;
  exchange->onDisconnect([this, id] { cancel(id); });
  const emulator::ExecutionId execution = engine_.submit(*std::move(request), stream);
  const auto found = streams_.find(id);
  if (found != streams_.end()) found->second->execution = execution;
}

void EngineService::cancel(StreamId stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  const emulator::ExecutionId execution = found->second->execution;
  engine_.cancel(execution);
  removeStream(stream);
}

/// May be called by the stream itself, which is destroyed here and must not be used afterwards.
void EngineService::removeStream(StreamId stream) { streams_.erase(stream); }

void EngineService::report(const HttpExchangePtr& exchange) {
  const auto from = parseNumber(live::findQueryValue(exchange->request().query(), "from"));
  if (!from) {
    exchange->respond(errorResponse(Reason{ResultCode::kInvalidField, "from"}, false));
    return;
  }
  engine_.report(*from, [exchange](const auto& report) { respondWithReport(exchange, report); });
}

void EngineService::snapshot(const HttpExchangePtr& exchange) {
  engine_.snapshot([exchange](const auto& report) { respondWithReport(exchange, report); });
}

void EngineService::order(const HttpExchangePtr& exchange) {
  Reason reason;
  auto order = parseEngineOrder(exchange->request().body.text(), reason);
  if (!order) {
    exchange->respond(errorResponse(reason, false));
    return;
  }
  engine_.order(*std::move(order), [exchange](const clients::OrderReply& reply) {
    if (reply.status == clients::OrderStatus::kUnreachable) {
      exchange->abort();
      return;
    }
    exchange->respond(live::jsonResponse(kStatusOk, encodeOrderReply(reply)));
  });
}

}  // namespace covewing::emulator_http
