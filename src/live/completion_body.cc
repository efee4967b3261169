#include "live/completion_body.h"

#include "config/json_fields.h"
#include "live/utf8.h"
#include "prefix/prompt.h"

namespace covewing::live {

namespace {

using config::FieldReader;
using config::Json;
using Mistakes = std::vector<config::FieldMistake>;

/// The listener already limits the size of the body, so only the depth is limited here.
constexpr config::JsonBounds kBodyBounds{SIZE_MAX, 16};
constexpr std::size_t kMaximumName = 256;
constexpr std::size_t kMaximumMessages = 65'536;
constexpr std::size_t kMaximumParts = 65'536;
constexpr std::size_t kMaximumPromptTokens = 16U << 20U;
constexpr std::uint64_t kMaximumOutputTokens = 1U << 20U;

std::string indexed(std::string_view name, std::size_t index) {
  return std::string{name} + "[" + std::to_string(index) + "]";
}

/// Returns the concatenated text parts of a message's content.
std::string readParts(const Json& parts, const std::string& path, Mistakes& mistakes) {
  std::string text;
  if (parts.size() > kMaximumParts) {
    mistakes.push_back({path, "has too many parts"});
    return text;
  }
  for (std::size_t index = 0; index < parts.size(); ++index) {
    FieldReader part(parts[index], indexed(path, index), mistakes);
    const auto type = part.text("type", "text", kMaximumName);
    if (type != "text") part.mistake("type", "must be \"text\"");
    text += part.text("text", "", SIZE_MAX);
  }
  return text;
}

prefix::ChatMessage readMessage(const Json& json, const std::string& path, Mistakes& mistakes) {
  FieldReader fields(json, path, mistakes);
  prefix::ChatMessage message;
  message.role = fields.text("role", "", kMaximumName);
  if (message.role.empty()) fields.mistake("role", "must be a text such as \"user\"");
  const auto* content = fields.find("content");
  if (content != nullptr && content->is_array()) {
    message.content = readParts(*content, fields.pathOf("content"), mistakes);
  } else if (content != nullptr && content->is_string()) {
    message.content = content->get<std::string>();
  } else {
    fields.mistake("content", "must be a text or a list of text parts");
  }
  return message;
}

std::string readMessages(FieldReader& fields, Mistakes& mistakes) {
  std::vector<prefix::ChatMessage> messages;
  const auto elements = fields.elements("messages", kMaximumMessages);
  for (std::size_t index = 0; index < elements.size(); ++index)
    messages.push_back(readMessage(*elements[index], indexed("messages", index), mistakes));
  if (messages.empty()) fields.mistake("messages", "must be a list with at least one message");
  return prefix::canonicalPrompt(messages);
}

std::string readTokens(const Json& list, FieldReader& fields) {
  std::vector<std::uint32_t> tokens;
  if (list.empty() || list.size() > kMaximumPromptTokens) {
    fields.mistake("prompt", "must hold 1 to " + std::to_string(kMaximumPromptTokens) + " tokens");
    return {};
  }
  tokens.reserve(list.size());
  for (const auto& token : list) {
    if (!token.is_number_unsigned() || token.get<std::uint64_t>() > UINT32_MAX) {
      fields.mistake("prompt", "must be a text or a list of token ids from 0 to 4294967295");
      return {};
    }
    tokens.push_back(token.get<std::uint32_t>());
  }
  return prefix::canonicalPrompt(tokens);
}

std::string readPrompt(FieldReader& fields) {
  const auto* prompt = fields.find("prompt");
  if (prompt != nullptr && prompt->is_string() && !prompt->get_ref<const std::string&>().empty())
    return prompt->get<std::string>();
  if (prompt != nullptr && prompt->is_array()) {
    if (prompt->size() == 1 && prompt->front().is_string())
      return prompt->front().get<std::string>();
    return readTokens(*prompt, fields);
  }
  fields.mistake("prompt", "must be a text or a list of token ids");
  return {};
}

std::uint32_t readMaximumTokens(FieldReader& fields) {
  const auto* newerField = fields.find("max_completion_tokens");
  const auto name = newerField != nullptr ? "max_completion_tokens" : "max_tokens";
  return static_cast<std::uint32_t>(fields.unsignedInteger(name, 0, 1, kMaximumOutputTokens));
}

}  // namespace

std::optional<CompletionBody> parseCompletionBody(CompletionKind kind, std::string_view text,
                                                  base::Reason& reason) {
  if (!isValidUtf8(text)) {
    reason = {base::ResultCode::kInvalidUtf8, "the body is not valid UTF-8"};
    return std::nullopt;
  }
  Mistakes mistakes;
  const auto json = config::parseBoundedJson(text, kBodyBounds, mistakes);
  if (!json) {
    reason = {base::ResultCode::kMalformedJson, "the body is " + toText(mistakes)};
    return std::nullopt;
  }
  FieldReader fields(*json, "", mistakes);
  CompletionBody body;
  body.kind = kind;
  body.model = fields.text("model", "", kMaximumName);
  if (body.model.empty()) fields.mistake("model", "must be the name of a model");
  body.adapter = fields.text("adapter", "", kMaximumName);
  body.maximumTokens = readMaximumTokens(fields);
  body.stream = fields.boolean("stream", false);
  fields.unsignedInteger("n", 1, 1, 1);
  body.prompt = std::make_shared<const std::string>(
      kind == CompletionKind::kChat ? readMessages(fields, mistakes) : readPrompt(fields));
  if (!mistakes.empty()) {
    reason = {base::ResultCode::kInvalidField, toText(mistakes)};
    return std::nullopt;
  }
  return body;
}

}  // namespace covewing::live
