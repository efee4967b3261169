/// \file
/// Canonical form of a prompt, the input of block hashing. A text prompt is its UTF-8 bytes; a
/// token-id prompt is its ids as little-endian 32-bit words; chat messages are rendered one after
/// another with separators that cannot occur in the text. Four bytes count as one token in
/// estimates.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace covewing::prefix {

inline constexpr std::size_t kBytesPerToken = 4;
inline constexpr std::size_t kTokensPerBlock = 16;
inline constexpr std::size_t kBytesPerBlock = kBytesPerToken * kTokensPerBlock;

struct ChatMessage {
  std::string role;
  std::string content;
};

std::string canonicalPrompt(std::span<const ChatMessage> messages);
std::string canonicalPrompt(std::span<const std::uint32_t> tokens);

/// Tokens of a canonical prompt, rounded up.
constexpr std::uint32_t tokenCount(std::string_view canonical) {
  return static_cast<std::uint32_t>((canonical.size() + kBytesPerToken - 1) / kBytesPerToken);
}

}  // namespace covewing::prefix
