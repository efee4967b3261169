#include "live/rate_limited_event_log.h"

#include <algorithm>
#include <span>
#include <string_view>
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

/// Whether events of this kind may be caused by whoever connects, at no cost to them.
bool isRefusal(base::Event event) {
  switch (event) {
    case base::Event::kRequestRefused:
    case base::Event::kPeerRequestFailed:
    case base::Event::kMessageRejected:
    case base::Event::kCallerDisconnected:
    case base::Event::kConnectionClosedEarly:
      return true;
    default:
      return false;
  }
}

/// Value of the field with this name; empty if there is none.
std::string_view valueOf(std::span<const base::EventField> fields, std::string_view name) {
  const auto field = std::ranges::find(fields, name, &base::EventField::name);
  return field == fields.end() ? std::string_view{} : std::string_view{field->value};
}

}  // namespace

bool RateLimitedEventLog::Budget::take(base::TimePoint now) {
  const double refill = base::toSeconds(now - refilledAt) * rate.linesPerSecond;
  lines = std::min(rate.burst, lines + refill);
  refilledAt = now;
  if (lines < 1) return false;
  lines -= 1;
  return true;
}

RateLimitedEventLog::Budget* RateLimitedEventLog::budgetFor(
    base::Event event, std::span<const base::EventField> fields) {
  if (isFleetChange(event)) return &fleetChanges_;
  if (!isRefusal(event)) return nullptr;
  const auto dispatches = valueOf(fields, "dispatches");
  const bool wasDispatched = !dispatches.empty() && dispatches != "0";
  return wasDispatched ? nullptr : &refusals_;
}

void RateLimitedEventLog::reportDropped(base::TimePoint now) {
  if (dropped_.empty() || now - reportedAt_ < options_.reportInterval) return;
  reportedAt_ = now;
  for (const auto& [kind, count] : std::exchange(dropped_, {})) {
    const auto& [event, code] = kind;
    next_.write(base::Event::kLogLinesDropped,
                {{"kind", std::string{base::describe(event).name}},
                 {"code", code},
                 {"lines", std::to_string(count)},
                 {"why", isFleetChange(event) ? "rate limit for changes of members and replicas"
                                              : "rate limit for refusals"}});
  }
}

void RateLimitedEventLog::write(base::Event event, std::initializer_list<base::EventField> fields) {
  const auto now = clock_.now();
  reportDropped(now);
  auto* budget = budgetFor(event, fields);
  if (budget != nullptr && !budget->take(now)) {
    if (dropped_.empty()) reportedAt_ = now;
    ++dropped_[{event, std::string{valueOf(fields, "code")}}];
    return;
  }
  next_.write(event, fields);
}

}  // namespace covewing::live
