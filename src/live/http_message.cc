#include "live/http_message.h"

#include <algorithm>

namespace covewing::live {

namespace {
constexpr std::string_view kBearerScheme = "Bearer ";
}  // namespace

std::string_view HttpRequest::path() const {
  return std::string_view{target}.substr(0, target.find('?'));
}

std::string_view HttpRequest::query() const {
  const auto mark = target.find('?');
  return mark == std::string::npos ? std::string_view{} : std::string_view{target}.substr(mark + 1);
}

std::string_view findQueryValue(std::string_view query, std::string_view key) {
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const auto pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == key)
      return pair.substr(equals + 1);
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return {};
}

HttpResponse jsonResponse(unsigned status, std::string body) {
  return HttpResponse{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string_view bearerToken(const HttpRequest& request) {
  const auto value = request.header("Authorization");
  if (value.size() <= kBearerScheme.size()) return {};
  if (!equalHeaderNames(value.substr(0, kBearerScheme.size()), kBearerScheme)) return {};
  return value.substr(kBearerScheme.size());
}

}  // namespace covewing::live
