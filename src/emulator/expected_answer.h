/// \file
/// The answers of emulated engines. Each token is a function of the prompt and its position alone,
/// so that a checker can tell whether an answer is whole, in order and the caller's own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace covewing::emulator {

/// Identifies a prompt by its canonical bytes.
std::uint64_t promptHash(std::string_view canonicalPrompt);

/// Text of the token at `position`: seven letters and a space.
std::string expectedToken(std::uint64_t promptHash, std::uint64_t position);

/// Tokens of the whole answer: the prompt's natural length (256 to 1023), or `maximumTokens` where
/// that is smaller and not 0.
std::uint64_t expectedLength(std::uint64_t promptHash, std::uint32_t maximumTokens);

/// Text of the tokens in [begin, end).
std::string expectedText(std::uint64_t promptHash, std::uint64_t begin, std::uint64_t end);

}  // namespace covewing::emulator
