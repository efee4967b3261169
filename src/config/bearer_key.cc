#include "config/bearer_key.h"

#include <algorithm>

#include "config/sha256.h"

namespace covewing::config {

namespace {
bool isLowerHex(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

}  // namespace

std::string digestBearerKey(std::string_view bearerKey) { return sha256(bearerKey); }

bool isKeyDigest(std::string_view text) {
  return text.size() == kKeyDigestLength && std::all_of(text.begin(), text.end(), isLowerHex);
}

}  // namespace covewing::config
