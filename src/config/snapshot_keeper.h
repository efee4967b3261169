/// \file
/// Writes and reads the copy of the templates in the object store
/// (config/configuration_snapshot.h).
///
/// One node writes: the whole copy when there was none from it or the last is old, and otherwise,
/// seconds after a change, the rows since. A node that starts without any other source reads both.
#pragma once

#include <memory>
#include <string_view>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/time.h"
#include "clients/object_store_client.h"
#include "config/configuration_snapshot.h"
#include "config/configuration_store.h"

namespace covewing::config {

struct SnapshotKeeperOptions {
  /// Age at which the whole copy is written anew, if something changed.
  base::Duration wholePeriod = std::chrono::minutes(10);
  /// Shortest time between two writes of the changes.
  base::Duration changesPeriod = std::chrono::seconds(2);
  /// Wait between two attempts to read.
  base::Duration readRetry = std::chrono::seconds(2);
};

class SnapshotKeeper {
 public:
  SnapshotKeeper(SnapshotKeeperOptions options, base::Clock& clock, base::EventLog& log,
                 clients::ObjectStoreClient& objects, ConfigurationStore& store);
  SnapshotKeeper(const SnapshotKeeper&) = delete;
  SnapshotKeeper& operator=(const SnapshotKeeper&) = delete;

  /// Writes what is due; called regularly on the node that writes.
  void write();
  /// Reads the copy into the store, which counts as loaded then; called regularly while it is not.
  void read();

 private:
  void put(std::string_view object, const ConfigurationSnapshot& snapshot);
  void onWhole(const clients::ObjectReply& reply);
  void onChanges(const clients::ObjectReply& reply);
  /// Applies the rows; false when the reply holds no sound snapshot.
  bool apply(const clients::ObjectReply& reply);

  SnapshotKeeperOptions options_;
  base::Clock& clock_;
  base::EventLog& log_;
  clients::ObjectStoreClient& objects_;
  ConfigurationStore& store_;
  /// What was written last; the digest is 0 before the first write and after one that failed.
  std::uint64_t writtenDigest_ = 0;
  base::Revision wholeUpTo_ = 0;
  bool wholeWritten_ = false;
  base::TimePoint wholeAt_;
  base::TimePoint changesAt_;
  std::optional<base::TimePoint> readAt_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace covewing::config
