#include "coordination/replica_survey.h"

#include <algorithm>

namespace covewing::coordination {

void ReplicaSurvey::step(const std::string& model,
                         const std::vector<routing::ReplicaRecordPtr>& candidates) {
  const auto now = clock_.now();
  if (now < nextAt_) return;
  nextAt_ = now + options_.interval;
  std::vector<routing::ReplicaRecordPtr> waiting;
  std::ranges::copy_if(candidates, std::back_inserter(waiting), [this](const auto& record) {
    // One with a rate limit takes calls within it; what it says at the change itself is enough.
    const bool limited = record->notices().rateLimit().perSecond().has_value();
    return !limited && !entries_[record->facts().instance].underWay;
  });
  std::ranges::stable_sort(waiting, {}, [this](const auto& record) {
    return entries_[record->facts().instance].askedAt;
  });
  waiting.resize(std::min(waiting.size(), options_.atOnce));
  for (const auto& record : waiting) ask(model, *record);
}

void ReplicaSurvey::ask(const std::string& model, const routing::ReplicaRecord& record) {
  const auto now = clock_.now();
  const auto& instance = record.facts().instance;
  auto& entry = entries_[instance];
  entry.underWay = true;
  entry.askedAt = now;
  if (!entry.unansweredSince) entry.unansweredSince = now;
  replicas_.report(record.facts().endpoint, instance, model,
                   [this, instance, alive = std::weak_ptr(lifetime_)](
                       const std::optional<clients::WeightsReport>& report) {
                     if (alive.expired()) return;
                     const auto found = entries_.find(instance);
                     if (found == entries_.end()) return;
                     found->second.underWay = false;
                     if (!report) return;
                     found->second.unansweredSince.reset();
                     found->second.heardAt = clock_.now();
                     found->second.requests = report->running + report->waiting;
                   });
}

std::optional<std::uint32_t> ReplicaSurvey::requests(const std::string& instance) const {
  const auto found = entries_.find(instance);
  if (found == entries_.end() || clock_.now() - found->second.heardAt > options_.memory ||
      found->second.heardAt == base::TimePoint{})
    return std::nullopt;
  return found->second.requests;
}

bool ReplicaSurvey::silent(const std::string& instance) const {
  const auto found = entries_.find(instance);
  return found != entries_.end() && found->second.unansweredSince &&
         clock_.now() - *found->second.unansweredSince > options_.silentAfter;
}

}  // namespace covewing::coordination
