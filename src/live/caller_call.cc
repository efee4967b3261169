#include "live/caller_call.h"

#include "live/http_application_client.h"
#include "live/http_client.h"

namespace covewing::live {

namespace {
constexpr unsigned kOk = 200;

void recordDisconnect(const CallerGatewayEnvironment& environment, const base::RequestId& id) {
  environment.metrics.onCallerDisconnected();
  environment.log.write(base::Event::kCallerDisconnected, {{"request", id.value}});
}
}  // namespace

CompletionCall::CompletionCall(CallerGatewayEnvironment environment, HttpExchangePtr exchange,
                               const CompletionBody& body, CallFinished finished)
    : environment_(environment),
      exchange_(std::move(exchange)),
      kind_(body.kind),
      metricsKind_(body.kind == CompletionKind::kChat ? RequestKind::kChat : RequestKind::kText),
      streamRequested_(body.stream),
      model_(body.model),
      finished_(std::move(finished)),
      arrivedAt_(environment.clock.now()) {}

void CompletionCall::start(request::CompletionRequest request, std::int64_t created) {
  exchange_->onDisconnect([this] { onDisconnect(); });
  exchange_->onPressure([this](bool high) { onPressure(high); });
  request_ = environment_.node.requests().complete(std::move(request), *this);
  response_ = std::make_unique<CompletionResponse>(kind_, request_->id(), model_, created);
}

void CompletionCall::beginStream() {
  streamStarted_ = true;
  exchange_->beginStream(kOk, {{"Content-Type", "text/event-stream"},
                               {"Cache-Control", "no-cache"},
                               {std::string{kRequestIdHeader}, request_->id().value}});
  exchange_->write(response_->firstEvent());
}

void CompletionCall::onChunk(const clients::StreamChunk& chunk) {
  if (!firstTokenSeen_) {
    firstTokenSeen_ = true;
    environment_.metrics.onFirstToken(metricsKind_, environment_.clock.now() - arrivedAt_);
  }
  if (!streamRequested_) {
    text_ += chunk.text;
    return;
  }
  if (!streamStarted_) beginStream();
  exchange_->write(response_->chunkEvent(chunk.text));
}

void CompletionCall::onEnd(const clients::StreamEnd& end) {
  environment_.metrics.onCompleted(metricsKind_, environment_.clock.now() - arrivedAt_, end);
  if (streamRequested_) {
    if (!streamStarted_) beginStream();
    exchange_->write(response_->endEvents(end));
    exchange_->end();
  } else {
    auto response = jsonResponse(kOk, response_->responseBody(text_, end));
    response.headers.push_back({std::string{kRequestIdHeader}, request_->id().value});
    exchange_->respond(std::move(response));
  }
  finish(base::ResultCode::kOk);
}

void CompletionCall::onRefused(const request::Refusal& refusal) {
  const auto& id = request_->id().value;
  if (streamStarted_) {
    exchange_->write(errorEvent(refusal, id));
    exchange_->end();
  } else {
    exchange_->respond(refusalResponse(refusal, id));
  }
  finish(refusal.reason.code);
}

void CompletionCall::onPressure(bool high) {
  if (high) environment_.metrics.onCallerPaused();
  if (request_) request_->setPaused(high);
}

void CompletionCall::onDisconnect() {
  recordDisconnect(environment_, request_->id());
  finished_(*this);
}

void CompletionCall::finish(base::ResultCode code) {
  environment_.metrics.onRequestFinished(metricsKind_, code);
  finished_(*this);
}

ProxiedCall::ProxiedCall(CallerGatewayEnvironment environment, HttpExchangePtr exchange,
                         CallFinished finished)
    : environment_(environment), exchange_(std::move(exchange)), finished_(std::move(finished)) {}

void ProxiedCall::start(request::ProxiedRequest request) {
  exchange_->onDisconnect([this] { onDisconnect(); });
  request_ = environment_.node.requests().proxy(std::move(request), *this);
}

void ProxiedCall::onResponse(const clients::ApplicationResponse& response) {
  HttpResponse callerResponse{response.status, {}, response.body};
  for (const auto& field : response.headers) {
    if (!isConnectionHeader(field.name) && !equalHeaderNames(field.name, kRequestIdHeader))
      callerResponse.headers.push_back(field);
  }
  callerResponse.headers.push_back({std::string{kRequestIdHeader}, request_->id().value});
  exchange_->respond(std::move(callerResponse));
  finish(base::ResultCode::kOk);
}

void ProxiedCall::onRefused(const request::Refusal& refusal) {
  exchange_->respond(refusalResponse(refusal, request_->id().value));
  finish(refusal.reason.code);
}

void ProxiedCall::onDisconnect() {
  recordDisconnect(environment_, request_->id());
  finished_(*this);
}

void ProxiedCall::finish(base::ResultCode code) {
  environment_.metrics.onRequestFinished(RequestKind::kProxied, code);
  finished_(*this);
}

}  // namespace covewing::live
