/// \file
/// The fleet's list of replicas, kept current from the table service.
///
/// A row is kept under the key of a replica and names the run of it that wrote the row. When it
/// names another run, the one before has ended, and what was known of it ends with it. A row that
/// cannot be read names no replica to use: its run gets no new requests, and neither has it ended.
///
/// When the service comes back from a copy, rows may be missing, or name runs that have ended,
/// until their replicas have written them again: neither ends what is known of a run.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "config/store_eras.h"
#include "config/table_watch.h"
#include "node/feed_outage_log.h"
#include "routing/prefix_holders.h"
#include "routing/replica_crash_detector.h"
#include "routing/replica_directory.h"

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
  ReplicaList(const ReplicaRowReader& reader, base::Clock& clock, base::EventLog& log,
              routing::ReplicaDirectory& directory, routing::PrefixHolders& holders,
              routing::ReplicaCrashDetector& crashDetector, const config::StoreEras& eras)
      : reader_(reader),
        clock_(clock),
        log_(log),
        directory_(directory),
        holders_(holders),
        crashDetector_(crashDetector),
        eras_(eras) {}

  /// The list was copied at least once.
  bool loaded() const { return loaded_; }

  void onRow(const clients::FeedRow& row, config::RowSource source) override;
  void onRemoved(const clients::FeedRow& row) override;
  void onCurrent() override;
  void onFailure(clients::FeedStatus status) override;

 private:
  /// Lists the run that the row names, in place of the one that it named before.
  void listInstance(const std::string& key, routing::Replica replica);
  void onUnreadableRow(const clients::FeedRow& row, const base::Reason& reason);
  /// False when others of its service tell their starts and this one does not: all of a service do
  /// or none does, so the entry is not a replica's own.
  bool hasExpectedStartTime(const routing::Replica& replica);
  /// The run has ended, as another one of its replica is listed.
  void onRestarted(const std::string& instance);
  /// Forgets a run that is no longer listed.
  void forgetInstance(const std::string& instance);
  void remove(const std::string& key, base::Revision revision);
  /// A row that is missing may be written again.
  bool mayBeRewritten() const;
  void recordEnded(const std::string& key, const std::string& instance);
  bool hasEnded(const std::string& key, const std::string& instance) const;

  const ReplicaRowReader& reader_;
  base::Clock& clock_;
  base::EventLog& log_;
  routing::ReplicaDirectory& directory_;
  routing::PrefixHolders& holders_;
  routing::ReplicaCrashDetector& crashDetector_;
  const config::StoreEras& eras_;
  /// The run that each row named last, by key.
  std::map<std::string, std::string> instances_;
  /// Runs that others have followed under the same key, the latest at the end.
  std::map<std::string, std::deque<std::string>> endedInstances_;
  /// Rows that went with a return of the service and may be written again, by key: the revision at
  /// which they were missed.
  std::map<std::string, base::Revision> missingRows_;
  /// Services whose replicas tell their starts.
  std::set<std::string, std::less<>> servicesWithStartTimes_;
  bool loaded_ = false;
  FeedOutageLog outageLog_{log_, "replica list feed"};
};

}  // namespace covewing::node
