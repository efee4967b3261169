/// \file
/// Determines from the membership whether a zone is cut off from the others.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "membership/member_directory.h"
#include "request/zone_reachability.h"

namespace covewing::node {

/// Keeps the zones in which live members have been seen, so that a zone that never had a member is
/// not reported as cut off.
class ZoneReachabilityTracker final : public request::ZoneReachability {
 public:
  explicit ZoneReachabilityTracker(const membership::MemberDirectory& members)
      : members_(members) {}

  bool cutOff(std::string_view homeZone) const override;
  bool reachable(std::string_view zone) const override;

 private:
  void refresh() const;

  const membership::MemberDirectory& members_;
  mutable std::uint64_t version_ = 0;
  mutable bool refreshed_ = false;
  mutable std::set<std::string, std::less<>> seenZones_;
  mutable std::set<std::string, std::less<>> liveZones_;
};

}  // namespace covewing::node
