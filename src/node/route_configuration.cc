#include "node/route_configuration.h"

#include <algorithm>
#include <utility>

namespace covewing::node {

namespace {

/// Maximum age of a change when it is reported without delay by a fault: readers of the feed renew
/// their confirmation every 0.8 s.
constexpr base::Duration kTimelyReportAge = std::chrono::milliseconds(1000);

/// Keeps the confirmation with the later `currentAt`: a delayed reply may confirm an earlier moment
/// than the reply before it.
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

// A node that has just started may receive the report of a restore only after its first
// confirmation, so the confirmation is checked again at each call.
std::optional<base::TimePoint> RouteConfiguration::confirmedAt() const {
  if (!tableConfirmation_ || mayBeIncomplete(*tableConfirmation_)) return std::nullopt;
  return tableConfirmation_->currentAt;
}

std::optional<base::TimePoint> RouteConfiguration::lastCompleteAt() const {
  if (!completeConfirmation_ || mayBeIncomplete(*completeConfirmation_)) return std::nullopt;
  return completeConfirmation_->currentAt;
}

bool RouteConfiguration::isNewest() const {
  // The feed keeps confirming that all rows have been received, also if this node cannot read the
  // newest version. Without this check, keys that this version revokes would be accepted
  // indefinitely.
  if (!table_ || newestUnreadable_) return false;
  // If a restore has lost the newest version, the service would confirm an older one with keys that
  // have been revoked.
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
  // A node that has just started does not know which versions were announced shortly before this
  // one. They may be required already, and only the announcement times in the table service show
  // that.
  const bool justStarted = source == config::RowSource::kCopy && !feedConfirmedAt() &&
                           targets_.newest(weights.model) == 0;
  // Part of the transition period of a version has passed if the version is reported late. Counted
  // from the receipt of the report, requests began on older weights up to 1.1 s too late after the
  // feed's readers were lost.
  const auto changed = changedAfter(row);
  if (justStarted || !changed) return announcement;
  // An outage that ended before the last confirmation has no effect on later changes.
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
  // The row may have been missing from that snapshot because the service had lost it, so the
  // snapshot does not show when the row was first written.
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
  // The announcement time may come from nodes that received this version in time, and does not
  // apply to an earlier version that this node never received. That version was announced after
  // this node's own last complete confirmation.
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
  // Operators replace their rows and never remove them, but the service may be restored from an
  // older backup without the row. The active table is then kept and is no longer confirmed.
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
  if (newestUnreadable_) return "this node cannot read the newest version";
  if (!complete)
    return "the service was restored from an older backup, and rows may not be rewritten yet";
  return "the service holds an older version";
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
