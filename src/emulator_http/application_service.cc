#include "emulator_http/application_service.h"

#include <utility>

#include "emulator_http/wire.h"

namespace covewing::emulator_http {

using clients::ApplicationResponse;
using clients::ApplicationResult;
using clients::DispatchError;
using clients::DispatchFailure;

namespace {

constexpr std::string_view kRequestIdHeader = "X-Request-Id";

void sendResult(const live::HttpExchangePtr& exchange, const ApplicationResult& result) {
  if (const auto* response = std::get_if<ApplicationResponse>(&result)) {
    live::HttpResponse converted{response->status, response->headers, response->body};
    converted.headers.push_back({std::string(kRequestIdHeader), response->requestId.value});
    exchange->respond(std::move(converted));
    return;
  }
  const auto& error = std::get<DispatchError>(result);
  if (error.failure != DispatchFailure::kRefusedNotRun) {
    exchange->abort();
    return;
  }
  live::HttpResponse refusal = errorResponse(error.reason, false);
  refusal.headers.push_back({"X-Not-Run", "1"});
  const std::string_view requestId = exchange->request().header(kRequestIdHeader);
  refusal.headers.push_back({std::string(kRequestIdHeader), std::string(requestId)});
  exchange->respond(std::move(refusal));
}

}  // namespace

void handleApplicationCall(emulator::ApplicationModel& application,
                           const live::HttpExchangePtr& exchange) {
  const live::HttpRequest& http = exchange->request();
  clients::ApplicationRequest request;
  request.requestId.value = std::string(http.header(kRequestIdHeader));
  request.method = http.method;
  request.target = http.target;
  request.headers = http.headers;
  request.body = exchange->takeBody().copy();
  application.call(std::move(request),
                   [exchange](const ApplicationResult& result) { sendResult(exchange, result); });
}

}  // namespace covewing::emulator_http
