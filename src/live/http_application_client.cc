#include "live/http_application_client.h"

#include <algorithm>
#include <array>

#include "live/engine_json.h"

namespace covewing::live {

namespace {

constexpr std::array<std::string_view, 11> kConnectionHeaders = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Authenticate",
                                                                 "Proxy-Authorization",
                                                                 "Proxy-Connection",
                                                                 "TE",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length",
                                                                 "Host"};
constexpr std::string_view kNotRunHeader = "X-Not-Run";
constexpr base::Duration kDefaultTimeout = std::chrono::seconds(30);

clients::ApplicationResult toResult(const base::RequestId& requestId, HttpResult result) {
  if (auto* error = std::get_if<clients::DispatchError>(&result); error != nullptr)
    return std::move(*error);
  auto& response = std::get<HttpResponse>(result);
  if (response.header(kNotRunHeader) == "1") {
    auto error = errorFromJson(response.body, base::ResultCode::kBackEndRefused);
    error.failure = clients::DispatchFailure::kRefusedNotRun;
    return error;
  }
  std::erase_if(response.headers,
                [](const HeaderField& field) { return isConnectionHeader(field.name); });
  return clients::ApplicationResponse{requestId, response.status, std::move(response.headers),
                                      std::move(response.body)};
}

}  // namespace

bool isConnectionHeader(std::string_view name) {
  return std::ranges::any_of(kConnectionHeaders, [name](std::string_view candidate) {
    return equalHeaderNames(candidate, name);
  });
}

void HttpApplicationClient::call(const clients::BackEndAddress& backEnd,
                                 clients::ApplicationRequest request,
                                 std::function<void(clients::ApplicationResult)> callback) {
  std::erase_if(request.headers, [](const HeaderField& field) {
    return isConnectionHeader(field.name) || equalHeaderNames(field.name, kRequestIdHeader);
  });
  request.headers.push_back({std::string{kRequestIdHeader}, request.requestId.value});
  const HttpRequest call{std::move(request.method), std::move(request.target),
                         std::move(request.headers), std::move(request.body)};
  const auto timeout =
      request.timeout == base::Duration::zero() ? kDefaultTimeout : request.timeout;
  client_.fetch(backEnd.endpoint, call, timeout,
                [requestId = std::move(request.requestId), callback = std::move(callback)](
                    HttpResult result) { callback(toResult(requestId, std::move(result))); });
}

}  // namespace covewing::live
