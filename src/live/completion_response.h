/// \file
/// Answers to completions calls in the shapes of the OpenAI API, whole and streamed, and the JSON
/// of refusals. Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "clients/engine_client.h"
#include "live/completion_body.h"
#include "live/http_message.h"
#include "request/caller_request.h"

namespace covewing::live {

/// Writes the events of one answer.
class CompletionResponse {
 public:
  /// `created` is in seconds since the Unix epoch.
  CompletionResponse(CompletionKind kind, const base::RequestId& id, std::string model,
                     std::int64_t created);

  /// First event of a streamed chat answer, which names the role; empty for text completions.
  std::string firstEvent() const;
  std::string chunkEvent(std::string_view text) const;
  /// Last chunk, with finish reason and usage, and the closing `[DONE]`.
  std::string endEvents(const clients::StreamEnd& end) const;
  /// The answer of a call that is not streamed.
  std::string responseBody(std::string_view text, const clients::StreamEnd& end) const;

 private:
  CompletionKind kind_;
  std::string id_;
  std::string model_;
  std::int64_t created_;
  /// A chunk event's text before and behind the escaped content.
  std::string chunkPrefix_;
  std::string chunkSuffix_;
};

/// `{code, name, detail, outcome, request_id}`.
std::string refusalBody(const request::Refusal& refusal, std::string_view requestId);
/// The refusal as a whole response, with X-Request-Id and, where waiting helps, Retry-After.
HttpResponse refusalResponse(const request::Refusal& refusal, std::string_view requestId);
/// Last event of a stream that could not be completed.
std::string errorEvent(const request::Refusal& refusal, std::string_view requestId);

}  // namespace covewing::live
