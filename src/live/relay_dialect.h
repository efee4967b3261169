/// \file
/// The names and formats in which callers and replicas speak HTTP with a node that relays their
/// requests. An implementation translates and decides nothing.
#pragma once

#include <optional>
#include <string_view>

#include "live/http_message.h"
#include "request/relay_request.h"

namespace covewing::live {

class RelayDialect {
 public:
  virtual ~RelayDialect() = default;

  /// Header that names a request, in requests and in answers.
  virtual std::string_view requestIdHeader() const = 0;
  /// Reads a caller's request; empty with the reason when it is malformed. `body` is moved in.
  virtual std::optional<request::IncomingRequest> readRequest(const HttpRequest& request,
                                                              std::string body,
                                                              base::TimePoint arrivedAt,
                                                              base::Reason& reason) const = 0;
  /// The node's own final answer to a request.
  virtual HttpResponse refusal(const request::RelayRefusal& refusal,
                               std::string_view requestId) const = 0;
  /// The request as it goes to a replica.
  virtual HttpRequest dispatch(const clients::RelayedRequest& request,
                               const clients::DispatchTerms& terms) const = 0;
  /// What the head of a replica's answer says.
  virtual clients::RelayedAnswer readAnswer(const HttpResponse& head,
                                            const clients::DispatchTerms& terms) const = 0;
};

/// Removes the headers that concern one connection only, as HTTP defines them, and those that the
/// `Connection` header names.
std::vector<HeaderField> withoutConnectionHeaders(const std::vector<HeaderField>& headers);

}  // namespace covewing::live
