/// \file
/// Known rate limit of one instance of a replica: the number of requests per second that it accepts
/// from all nodes together, for as long as its responses report it.
///
/// Responses overtake each other, and the headers of streams are old by the time they are
/// processed. Each response is therefore treated as evidence of a moment between two times: when
/// its request was sent, and when it was read. A lower limit applies at once. A higher limit, or
/// none, applies only if the request of that response was sent after the latest response that named
/// the limit in force had been read. No limit expires by time alone.
#pragma once

#include <optional>

#include "base/time.h"
#include "clients/rate_limit_notice.h"

namespace covewing::routing {

/// A rate limit notice that was reported at an unknown time between `from` and `to`.
struct RateLimitEvidence {
  clients::RateLimitNotice notice;
  base::TimePoint from{};
  base::TimePoint to{};
};

/// Known limit of a node as it is sent to other nodes, which have no common clock.
struct KnownRateLimit {
  /// Kind kNothing if the instance never reported a limit.
  clients::RateLimitNotice notice;
  /// Time since it was last confirmed.
  base::Duration age{};
};

/// Converts the known limit of another node, received in a message now.
RateLimitEvidence evidenceOf(const KnownRateLimit& known, base::TimePoint now);

class InstanceRateLimit {
 public:
  /// Returns true if the limit in force changed.
  bool update(const RateLimitEvidence& evidence);
  /// Requests per second; empty without a limit.
  std::optional<double> perSecond() const { return perSecond_; }
  /// Time up to which the known limit is confirmed.
  base::TimePoint asOf() const { return asOf_; }
  KnownRateLimit known(base::TimePoint now) const;
  /// Records a limit that cannot be parsed. Returns true the first time, so that it is logged only
  /// once.
  bool recordUnreadable();

 private:
  /// Whether the limit in force is lower than the given one.
  bool isLowerThan(const clients::RateLimitNotice& notice) const;
  bool equals(const clients::RateLimitNotice& notice) const;

  std::optional<double> perSecond_;
  base::TimePoint asOf_ = base::TimePoint::min();
  bool everLimited_ = false;
  bool unreadableRecorded_ = false;
};

}  // namespace covewing::routing
