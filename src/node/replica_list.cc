#include "node/replica_list.h"

#include <utility>

namespace covewing::node {

void ReplicaList::onRow(const clients::FeedRow& row, config::RowSource /*source*/) {
  base::Reason reason;
  auto replica = reader_.readReplica(row.key, *row.value, reason);
  if (!replica) {
    log_.write(base::Event::kMessageRejected,
               {{"what", "replica entry"}, {"row", row.key}, {"why", reason.detail}});
    return;
  }
  const auto& model = replica->models;
  log_.write(base::Event::kReplicaListed,
             {{"replica", replica->instance},
              {"service", replica->service},
              {"address", base::toString(replica->endpoint)},
              {"zone", replica->zone},
              {"state", replica->state == routing::ReplicaState::kReady ? "ready" : "draining"},
              {"weights", model.empty() ? "" : std::to_string(model.front().version)},
              {"revision", std::to_string(row.revision)}});
  directory_.onListed(std::move(*replica));
}

void ReplicaList::onRemoved(const clients::FeedRow& row) {
  log_.write(base::Event::kReplicaRemoved,
             {{"replica", row.key}, {"revision", std::to_string(row.revision)}});
  directory_.onRemoved(row.key);
  replicaEnds_.onRemoved(row.key);
  holders_.forget(base::engineIdOf(row.key));
}

void ReplicaList::onCurrent() {
  known_ = true;
  outage_.onCurrent();
}

void ReplicaList::onFailure(clients::FeedStatus status) { outage_.onFailure(status); }

}  // namespace covewing::node
