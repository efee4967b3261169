/// \file
/// A request to be relayed, as parsed by the gateway, and the writer of its response to the caller.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"
#include "base/time.h"
#include "clients/relay_client.h"
#include "prefix/part_chain.h"

namespace covewing::request {

/// Information about the prompt that the caller declares in request headers.
struct PromptMetadata {
  std::string model;
  prefix::PartChain chain;
  std::uint32_t promptTokens = 0;
  std::uint32_t maximumOutputTokens = 0;
  /// The caller's estimate of the number of output tokens; often inaccurate.
  std::optional<std::uint32_t> outputLengthHint;

  /// Expected number of output tokens: the caller's estimate or, without one, half of the maximum.
  std::uint32_t expectedOutputTokens() const {
    return outputLengthHint.value_or(maximumOutputTokens / 2);
  }
};

/// A caller's request as it was parsed.
struct IncomingRequest {
  clients::RelayedRequestPtr request;
  std::string host;
  /// Path of the request target, without the query.
  std::string path;
  /// Tenant key; empty if the caller sent none.
  std::string key;
  /// Time that the caller is willing to wait, counted from `arrivedAt`; empty if it does not state
  /// one.
  std::optional<base::Duration> deadline;
  /// When the request arrived, which may be before it was read.
  base::TimePoint arrivedAt{};
  /// Time for which the operating system held the request before it was read, as far as known.
  base::Duration readDelay{};
  /// Empty for requests without a prompt.
  std::optional<PromptMetadata> prompt;
  /// Number of tokens of the prompt and of the longest possible response, as declared by the
  /// caller; empty if it declares none.
  std::optional<std::uint32_t> declaredTokens;
  /// Identifier of the event after which the caller wants to resume a stream; empty for a new
  /// stream.
  std::string lastEventId;
  /// Identifier of the caller's attempt that brought the first event of that stream; empty if the
  /// caller names none.
  std::string resumedRequest;
};

/// A final response that this node generates itself to refuse a request.
struct RelayRefusal {
  base::Reason reason;
  unsigned status = 0;
  /// Time after which the caller should retry; zero if no time is stated.
  base::Duration retryAfter{};
  /// Whether the connection is closed after the response, so that the caller reconnects to another
  /// node.
  bool closeConnection = false;
};

/// Writes the response to the caller. No calls follow after `end`, `refuse` or `abort`. Calls after
/// the caller disconnected have no effect.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Starts the response. If its length is known, the body is sent unchanged; otherwise it is sent
  /// in chunks.
  virtual void begin(const clients::RelayedAnswer& response) = 0;
  virtual void write(std::string_view bytes) = 0;
  /// Ends the response as complete.
  virtual void end() = 0;
  virtual void refuse(const RelayRefusal& refusal) = 0;
  /// Closes the connection, so that the caller sees an incomplete response.
  virtual void abort() = 0;
  /// Whether the caller is still connected, as the operating system sees it now: the event loop may
  /// not have processed a close yet.
  virtual bool callerConnected() const = 0;
  /// Sets the listener for back-pressure. It is called with true when the caller reads too slowly,
  /// and with false when it has caught up.
  virtual void onPressure(std::function<void(bool)> listener) = 0;
};

}  // namespace covewing::request
