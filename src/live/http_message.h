/// \file
/// HTTP requests and responses as plain values, so that users of the server and the client need not
/// include Beast.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "clients/application_client.h"

namespace covewing::live {

using clients::HeaderField;

/// Value of the first header with this name (compared without case); empty when there is none.
std::string_view findHeader(const std::vector<HeaderField>& headers, std::string_view name);

/// Names compared as HTTP compares header names: ASCII letters without case.
bool equalHeaderNames(std::string_view left, std::string_view right);

/// A whole request.
struct HttpRequest {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;

  std::string_view header(std::string_view name) const { return findHeader(headers, name); }
  /// The target without its query.
  std::string_view path() const;
  /// The query without its question mark; empty when there is none.
  std::string_view query() const;
};

/// The still encoded value of `key` in a query such as "a=1&b=2"; empty when absent.
std::string_view findQueryValue(std::string_view query, std::string_view key);

/// A whole response. The server adds Content-Length and Connection itself.
struct HttpResponse {
  unsigned status = 200;
  std::vector<HeaderField> headers;
  std::string body;

  std::string_view header(std::string_view name) const { return findHeader(headers, name); }
};

/// A response with `Content-Type: application/json`.
HttpResponse jsonResponse(unsigned status, std::string body);

/// Token of an `Authorization: Bearer TOKEN` header; empty when there is none.
std::string_view bearerToken(const HttpRequest& request);

}  // namespace covewing::live
