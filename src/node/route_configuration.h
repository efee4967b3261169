/// \file
/// The operators' configuration of a relaying node, kept current from the table service: the route
/// table in force and the versions of weights that are wanted. A table is replaced by a newer
/// version only, so that configuration never goes back while the node runs. It is confirmed only
/// while it is the newest: behind one that cannot be read here, nothing proves it any more.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "config/route_table.h"
#include "config/table_watch.h"
#include "node/confirmation_log.h"
#include "node/feed_outage.h"
#include "request/relay_service.h"
#include "routing/weights_targets.h"

namespace covewing::node {

/// A model's weights as operators name them.
struct NamedWeights {
  std::string model;
  base::WeightsVersion version = 0;
};

/// What is known of when a version was named, on this node's clock.
struct VersionNews {
  /// Its time counts from this: it was named later, or nobody could learn of it before; empty when
  /// nobody knows.
  std::optional<base::TimePoint> namedAfter;
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
  virtual bool isNamedWeights(std::string_view key) const = 0;
  /// Empty with the reason when the row is malformed.
  virtual std::optional<config::RouteTableContents> readRouteTable(std::string_view value,
                                                                   base::Reason& reason) const = 0;
  virtual std::optional<NamedWeights> readWeights(std::string_view value,
                                                  base::Reason& reason) const = 0;
};

class RouteConfiguration final : public config::TableWatchListener,
                                 public request::RouteTableSource {
 public:
  using TableListener = std::function<void(const config::RouteTable&)>;
  /// Told of each newer version.
  using WeightsListener = std::function<void(const NamedWeights&, const VersionNews&)>;

  /// All must outlive the configuration.
  RouteConfiguration(const ConfigurationRowReader& reader, base::Clock& clock, base::EventLog& log,
                     routing::WeightsTargets& targets)
      : reader_(reader), clock_(clock), log_(log), targets_(targets) {}

  /// Where the freshness is taken from; before that nothing is confirmed.
  void setWatch(const config::TableWatch& watch) { watch_ = &watch; }
  void onTable(TableListener listener) { tableListener_ = std::move(listener); }
  void onWeights(WeightsListener listener) { weightsListener_ = std::move(listener); }

  config::RouteTablePtr table() const override { return table_; }
  std::optional<base::TimePoint> confirmedAt() const override;

  void onRow(const clients::FeedRow& row, config::RowSource source) override;
  void onRemoved(const clients::FeedRow& row) override;
  void onCurrent() override;
  void onFailure(clients::FeedStatus status) override;

 private:
  void takeTable(const clients::FeedRow& row);
  void takeWeights(const clients::FeedRow& row, config::RowSource source);
  /// When the feed last proved that this node knows all rows.
  std::optional<base::TimePoint> feedConfirmedAt() const;
  VersionNews newsOf(const NamedWeights& named, const clients::FeedRow& row,
                     config::RowSource source) const;
  /// Takes the version into the targets; false when it is not newer.
  bool take(const NamedWeights& named, const VersionNews& news);

  const ConfigurationRowReader& reader_;
  base::Clock& clock_;
  base::EventLog& log_;
  routing::WeightsTargets& targets_;
  const config::TableWatch* watch_ = nullptr;
  config::RouteTablePtr table_;
  /// The newest version cannot be read here, and the one before it stays in force.
  bool newestUnread_ = false;
  /// The last proof before that version; empty when there was none.
  std::optional<base::TimePoint> confirmedBeforeUnread_;
  TableListener tableListener_;
  WeightsListener weightsListener_;
  FeedOutage outage_{log_, "configuration feed"};
  ConfirmationLog confirmations_{clock_, log_};
};

}  // namespace covewing::node
