#include "node/operator_service_target.h"

#include <algorithm>
#include <charconv>

namespace covewing::node {

namespace {

constexpr std::size_t kMaximumTarget = 2048;
constexpr std::string_view kVersionSegment = "v1";
constexpr int kHexadecimalBase = 16;
constexpr char kFirstPrintable = 0x20;

/// Decodes %XX escapes; empty if an escape is malformed or the text contains a control character.
std::optional<std::string> decode(std::string_view text) {
  std::string result;
  for (std::size_t index = 0; index < text.size(); ++index) {
    char character = text[index];
    if (character == '%') {
      if (index + 2 >= text.size()) return std::nullopt;
      unsigned value = 0;
      const char* first = text.data() + index + 1;
      const auto parsed = std::from_chars(first, first + 2, value, kHexadecimalBase);
      if (parsed.ec != std::errc{} || parsed.ptr != first + 2) return std::nullopt;
      character = static_cast<char>(value);
      index += 2;
    }
    if (character >= 0 && character < kFirstPrintable) return std::nullopt;
    result.push_back(character);
  }
  return result;
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(separator), text.size());
    if (end > 0) parts.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

}  // namespace

std::optional<OperatorTarget> OperatorTarget::parse(std::string_view target, base::Reason& reason) {
  reason = {base::ResultCode::kUnknownPath, "malformed target"};
  if (target.size() > kMaximumTarget) return std::nullopt;
  const std::size_t questionMark = std::min(target.find('?'), target.size());
  OperatorTarget result;
  for (const std::string_view segment : split(target.substr(0, questionMark), '/')) {
    auto decoded = decode(segment);
    if (!decoded) return std::nullopt;
    result.segments_.push_back(std::move(*decoded));
  }
  if (result.segments_.empty() || result.segments_.front() != kVersionSegment) {
    reason.detail = "the path must start with /v1/";
    return std::nullopt;
  }
  result.segments_.erase(result.segments_.begin());
  const std::string_view query = target.substr(std::min(questionMark + 1, target.size()));
  for (const std::string_view pair : split(query, '&')) {
    const std::size_t equals = std::min(pair.find('='), pair.size());
    auto name = decode(pair.substr(0, equals));
    auto value = decode(pair.substr(std::min(equals + 1, pair.size())));
    if (!name || !value) return std::nullopt;
    result.parameters_.push_back({std::move(*name), std::move(*value)});
  }
  reason = {};
  return result;
}

std::string OperatorTarget::text(std::string_view name) const {
  const auto found = std::ranges::find_if(
      parameters_, [name](const Parameter& parameter) { return parameter.name == name; });
  return found == parameters_.end() ? std::string{} : found->value;
}

bool OperatorTarget::has(std::string_view name) const {
  return std::ranges::any_of(parameters_,
                             [name](const Parameter& parameter) { return parameter.name == name; });
}

std::optional<std::uint64_t> OperatorTarget::number(std::string_view name,
                                                    base::Reason& reason) const {
  reason = {};
  if (!has(name)) return std::nullopt;
  const std::string value = text(name);
  std::uint64_t number = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, number);
  if (!value.empty() && parsed.ec == std::errc{} && parsed.ptr == end) return number;
  reason = {base::ResultCode::kInvalidField, std::string(name) + ": must be a whole number"};
  return std::nullopt;
}

}  // namespace covewing::node
