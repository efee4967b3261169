/// \file
/// The operators' configuration of a relaying node, kept current from the table service: the route
/// table in force and the versions of weights that are wanted. A table is replaced by a newer
/// version only, so that configuration never goes back while the node runs. It is confirmed only
/// while it is the newest: behind one that cannot be read here, nothing proves it any more.
///
/// The service may come back from a copy that lacks what operators wrote last, until they have
/// written it again. Operators' own version numbers only rise, and nodes tell each other the newest
/// that they know (node/configuration_gossip.h). So a copy proves the configuration when operators
/// have had the time to write again, and it holds the newest version that any node is known to have
/// seen. Until then the last proof before the return counts, and no keys are accepted once that is
/// too old.
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

/// A model's weights as operators name them.
struct AnnouncedWeights {
  std::string model;
  base::WeightsVersion version = 0;
};

/// What is known of when a version was named, on this node's clock.
struct AnnouncementTime {
  /// Its time counts from this: it was named later, or nobody could learn of it before; empty when
  /// nobody knows.
  std::optional<base::TimePoint> announcedAfter;
  /// The service could not be reached at this moment, the latest before the version became known;
  /// empty when it could be.
  std::optional<base::TimePoint> unreachableAt;
  /// What others know of it counts for more: this node was told late.
  bool provisional = false;
};

/// Reads the rows in which operators keep their configuration.
class ConfigurationRowReader {
 public:
  virtual ~ConfigurationRowReader() = default;
  /// Whether the row with this key holds the route table.
  virtual bool isRouteTable(std::string_view key) const = 0;
  /// Whether the row with this key names weights.
  virtual bool isAnnouncedWeights(std::string_view key) const = 0;
  /// Empty with the reason when the row is malformed.
  virtual std::optional<config::RouteTableContents> readRouteTable(std::string_view value,
                                                                   base::Reason& reason) const = 0;
  virtual std::optional<AnnouncedWeights> readWeights(std::string_view value,
                                                      base::Reason& reason) const = 0;
};

class RouteConfiguration final : public config::TableWatchListener,
                                 public request::RouteTableSource {
 public:
  using TableListener = std::function<void(const config::RouteTable&)>;
  /// Told of each newer version.
  using WeightsListener = std::function<void(const AnnouncedWeights&, const AnnouncementTime&)>;

  /// All must outlive the configuration.
  RouteConfiguration(const ConfigurationRowReader& reader, base::Clock& clock, base::EventLog& log,
                     routing::WeightsTargets& targets, const config::StoreEras& eras)
      : reader_(reader), clock_(clock), log_(log), targets_(targets), eras_(eras) {}

  /// Where the freshness is taken from; before that nothing is confirmed.
  void setWatch(const config::TableWatch& watch) { watch_ = &watch; }
  void setTableListener(TableListener listener) { tableListener_ = std::move(listener); }
  void setWeightsListener(WeightsListener listener) { weightsListener_ = std::move(listener); }
  /// Called when the feed has brought the copy up to date, before that proves anything.
  void setFeedCurrentListener(std::function<void()> listener) {
    feedCurrentListener_ = std::move(listener);
  }
  /// Another node has seen this version of the route table.
  void onPeerTableVersion(std::uint64_t version) {
    newestPeerTable_ = std::max(newestPeerTable_, version);
  }
  /// Another node has seen this version of a model's weights.
  void onPeerWeightsVersion(const AnnouncedWeights& weights);
  /// The service came back from a copy, which may lack weights that other nodes have seen named.
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
  /// When the feed last proved that this node knows all rows that the service has now.
  std::optional<base::TimePoint> feedConfirmedAt() const;
  /// The same while the service had all rows that operators had written.
  std::optional<base::TimePoint> lastCompleteAt() const;
  /// The proof was made in the era that is known, before operators had written again what the
  /// service had lost.
  bool mayBeIncomplete(const config::Confirmation& confirmation) const;
  /// Whether the table in force is the one that the service holds, and no node knows a newer one.
  bool isNewest() const;
  /// Logs when proofs of the feed begin to prove nothing, and when they do so again; `complete`:
  /// the service had all rows that operators had written.
  void logConfirmationState(bool complete);
  std::string_view unconfirmedReason(bool complete) const;
  /// While rows may be missing from the copy, what other nodes know counts for them.
  void applyPeerWeights();
  /// The row's change was made after this moment; empty when nobody knows.
  std::optional<base::TimePoint> changedAfter(const clients::FeedRow& row) const;
  AnnouncementTime announcementTimeOf(const AnnouncedWeights& weights, const clients::FeedRow& row,
                                      config::RowSource source) const;
  /// Takes the version into the targets; false when it is not newer.
  bool registerVersion(const AnnouncedWeights& weights, const AnnouncementTime& announcement);

  const ConfigurationRowReader& reader_;
  base::Clock& clock_;
  base::EventLog& log_;
  routing::WeightsTargets& targets_;
  const config::StoreEras& eras_;
  const config::TableWatch* watch_ = nullptr;
  config::RouteTablePtr table_;
  /// The newest version cannot be read here, and the one before it stays in force.
  bool newestUnreadable_ = false;
  /// The version that the service holds, as far as the feed tells; empty while it holds none.
  std::optional<std::uint64_t> storedVersion_;
  /// The newest version that another node has seen.
  std::uint64_t newestPeerTable_ = 0;
  /// The newest versions of weights that other nodes have seen, by model.
  std::map<std::string, base::WeightsVersion> newestPeerWeights_;
  /// The last proof that this node knew all rows that operators had written, and the last that the
  /// table in force was the newest.
  std::optional<config::Confirmation> completeConfirmation_;
  std::optional<config::Confirmation> tableConfirmation_;
  /// When proofs of the feed began to prove nothing; empty while they do.
  std::optional<base::TimePoint> unconfirmedSince_;
  TableListener tableListener_;
  WeightsListener weightsListener_;
  std::function<void()> feedCurrentListener_ = [] {};
  FeedOutageLog outageLog_{log_, "configuration feed"};
  ConfirmationLog confirmationLog_{clock_, log_};
};

}  // namespace covewing::node
