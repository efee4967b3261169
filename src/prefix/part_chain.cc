#include "prefix/part_chain.h"

#include <charconv>
#include <numeric>
#include <utility>

#include "base/ids.h"

namespace covewing::prefix {

namespace {

/// Longest chain accepted; a bound on what a caller can make a node compute.
constexpr std::size_t kMaximumParts = 256;
constexpr std::size_t kMaximumIdentifier = 64;

std::optional<PromptPart> parsePart(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || colon == 0 || colon > kMaximumIdentifier)
    return std::nullopt;
  const auto digits = text.substr(colon + 1);
  PromptPart part;
  const auto* end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, part.tokens);
  if (digits.empty() || error != std::errc{} || stop != end) return std::nullopt;
  part.id = partIdOf(text.substr(0, colon));
  return part;
}

}  // namespace

std::uint64_t partIdOf(std::string_view identifier) { return base::hashName(identifier); }

PartChain::PartChain(std::vector<PromptPart> parts) : parts_(std::move(parts)) {}

std::optional<PartChain> PartChain::parse(std::string_view text) {
  std::vector<PromptPart> parts;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const auto part = parsePart(text.substr(0, comma));
    if (!part || parts.size() >= kMaximumParts) return std::nullopt;
    parts.push_back(*part);
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
    if (text.empty()) return std::nullopt;
  }
  return PartChain{std::move(parts)};
}

std::uint32_t PartChain::tokensOf(std::size_t count) const {
  const auto end = parts_.begin() + static_cast<std::ptrdiff_t>(std::min(count, parts_.size()));
  return std::accumulate(parts_.begin(), end, 0U, [](std::uint32_t sum, const PromptPart& part) {
    return sum + part.tokens;
  });
}

std::optional<std::uint64_t> PartChain::deepestShared() const {
  if (sharedParts() == 0) return std::nullopt;
  return parts_[sharedParts() - 1].id;
}

}  // namespace covewing::prefix
