/// \file
/// List of the fleet's replicas, kept current from the table service.
///
/// Each replica has one row, which names the instance that wrote it. When the row names another
/// instance, the previous one has ended, and its state is removed. While a row cannot be read, its
/// instance gets no new requests, but it is not taken as ended.
///
/// After the service was restored from an older backup, rows may be missing or name earlier
/// instances, until the replicas have rewritten them; an earlier instance is also named by an entry
/// that was stored late. In neither case is the state of the current instance removed. A row that
/// goes on naming an earlier instance is believed after some seconds, since the instance that was
/// listed in its place has not rewritten it: that one was not the replica, or its clock was wrong.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "config/store_eras.h"
#include "config/table_watch.h"
#include "node/feed_outage_log.h"
#include "routing/prefix_holders.h"
#include "routing/replica_crash_detector.h"
#include "routing/replica_directory.h"
#include "routing/software_versions.h"

namespace covewing::node {

/// Parses the rows in which replicas describe themselves.
class ReplicaRowReader {
 public:
  virtual ~ReplicaRowReader() = default;
  /// Empty, with `reason` set, if the row is malformed.
  virtual std::optional<routing::Replica> readReplica(std::string_view key, std::string_view value,
                                                      base::Reason& reason) const = 0;
};

class ReplicaList final : public config::TableWatchListener {
 public:
  /// All arguments must outlive the list.
  ReplicaList(const ReplicaRowReader& reader, base::Clock& clock, base::EventLog& log,
              routing::ReplicaDirectory& directory, routing::PrefixHolders& holders,
              routing::ReplicaCrashDetector& crashDetector, routing::SoftwareVersions& versions,
              const config::StoreEras& eras)
      : reader_(reader),
        clock_(clock),
        log_(log),
        directory_(directory),
        holders_(holders),
        crashDetector_(crashDetector),
        versions_(versions),
        eras_(eras) {}

  /// Whether the list has been read completely at least once.
  bool loaded() const { return loaded_; }

  void onRow(const clients::FeedRow& row, config::RowSource source) override;
  void onRemoved(const clients::FeedRow& row) override;
  void onCurrent() override;
  void onFailure(clients::FeedStatus status) override;

 private:
  struct RowPutAside {
    clients::FeedRow row;
    base::TimePoint until{};
  };

  /// Logs the entry and lists the instance that the row names.
  void listRow(const clients::FeedRow& row, routing::Replica replica);
  /// Logs that the row names an earlier instance, and keeps it until it has been rewritten or is
  /// believed.
  void putAside(const clients::FeedRow& row);
  /// Lists the earlier instances whose rows have not been rewritten in time.
  void listRowsPutAside();
  /// Lists the instance that the row names, in place of the one that the row named before.
  void listInstance(const std::string& key, routing::Replica replica);
  /// Logs the reason and takes the row's instance out of use for new requests.
  void onUnreadableRow(const clients::FeedRow& row, const base::Reason& reason);
  /// False if the entry has no start time although others have one. Either all replicas report
  /// start times or none does, so that such an entry was not written by a replica.
  bool hasExpectedStartTime(const routing::Replica& replica);
  /// Whether the entry names another software version than before for the same instance.
  bool changesSoftwareVersion(const routing::Replica& replica) const;
  /// Called when the instance has ended because another instance of its replica is listed.
  void onRestarted(const std::string& instance);
  /// Removes the state of an instance that is no longer listed.
  void forgetInstance(const std::string& instance);
  void remove(const std::string& key, base::Revision revision);
  /// Whether rows that a restore of the service lost may still be rewritten.
  bool mayBeRewritten() const;
  void recordEnded(const std::string& key, const std::string& instance);
  /// Whether the instance started before the one that is listed for the row. Without start times:
  /// whether the listed one took its place.
  bool namesEarlierInstance(const std::string& key, const routing::Replica& replica) const;

  const ReplicaRowReader& reader_;
  base::Clock& clock_;
  base::EventLog& log_;
  routing::ReplicaDirectory& directory_;
  routing::PrefixHolders& holders_;
  routing::ReplicaCrashDetector& crashDetector_;
  routing::SoftwareVersions& versions_;
  const config::StoreEras& eras_;
  /// The instance that each row named last, by key.
  std::map<std::string, std::string> instances_;
  /// Instances that were replaced by others under the same key, the latest at the end.
  std::map<std::string, std::deque<std::string>> endedInstances_;
  /// Rows that name an earlier instance than the listed one, by key.
  std::map<std::string, RowPutAside> putAside_;
  /// Rows that a restore of the service lost and that may be rewritten, by key, with the revision
  /// at which their removal was observed.
  std::map<std::string, base::Revision> missingRows_;
  /// Whether an entry with a start time has been read.
  bool startTimesReported_ = false;
  /// Rows of a copy of the whole table were read since the list was last confirmed.
  bool readAnew_ = false;
  bool loaded_ = false;
  FeedOutageLog outageLog_{log_, "replica list feed"};
};

}  // namespace covewing::node
