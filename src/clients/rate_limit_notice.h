/// \file
/// What one answer of a replica says of its rate limit: the requests a second that it takes from
/// all nodes together.
#pragma once

#include <cstdint>

namespace covewing::clients {

struct RateLimitNotice {
  enum class Kind : std::uint8_t {
    /// Nothing is known: another replica answered, or the limit cannot be read.
    kNothing,
    /// The answer names no limit.
    kUnlimited,
    kLimited,
  };
  Kind kind = Kind::kNothing;
  /// Of a limit, requests a second; zero or more.
  double perSecond = 0;
  /// A limit is named in a way that cannot be read.
  bool unreadable = false;

  bool limited() const { return kind == Kind::kLimited; }
  static RateLimitNotice unlimited() { return {Kind::kUnlimited, 0, false}; }
  static RateLimitNotice of(double perSecond) { return {Kind::kLimited, perSecond, false}; }

  bool operator==(const RateLimitNotice&) const = default;
};

}  // namespace covewing::clients
