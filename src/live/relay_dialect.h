/// \file
/// The header names and formats of HTTP messages between callers, a relaying node and replicas. An
/// implementation only translates; it makes no decisions.
#pragma once

#include <optional>
#include <string_view>

#include "live/http_message.h"
#include "request/relay_request.h"

namespace covewing::live {

class RelayDialect {
 public:
  virtual ~RelayDialect() = default;

  /// Header with the identifier of a request, in requests and in responses.
  virtual std::string_view requestIdHeader() const = 0;
  /// Parses a caller's request; if it is malformed, returns nothing and sets `reason`. `body` is
  /// the request's body, passed separately so that it can be moved.
  virtual std::optional<request::IncomingRequest> readRequest(const HttpRequest& request,
                                                              clients::SharedBody body,
                                                              base::TimePoint arrivedAt,
                                                              base::Reason& reason) const = 0;
  /// Formats the response to a request that the node itself refuses.
  virtual HttpResponse refusal(const request::RelayRefusal& refusal,
                               std::string_view requestId) const = 0;
  /// Formats the request that is sent to a replica.
  virtual HttpRequest dispatch(const clients::RelayedRequest& request,
                               const clients::DispatchTerms& terms) const = 0;
  /// Parses the status and headers of a replica's response.
  virtual clients::RelayedAnswer readAnswer(const HttpResponse& head,
                                            const clients::DispatchTerms& terms) const = 0;
};

/// Removes the headers that by the rules of HTTP apply to a single connection, and those listed in
/// the `Connection` header.
std::vector<HeaderField> withoutConnectionHeaders(const std::vector<HeaderField>& headers);

}  // namespace covewing::live
