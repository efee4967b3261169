/// \file
/// Network address of a process: IPv4 number and port, six bytes on the wire.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace covewing::base {

struct Endpoint {
  /// IPv4 address in host byte order.
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "a.b.c.d:port"; empty when the text is anything else. Host names are not resolved.
std::optional<Endpoint> parseEndpoint(std::string_view text);
/// "a.b.c.d:port".
std::string toString(const Endpoint& endpoint);

}  // namespace covewing::base
