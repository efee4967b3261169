/// \file
/// Which versions of their software the replicas of each service have had lately, as far as this
/// node's list shows.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/stream_origin_messages.h"

namespace covewing::routing {

class SoftwareVersions {
 public:
  /// A replica of the service with this version is listed.
  void onListed(const std::string& service, const std::string& version, base::TimePoint now);
  /// A replica of the service with this version is not listed any more.
  void onRemoved(const std::string& service, const std::string& version, base::TimePoint now);
  /// The list of replicas was confirmed to be complete.
  void onCurrent(base::TimePoint now);

  /// Services of which replicas are, or lately were, listed.
  std::vector<std::string> services() const;
  /// Versions of the listed replicas of the service; empty if the list was not confirmed lately.
  std::vector<std::string> listed(const std::string& service, base::TimePoint now) const;
  /// The only version of the service's replicas, and for how long no other one was listed. Empty if
  /// there are several, or if the list was not confirmed lately.
  std::optional<SoleVersion> soleVersion(std::string_view service, base::TimePoint now) const;

 private:
  struct Version {
    std::size_t replicas = 0;
    /// When the last replica was removed, if there is none.
    base::TimePoint removedAt{};
  };
  using Versions = std::map<std::string, Version>;

  bool isCurrent(base::TimePoint now) const;

  std::map<std::string, Versions, std::less<>> services_;
  /// When the list was first and last known to be complete; empty before that.
  std::optional<base::TimePoint> completeSince_;
  base::TimePoint confirmedAt_{};
};

}  // namespace covewing::routing
