/// \file
/// The operators' configuration of a relaying node, kept current from the table service: the active
/// route table and the announced versions of weights. A table is replaced only by a newer version,
/// so the configuration never goes back while the node runs. It is confirmed only while it is the
/// newest: once a newer version exists that this node cannot read, it is no longer confirmed.
///
/// The service may be restored from an older backup that lacks the operators' latest changes until
/// they have rewritten them. Operators assign version numbers that only increase, and nodes gossip
/// the newest ones that they have received (node/configuration_gossip.h). After a restore, the
/// service therefore confirms the configuration only when operators have had time to rewrite their
/// rows and the service holds the newest version that any node is known to have received. Until
/// then the last confirmation before the restore is used, and once that is too old, no keys are
/// accepted.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "config/route_table.h"
#include "config/store_eras.h"
#include "config/table_watch.h"
#include "node/confirmation_log.h"
#include "node/feed_outage_log.h"
#include "request/relay_service.h"
#include "routing/weights_targets.h"

namespace covewing::node {

/// A version of a model's weights that operators have announced.
struct AnnouncedWeights {
  std::string model;
  base::WeightsVersion version = 0;
};

/// What this node knows of the time at which a version was announced, by its own clock.
struct AnnouncementTime {
  /// The transition period of the version, in which requests may still begin on older ones, is
  /// counted from this moment: the version was announced later, or no node could receive it
  /// earlier. Empty if the time is unknown.
  std::optional<base::TimePoint> announcedAfter;
  /// Last moment before the receipt of the version at which the service was unreachable; empty if
  /// it was reachable.
  std::optional<base::TimePoint> unreachableAt;
  /// The version reached this node late, so an announcement time recorded by other nodes takes
  /// precedence.
  bool provisional = false;
};

/// Parses the rows in which operators keep their configuration.
class ConfigurationRowReader {
 public:
  virtual ~ConfigurationRowReader() = default;
  /// Whether the row with this key holds the route table.
  virtual bool isRouteTable(std::string_view key) const = 0;
  /// Whether the row with this key announces a version of weights.
  virtual bool isAnnouncedWeights(std::string_view key) const = 0;
  /// Empty, with `reason` set, if the row is malformed.
  virtual std::optional<config::RouteTableContents> readRouteTable(std::string_view value,
                                                                   base::Reason& reason) const = 0;
  virtual std::optional<AnnouncedWeights> readWeights(std::string_view value,
                                                      base::Reason& reason) const = 0;
};

class RouteConfiguration final : public config::TableWatchListener,
                                 public request::RouteTableSource {
 public:
  using TableListener = std::function<void(const config::RouteTable&)>;
  /// Called with each newer version of a model's weights.
  using WeightsListener = std::function<void(const AnnouncedWeights&, const AnnouncementTime&)>;

  /// All arguments must outlive the configuration.
  RouteConfiguration(const ConfigurationRowReader& reader, base::Clock& clock, base::EventLog& log,
                     routing::WeightsTargets& targets, const config::StoreEras& eras)
      : reader_(reader), clock_(clock), log_(log), targets_(targets), eras_(eras) {}

  /// Sets the watch that provides confirmations; without one nothing is confirmed. `watch` must
  /// outlive the configuration.
  void setWatch(const config::TableWatch& watch) { watch_ = &watch; }
  void setTableListener(TableListener listener) { tableListener_ = std::move(listener); }
  void setWeightsListener(WeightsListener listener) { weightsListener_ = std::move(listener); }
  /// `listener` is called whenever the feed has brought the local copy up to date, before this is
  /// used as a confirmation.
  void setFeedCurrentListener(std::function<void()> listener) {
    feedCurrentListener_ = std::move(listener);
  }
  /// Called when another node has received this version of the route table.
  void onPeerTableVersion(std::uint64_t version) {
    newestPeerTable_ = std::max(newestPeerTable_, version);
  }
  /// Called when another node has received this version of a model's weights.
  void onPeerWeightsVersion(const AnnouncedWeights& weights);
  /// The service was restored from an older backup, which may lack versions of weights that other
  /// nodes have received.
  void onStoreReturned() { applyPeerWeights(); }

  config::RouteTablePtr table() const override { return table_; }
  std::optional<base::TimePoint> confirmedAt() const override;

  void onRow(const clients::FeedRow& row, config::RowSource source) override;
  void onRemoved(const clients::FeedRow& row) override;
  void onCurrent() override;
  void onFailure(clients::FeedStatus status) override;

 private:
  void applyTable(const clients::FeedRow& row);
  void applyWeights(const clients::FeedRow& row, config::RowSource source);
  /// When the feed last confirmed that this node has all rows that the service holds.
  std::optional<base::TimePoint> feedConfirmedAt() const;
  /// When the feed last confirmed this while the service held all rows that operators had written.
  std::optional<base::TimePoint> lastCompleteAt() const;
  /// Whether the confirmation was made in the current era before operators had rewritten the rows
  /// that the service had lost.
  bool mayBeIncomplete(const config::Confirmation& confirmation) const;
  /// Whether the active table is the one that the service holds, and no node has received a newer
  /// one.
  bool isNewest() const;
  /// Logs when replies of the feed stop confirming the table and when they confirm it again.
  /// `complete`: the service held all rows that operators had written.
  void logConfirmationState(bool complete);
  /// Reason for the log why the table is not confirmed; `complete` as above.
  std::string_view unconfirmedReason(bool complete) const;
  /// Registers the versions that other nodes have received while a restore may have lost their
  /// rows.
  void applyPeerWeights();
  /// Moment after which the row was changed; empty if it is unknown.
  std::optional<base::TimePoint> changedAfter(const clients::FeedRow& row) const;
  AnnouncementTime announcementTimeOf(const AnnouncedWeights& weights, const clients::FeedRow& row,
                                      config::RowSource source) const;
  /// Adds the version to the targets; false if it is not newer.
  bool registerVersion(const AnnouncedWeights& weights, const AnnouncementTime& announcement);

  const ConfigurationRowReader& reader_;
  base::Clock& clock_;
  base::EventLog& log_;
  routing::WeightsTargets& targets_;
  const config::StoreEras& eras_;
  const config::TableWatch* watch_ = nullptr;
  config::RouteTablePtr table_;
  /// This node cannot read the newest version, and the one before it stays active.
  bool newestUnreadable_ = false;
  /// The version that the service holds according to the feed; empty while it holds none.
  std::optional<std::uint64_t> storedVersion_;
  /// The newest version of the route table that another node has received.
  std::uint64_t newestPeerTable_ = 0;
  /// The newest versions of weights that other nodes have received, by model.
  std::map<std::string, base::WeightsVersion> newestPeerWeights_;
  /// The last confirmation that this node had all rows that operators had written.
  std::optional<config::Confirmation> completeConfirmation_;
  /// The last confirmation that the active table was the newest.
  std::optional<config::Confirmation> tableConfirmation_;
  /// Since when replies of the feed have not confirmed the table; empty while they confirm it.
  std::optional<base::TimePoint> unconfirmedSince_;
  TableListener tableListener_;
  WeightsListener weightsListener_;
  std::function<void()> feedCurrentListener_ = [] {};
  FeedOutageLog outageLog_{log_, "configuration feed"};
  ConfirmationLog confirmationLog_{clock_, log_};
};

}  // namespace covewing::node
