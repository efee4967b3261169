#include "node/route_configuration.h"

#include <utility>

namespace covewing::node {

std::optional<base::TimePoint> RouteConfiguration::confirmedAt() const {
  if (watch_ == nullptr) return std::nullopt;
  return watch_->confirmedAt();
}

void RouteConfiguration::onRow(const clients::FeedRow& row, config::RowSource source) {
  if (reader_.isRouteTable(row.key)) {
    takeTable(row);
  } else if (reader_.isNamedWeights(row.key)) {
    takeWeights(row, source);
  }
}

void RouteConfiguration::takeTable(const clients::FeedRow& row) {
  base::Reason reason;
  auto contents = reader_.readRouteTable(*row.value, reason);
  if (!contents) {
    log_.write(base::Event::kRouteTableRejected,
               {{"revision", std::to_string(row.revision)}, {"why", reason.detail}});
    return;
  }
  if (table_ && contents->version <= table_->version()) return;
  table_ = std::make_shared<const config::RouteTable>(std::move(*contents));
  log_.write(base::Event::kRouteTableInForce,
             {{"version", std::to_string(table_->version())},
              {"revision", std::to_string(row.revision)},
              {"routes", std::to_string(table_->routes().size())},
              {"services", std::to_string(table_->services().size())}});
  if (tableListener_) tableListener_(*table_);
}

void RouteConfiguration::takeWeights(const clients::FeedRow& row, config::RowSource source) {
  base::Reason reason;
  const auto named = reader_.readWeights(*row.value, reason);
  if (!named) {
    log_.write(base::Event::kRouteTableRejected, {{"row", row.key}, {"why", reason.detail}});
    return;
  }
  if (!targets_.onNamed(named->model, named->version, clock_.now())) return;
  log_.write(base::Event::kWeightsNamed,
             {{"model", named->model},
              {"version", std::to_string(named->version)},
              {"from", source == config::RowSource::kCopy ? "copy" : "feed"},
              {"revision", std::to_string(row.revision)}});
  if (weightsListener_) weightsListener_(*named, source);
}

void RouteConfiguration::onRemoved(const clients::FeedRow& /*row*/) {
  // Operators replace their rows and never remove them: what is in force stays.
}

void RouteConfiguration::onCurrent() { outage_.onCurrent(); }

void RouteConfiguration::onFailure(clients::FeedStatus status) { outage_.onFailure(status); }

}  // namespace covewing::node
