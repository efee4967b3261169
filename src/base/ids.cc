#include "base/ids.h"

#define XXH_INLINE_ALL
#include <fmt/core.h>
#include <xxhash.h>

namespace covewing::base {

std::uint64_t hashName(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

std::uint64_t mixHash(std::uint64_t left, std::uint64_t right) {
  const std::uint64_t words[] = {left, right};
  return XXH3_64bits(words, sizeof(words));
}

std::string toString(RequestFingerprint fingerprint) {
  return fmt::format("{:016x}", fingerprint.value);
}

}  // namespace covewing::base
