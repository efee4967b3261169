#include "node/route_configuration.h"

#include <algorithm>
#include <utility>

namespace covewing::node {

namespace {

/// A change that is told while all is well was made at most so long ago: readers of the feed renew
/// their proof every 0.8 s.
constexpr base::Duration kTimelyReportAge = std::chrono::milliseconds(1000);

/// An answer that was long under way proves less than the one before it.
void keepLatest(std::optional<config::Confirmation>& kept,
                const config::Confirmation& confirmation) {
  if (!kept || confirmation.currentAt >= kept->currentAt) kept = confirmation;
}

}  // namespace

bool RouteConfiguration::mayBeIncomplete(const config::Confirmation& confirmation) const {
  const auto rewrittenBy = eras_.writtenAgainBy();
  return rewrittenBy && base::eraOf(confirmation.revision) == eras_.current() &&
         confirmation.currentAt < *rewrittenBy;
}

// A node that has just started is told of a return after its first proof, perhaps: so doubts are
// asked for each time.
std::optional<base::TimePoint> RouteConfiguration::confirmedAt() const {
  if (!tableConfirmation_ || mayBeIncomplete(*tableConfirmation_)) return std::nullopt;
  return tableConfirmation_->currentAt;
}

std::optional<base::TimePoint> RouteConfiguration::lastCompleteAt() const {
  if (!completeConfirmation_ || mayBeIncomplete(*completeConfirmation_)) return std::nullopt;
  return completeConfirmation_->currentAt;
}

bool RouteConfiguration::isNewest() const {
  // Behind a version that cannot be read here, keys that it takes away would be accepted without
  // end: the feed goes on proving that all rows are known.
  if (!table_ || newestUnreadable_) return false;
  // Where the service lost the newest version, its copy would prove an older one, with keys that
  // had been taken away.
  return storedVersion_.value_or(0) >= std::max(table_->version(), newestPeerTable_);
}

std::optional<base::TimePoint> RouteConfiguration::feedConfirmedAt() const {
  if (watch_ == nullptr) return std::nullopt;
  return watch_->confirmedAt();
}

void RouteConfiguration::onRow(const clients::FeedRow& row, config::RowSource source) {
  if (reader_.isRouteTable(row.key)) {
    applyTable(row);
  } else if (reader_.isAnnouncedWeights(row.key)) {
    applyWeights(row, source);
  }
}

void RouteConfiguration::applyTable(const clients::FeedRow& row) {
  base::Reason reason;
  auto contents = reader_.readRouteTable(*row.value, reason);
  if (!contents) {
    log_.write(base::Event::kRouteTableRejected,
               {{"revision", base::revisionText(row.revision)}, {"why", reason.detail}});
    newestUnreadable_ = true;
    return;
  }
  newestUnreadable_ = false;
  storedVersion_ = contents->version;
  if (table_ && contents->version <= table_->version()) return;
  table_ = std::make_shared<const config::RouteTable>(std::move(*contents));
  log_.write(base::Event::kRouteTableInForce,
             {{"version", std::to_string(table_->version())},
              {"revision", base::revisionText(row.revision)},
              {"routes", std::to_string(table_->routes().size())},
              {"services", std::to_string(table_->services().size())}});
  if (tableListener_) tableListener_(*table_);
}

void RouteConfiguration::applyWeights(const clients::FeedRow& row, config::RowSource source) {
  base::Reason reason;
  const auto weights = reader_.readWeights(*row.value, reason);
  if (!weights) {
    log_.write(base::Event::kRouteTableRejected, {{"row", row.key}, {"why", reason.detail}});
    return;
  }
  const auto announcement = announcementTimeOf(*weights, row, source);
  if (!registerVersion(*weights, announcement)) return;
  log_.write(
      base::Event::kWeightsNamed,
      {{"model", weights->model},
       {"version", std::to_string(weights->version)},
       {"from", source == config::RowSource::kCopy ? "copy" : "feed"},
       {"age_at_most_ms", announcement.announcedAfter
                              ? base::millisecondsText(clock_.now() - *announcement.announcedAfter)
                              : ""},
       {"revision", base::revisionText(row.revision)}});
  if (weightsListener_) weightsListener_(*weights, announcement);
}

AnnouncementTime RouteConfiguration::announcementTimeOf(const AnnouncedWeights& weights,
                                                        const clients::FeedRow& row,
                                                        config::RowSource source) const {
  AnnouncementTime announcement;
  if (watch_ != nullptr) announcement.unreachableAt = watch_->unreachableAt();
  // A node that has just started does not know which versions were named shortly before this one:
  // they may be in force already, and only the dates in the table service tell.
  const bool justStarted = source == config::RowSource::kCopy && !feedConfirmedAt() &&
                           targets_.newest(weights.model) == 0;
  // A version that becomes known late has had part of its time: counted from when this node heard
  // of it, requests began on older weights up to 1.1 s too late where the feed's readers were lost.
  const auto changed = changedAfter(row);
  if (justStarted || !changed) return announcement;
  // An outage that was over before the last proof says nothing of what was changed since.
  if (announcement.unreachableAt && *announcement.unreachableAt <= *changed)
    announcement.unreachableAt.reset();
  announcement.announcedAfter = std::max(*changed, announcement.unreachableAt.value_or(*changed));
  const bool reportedLate = clock_.now() - *changed > kTimelyReportAge;
  announcement.provisional = reportedLate || announcement.unreachableAt.has_value();
  return announcement;
}

std::optional<base::TimePoint> RouteConfiguration::changedAfter(const clients::FeedRow& row) const {
  const auto returnedAt = eras_.returnedAt();
  const bool fromIncompleteSnapshot = row.changedAfter && returnedAt &&
                                      *row.changedAfter >= *returnedAt &&
                                      *row.changedAfter < *eras_.writtenAgainBy();
  // That copy may have lacked the row because the service had lost it: it says nothing of when the
  // row was written first.
  return fromIncompleteSnapshot ? lastCompleteAt() : row.changedAfter;
}

void RouteConfiguration::onPeerWeightsVersion(const AnnouncedWeights& weights) {
  auto& newest = newestPeerWeights_[weights.model];
  newest = std::max(newest, weights.version);
  if (eras_.writingAgain()) applyPeerWeights();
}

void RouteConfiguration::applyPeerWeights() {
  for (const auto& [model, version] : newestPeerWeights_) {
    if (version <= targets_.newest(model)) continue;
    const AnnouncedWeights weights{model, version};
    AnnouncementTime announcement;
    announcement.announcedAfter = lastCompleteAt();
    announcement.provisional = true;
    if (!registerVersion(weights, announcement)) continue;
    log_.write(base::Event::kWeightsNamed,
               {{"model", model}, {"version", std::to_string(version)}, {"from", "other nodes"}});
    if (weightsListener_) weightsListener_(weights, announcement);
  }
}

bool RouteConfiguration::registerVersion(const AnnouncedWeights& weights,
                                         const AnnouncementTime& announcement) {
  if (!announcement.announcedAfter)
    return targets_.onFound(weights.model, weights.version, clock_.now());
  const auto newest = targets_.newest(weights.model);
  // Others may know well when this version was named and tell nothing of one before it that this
  // node never saw: that one is no older than the node's own last proof.
  if (newest != 0 && weights.version > newest + 1) {
    if (const auto completeAt = lastCompleteAt()) {
      const auto missedAnnouncedAfter =
          std::max(*completeAt, announcement.unreachableAt.value_or(*completeAt));
      targets_.onNamed(weights.model, newest + 1,
                       std::min(missedAnnouncedAfter, *announcement.announcedAfter));
    }
  }
  return targets_.onNamed(weights.model, weights.version, *announcement.announcedAfter,
                          announcement.provisional);
}

void RouteConfiguration::onRemoved(const clients::FeedRow& row) {
  // Operators replace their rows and never remove them, but the service may come back from a copy
  // without one: what is in force stays, and is proved by nothing.
  if (reader_.isRouteTable(row.key)) storedVersion_.reset();
}

void RouteConfiguration::onCurrent() {
  outageLog_.onCurrent();
  feedCurrentListener_();
  if (eras_.writingAgain()) applyPeerWeights();
  if (watch_ == nullptr || !watch_->lastConfirmation()) return;
  const auto& confirmation = *watch_->lastConfirmation();
  const bool complete = !mayBeIncomplete(confirmation);
  if (complete) keepLatest(completeConfirmation_, confirmation);
  logConfirmationState(complete);
  if (!complete || !isNewest()) return;
  keepLatest(tableConfirmation_, confirmation);
  confirmationLog_.onConfirmed(confirmation, table_->version());
}

std::string_view RouteConfiguration::unconfirmedReason(bool complete) const {
  if (newestUnreadable_) return "a newer one cannot be read";
  if (!complete) return "the service came back from a copy, and rows may not be written again yet";
  return "the service holds an older one";
}

void RouteConfiguration::logConfirmationState(bool complete) {
  const bool confirmed = complete && isNewest();
  if (!table_ || confirmed == !unconfirmedSince_) return;
  const auto now = clock_.now();
  log_.write(
      confirmed ? base::Event::kConfigurationProvedAgain : base::Event::kConfigurationUnproved,
      {{"version", std::to_string(table_->version())},
       {"in_service", storedVersion_ ? std::to_string(*storedVersion_) : "none"},
       {"known_elsewhere", std::to_string(newestPeerTable_)},
       {"era", std::to_string(eras_.current())},
       {"why", confirmed ? "" : std::string{unconfirmedReason(complete)}},
       {"after_ms", base::millisecondsText(now - unconfirmedSince_.value_or(now))}});
  unconfirmedSince_ = confirmed ? std::nullopt : std::optional{now};
}

void RouteConfiguration::onFailure(clients::FeedStatus status) { outageLog_.onFailure(status); }

}  // namespace covewing::node
