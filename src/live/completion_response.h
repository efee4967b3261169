/// \file
/// Formats responses to completions calls as in the OpenAI API, streamed or as one body, and
/// refusals as JSON. Does no I/O.
#pragma once

#include <string>
#include <string_view>

#include "clients/engine_client.h"
#include "live/completion_body.h"
#include "live/http_message.h"
#include "request/caller_request.h"

namespace covewing::live {

/// Formats the events or the body of one response.
class CompletionResponse {
 public:
  /// `created` is in seconds since the Unix epoch.
  CompletionResponse(CompletionKind kind, const base::RequestId& id, std::string model,
                     std::int64_t created);

  /// Returns the first event of a streamed chat response, which contains the role; empty for text
  /// completions.
  std::string firstEvent() const;
  std::string chunkEvent(std::string_view text) const;
  /// Returns the last chunk event, with finish reason and usage, followed by the closing `[DONE]`.
  std::string endEvents(const clients::StreamEnd& end) const;
  /// Returns the response body of a call that is not streamed.
  std::string responseBody(std::string_view text, const clients::StreamEnd& end) const;

 private:
  CompletionKind kind_;
  std::string id_;
  std::string model_;
  std::int64_t created_;
  /// Constant text of a chunk event before and after the escaped content.
  std::string chunkPrefix_;
  std::string chunkSuffix_;
};

/// Returns the refusal as a JSON object `{code, name, detail, outcome, request_id}`.
std::string refusalBody(const request::Refusal& refusal, std::string_view requestId);
/// Returns the refusal as a complete HTTP response, with X-Request-Id and, if the refusal asks the
/// caller to wait before a retry, Retry-After.
HttpResponse refusalResponse(const request::Refusal& refusal, std::string_view requestId);
/// Returns the last event of a stream that could not be completed.
std::string errorEvent(const request::Refusal& refusal, std::string_view requestId);

}  // namespace covewing::live
