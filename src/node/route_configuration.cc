#include "node/route_configuration.h"

#include <utility>

namespace covewing::node {

namespace {

std::string millisecondsText(base::Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1));
}

}  // namespace

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
  const auto now = clock_.now();
  const auto namedAfter = namedAfterOf(*named, row, source);
  const bool newer = namedAfter ? targets_.onNamed(named->model, named->version, *namedAfter)
                                : targets_.onFound(named->model, named->version, now);
  if (!newer) return;
  log_.write(base::Event::kWeightsNamed,
             {{"model", named->model},
              {"version", std::to_string(named->version)},
              {"from", source == config::RowSource::kCopy ? "copy" : "feed"},
              {"age_at_most_ms", namedAfter ? millisecondsText(now - *namedAfter) : ""},
              {"revision", std::to_string(row.revision)}});
  if (weightsListener_) weightsListener_(*named, {namedAfter});
}

std::optional<base::TimePoint> RouteConfiguration::namedAfterOf(const NamedWeights& named,
                                                                const clients::FeedRow& row,
                                                                config::RowSource source) const {
  // A node that has just started does not know which versions were named shortly before this one:
  // they may be in force already, and only the dates in the table service tell.
  const bool justStarted = source == config::RowSource::kCopy && targets_.newest(named.model) == 0;
  if (justStarted) return std::nullopt;
  // A version that becomes known late has had part of its time: counted from when this node heard
  // of it, requests began on older weights up to 1.1 s too late where the feed's readers were lost.
  return row.changedAfter;
}

void RouteConfiguration::onRemoved(const clients::FeedRow& /*row*/) {
  // Operators replace their rows and never remove them: what is in force stays.
}

void RouteConfiguration::onCurrent() { outage_.onCurrent(); }

void RouteConfiguration::onFailure(clients::FeedStatus status) { outage_.onFailure(status); }

}  // namespace covewing::node
