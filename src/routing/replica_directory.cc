#include "routing/replica_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "routing/rate_pacer.h"

namespace covewing::routing {

std::string rateLimitText(std::optional<double> perSecond) {
  return perSecond ? fmt::format("{:g}", *perSecond) : "none";
}

ReplicaRecord::ReplicaRecord(Replica facts) { update(std::move(facts)); }

void ReplicaRecord::update(Replica facts) {
  const Replica before = std::exchange(facts_, std::move(facts));
  for (const ReplicaModel& model : facts_.models) {
    const auto* listed = before.findModel(model.name);
    // The list may lag behind responses, but reports the states of an instance in order.
    if (listed != nullptr && model.version < listed->version) removeVersion(model.name);
    recordVersion(model.name, model.version);
  }
}

void ReplicaRecord::removeVersion(const std::string& model) { versions_.erase(model); }

base::WeightsVersion ReplicaRecord::versionOf(std::string_view model) const {
  const auto found = versions_.find(model);
  return found == versions_.end() ? 0 : found->second;
}

void ReplicaRecord::recordVersion(const std::string& model, base::WeightsVersion version) {
  auto& known = versions_[model];
  if (version <= known) return;
  known = version;
  versionUncertainUntil_ = {};
  loadingWeightsUntil_ = {};
}

void ReplicaRecord::recordWait(base::Duration took) {
  constexpr int kDecay = 8;
  recentWait_ = std::max(took, recentWait_ - (recentWait_ - took) / kDecay);
}

base::Duration ReplicaRecord::expectedWait(base::TimePoint now) const {
  return std::max(recentWait_, health_.currentWait(now));
}

std::string_view ReplicaRecord::stateName(base::TimePoint now) const {
  if (terminated_) return "gone";
  if (leaving()) return "leaving";
  if (facts_.state == ReplicaState::kUnknown) return "unreadable";
  return notices_->backingOff(now) ? "resting" : "ready";
}

namespace {

std::string statusText(const NoticeSource& source) {
  return source.status == 0 ? std::string{} : std::to_string(source.status);
}

}  // namespace

void recordLeaving(ReplicaRecord& replica, base::EventLog& log, const NoticeSource& source) {
  if (!replica.notices().recordLeaving()) return;
  log.write(base::Event::kReplicaLeaving, {{"replica", replica.facts().instance},
                                           {"service", replica.facts().service},
                                           {"source", std::string{source.name}},
                                           {"status", statusText(source)},
                                           {"request", source.request}});
}

void recordRateLimit(ReplicaRecord& replica, base::EventLog& log, const RateLimitEvidence& evidence,
                     const NoticeSource& source) {
  auto& limit = replica.notices().rateLimit();
  const auto before = limit.perSecond();
  const bool unreadable = evidence.notice.unreadable && limit.recordUnreadable();
  if (!limit.update(evidence) && !unreadable) return;
  replica.health().setInterval(RatePacer::intervalOf(limit.perSecond()));
  log.write(base::Event::kReplicaLimited,
            {{"replica", replica.facts().instance},
             {"service", replica.facts().service},
             {"source", std::string{source.name}},
             {"status", statusText(source)},
             {"request", source.request},
             {"per_second", rateLimitText(limit.perSecond())},
             {"before", rateLimitText(before)},
             {"why", unreadable ? "the reported limit cannot be parsed" : ""}});
}

void recordOtherInstance(ReplicaRecord& replica, base::EventLog& log, base::TimePoint now,
                         std::string_view call, const clients::Responder& responder) {
  replica.setTerminated();
  log.write(base::Event::kCallMisdirected,
            {{"call", std::string{call}},
             {"request", responder.callId},
             {"replica", replica.facts().instance},
             {"address", base::toString(replica.facts().endpoint)},
             {"responder", responder.name},
             {"status", std::to_string(responder.status)},
             {"entry_age_ms", base::millisecondsText(now - replica.facts().readAt)}});
}

namespace {

/// Replicas write their entries about once per second, and the list is read within another.
constexpr base::Duration kReplacementShownWithin = std::chrono::seconds(3);
/// Bound for a replica whose address is never seen to accept connections again.
constexpr base::Duration kMaximumReplacementTime = std::chrono::minutes(1);

}  // namespace

void ReplicaRecord::presumeEnded(base::TimePoint now) {
  mayBeReplacedUntil_ = now + kMaximumReplacementTime;
}

void ReplicaRecord::onReachable(base::TimePoint now) {
  health_.onReachable(now);
  if (mayBeReplaced(now)) mayBeReplacedUntil_ = now + kReplacementShownWithin;
}

void ReplicaRecord::onDispatched(std::uint32_t tokens) {
  ++inFlight_;
  tokensInFlight_ += tokens;
}

void ReplicaRecord::onFinished(std::uint32_t tokens) {
  --inFlight_;
  tokensInFlight_ -= tokens;
}

void ReplicaDirectory::onListed(Replica facts) {
  const auto known = byInstance_.find(facts.instance);
  if (known != byInstance_.end() && known->second->facts().service == facts.service) {
    const bool used = known->second->facts().state != ReplicaState::kUnknown;
    known->second->update(std::move(facts));
    if (!used) addToService(known->second);
    return;
  }
  onRemoved(facts.instance);
  auto record = std::make_shared<ReplicaRecord>(std::move(facts));
  restoreNotices(*record);
  byInstance_.emplace(record->facts().instance, record);
  byId_.insert_or_assign(base::engineIdOf(record->facts().instance), record);
  addToService(std::move(record));
}

void ReplicaDirectory::addToService(ReplicaRecordPtr record) {
  auto& replicas = byService_[record->facts().service];
  const auto place = std::ranges::lower_bound(
      replicas, record->facts().instance, {},
      [](const ReplicaRecordPtr& one) -> const std::string& { return one->facts().instance; });
  replicas.insert(place, std::move(record));
}

void ReplicaDirectory::onRemoved(const std::string& instance) {
  const auto known = byInstance_.find(instance);
  if (known == byInstance_.end()) return;
  removeFromService(*known->second);
  keptNotices_.push_back({instance, known->second->notices_});
  if (keptNotices_.size() > kMaximumKeptNotices) keptNotices_.pop_front();
  byId_.erase(base::engineIdOf(instance));
  byInstance_.erase(known);
  if (removalListener_) removalListener_(instance);
}

void ReplicaDirectory::onEnded(const std::string& instance) {
  onRemoved(instance);
  std::erase_if(keptNotices_, [&](const auto& kept) { return kept.instance == instance; });
}

void ReplicaDirectory::restoreNotices(ReplicaRecord& record) {
  const auto kept =
      std::ranges::find(keptNotices_, record.facts().instance, &KeptNotices::instance);
  if (kept == keptNotices_.end()) return;
  record.notices_ = kept->notices;
  keptNotices_.erase(kept);
}

void ReplicaDirectory::onUnreadable(const std::string& instance) {
  const auto known = byInstance_.find(instance);
  if (known == byInstance_.end()) return;
  known->second->facts_.state = ReplicaState::kUnknown;
  removeFromService(*known->second);
}

void ReplicaDirectory::removeFromService(const ReplicaRecord& record) {
  const auto replicas = byService_.find(record.facts().service);
  if (replicas == byService_.end()) return;
  std::erase_if(replicas->second, [&](const auto& one) { return one.get() == &record; });
  if (replicas->second.empty()) byService_.erase(replicas);
}

ReplicaRecordPtr ReplicaDirectory::find(std::string_view instance) const {
  const auto found = byInstance_.find(instance);
  return found == byInstance_.end() ? nullptr : found->second;
}

ReplicaRecordPtr ReplicaDirectory::find(base::EngineId replica) const {
  const auto found = byId_.find(replica);
  return found == byId_.end() ? nullptr : found->second;
}

const ReplicaDirectory::Replicas& ReplicaDirectory::ofService(std::string_view service) const {
  static const Replicas kNone;
  const auto found = byService_.find(service);
  return found == byService_.end() ? kNone : found->second;
}

double ReplicaDirectory::failureRateOfOthers(const ReplicaRecord& record) const {
  double sum = 0;
  std::size_t count = 0;
  for (const auto& other : ofService(record.facts().service)) {
    if (other.get() == &record) continue;
    sum += other->health().failureRate();
    ++count;
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

}  // namespace covewing::routing
