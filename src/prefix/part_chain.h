/// \file
/// A prompt as a chain of parts of any length, each with an identifier and a number of tokens. A
/// cached part is of use only where every part before it is cached as well.
///
/// The last part belongs to the request itself; those before it are shared with other requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace covewing::prefix {

struct PromptPart {
  /// Hash of the identifier's text.
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// The identifier of a part as it is compared everywhere in a node.
std::uint64_t partIdOf(std::string_view identifier);

class PartChain {
 public:
  PartChain() = default;
  explicit PartChain(std::vector<PromptPart> parts);

  /// Parses "ID:TOKENS,ID:TOKENS"; empty when the text is of another form. An empty text is a
  /// chain without parts.
  static std::optional<PartChain> parse(std::string_view text);

  const std::vector<PromptPart>& parts() const { return parts_; }
  bool empty() const { return parts_.empty(); }
  /// Number of parts shared with other requests: all but the last.
  std::size_t sharedParts() const { return parts_.empty() ? 0 : parts_.size() - 1; }
  std::uint32_t sharedTokens() const { return tokensOf(sharedParts()); }
  std::uint32_t totalTokens() const { return tokensOf(parts_.size()); }
  /// Tokens of the first `count` parts.
  std::uint32_t tokensOf(std::size_t count) const;
  /// Identifier of the deepest shared part; empty when nothing is shared.
  std::optional<std::uint64_t> deepestShared() const;

 private:
  std::vector<PromptPart> parts_;
};

}  // namespace covewing::prefix
