/// \file
/// Headers of HTTP messages as plain values, and how their names are compared.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace covewing::clients {

struct HeaderField {
  std::string name;
  std::string value;
};

/// The letter in lower case if it is an ASCII letter, else unchanged.
constexpr char asciiLowerCase(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

/// Whether two header names are equal by the rules of HTTP: ASCII letters case-insensitively.
inline bool equalHeaderNames(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, asciiLowerCase, asciiLowerCase);
}

/// Value of the first header with this name (compared case-insensitively); empty if there is none.
inline std::string_view findHeader(const std::vector<HeaderField>& headers, std::string_view name) {
  const auto field = std::ranges::find_if(headers, [name](const HeaderField& candidate) {
    return equalHeaderNames(candidate.name, name);
  });
  return field == headers.end() ? std::string_view{} : std::string_view{field->value};
}

}  // namespace covewing::clients
