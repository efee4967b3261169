/// \file
/// A request to be relayed, as the gateway reads it, and the caller's end of its answer.
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

/// What a caller says of its prompt.
struct PromptMetadata {
  std::string model;
  prefix::PartChain chain;
  std::uint32_t promptTokens = 0;
  std::uint32_t maximumOutputTokens = 0;
  /// The caller's guess at the tokens that will be made; often far off.
  std::optional<std::uint32_t> outputLengthHint;

  /// The hint, or half of the most where there is none.
  std::uint32_t expectedOutputTokens() const {
    return outputLengthHint.value_or(maximumOutputTokens / 2);
  }
};

/// One request as it was read.
struct IncomingRequest {
  clients::RelayedRequestPtr request;
  std::string host;
  /// Path without the query.
  std::string path;
  /// Empty when the caller sent none.
  std::string key;
  /// How long the caller waits, from `arrivedAt`; empty when it does not say.
  std::optional<base::Duration> deadline;
  base::TimePoint arrivedAt{};
  /// Empty for requests without a prompt.
  std::optional<PromptMetadata> prompt;
  /// Tokens of the prompt and of the longest answer; empty when the caller states none.
  std::optional<std::uint32_t> declaredTokens;
  /// The caller takes a stream up behind this event.
  std::string lastEventId;
};

/// A final answer of the node's own.
struct RelayRefusal {
  base::Reason reason;
  unsigned status = 0;
  /// When the caller should come back; zero: nothing is said.
  base::Duration retryAfter{};
  /// The caller's connection is closed after the answer, so that it comes back to another node.
  bool closeConnection = false;
};

/// The caller's end. After `end`, `refuse` or `abort` nothing follows. Calls after the caller went
/// away do nothing.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Starts an answer; with a length the body is sent as it is, else in chunks.
  virtual void begin(const clients::RelayedAnswer& answer) = 0;
  virtual void write(std::string_view bytes) = 0;
  /// Ends the answer as complete.
  virtual void end() = 0;
  virtual void refuse(const RelayRefusal& refusal) = 0;
  /// Closes the connection, so that the caller sees an incomplete answer.
  virtual void abort() = 0;
  /// Called with true when the caller does not keep up, with false when it does again.
  virtual void onPressure(std::function<void(bool)> listener) = 0;
};

}  // namespace covewing::request
