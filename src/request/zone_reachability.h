/// \file
/// Which zones are cut off, as the request path asks it.
#pragma once

#include <string_view>

namespace covewing::request {

class ZoneReachability {
 public:
  virtual ~ZoneReachability() = default;
  /// True while this node can tell that `homeZone` has lost contact with all other zones: seen from
  /// inside, no member of another zone is live; seen from outside, no member of `homeZone` is.
  virtual bool cutOff(std::string_view homeZone) const = 0;
  /// False while this node has lost contact with `zone`: it had live members, and has none now.
  /// The own zone is always reachable.
  virtual bool reachable(std::string_view zone) const = 0;
};

}  // namespace covewing::request
