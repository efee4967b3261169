#include "coordination/replica_survey.h"

#include <algorithm>

namespace covewing::coordination {

void ReplicaSurvey::poll(const std::string& model,
                         const std::vector<routing::ReplicaRecordPtr>& candidates) {
  const auto now = clock_.now();
  if (now < nextAt_) return;
  nextAt_ = now + options_.interval;
  std::vector<routing::ReplicaRecordPtr> due;
  std::ranges::copy_if(candidates, std::back_inserter(due), [this](const auto& record) {
    // Calls to a replica with a rate limit count against that limit; its reports during the change
    // itself are sufficient.
    const bool rateLimited = record->notices().rateLimit().perSecond().has_value();
    return !rateLimited && !entries_[record->facts().instance].callInFlight;
  });
  std::ranges::stable_sort(
      due, {}, [this](const auto& record) { return entries_[record->facts().instance].polledAt; });
  due.resize(std::min(due.size(), options_.batchSize));
  for (const auto& record : due) requestReport(model, *record);
}

void ReplicaSurvey::requestReport(const std::string& model, const routing::ReplicaRecord& record) {
  const auto now = clock_.now();
  const auto& instance = record.facts().instance;
  auto& entry = entries_[instance];
  entry.callInFlight = true;
  entry.polledAt = now;
  if (!entry.unansweredSince) entry.unansweredSince = now;
  replicas_.report(routing::targetOf(record.facts()), model,
                   [this, instance, alive = std::weak_ptr(lifetime_)](
                       const std::optional<clients::WeightsReport>& report) {
                     if (alive.expired()) return;
                     const auto found = entries_.find(instance);
                     if (found == entries_.end()) return;
                     found->second.callInFlight = false;
                     if (!report) return;
                     found->second.unansweredSince.reset();
                     found->second.reportedAt = clock_.now();
                     found->second.requests = report->running + report->waiting;
                   });
}

std::optional<std::uint32_t> ReplicaSurvey::requestCount(const std::string& instance) const {
  const auto found = entries_.find(instance);
  if (found == entries_.end() ||
      clock_.now() - found->second.reportedAt > options_.reportValidity ||
      found->second.reportedAt == base::TimePoint{})
    return std::nullopt;
  return found->second.requests;
}

bool ReplicaSurvey::unresponsive(const std::string& instance) const {
  const auto found = entries_.find(instance);
  return found != entries_.end() && found->second.unansweredSince &&
         clock_.now() - *found->second.unansweredSince > options_.unresponsiveAfter;
}

}  // namespace covewing::coordination
