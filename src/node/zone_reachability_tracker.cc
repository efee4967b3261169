#include "node/zone_reachability_tracker.h"

namespace covewing::node {

bool ZoneReachabilityTracker::cutOff(std::string_view homeZone) const {
  refresh();
  if (!seenZones_.contains(homeZone)) return false;
  const bool inside = members_.self().zone == homeZone;
  if (!inside) return !reachable(homeZone);
  const bool othersKnown = seenZones_.size() > 1;
  const bool othersLive = liveZones_.size() > 1;
  return othersKnown && !othersLive;
}

bool ZoneReachabilityTracker::reachable(std::string_view zone) const {
  refresh();
  return !seenZones_.contains(zone) || liveZones_.contains(zone);
}

void ZoneReachabilityTracker::refresh() const {
  if (refreshed_ && version_ == members_.version()) return;
  refreshed_ = true;
  version_ = members_.version();
  liveZones_.clear();
  for (const membership::Member& member : members_.liveMembers()) liveZones_.insert(member.zone);
  seenZones_.insert(liveZones_.begin(), liveZones_.end());
}

}  // namespace covewing::node
