/// \file
/// One caller's request in the gateway, from its dispatch to the end of its response. Internal to
/// the caller gateway.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "live/caller_gateway.h"
#include "live/completion_body.h"
#include "live/completion_response.h"
#include "request/caller_request.h"

namespace covewing::live {

/// A call in flight. Destroying it cancels the request, as if the caller had disconnected.
class CallerCall {
 public:
  virtual ~CallerCall() = default;
};

/// Called when a call has sent its final response or its caller has disconnected. The callback must
/// not destroy the call directly, because the call is still on the stack.
using CallFinished = std::function<void(CallerCall&)>;

/// A completion call. Forwards chunks to the caller as events, or collects them into one response
/// body if the caller did not request a stream.
class CompletionCall final : public CallerCall, public request::CompletionSink {
 public:
  CompletionCall(CallerGatewayEnvironment environment, HttpExchangePtr exchange,
                 const CompletionBody& body, CallFinished finished);
  void start(request::CompletionRequest request, std::int64_t created);

  void onChunk(const clients::StreamChunk& chunk) override;
  void onEnd(const clients::StreamEnd& end) override;
  void onRefused(const request::Refusal& refusal) override;

 private:
  void beginStream();
  void onPressure(bool high);
  void onDisconnect();
  void finish(base::ResultCode code);

  CallerGatewayEnvironment environment_;
  HttpExchangePtr exchange_;
  CompletionKind kind_;
  RequestKind metricsKind_;
  bool streamRequested_;
  std::string model_;
  CallFinished finished_;
  base::TimePoint arrivedAt_;
  bool firstTokenSeen_ = false;
  bool streamStarted_ = false;
  std::string text_;
  std::unique_ptr<CompletionResponse> response_;
  std::unique_ptr<request::ActiveRequest> request_;
};

/// A call that is proxied to an application back end.
class ProxiedCall final : public CallerCall, public request::ProxiedSink {
 public:
  ProxiedCall(CallerGatewayEnvironment environment, HttpExchangePtr exchange,
              CallFinished finished);
  void start(request::ProxiedRequest request);

  void onResponse(const clients::ApplicationResponse& response) override;
  void onRefused(const request::Refusal& refusal) override;

 private:
  void onDisconnect();
  void finish(base::ResultCode code);

  CallerGatewayEnvironment environment_;
  HttpExchangePtr exchange_;
  CallFinished finished_;
  std::unique_ptr<request::ActiveRequest> request_;
};

}  // namespace covewing::live
