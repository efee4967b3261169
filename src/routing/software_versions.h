/// \file
/// Which versions of their software the replicas of each service have and lately had, as far as
/// this node's list shows.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/replica_directory.h"
#include "routing/stream_origin_messages.h"

namespace covewing::routing {

class SoftwareVersions {
 public:
  /// `replicas` must outlive this object.
  explicit SoftwareVersions(const ReplicaDirectory& replicas) : replicas_(replicas) {}

  /// The replica is not listed any more.
  void onRemoved(const Replica& replica, base::TimePoint now);
  /// A replica was removed that this node has never read, so its service and version are unknown.
  void onUnseenRemoved(base::TimePoint now) { unseenRemovedAt_ = now; }
  /// The list was read anew: what came and went since it was last confirmed is not known.
  void onReadAnew(base::TimePoint now) { completeSince_ = now; }
  /// The list of replicas was confirmed to be complete.
  void onCurrent(base::TimePoint now);

  /// Services of which replicas are listed, ascending.
  std::vector<std::string> services() const;
  /// Versions of the listed replicas of the service, ascending; empty if the list was not confirmed
  /// lately.
  std::vector<std::string> listed(std::string_view service, base::TimePoint now) const;
  /// Whether replicas of several versions are listed, or were within the time for which callers may
  /// continue streams.
  bool mixedLately(std::string_view service, base::TimePoint now) const;
  /// The only version of the service's replicas, and for how long no other one was listed. Empty if
  /// there are several, or if the list was not confirmed lately.
  std::optional<SoleVersion> soleVersion(std::string_view service, base::TimePoint now) const;

 private:
  const ReplicaDirectory& replicas_;
  /// When a replica of a version was last removed, by service and version.
  std::map<std::string, std::map<std::string, base::TimePoint>, std::less<>> removedAt_;
  std::optional<base::TimePoint> unseenRemovedAt_;
  /// Since when all changes of the list are known, and when it was last confirmed to be complete;
  /// empty before that.
  std::optional<base::TimePoint> completeSince_;
  base::TimePoint confirmedAt_{};
};

}  // namespace covewing::routing
