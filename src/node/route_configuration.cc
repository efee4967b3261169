#include "node/route_configuration.h"

#include <algorithm>
#include <utility>

namespace covewing::node {

namespace {

/// A change that is told while all is well was made at most so long ago: readers of the feed renew
/// their proof every 0.8 s.
constexpr base::Duration kToldInTime = std::chrono::milliseconds(1000);

}  // namespace

std::optional<base::TimePoint> RouteConfiguration::confirmedAt() const {
  return newestUnread_ ? confirmedBeforeUnread_ : feedConfirmedAt();
}

std::optional<base::TimePoint> RouteConfiguration::feedConfirmedAt() const {
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
    // The feed goes on proving that all rows are known: keys that this version takes away would be
    // accepted without end.
    if (!std::exchange(newestUnread_, true)) confirmedBeforeUnread_ = feedConfirmedAt();
    return;
  }
  newestUnread_ = false;
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
  const auto news = newsOf(*named, row, source);
  if (!take(*named, news)) return;
  log_.write(base::Event::kWeightsNamed,
             {{"model", named->model},
              {"version", std::to_string(named->version)},
              {"from", source == config::RowSource::kCopy ? "copy" : "feed"},
              {"age_at_most_ms",
               news.namedAfter ? base::millisecondsText(clock_.now() - *news.namedAfter) : ""},
              {"revision", std::to_string(row.revision)}});
  if (weightsListener_) weightsListener_(*named, news);
}

VersionNews RouteConfiguration::newsOf(const NamedWeights& named, const clients::FeedRow& row,
                                       config::RowSource source) const {
  VersionNews news;
  if (watch_ != nullptr) news.unreachableAt = watch_->unreachableAt();
  // A node that has just started does not know which versions were named shortly before this one:
  // they may be in force already, and only the dates in the table service tell.
  const bool justStarted =
      source == config::RowSource::kCopy && !feedConfirmedAt() && targets_.newest(named.model) == 0;
  // A version that becomes known late has had part of its time: counted from when this node heard
  // of it, requests began on older weights up to 1.1 s too late where the feed's readers were lost.
  if (justStarted || !row.changedAfter) return news;
  // An outage that was over before the last proof says nothing of what was changed since.
  if (news.unreachableAt && *news.unreachableAt <= *row.changedAfter) news.unreachableAt.reset();
  news.namedAfter = std::max(*row.changedAfter, news.unreachableAt.value_or(*row.changedAfter));
  const bool toldLate = clock_.now() - *row.changedAfter > kToldInTime;
  news.provisional = toldLate || news.unreachableAt.has_value();
  return news;
}

bool RouteConfiguration::take(const NamedWeights& named, const VersionNews& news) {
  if (!news.namedAfter) return targets_.onFound(named.model, named.version, clock_.now());
  const auto newest = targets_.newest(named.model);
  // Others may know well when this version was named and tell nothing of one before it that this
  // node never saw: that one is no older than the node's own last proof.
  if (newest != 0 && named.version > newest + 1) {
    if (const auto provedAt = feedConfirmedAt()) {
      const auto unseenAfter = std::max(*provedAt, news.unreachableAt.value_or(*provedAt));
      targets_.onNamed(named.model, newest + 1, std::min(unseenAfter, *news.namedAfter));
    }
  }
  return targets_.onNamed(named.model, named.version, *news.namedAfter, news.provisional);
}

void RouteConfiguration::onRemoved(const clients::FeedRow& /*row*/) {
  // Operators replace their rows and never remove them: what is in force stays.
}

void RouteConfiguration::onCurrent() {
  outage_.onCurrent();
  if (watch_ == nullptr || !watch_->lastConfirmation()) return;
  confirmations_.onConfirmed(*watch_->lastConfirmation(), table_ ? table_->version() : 0);
}

void RouteConfiguration::onFailure(clients::FeedStatus status) { outage_.onFailure(status); }

}  // namespace covewing::node
