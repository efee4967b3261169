/// \file
/// HTTP requests and responses as plain values, so that users of the server and the client need not
/// include Beast.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "clients/header_field.h"
#include "clients/shared_body.h"

namespace covewing::live {

using clients::equalHeaderNames;
using clients::findHeader;
using clients::HeaderField;

/// A whole request.
struct HttpRequest {
  std::string method;
  /// Path and query as received or to be sent, still encoded.
  std::string target;
  std::vector<HeaderField> headers;
  clients::SharedBody body;

  std::string_view header(std::string_view name) const { return findHeader(headers, name); }
  /// Path of the target, without the query.
  std::string_view path() const;
  /// Query of the target without the question mark; empty if there is none.
  std::string_view query() const;
};

/// Value, still encoded, of `key` in a query such as "a=1&b=2"; empty if `key` is absent.
std::string_view findQueryValue(std::string_view query, std::string_view key);

/// A whole response. The server adds the headers Content-Length and Connection.
struct HttpResponse {
  unsigned status = 200;
  std::vector<HeaderField> headers;
  std::string body;

  std::string_view header(std::string_view name) const { return findHeader(headers, name); }
};

/// A response with `Content-Type: application/json`.
HttpResponse jsonResponse(unsigned status, std::string body);

/// Token of an `Authorization: Bearer TOKEN` header; empty if there is none.
std::string_view bearerToken(const HttpRequest& request);

}  // namespace covewing::live
