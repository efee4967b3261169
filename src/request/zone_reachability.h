/// \file
/// Interface through which the request path finds out which zones are cut off.
#pragma once

#include <string_view>

namespace covewing::request {

class ZoneReachability {
 public:
  virtual ~ZoneReachability() = default;
  /// Whether `homeZone` has, as far as this node can detect, lost contact with all other zones. For
  /// a node inside `homeZone` this means that no member of another zone is live; for a node
  /// outside, that no member of `homeZone` is live.
  virtual bool cutOff(std::string_view homeZone) const = 0;
  /// Whether this node is in contact with `zone`. A zone is unreachable if it had live members
  /// earlier and has none now. The own zone is always reachable.
  virtual bool reachable(std::string_view zone) const = 0;
};

}  // namespace covewing::request
