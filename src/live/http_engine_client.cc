#include "live/http_engine_client.h"

#include <deque>

#include "live/engine_json.h"
#include "live/sse_parser.h"

namespace covewing::live {

namespace {

using clients::DispatchError;
using clients::DispatchFailure;
using StreamEvent = std::variant<clients::StreamChunk, clients::StreamEnd>;

constexpr unsigned kOk = 200;
constexpr std::size_t kMaximumErrorBody = 64U << 10U;
constexpr std::string_view kAcceptedHeader = "X-Engine-Accepted";

/// One stream. Chunks received while it is paused are queued; the queue holds at most the chunks
/// of one read from the connection.
class StreamState final : public HttpCallHandler, public std::enable_shared_from_this<StreamState> {
 public:
  StreamState(base::TimerService& timers, clients::EngineStreamHandler& handler)
      : timers_(timers), handler_(&handler) {}

  void setCall(std::unique_ptr<HttpCall> call) { call_ = std::move(call); }

  void abandon() {
    handler_ = nullptr;
    call_.reset();
  }

  void setPaused(bool paused) {
    if (paused_ == paused || handler_ == nullptr) return;
    paused_ = paused;
    if (call_) call_->setPaused(paused);
    if (paused) return;
    timers_.schedule(base::Duration::zero(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->deliver();
    });
  }

  void onHead(const HttpResponse& head) override {
    refused_ = head.status != kOk || head.header(kAcceptedHeader).empty();
    if (!refused_) handler_->onAccepted();
  }

  void onBody(std::string_view bytes) override {
    if (refused_) {
      if (errorBody_.size() + bytes.size() <= kMaximumErrorBody) errorBody_ += bytes;
      return;
    }
    const auto self = shared_from_this();
    parser_.feed(bytes);
    while (auto data = parser_.next()) {
      auto event = streamEventFromJson(*data);
      if (!event) {
        call_.reset();
        finish({DispatchFailure::kOutcomeUnknown,
                {base::ResultCode::kStreamBroken, "malformed stream event"}});
        return;
      }
      events_.push_back(std::move(*event));
    }
    deliver();
  }

  void onComplete() override {
    if (refused_) {
      finish(errorFromJson(errorBody_, base::ResultCode::kBackEndRefused));
    } else {
      finish({DispatchFailure::kOutcomeUnknown,
              {base::ResultCode::kStreamBroken, "the stream ended without its terminal marker"}});
    }
  }

  void onFailure(DispatchError error) override { finish(std::move(error)); }

 private:
  /// Called when no more bytes follow on the connection. `error` is reported unless the terminal
  /// marker was received.
  void finish(DispatchError error) {
    error_ = std::move(error);
    deliver();
  }

  void deliver() {
    const auto self = shared_from_this();
    while (handler_ != nullptr && !paused_ && !events_.empty()) {
      auto* chunk = std::get_if<clients::StreamChunk>(&events_.front());
      if (chunk == nullptr) break;
      auto taken = std::move(*chunk);
      events_.pop_front();
      handler_->onChunk(std::move(taken));
    }
    if (handler_ == nullptr || paused_) return;
    // The end of the stream is delivered only after the whole response, so that the connection can
    // be kept.
    if (!error_) return;
    auto* handler = std::exchange(handler_, nullptr);
    if (events_.empty()) {
      handler->onError(std::move(*error_));
    } else {
      handler->onEnd(std::get<clients::StreamEnd>(std::move(events_.front())));
    }
  }

  base::TimerService& timers_;
  clients::EngineStreamHandler* handler_;
  std::unique_ptr<HttpCall> call_;
  bool paused_ = false;
  bool refused_ = false;
  std::string errorBody_;
  SseParser parser_;
  std::deque<StreamEvent> events_;
  std::optional<DispatchError> error_;
};

class HttpEngineStream final : public clients::EngineStream {
 public:
  explicit HttpEngineStream(std::shared_ptr<StreamState> state) : state_(std::move(state)) {}
  ~HttpEngineStream() override { state_->abandon(); }
  HttpEngineStream(const HttpEngineStream&) = delete;
  HttpEngineStream& operator=(const HttpEngineStream&) = delete;
  void setPaused(bool paused) override { state_->setPaused(paused); }

 private:
  std::shared_ptr<StreamState> state_;
};

}  // namespace

HttpEngineClient::HttpEngineClient(HttpClient& client, base::TimerService& timers,
                                   EngineClientTimeouts timeouts)
    : client_(client), timers_(timers), timeouts_(timeouts) {}

std::unique_ptr<clients::EngineStream> HttpEngineClient::start(
    const clients::BackEndAddress& engine, clients::EngineRequest request,
    clients::EngineStreamHandler& handler) {
  const HttpRequest call{"POST",
                         "/v1/generate",
                         {{"Content-Type", "application/json"},
                          {"Accept", "text/event-stream"},
                          {std::string{kRequestIdHeader}, request.requestId.value}},
                         engineRequestToJson(request)};
  auto state = std::make_shared<StreamState>(timers_, handler);
  state->setCall(client_.start(engine.endpoint, call, timeouts_.streamInactivityTimeout, *state));
  return std::make_unique<HttpEngineStream>(std::move(state));
}

HttpRequest HttpEngineClient::controlRequest(std::string method, std::string target,
                                             std::string body) {
  return {std::move(method),
          std::move(target),
          {{"Content-Type", "application/json"},
           {std::string{kRequestIdHeader}, "control-" + std::to_string(++lastControlRequest_)}},
          std::move(body)};
}

void HttpEngineClient::fetchReport(
    const clients::BackEndAddress& engine, std::string target,
    std::function<void(std::optional<clients::EngineReport>)> callback) {
  client_.fetch(engine.endpoint, controlRequest("GET", std::move(target), {}), timeouts_.report,
                [callback = std::move(callback)](const HttpResult& result) {
                  const auto* response = std::get_if<HttpResponse>(&result);
                  const bool succeeded = response != nullptr && response->status == kOk;
                  callback(succeeded ? engineReportFromJson(response->body) : std::nullopt);
                });
}

void HttpEngineClient::poll(const clients::BackEndAddress& engine, std::uint64_t fromSequence,
                            std::function<void(std::optional<clients::EngineReport>)> callback) {
  fetchReport(engine, "/v1/report?from=" + std::to_string(fromSequence), std::move(callback));
}

void HttpEngineClient::snapshot(
    const clients::BackEndAddress& engine,
    std::function<void(std::optional<clients::EngineReport>)> callback) {
  fetchReport(engine, "/v1/snapshot", std::move(callback));
}

void HttpEngineClient::order(const clients::BackEndAddress& engine, clients::EngineOrder order,
                             std::function<void(clients::OrderReply)> callback) {
  client_.fetch(
      engine.endpoint, controlRequest("POST", "/v1/orders", engineOrderToJson(order)),
      timeouts_.order, [callback = std::move(callback)](const HttpResult& result) {
        if (const auto* response = std::get_if<HttpResponse>(&result); response != nullptr) {
          callback(orderReplyFromJson(response->body));
          return;
        }
        const auto& error = std::get<DispatchError>(result);
        const bool notSent = error.failure == DispatchFailure::kNotSent;
        callback({notSent ? clients::OrderStatus::kUnreachable : clients::OrderStatus::kUnknown, 0,
                  error.reason.detail});
      });
}

}  // namespace covewing::live
