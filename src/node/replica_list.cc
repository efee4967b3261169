#include "node/replica_list.h"

#include <algorithm>
#include <utility>

namespace covewing::node {

namespace {

/// Time from the rewriting of a row until the feed has delivered it.
constexpr base::Duration kFeedDelay = std::chrono::seconds(1);
/// A row that names an earlier instance than the listed one is put aside for this long: a replica
/// writes its entry every second or so, so a later instance that is running rewrites the row by
/// then.
constexpr base::Duration kRowRewrittenWithin = std::chrono::seconds(4);
/// Maximum number of ended instances kept for each key: more than can follow each other within the
/// age of a backup from which the service is restored.
constexpr std::size_t kMaximumEndedInstances = 8;

}  // namespace

void ReplicaList::onRow(const clients::FeedRow& row, config::RowSource source) {
  if (source == config::RowSource::kCopy) readAnew_ = true;
  missingRows_.erase(row.key);
  putAside_.erase(row.key);
  base::Reason reason;
  auto replica = reader_.readReplica(row.key, *row.value, reason);
  if (!replica) {
    onUnreadableRow(row, reason);
    return;
  }
  if (!hasExpectedStartTime(*replica)) {
    onUnreadableRow(row, {base::ResultCode::kInvalidField, "the start time is missing"});
    return;
  }
  if (changesSoftwareVersion(*replica)) {
    onUnreadableRow(row, {base::ResultCode::kInvalidField,
                          "the software version differs from that of the same instance before"});
    return;
  }
  if (namesEarlierInstance(row.key, *replica)) {
    putAside(row);
    return;
  }
  listRow(row, std::move(*replica));
}

void ReplicaList::listRow(const clients::FeedRow& row, routing::Replica replica) {
  replica.readAt = clock_.now();
  const auto& model = replica.models;
  log_.write(base::Event::kReplicaListed,
             {{"replica", replica.instance},
              {"service", replica.service},
              {"address", base::toString(replica.endpoint)},
              {"zone", replica.zone},
              {"state", replica.state == routing::ReplicaState::kReady ? "ready" : "draining"},
              {"software", replica.softwareVersion},
              {"weights", model.empty() ? "" : std::to_string(model.front().version)},
              {"revision", base::revisionText(row.revision)}});
  listInstance(row.key, std::move(replica));
}

void ReplicaList::putAside(const clients::FeedRow& row) {
  log_.write(base::Event::kReplicaEntryRejected,
             {{"row", row.key},
              {"revision", base::revisionText(row.revision)},
              {"why", "the row names an earlier instance than the listed one"}});
  putAside_[row.key] = {row, clock_.now() + kRowRewrittenWithin};
}

void ReplicaList::listRowsPutAside() {
  const auto now = clock_.now();
  for (auto entry = putAside_.begin(); entry != putAside_.end();) {
    if (now < entry->second.until) {
      ++entry;
      continue;
    }
    const auto row = std::move(entry->second.row);
    entry = putAside_.erase(entry);
    base::Reason reason;
    auto replica = reader_.readReplica(row.key, *row.value, reason);
    if (replica) listRow(row, std::move(*replica));
  }
}

bool ReplicaList::changesSoftwareVersion(const routing::Replica& replica) const {
  const auto record = directory_.find(replica.instance);
  return record && record->facts().softwareVersion != replica.softwareVersion;
}

bool ReplicaList::hasExpectedStartTime(const routing::Replica& replica) {
  if (!replica.startedAt) return !startTimesReported_;
  if (std::exchange(startTimesReported_, true)) return true;
  // Takes entries without a start time out of use that were read before the first entry with one.
  for (const auto& [otherKey, instance] : instances_) {
    const auto record = directory_.find(instance);
    if (record && !record->facts().startedAt) directory_.onUnreadable(instance);
  }
  return true;
}

void ReplicaList::listInstance(const std::string& key, routing::Replica replica) {
  auto& instance = instances_[key];
  base::TimePoint backOffUntil{};
  if (!instance.empty() && instance != replica.instance) {
    log_.write(base::Event::kReplicaRestarted,
               {{"replica", replica.instance}, {"before", instance}});
    if (const auto previous = directory_.find(instance))
      backOffUntil = previous->notices().backOffUntil();
    onRestarted(instance);
    recordEnded(key, instance);
  }
  if (instance != replica.instance) crashDetector_.onListed(replica.instance);
  instance = replica.instance;
  const bool draining = replica.state == routing::ReplicaState::kDraining;
  directory_.onListed(std::move(replica));
  const auto record = directory_.find(instance);
  if (draining) routing::recordLeaving(*record, log_, {"entry", 0, {}});
  // Entries report a restart with a delay, so the back-off may have been requested by the new
  // instance.
  if (clock_.now() < backOffUntil) record->notices().startBackOff(backOffUntil);
}

void ReplicaList::onRestarted(const std::string& instance) {
  const auto record = directory_.find(instance);
  const bool planned = record && record->leaving();
  if (!planned) crashDetector_.onRestarted(instance);
  // Requests and weights changes that still hold the record must not continue with it.
  if (record) record->setTerminated();
  forgetInstance(instance);
  directory_.onEnded(instance);
}

void ReplicaList::onUnreadableRow(const clients::FeedRow& row, const base::Reason& reason) {
  log_.write(
      base::Event::kReplicaEntryRejected,
      {{"row", row.key}, {"revision", base::revisionText(row.revision)}, {"why", reason.detail}});
  const auto listed = instances_.find(row.key);
  if (listed != instances_.end()) directory_.onUnreadable(listed->second);
}

void ReplicaList::onRemoved(const clients::FeedRow& row) {
  if (mayBeRewritten()) {
    missingRows_[row.key] = row.revision;
  } else {
    remove(row.key, row.revision);
  }
}

bool ReplicaList::mayBeRewritten() const {
  const auto rewrittenBy = eras_.writtenAgainBy();
  return rewrittenBy && clock_.now() < *rewrittenBy + kFeedDelay;
}

void ReplicaList::remove(const std::string& key, base::Revision revision) {
  log_.write(base::Event::kReplicaRemoved,
             {{"replica", key}, {"revision", base::revisionText(revision)}});
  endedInstances_.erase(key);
  putAside_.erase(key);
  const auto listed = instances_.extract(key);
  if (listed.empty()) {
    versions_.onUnseenRemoved(clock_.now());
  } else {
    forgetInstance(listed.mapped());
  }
}

void ReplicaList::recordEnded(const std::string& key, const std::string& instance) {
  auto& ended = endedInstances_[key];
  ended.push_back(instance);
  if (ended.size() > kMaximumEndedInstances) ended.pop_front();
}

bool ReplicaList::namesEarlierInstance(const std::string& key,
                                       const routing::Replica& replica) const {
  const auto listed = instances_.find(key);
  if (listed == instances_.end() || listed->second == replica.instance) return false;
  const auto record = directory_.find(listed->second);
  if (record && record->facts().startedAt && replica.startedAt)
    return *replica.startedAt < *record->facts().startedAt;
  const auto ended = endedInstances_.find(key);
  return ended != endedInstances_.end() &&
         std::ranges::find(ended->second, replica.instance) != ended->second.end();
}

void ReplicaList::forgetInstance(const std::string& instance) {
  if (const auto record = directory_.find(instance))
    versions_.onRemoved(record->facts(), clock_.now());
  directory_.onRemoved(instance);
  crashDetector_.onRemoved(instance);
  holders_.remove(base::engineIdOf(instance));
}

void ReplicaList::onCurrent() {
  loaded_ = true;
  if (std::exchange(readAnew_, false)) versions_.onReadAnew(clock_.now());
  versions_.onCurrent(clock_.now());
  outageLog_.onCurrent();
  if (mayBeRewritten()) return;
  listRowsPutAside();
  for (const auto& [key, revision] : std::exchange(missingRows_, {})) remove(key, revision);
}

void ReplicaList::onFailure(clients::FeedStatus status) { outageLog_.onFailure(status); }

}  // namespace covewing::node
