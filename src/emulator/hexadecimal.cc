#include "emulator/hexadecimal.h"

#include <charconv>

namespace covewing::emulator {

namespace {
constexpr int kBase = 16;
constexpr std::size_t kDigits = 16;
}  // namespace

std::string toHexadecimal(std::uint64_t value) {
  std::string text(kDigits, '0');
  char digits[kDigits];  // NOLINT(modernize-avoid-c-arrays): to_chars writes into raw memory
  const auto result = std::to_chars(digits, digits + kDigits, value, kBase);
  const auto length = static_cast<std::size_t>(result.ptr - digits);
  text.replace(kDigits - length, length, digits, length);
  return text;
}

std::optional<std::uint64_t> parseHexadecimal(std::string_view text) {
  if (text.empty() || text.size() > kDigits) return std::nullopt;
  std::uint64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value, kBase);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace covewing::emulator
