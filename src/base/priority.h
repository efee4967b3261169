/// \file
/// Priority classes that tenants buy.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace covewing::base {

/// Smaller is more important. Shedding starts from the largest.
enum class PriorityClass : std::uint8_t {
  kUrgent = 0,
  kInteractive = 1,
  kStandard = 2,
  kBackground = 3
};

inline constexpr std::size_t kPriorityClassCount = 4;
inline constexpr std::array<std::string_view, kPriorityClassCount> kPriorityClassNames = {
    "urgent", "interactive", "standard", "background"};

constexpr std::string_view toString(PriorityClass priority) {
  return kPriorityClassNames.at(static_cast<std::size_t>(priority));
}

/// The class of this name, empty when there is none.
constexpr std::optional<PriorityClass> parsePriorityClass(std::string_view name) {
  for (std::size_t index = 0; index < kPriorityClassCount; ++index) {
    if (kPriorityClassNames.at(index) == name) return static_cast<PriorityClass>(index);
  }
  return std::nullopt;
}

}  // namespace covewing::base
