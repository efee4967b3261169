/// \file
/// Keeps the configuration from going back to an older version when the table service is restored
/// from an older backup. Nodes gossip the newest versions that operators are known to have written,
/// and when the restore was detected. Operators assign the version numbers, which only increase, so
/// one record per version is correct on all nodes in whatever order records arrive. A joining node
/// receives all records at once.
///
/// If all nodes have restarted since, none of them has the newer versions any more: these are lost
/// with the restore, and the rows that the service holds are used.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "config/store_eras.h"
#include "membership/member_directory.h"
#include "node/route_configuration.h"

namespace covewing::node {

/// All references must outlive the gossip object and be used on its thread.
struct ConfigurationGossipEnvironment {
  membership::RecordDissemination& records;
  config::StoreEras& eras;
  RouteConfiguration& configuration;
  /// Current time of the service's own clock, estimated from its latest reply; empty while it is
  /// unknown.
  std::function<std::optional<base::Duration>()> serviceClock;
};

class ConfigurationGossip {
 public:
  explicit ConfigurationGossip(ConfigurationGossipEnvironment environment)
      : environment_(std::move(environment)) {}

  /// Subscribes to the records of other nodes; call once.
  void start();
  /// Publish that this node has read a version of the route table or of a model's weights.
  void publishTableVersion(std::uint64_t version);
  void publishWeightsVersion(const AnnouncedWeights& weights);
  /// Called when this node detects that the table service was restored from an older backup.
  void onStoreReturned();
  /// Called when the feed has been read in the current era, so that the service's clock is the
  /// clock of this era.
  void onFeedCurrent();

 private:
  void onEraRecord(const membership::GossipRecord& record);
  void onWeightsRecord(const membership::GossipRecord& record);
  /// Publishes the current era, with the restore time by the service's clock if it is known.
  void publishEra(std::optional<base::Duration> restoredAt);
  /// Applies the restore time that another node reported, once this node has the service's clock of
  /// the current era.
  void applyReportedRestoreTime();

  ConfigurationGossipEnvironment environment_;
  /// Time of the restore that began the current era, by the service's clock, as reported by another
  /// node.
  std::optional<base::Duration> reportedRestoreTime_;
  /// The last era that this node published, with or without its restore time.
  std::optional<base::StoreEra> publishedEra_;
  /// The last era whose restore time this node published.
  std::optional<base::StoreEra> publishedRestoreEra_;
};

}  // namespace covewing::node
