/// \file
/// What nodes tell each other by gossip so that no return of the table service from a copy takes it
/// back: the newest versions that operators are known to have written, and when the return was
/// noticed. The numbers are the operators' own and only rise, so that one record for each is right
/// on all nodes whatever order it comes in; a node that joins is told all records at once.
///
/// What no node knows any more, as all were started anew, is lost with the copy: then the rows that
/// the service holds count.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "config/store_eras.h"
#include "membership/member_directory.h"
#include "node/route_configuration.h"

namespace covewing::node {

/// All must outlive the knowledge and share its thread.
struct ConfigurationGossipEnvironment {
  membership::RecordDissemination& records;
  config::StoreEras& eras;
  RouteConfiguration& configuration;
  /// The service's own clock now, as far as its latest answer tells.
  std::function<std::optional<base::Duration>()> serviceClock;
};

class ConfigurationGossip {
 public:
  explicit ConfigurationGossip(ConfigurationGossipEnvironment environment)
      : environment_(std::move(environment)) {}

  /// Begins to hear other nodes; call once.
  void start();
  /// This node has seen a version of the route table, or of a model's weights.
  void publishTableVersion(std::uint64_t version);
  void publishWeightsVersion(const AnnouncedWeights& weights);
  /// This node has noticed a return.
  void onStoreReturned();
  /// The feed was read in the era that is known: the service's clock is that era's.
  void onFeedCurrent();

 private:
  void onEraRecord(const membership::GossipRecord& record);
  void onWeightsRecord(const membership::GossipRecord& record);
  /// Tells the era, with the service's time of the return where that is known.
  void publishEra(std::optional<base::Duration> restoredAt);
  /// Takes what another node says of when the service returned, once its clock is known here.
  void applyReportedRestoreTime();

  ConfigurationGossipEnvironment environment_;
  /// The service's time of the return to the era that is known, as another node said it.
  std::optional<base::Duration> reportedRestoreTime_;
  /// The era whose return, or whose number at least, this node has told.
  std::optional<base::StoreEra> publishedEra_;
  std::optional<base::StoreEra> publishedRestoreEra_;
};

}  // namespace covewing::node
