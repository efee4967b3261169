/// \file
/// A caller's request after the gateway parsed it, and the sink of its answer.
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

/// A chat or text completion.
struct CompletionRequest {
  std::string bearerKey;
  std::string model;
  std::string adapter;
  std::shared_ptr<const std::string> prompt;
  std::uint32_t maximumTokens = 0;
  /// Empty: the template's class.
  std::optional<base::PriorityClass> priority;
  std::string idempotencyKey;
  bool notRepeatable = false;
};

/// A call to an application back end.
struct ProxiedRequest {
  std::string bearerKey;
  std::string method;
  std::string target;
  std::vector<clients::HeaderField> headers;
  std::string body;
  std::string idempotencyKey;
  /// Marked by the caller; the template's route may mark it too.
  bool notRepeatable = false;
};

/// Whether a refused or failed request ran.
enum class Outcome : std::uint8_t {
  /// Proved: no byte of it reached a back end, or the back end said that it did not run.
  kNotRun,
  kUnknown,
};

/// Final error of a request.
struct Refusal {
  base::Reason reason;
  Outcome outcome = Outcome::kUnknown;
  /// When to come back; zero when waiting does not help.
  base::Duration retryAfter{};
};

/// Receiver of a completion's answer. onEnd or onRefused comes exactly once and last; after a first
/// chunk, onRefused means that the stream is incomplete and the caller must be told so.
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

/// A request in progress. Destroying it is the caller's disconnect: work is cancelled, the sink
/// silenced.
class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;
  virtual const base::RequestId& id() const = 0;
  /// Back-pressure from a slow caller.
  virtual void setPaused(bool paused) = 0;
};

/// Entry of the request path.
class RequestService {
 public:
  virtual ~RequestService() = default;
  /// `sink` must outlive the returned request and is never called from inside these functions.
  virtual std::unique_ptr<ActiveRequest> complete(CompletionRequest request,
                                                  CompletionSink& sink) = 0;
  virtual std::unique_ptr<ActiveRequest> proxy(ProxiedRequest request, ProxiedSink& sink) = 0;
  /// Requests in flight, held ones included.
  virtual std::size_t openRequests() const = 0;
};

}  // namespace covewing::request
