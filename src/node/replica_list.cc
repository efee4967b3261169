#include "node/replica_list.h"

#include <utility>

namespace covewing::node {

void ReplicaList::onRow(const clients::FeedRow& row, config::RowSource /*source*/) {
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
  replica->readAt = clock_.now();
  const auto& model = replica->models;
  log_.write(base::Event::kReplicaListed,
             {{"replica", replica->instance},
              {"service", replica->service},
              {"address", base::toString(replica->endpoint)},
              {"zone", replica->zone},
              {"state", replica->state == routing::ReplicaState::kReady ? "ready" : "draining"},
              {"weights", model.empty() ? "" : std::to_string(model.front().version)},
              {"revision", std::to_string(row.revision)}});
  list(row.key, std::move(*replica));
}

bool ReplicaList::tellsAsOthersDo(const routing::Replica& replica) {
  if (!replica.startTold) return !servicesWithStarts_.contains(replica.service);
  const bool first = servicesWithStarts_.insert(replica.service).second;
  if (!first) return true;
  // Entries that were read before the first one that tells a start.
  for (const auto& [key, run] : runs_) {
    const auto record = directory_.find(run);
    if (record && record->facts().service == replica.service && !record->facts().startTold)
      directory_.onUnreadable(run);
  }
  return true;
}

void ReplicaList::list(const std::string& key, routing::Replica replica) {
  auto& run = runs_[key];
  base::TimePoint restsUntil{};
  if (!run.empty() && run != replica.instance) {
    log_.write(base::Event::kReplicaRestarted, {{"replica", replica.instance}, {"before", run}});
    if (const auto before = directory_.find(run)) restsUntil = before->notices().restsUntil();
    onRestarted(run);
  }
  if (run != replica.instance) replicaEnds_.onListed(replica.instance);
  run = replica.instance;
  const bool draining = replica.state == routing::ReplicaState::kDraining;
  directory_.onListed(std::move(replica));
  const auto record = directory_.find(run);
  if (draining) routing::noteLeaving(*record, log_, {"entry", 0, {}});
  // Entries tell of a restart late: it may have been the new run that asked for the rest.
  if (clock_.now() < restsUntil) record->notices().noteRest(restsUntil);
}

void ReplicaList::onRestarted(const std::string& run) {
  const auto record = directory_.find(run);
  const bool planned = record && record->leaving();
  if (!planned) replicaEnds_.onRestarted(run);
  // Requests and changes of weights that still hold the record must not go on with it.
  if (record) record->setGone();
  forget(run);
  directory_.onEnded(run);
}

void ReplicaList::withdraw(const clients::FeedRow& row, const base::Reason& reason) {
  log_.write(
      base::Event::kReplicaEntryRejected,
      {{"row", row.key}, {"revision", std::to_string(row.revision)}, {"why", reason.detail}});
  const auto named = runs_.find(row.key);
  if (named != runs_.end()) directory_.onUnreadable(named->second);
}

void ReplicaList::onRemoved(const clients::FeedRow& row) {
  log_.write(base::Event::kReplicaRemoved,
             {{"replica", row.key}, {"revision", std::to_string(row.revision)}});
  const auto named = runs_.extract(row.key);
  if (!named.empty()) forget(named.mapped());
}

void ReplicaList::forget(const std::string& run) {
  directory_.onRemoved(run);
  replicaEnds_.onRemoved(run);
  holders_.forget(base::engineIdOf(run));
}

void ReplicaList::onCurrent() {
  known_ = true;
  outage_.onCurrent();
}

void ReplicaList::onFailure(clients::FeedStatus status) { outage_.onFailure(status); }

}  // namespace covewing::node
