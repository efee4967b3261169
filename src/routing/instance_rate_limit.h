/// \file
/// What is known of the rate limit of one run of a replica: the requests a second that it takes
/// from all nodes together, for as long as its answers say so.
///
/// Answers overtake each other, and heads of streams are old when they are read. So each answer is
/// evidence of a moment between two times: when its request was sent, and when it was read. A lower
/// limit counts at once; a higher one, or none, only where its request was sent after the latest
/// answer that named the limit in force had been read. No limit ends by time alone.
#pragma once

#include <optional>

#include "base/time.h"
#include "clients/rate_limit_notice.h"

namespace covewing::routing {

/// What was said at some moment between two times.
struct RateLimitEvidence {
  clients::RateLimitNotice notice;
  base::TimePoint from{};
  base::TimePoint to{};
};

/// What a node knows, as it tells other nodes. They have no common clock.
struct KnownRateLimit {
  /// Nothing where the run never named a limit.
  clients::RateLimitNotice notice;
  /// Since it was last confirmed.
  base::Duration age{};
};

/// What another node knows, told in a message that comes now.
RateLimitEvidence evidenceOf(const KnownRateLimit& known, base::TimePoint now);

class InstanceRateLimit {
 public:
  /// True where the limit in force is another since.
  bool update(const RateLimitEvidence& evidence);
  /// Requests a second; empty without a limit.
  std::optional<double> perSecond() const { return perSecond_; }
  /// Up to when what is known was confirmed.
  base::TimePoint asOf() const { return asOf_; }
  KnownRateLimit known(base::TimePoint now) const;
  /// A limit that cannot be read. True the first time, so that it is logged once.
  bool recordUnreadable();

 private:
  /// Whether the limit in force is lower than this one.
  bool isLowerThan(const clients::RateLimitNotice& notice) const;
  bool equals(const clients::RateLimitNotice& notice) const;

  std::optional<double> perSecond_;
  base::TimePoint asOf_ = base::TimePoint::min();
  bool everLimited_ = false;
  bool unreadableRecorded_ = false;
};

}  // namespace covewing::routing
