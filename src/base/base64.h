/// \file
/// Base64 (RFC 4648, standard alphabet, padded) for bytes inside JSON texts.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace covewing::base {

std::string encodeBase64(std::string_view bytes);
/// Empty when `text` is not padded Base64.
std::optional<std::string> decodeBase64(std::string_view text);

}  // namespace covewing::base
