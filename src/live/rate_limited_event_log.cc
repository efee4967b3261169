#include "live/rate_limited_event_log.h"

#include <algorithm>
#include <utility>

namespace covewing::live {

namespace {

/// Whether events of this kind occur on every node for each member or replica of the fleet.
bool isFleetChange(base::Event event) {
  switch (event) {
    case base::Event::kMemberJoined:
    case base::Event::kMemberSuspected:
    case base::Event::kMemberDead:
    case base::Event::kMemberLeft:
    case base::Event::kReplicaListed:
    case base::Event::kReplicaRemoved:
    case base::Event::kReplicaRestarted:
    case base::Event::kReplicaEntryRejected:
      return true;
    default:
      return false;
  }
}

}  // namespace

bool RateLimitedEventLog::takeFromBudget(base::TimePoint now) {
  const double refill = base::toSeconds(now - refilledAt_) * options_.linesPerSecond;
  budget_ = std::min(options_.burst, budget_ + refill);
  refilledAt_ = now;
  if (budget_ < 1) return false;
  budget_ -= 1;
  return true;
}

void RateLimitedEventLog::reportDropped(base::TimePoint now) {
  if (dropped_.empty() || now - reportedAt_ < options_.reportInterval) return;
  reportedAt_ = now;
  for (const auto& [event, count] : std::exchange(dropped_, {})) {
    next_.write(base::Event::kLogLinesDropped,
                {{"kind", std::string{base::describe(event).name}},
                 {"lines", std::to_string(count)},
                 {"why", "rate limit for changes of members and replicas"}});
  }
}

void RateLimitedEventLog::write(base::Event event, std::initializer_list<base::EventField> fields) {
  const auto now = clock_.now();
  reportDropped(now);
  if (isFleetChange(event) && !takeFromBudget(now)) {
    if (dropped_.empty()) reportedAt_ = now;
    ++dropped_[event];
    return;
  }
  next_.write(event, fields);
}

}  // namespace covewing::live
