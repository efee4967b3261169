#include "emulator/expected_answer.h"

#include <algorithm>

#include "base/ids.h"

namespace covewing::emulator {

namespace {
constexpr std::uint64_t kLetters = 26;
constexpr std::size_t kLettersPerToken = 7;
constexpr std::uint64_t kShortestAnswer = 256;
constexpr std::uint64_t kAnswerLengths = 768;
}  // namespace

std::uint64_t promptHash(std::string_view canonicalPrompt) {
  return base::hashName(canonicalPrompt);
}

std::string expectedToken(std::uint64_t promptHash, std::uint64_t position) {
  std::uint64_t value = base::mixHash(promptHash, position);
  std::string token(kLettersPerToken + 1, ' ');
  for (std::size_t index = 0; index < kLettersPerToken; ++index) {
    token[index] = static_cast<char>('a' + value % kLetters);
    value /= kLetters;
  }
  return token;
}

std::uint64_t expectedLength(std::uint64_t promptHash, std::uint32_t maximumTokens) {
  const std::uint64_t natural = kShortestAnswer + promptHash % kAnswerLengths;
  return maximumTokens == 0 ? natural : std::min<std::uint64_t>(natural, maximumTokens);
}

std::string expectedText(std::uint64_t promptHash, std::uint64_t begin, std::uint64_t end) {
  std::string text;
  for (std::uint64_t position = begin; position < end; ++position) {
    text += expectedToken(promptHash, position);
  }
  return text;
}

}  // namespace covewing::emulator
