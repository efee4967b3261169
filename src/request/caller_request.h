/// \file
/// Requests of callers as parsed by the gateway, and the sinks that receive their responses.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/application_client.h"
#include "clients/engine_client.h"

namespace covewing::request {

/// A chat or text completion request.
struct CompletionRequest {
  std::string bearerKey;
  std::string model;
  std::string adapter;
  std::shared_ptr<const std::string> prompt;
  std::uint32_t maximumTokens = 0;
  /// Requested priority class; if empty, the class of the tenant's template applies.
  std::optional<base::PriorityClass> priority;
  std::string idempotencyKey;
  bool notRepeatable = false;
};

/// A request to be proxied to an application back end.
struct ProxiedRequest {
  std::string bearerKey;
  std::string method;
  std::string target;
  std::vector<clients::HeaderField> headers;
  std::string body;
  std::string idempotencyKey;
  /// The caller marked the request as not repeatable. The route in the tenant's template can do so
  /// as well.
  bool notRepeatable = false;
};

/// Whether a refused or failed request was executed.
enum class Outcome : std::uint8_t {
  /// Provably not executed: no byte of the request reached a back end, or every back end that
  /// received it reported that it did not execute it.
  kNotRun,
  kUnknown,
};

/// Final error response to a request.
struct Refusal {
  base::Reason reason;
  Outcome outcome = Outcome::kUnknown;
  /// Time after which the caller may retry; zero if waiting does not help.
  base::Duration retryAfter{};
};

/// Receives the response to a completion request. Exactly one of onEnd and onRefused is called,
/// once, as the last call. After the first chunk, onRefused means that the stream is incomplete;
/// the implementation must report this to the caller.
class CompletionSink {
 public:
  virtual ~CompletionSink() = default;
  virtual void onChunk(const clients::StreamChunk& chunk) = 0;
  virtual void onEnd(const clients::StreamEnd& end) = 0;
  virtual void onRefused(const Refusal& refusal) = 0;
};

class ProxiedSink {
 public:
  virtual ~ProxiedSink() = default;
  virtual void onResponse(const clients::ApplicationResponse& response) = 0;
  virtual void onRefused(const Refusal& refusal) = 0;
};

/// Handle of a request in progress. Destroying the handle stands for a disconnect of the caller: it
/// cancels the request, and the sink is not called any more.
class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;
  virtual const base::RequestId& id() const = 0;
  /// Applies back-pressure: while paused, the caller cannot take more data.
  virtual void setPaused(bool paused) = 0;
};

/// Entry point of the request path.
class RequestService {
 public:
  virtual ~RequestService() = default;
  /// `sink` must outlive the returned handle. It is never called from inside `complete` or `proxy`.
  virtual std::unique_ptr<ActiveRequest> complete(CompletionRequest request,
                                                  CompletionSink& sink) = 0;
  virtual std::unique_ptr<ActiveRequest> proxy(ProxiedRequest request, ProxiedSink& sink) = 0;
  /// Number of requests in flight, including those that are held.
  virtual std::size_t openRequests() const = 0;
};

}  // namespace covewing::request
