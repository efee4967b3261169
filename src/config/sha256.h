/// \file
/// SHA-256 (FIPS 180-4). None of the project's libraries brings a cryptographic hash.
#pragma once

#include <string>
#include <string_view>

namespace covewing::config {

/// Characters of a digest.
inline constexpr std::size_t kSha256Length = 64;

/// The digest of the message's bytes in lower-case hexadecimal.
std::string sha256(std::string_view message);

}  // namespace covewing::config
