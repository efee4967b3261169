#include "prefix/prompt.h"

#include <array>

namespace covewing::prefix {

namespace {
constexpr char kFieldSeparator = '\x1f';    // ASCII unit separator
constexpr char kMessageSeparator = '\x1e';  // ASCII record separator
constexpr unsigned kBitsPerByte = 8;
}  // namespace

std::string canonicalPrompt(std::span<const ChatMessage> messages) {
  std::string canonical;
  for (const auto& message : messages) {
    canonical += message.role;
    canonical += kFieldSeparator;
    canonical += message.content;
    canonical += kMessageSeparator;
  }
  return canonical;
}

std::string canonicalPrompt(std::span<const std::uint32_t> tokens) {
  std::string canonical;
  canonical.reserve(tokens.size() * kBytesPerToken);
  for (const auto token : tokens) {
    for (unsigned byte = 0; byte < kBytesPerToken; ++byte) {
      canonical += static_cast<char>(token >> (byte * kBitsPerByte));
    }
  }
  return canonical;
}

}  // namespace covewing::prefix
