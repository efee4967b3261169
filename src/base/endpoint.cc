#include "base/endpoint.h"

#include <fmt/core.h>

#include <charconv>

namespace covewing::base {

namespace {
constexpr unsigned kOctets = 4;
constexpr unsigned kMaximumOctet = 255;

/// Reads a decimal number from the front of `text` and removes it; empty unless it is within
/// `maximum`.
std::optional<unsigned> takeNumber(std::string_view& text, unsigned maximum) {
  unsigned value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || value > maximum) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return value;
}
}  // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text) {
  Endpoint endpoint;
  for (unsigned index = 0; index < kOctets; ++index) {
    const auto octet = takeNumber(text, kMaximumOctet);
    const char separator = index + 1 == kOctets ? ':' : '.';
    if (!octet || text.empty() || text.front() != separator) return std::nullopt;
    text.remove_prefix(1);
    endpoint.address = endpoint.address << 8U | *octet;
  }
  const auto port = takeNumber(text, UINT16_MAX);
  if (!port || !text.empty()) return std::nullopt;
  endpoint.port = static_cast<std::uint16_t>(*port);
  return endpoint;
}

std::string toString(const Endpoint& endpoint) {
  const auto address = endpoint.address;
  return fmt::format("{}.{}.{}.{}:{}", address >> 24U, address >> 16U & 255U, address >> 8U & 255U,
                     address & 255U, endpoint.port);
}

}  // namespace covewing::base
