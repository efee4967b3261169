/// \file
/// 64-bit numbers as 16 lower-case hexadecimal digits, as in JSON bodies.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace covewing::emulator {

std::string toHexadecimal(std::uint64_t value);
/// Empty unless the text is 1 to 16 hexadecimal digits.
std::optional<std::uint64_t> parseHexadecimal(std::string_view text);

}  // namespace covewing::emulator
