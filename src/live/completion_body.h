/// \file
/// Parses request bodies of completions calls within fixed bounds and reports every invalid field.
/// Does no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/result_code.h"

namespace covewing::live {

/// Which of the two completions calls; determines the format of the request and response bodies.
enum class CompletionKind : std::uint8_t { kChat, kText };

/// Contents of a valid request body.
struct CompletionBody {
  CompletionKind kind = CompletionKind::kChat;
  std::string model;
  std::string adapter;
  /// Canonical prompt (prefix/prompt.h).
  std::shared_ptr<const std::string> prompt;
  /// Maximum number of output tokens; 0 if only the limit of the tenant's template applies.
  std::uint32_t maximumTokens = 0;
  bool stream = false;
};

/// Parses a request body of `kind`. If it is invalid, returns nothing and sets `reason` to
/// MalformedJson, InvalidUtf8, or InvalidField with every invalid field. Fields that are not used,
/// such as `temperature`, are ignored.
std::optional<CompletionBody> parseCompletionBody(CompletionKind kind, std::string_view text,
                                                  base::Reason& reason);

}  // namespace covewing::live
