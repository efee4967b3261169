#include "node/route_configuration.h"

#include <algorithm>
#include <utility>

namespace covewing::node {

namespace {

/// A change that is told while all is well was made at most so long ago: readers of the feed renew
/// their proof every 0.8 s.
constexpr base::Duration kToldInTime = std::chrono::milliseconds(1000);

/// An answer that was long under way proves less than the one before it.
void keepLatest(std::optional<config::Confirmation>& kept, const config::Confirmation& proof) {
  if (!kept || proof.currentAt >= kept->currentAt) kept = proof;
}

}  // namespace

bool RouteConfiguration::isDoubtful(const config::Confirmation& proof) const {
  const auto writtenAgainBy = eras_.writtenAgainBy();
  return writtenAgainBy && base::eraOf(proof.revision) == eras_.current() &&
         proof.currentAt < *writtenAgainBy;
}

// A node that has just started is told of a return after its first proof, perhaps: so doubts are
// asked for each time.
std::optional<base::TimePoint> RouteConfiguration::confirmedAt() const {
  if (!confirmed_ || isDoubtful(*confirmed_)) return std::nullopt;
  return confirmed_->currentAt;
}

std::optional<base::TimePoint> RouteConfiguration::completeAt() const {
  if (!complete_ || isDoubtful(*complete_)) return std::nullopt;
  return complete_->currentAt;
}

bool RouteConfiguration::isNewest() const {
  // Behind a version that cannot be read here, keys that it takes away would be accepted without
  // end: the feed goes on proving that all rows are known.
  if (!table_ || newestUnread_) return false;
  // Where the service lost the newest version, its copy would prove an older one, with keys that
  // had been taken away.
  return versionInService_.value_or(0) >= std::max(table_->version(), newestKnown_);
}

std::optional<base::TimePoint> RouteConfiguration::feedConfirmedAt() const {
  if (watch_ == nullptr) return std::nullopt;
  return watch_->confirmedAt();
}

void RouteConfiguration::onRow(const clients::FeedRow& row, config::RowSource source) {
  if (reader_.isRouteTable(row.key)) {
    takeTable(row);
  } else if (reader_.isAnnouncedWeights(row.key)) {
    takeWeights(row, source);
  }
}

void RouteConfiguration::takeTable(const clients::FeedRow& row) {
  base::Reason reason;
  auto contents = reader_.readRouteTable(*row.value, reason);
  if (!contents) {
    log_.write(base::Event::kRouteTableRejected,
               {{"revision", base::revisionText(row.revision)}, {"why", reason.detail}});
    newestUnread_ = true;
    return;
  }
  newestUnread_ = false;
  versionInService_ = contents->version;
  if (table_ && contents->version <= table_->version()) return;
  table_ = std::make_shared<const config::RouteTable>(std::move(*contents));
  log_.write(base::Event::kRouteTableInForce,
             {{"version", std::to_string(table_->version())},
              {"revision", base::revisionText(row.revision)},
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
  log_.write(
      base::Event::kWeightsNamed,
      {{"model", named->model},
       {"version", std::to_string(named->version)},
       {"from", source == config::RowSource::kCopy ? "copy" : "feed"},
       {"age_at_most_ms",
        news.announcedAfter ? base::millisecondsText(clock_.now() - *news.announcedAfter) : ""},
       {"revision", base::revisionText(row.revision)}});
  if (weightsListener_) weightsListener_(*named, news);
}

AnnouncementTime RouteConfiguration::newsOf(const AnnouncedWeights& named,
                                            const clients::FeedRow& row,
                                            config::RowSource source) const {
  AnnouncementTime news;
  if (watch_ != nullptr) news.unreachableAt = watch_->unreachableAt();
  // A node that has just started does not know which versions were named shortly before this one:
  // they may be in force already, and only the dates in the table service tell.
  const bool justStarted =
      source == config::RowSource::kCopy && !feedConfirmedAt() && targets_.newest(named.model) == 0;
  // A version that becomes known late has had part of its time: counted from when this node heard
  // of it, requests began on older weights up to 1.1 s too late where the feed's readers were lost.
  const auto changed = changedAfter(row);
  if (justStarted || !changed) return news;
  // An outage that was over before the last proof says nothing of what was changed since.
  if (news.unreachableAt && *news.unreachableAt <= *changed) news.unreachableAt.reset();
  news.announcedAfter = std::max(*changed, news.unreachableAt.value_or(*changed));
  const bool toldLate = clock_.now() - *changed > kToldInTime;
  news.provisional = toldLate || news.unreachableAt.has_value();
  return news;
}

std::optional<base::TimePoint> RouteConfiguration::changedAfter(const clients::FeedRow& row) const {
  const auto returnedAt = eras_.returnedAt();
  const bool byIncompleteCopy = row.changedAfter && returnedAt &&
                                *row.changedAfter >= *returnedAt &&
                                *row.changedAfter < *eras_.writtenAgainBy();
  // That copy may have lacked the row because the service had lost it: it says nothing of when the
  // row was written first.
  return byIncompleteCopy ? completeAt() : row.changedAfter;
}

void RouteConfiguration::onWeightsKnown(const AnnouncedWeights& named) {
  auto& newest = newestWeightsKnown_[named.model];
  newest = std::max(newest, named.version);
  if (eras_.writingAgain()) takeKnownWeights();
}

void RouteConfiguration::takeKnownWeights() {
  for (const auto& [model, version] : newestWeightsKnown_) {
    if (version <= targets_.newest(model)) continue;
    const AnnouncedWeights named{model, version};
    AnnouncementTime news;
    news.announcedAfter = completeAt();
    news.provisional = true;
    if (!take(named, news)) continue;
    log_.write(base::Event::kWeightsNamed,
               {{"model", model}, {"version", std::to_string(version)}, {"from", "other nodes"}});
    if (weightsListener_) weightsListener_(named, news);
  }
}

bool RouteConfiguration::take(const AnnouncedWeights& named, const AnnouncementTime& news) {
  if (!news.announcedAfter) return targets_.onFound(named.model, named.version, clock_.now());
  const auto newest = targets_.newest(named.model);
  // Others may know well when this version was named and tell nothing of one before it that this
  // node never saw: that one is no older than the node's own last proof.
  if (newest != 0 && named.version > newest + 1) {
    if (const auto provedAt = completeAt()) {
      const auto unseenAfter = std::max(*provedAt, news.unreachableAt.value_or(*provedAt));
      targets_.onNamed(named.model, newest + 1, std::min(unseenAfter, *news.announcedAfter));
    }
  }
  return targets_.onNamed(named.model, named.version, *news.announcedAfter, news.provisional);
}

void RouteConfiguration::onRemoved(const clients::FeedRow& row) {
  // Operators replace their rows and never remove them, but the service may come back from a copy
  // without one: what is in force stays, and is proved by nothing.
  if (reader_.isRouteTable(row.key)) versionInService_.reset();
}

void RouteConfiguration::onCurrent() {
  outage_.onCurrent();
  copiedListener_();
  if (eras_.writingAgain()) takeKnownWeights();
  if (watch_ == nullptr || !watch_->lastConfirmation()) return;
  const auto& confirmation = *watch_->lastConfirmation();
  const bool complete = !isDoubtful(confirmation);
  if (complete) keepLatest(complete_, confirmation);
  noteProof(complete);
  if (!complete || !isNewest()) return;
  keepLatest(confirmed_, confirmation);
  confirmations_.onConfirmed(confirmation, table_->version());
}

std::string_view RouteConfiguration::whyUnproved(bool complete) const {
  if (newestUnread_) return "a newer one cannot be read";
  if (!complete) return "the service came back from a copy, and rows may not be written again yet";
  return "the service holds an older one";
}

void RouteConfiguration::noteProof(bool complete) {
  const bool proved = complete && isNewest();
  if (!table_ || proved == !unprovedSince_) return;
  const auto now = clock_.now();
  log_.write(proved ? base::Event::kConfigurationProvedAgain : base::Event::kConfigurationUnproved,
             {{"version", std::to_string(table_->version())},
              {"in_service", versionInService_ ? std::to_string(*versionInService_) : "none"},
              {"known_elsewhere", std::to_string(newestKnown_)},
              {"era", std::to_string(eras_.current())},
              {"why", proved ? "" : std::string{whyUnproved(complete)}},
              {"after_ms", base::millisecondsText(now - unprovedSince_.value_or(now))}});
  unprovedSince_ = proved ? std::nullopt : std::optional{now};
}

void RouteConfiguration::onFailure(clients::FeedStatus status) { outage_.onFailure(status); }

}  // namespace covewing::node
