/// \file
/// The fleet's list of replicas, kept current from the table service.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "base/event_log.h"
#include "config/table_watch.h"
#include "node/feed_outage.h"
#include "routing/prefix_holders.h"
#include "routing/replica_directory.h"
#include "routing/replica_end_check.h"

namespace covewing::node {

/// Reads the rows in which replicas describe themselves.
class ReplicaRowReader {
 public:
  virtual ~ReplicaRowReader() = default;
  /// Empty with the reason when the row is malformed.
  virtual std::optional<routing::Replica> readReplica(std::string_view key, std::string_view value,
                                                      base::Reason& reason) const = 0;
};

class ReplicaList final : public config::TableWatchListener {
 public:
  /// All must outlive the list.
  ReplicaList(const ReplicaRowReader& reader, base::EventLog& log,
              routing::ReplicaDirectory& directory, routing::PrefixHolders& holders,
              routing::ReplicaEndCheck& replicaEnds)
      : reader_(reader),
        log_(log),
        directory_(directory),
        holders_(holders),
        replicaEnds_(replicaEnds) {}

  /// The list was copied at least once.
  bool known() const { return known_; }

  void onRow(const clients::FeedRow& row, config::RowSource source) override;
  void onRemoved(const clients::FeedRow& row) override;
  void onCurrent() override;
  void onFailure(clients::FeedStatus status) override;

 private:
  const ReplicaRowReader& reader_;
  base::EventLog& log_;
  routing::ReplicaDirectory& directory_;
  routing::PrefixHolders& holders_;
  routing::ReplicaEndCheck& replicaEnds_;
  bool known_ = false;
  FeedOutage outage_{log_, "replica list feed"};
};

}  // namespace covewing::node
