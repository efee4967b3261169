/// \file
/// Validation of UTF-8 text.
#pragma once

#include <string_view>

namespace covewing::live {

/// Whether the text is well-formed UTF-8 (no overlong forms, no surrogates, at most U+10FFFF).
bool isValidUtf8(std::string_view text);

}  // namespace covewing::live
