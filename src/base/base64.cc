#include "base/base64.h"

#include <array>
#include <cstdint>

namespace covewing::base {

namespace {
constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char kPadding = '=';
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupLetters = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kBitsPerLetter = 6;
constexpr unsigned kLetterMask = 63;
constexpr std::uint8_t kInvalid = 255;

constexpr std::array<std::uint8_t, 256> kValues = [] {
  std::array<std::uint8_t, 256> values{};
  values.fill(kInvalid);
  for (std::size_t index = 0; index < kAlphabet.size(); ++index)
    values.at(static_cast<unsigned char>(kAlphabet[index])) = static_cast<std::uint8_t>(index);
  return values;
}();
}  // namespace

std::string encodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + kGroupBytes - 1) / kGroupBytes * kGroupLetters);
  for (std::size_t start = 0; start < bytes.size(); start += kGroupBytes) {
    const auto group = bytes.substr(start, kGroupBytes);
    std::uint32_t bits = 0;
    for (std::size_t index = 0; index < kGroupBytes; ++index) {
      bits <<= kBitsPerByte;
      if (index < group.size()) bits |= static_cast<unsigned char>(group[index]);
    }
    for (std::size_t index = 0; index < kGroupLetters; ++index) {
      const auto shift = kBitsPerLetter * static_cast<unsigned>(kGroupLetters - 1 - index);
      text += index <= group.size() ? kAlphabet[(bits >> shift) & kLetterMask] : kPadding;
    }
  }
  return text;
}

std::optional<std::string> decodeBase64(std::string_view text) {
  if (text.size() % kGroupLetters != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == kPadding)
    ++padding;
  std::string bytes;
  bytes.reserve(text.size() / kGroupLetters * kGroupBytes);
  for (std::size_t start = 0; start < text.size(); start += kGroupLetters) {
    const bool last = start + kGroupLetters == text.size();
    const std::size_t padded = last ? padding : 0;
    std::uint32_t bits = 0;
    for (std::size_t index = 0; index < kGroupLetters; ++index) {
      bits <<= kBitsPerLetter;
      if (index >= kGroupLetters - padded) continue;
      const auto value = kValues.at(static_cast<unsigned char>(text[start + index]));
      if (value == kInvalid) return std::nullopt;
      bits |= value;
    }
    for (std::size_t index = 0; index < kGroupBytes - padded; ++index) {
      const auto shift = kBitsPerByte * static_cast<unsigned>(kGroupBytes - 1 - index);
      bytes += static_cast<char>(bits >> shift);
    }
  }
  return bytes;
}

}  // namespace covewing::base
