#include "node/replica_list.h"

#include <algorithm>
#include <utility>

namespace covewing::node {

namespace {

/// From the moment at which a row has been written again until the feed has told it.
constexpr base::Duration kFeedDelay = std::chrono::seconds(1);
/// Ended runs that are remembered of each key: more than can follow each other within the age of a
/// copy that the service comes back from.
constexpr std::size_t kMostEndedRuns = 8;

}  // namespace

void ReplicaList::onRow(const clients::FeedRow& row, config::RowSource /*source*/) {
  missing_.erase(row.key);
  base::Reason reason;
  auto replica = reader_.readReplica(row.key, *row.value, reason);
  if (!replica) {
    withdraw(row, reason);
    return;
  }
  if (!tellsAsOthersDo(*replica)) {
    withdraw(row, {base::ResultCode::kInvalidField, "the start is missing"});
    return;
  }
  if (hasEnded(row.key, replica->instance)) {
    // As the service came back from a copy: the run that followed writes its own entry again.
    log_.write(base::Event::kReplicaEntryRejected, {{"row", row.key},
                                                    {"revision", base::revisionText(row.revision)},
                                                    {"why", "it names a run that has ended"}});
    return;
  }
  replica->readAt = clock_.now();
  const auto& model = replica->models;
  log_.write(base::Event::kReplicaListed,
             {{"replica", replica->instance},
              {"service", replica->service},
              {"address", base::toString(replica->endpoint)},
              {"zone", replica->zone},
              {"state", replica->state == routing::ReplicaState::kReady ? "ready" : "draining"},
              {"weights", model.empty() ? "" : std::to_string(model.front().version)},
              {"revision", base::revisionText(row.revision)}});
  list(row.key, std::move(*replica));
}

bool ReplicaList::tellsAsOthersDo(const routing::Replica& replica) {
  if (!replica.hasStartTime) return !servicesWithStarts_.contains(replica.service);
  const bool first = servicesWithStarts_.insert(replica.service).second;
  if (!first) return true;
  // Entries that were read before the first one that tells a start.
  for (const auto& [key, run] : runs_) {
    const auto record = directory_.find(run);
    if (record && record->facts().service == replica.service && !record->facts().hasStartTime)
      directory_.onUnreadable(run);
  }
  return true;
}

void ReplicaList::list(const std::string& key, routing::Replica replica) {
  auto& run = runs_[key];
  base::TimePoint backOffUntil{};
  if (!run.empty() && run != replica.instance) {
    log_.write(base::Event::kReplicaRestarted, {{"replica", replica.instance}, {"before", run}});
    if (const auto before = directory_.find(run)) backOffUntil = before->notices().backOffUntil();
    onRestarted(run);
    noteEnded(key, run);
  }
  if (run != replica.instance) replicaEnds_.onListed(replica.instance);
  run = replica.instance;
  const bool draining = replica.state == routing::ReplicaState::kDraining;
  directory_.onListed(std::move(replica));
  const auto record = directory_.find(run);
  if (draining) routing::recordLeaving(*record, log_, {"entry", 0, {}});
  // Entries tell of a restart late: it may have been the new run that asked for the rest.
  if (clock_.now() < backOffUntil) record->notices().startBackOff(backOffUntil);
}

void ReplicaList::onRestarted(const std::string& run) {
  const auto record = directory_.find(run);
  const bool planned = record && record->leaving();
  if (!planned) replicaEnds_.onRestarted(run);
  // Requests and changes of weights that still hold the record must not go on with it.
  if (record) record->setTerminated();
  forget(run);
  directory_.onEnded(run);
}

void ReplicaList::withdraw(const clients::FeedRow& row, const base::Reason& reason) {
  log_.write(
      base::Event::kReplicaEntryRejected,
      {{"row", row.key}, {"revision", base::revisionText(row.revision)}, {"why", reason.detail}});
  const auto named = runs_.find(row.key);
  if (named != runs_.end()) directory_.onUnreadable(named->second);
}

void ReplicaList::onRemoved(const clients::FeedRow& row) {
  if (mayBeWrittenAgain()) {
    missing_[row.key] = row.revision;
  } else {
    remove(row.key, row.revision);
  }
}

bool ReplicaList::mayBeWrittenAgain() const {
  const auto writtenAgainBy = eras_.writtenAgainBy();
  return writtenAgainBy && clock_.now() < *writtenAgainBy + kFeedDelay;
}

void ReplicaList::remove(const std::string& key, base::Revision revision) {
  log_.write(base::Event::kReplicaRemoved,
             {{"replica", key}, {"revision", base::revisionText(revision)}});
  endedRuns_.erase(key);
  const auto named = runs_.extract(key);
  if (!named.empty()) forget(named.mapped());
}

void ReplicaList::noteEnded(const std::string& key, const std::string& run) {
  auto& ended = endedRuns_[key];
  ended.push_back(run);
  if (ended.size() > kMostEndedRuns) ended.pop_front();
}

bool ReplicaList::hasEnded(const std::string& key, const std::string& run) const {
  const auto ended = endedRuns_.find(key);
  return ended != endedRuns_.end() && std::ranges::find(ended->second, run) != ended->second.end();
}

void ReplicaList::forget(const std::string& run) {
  directory_.onRemoved(run);
  replicaEnds_.onRemoved(run);
  holders_.remove(base::engineIdOf(run));
}

void ReplicaList::onCurrent() {
  loaded_ = true;
  outage_.onCurrent();
  if (missing_.empty() || mayBeWrittenAgain()) return;
  for (const auto& [key, revision] : std::exchange(missing_, {})) remove(key, revision);
}

void ReplicaList::onFailure(clients::FeedStatus status) { outage_.onFailure(status); }

}  // namespace covewing::node
