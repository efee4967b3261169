#include "live/completion_response.h"

#include <nlohmann/json.hpp>

#include "live/http_client.h"

namespace covewing::live {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view kDone = "data: [DONE]\n\n";
/// Stands in for the content while the constant text of a chunk event is built.
constexpr std::string_view kPlaceholder = "@content@";

std::string dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string event(const Json& json) { return "data: " + dump(json) + "\n\n"; }

std::string_view objectName(CompletionKind kind, bool streamed) {
  if (kind == CompletionKind::kText) return "text_completion";
  return streamed ? "chat.completion.chunk" : "chat.completion";
}

Json envelope(CompletionKind kind, const std::string& id, std::int64_t created,
              const std::string& model, bool streamed) {
  return {
      {"id", id}, {"object", objectName(kind, streamed)}, {"created", created}, {"model", model}};
}

Json usage(const clients::StreamEnd& end) {
  return {{"prompt_tokens", end.promptTokens},
          {"completion_tokens", end.outputTokens},
          {"total_tokens", std::uint64_t{end.promptTokens} + end.outputTokens},
          {"prompt_tokens_details", {{"cached_tokens", end.cachedTokens}}}};
}

Json choice(const char* contentName, Json content, const Json& finishReason) {
  Json fields = {{"index", 0}};
  fields[contentName] = std::move(content);
  fields["finish_reason"] = finishReason;
  return fields;
}

}  // namespace

CompletionResponse::CompletionResponse(CompletionKind kind, const base::RequestId& id,
                                       std::string model, std::int64_t created)
    : kind_(kind),
      id_((kind == CompletionKind::kChat ? "chatcmpl-" : "cmpl-") + id.value),
      model_(std::move(model)),
      created_(created) {
  auto chunk = envelope(kind_, id_, created_, model_, true);
  chunk["choices"] = {kind_ == CompletionKind::kChat
                          ? choice("delta", {{"content", kPlaceholder}}, nullptr)
                          : choice("text", kPlaceholder, nullptr)};
  const auto text = event(chunk);
  const auto position = text.rfind(kPlaceholder);
  // The escaped content brings its own quotation marks, so those around the placeholder are left
  // out.
  chunkPrefix_ = text.substr(0, position - 1);
  chunkSuffix_ = text.substr(position + kPlaceholder.size() + 1);
}

std::string CompletionResponse::firstEvent() const {
  if (kind_ == CompletionKind::kText) return {};
  auto chunk = envelope(kind_, id_, created_, model_, true);
  chunk["choices"] = {choice("delta", {{"role", "assistant"}, {"content", ""}}, nullptr)};
  return event(chunk);
}

std::string CompletionResponse::chunkEvent(std::string_view text) const {
  return chunkPrefix_ + dump(Json(text)) + chunkSuffix_;
}

std::string CompletionResponse::endEvents(const clients::StreamEnd& end) const {
  auto chunk = envelope(kind_, id_, created_, model_, true);
  chunk["choices"] = {kind_ == CompletionKind::kChat
                          ? choice("delta", Json::object(), end.finishReason)
                          : choice("text", "", end.finishReason)};
  chunk["usage"] = usage(end);
  return event(chunk) + std::string{kDone};
}

std::string CompletionResponse::responseBody(std::string_view text,
                                             const clients::StreamEnd& end) const {
  auto body = envelope(kind_, id_, created_, model_, false);
  body["choices"] = {
      kind_ == CompletionKind::kChat
          ? choice("message", {{"role", "assistant"}, {"content", text}}, end.finishReason)
          : choice("text", text, end.finishReason)};
  body["usage"] = usage(end);
  return dump(body);
}

std::string refusalBody(const request::Refusal& refusal, std::string_view requestId) {
  return dump({{"code", static_cast<unsigned>(refusal.reason.code)},
               {"name", base::describe(refusal.reason.code).name},
               {"detail", refusal.reason.detail},
               {"outcome", refusal.outcome == request::Outcome::kNotRun ? "not-run" : "unknown"},
               {"request_id", requestId}});
}

HttpResponse refusalResponse(const request::Refusal& refusal, std::string_view requestId) {
  auto response =
      jsonResponse(base::describe(refusal.reason.code).httpStatus, refusalBody(refusal, requestId));
  response.headers.push_back({std::string{kRequestIdHeader}, std::string{requestId}});
  if (refusal.retryAfter > base::Duration::zero()) {
    const auto wait = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter);
    response.headers.push_back({"Retry-After", std::to_string(wait.count())});
  }
  return response;
}

std::string errorEvent(const request::Refusal& refusal, std::string_view requestId) {
  return "event: error\ndata: " + refusalBody(refusal, requestId) + "\n\n";
}

}  // namespace covewing::live
