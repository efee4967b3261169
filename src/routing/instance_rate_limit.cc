#include "routing/instance_rate_limit.h"

#include <algorithm>
#include <utility>

namespace covewing::routing {

namespace {

/// Assumed maximum delivery time of a message between nodes.
constexpr base::Duration kMaximumDelivery = std::chrono::milliseconds(200);

}  // namespace

RateLimitEvidence evidenceOf(const KnownRateLimit& known, base::TimePoint now) {
  return {known.notice, now - known.age - kMaximumDelivery, now - known.age};
}

KnownRateLimit InstanceRateLimit::known(base::TimePoint now) const {
  if (!everLimited_) return {};
  const auto notice = perSecond_ ? clients::RateLimitNotice::of(*perSecond_)
                                 : clients::RateLimitNotice::unlimited();
  return {notice, now - asOf_};
}

bool InstanceRateLimit::isLowerThan(const clients::RateLimitNotice& notice) const {
  return perSecond_ && (!notice.limited() || *perSecond_ < notice.perSecond);
}

bool InstanceRateLimit::equals(const clients::RateLimitNotice& notice) const {
  return notice.limited() ? perSecond_ == notice.perSecond : !perSecond_;
}

bool InstanceRateLimit::update(const RateLimitEvidence& evidence) {
  const auto& notice = evidence.notice;
  if (notice.kind == clients::RateLimitNotice::Kind::kNothing) return false;
  const bool same = equals(notice);
  // Evidence that ends or raises a limit must be more recent than all evidence that confirmed it.
  if (!same && (isLowerThan(notice) ? evidence.from : evidence.to) <= asOf_) return false;
  asOf_ = std::max(asOf_, notice.limited() ? evidence.to : evidence.from);
  if (same) return false;
  everLimited_ = true;
  perSecond_ = notice.limited() ? std::optional(notice.perSecond) : std::nullopt;
  return true;
}

bool InstanceRateLimit::recordUnreadable() { return !std::exchange(unreadableRecorded_, true); }

}  // namespace covewing::routing
