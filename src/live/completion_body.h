/// \file
/// Bodies of the completions calls: bounded parsing, with every wrong field named. Free of I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/result_code.h"

namespace covewing::live {

/// Which of the two calls, hence the shape of body and answer.
enum class CompletionKind : std::uint8_t { kChat, kText };

/// What a body asks for.
struct CompletionBody {
  CompletionKind kind = CompletionKind::kChat;
  std::string model;
  std::string adapter;
  /// Canonical prompt (prefix/prompt.h).
  std::shared_ptr<const std::string> prompt;
  /// 0: the template's limit.
  std::uint32_t maximumTokens = 0;
  bool stream = false;
};

/// Empty, with MalformedJson, InvalidUtf8 or InvalidField and every wrong field, for anything else
/// than a body of `kind`. Fields that are not used, such as `temperature`, are ignored.
std::optional<CompletionBody> parseCompletionBody(CompletionKind kind, std::string_view text,
                                                  base::Reason& reason);

}  // namespace covewing::live
