#include "base/revision.h"

#include <charconv>

namespace covewing::base {

std::string revisionText(Revision revision) {
  const auto number = std::to_string(numberOf(revision));
  return eraOf(revision) == 0 ? number : std::to_string(eraOf(revision)) + "/" + number;
}

std::optional<StoreEra> parseStoreEra(std::string_view text) {
  if (text.empty()) return StoreEra{0};
  StoreEra era = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, era);
  const bool readable = error == std::errc{} && stopped == end && era <= kLargestStoreEra;
  return readable ? std::optional{era} : std::nullopt;
}

}  // namespace covewing::base
