/// \file
/// Digest of a caller's bearer key. Documents, rows and memory hold digests only, so that a copy of
/// the configuration gives nobody a key.
#pragma once

#include <string>
#include <string_view>

#include "config/sha256.h"

namespace covewing::config {

/// Characters of a digest: SHA-256 in lower-case hexadecimal.
inline constexpr std::size_t kKeyDigestLength = kSha256Length;

/// SHA-256 of the key's bytes, in lower-case hexadecimal. Keys are drawn at random by
/// the operator, so that no salt and no slow hash is needed.
std::string digestBearerKey(std::string_view bearerKey);

/// Whether the text has the form of a digest.
bool isKeyDigest(std::string_view text);

}  // namespace covewing::config
