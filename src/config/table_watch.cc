#include "config/table_watch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "config/table_copy.h"

namespace covewing::config {

namespace {

constexpr double kJitter = 0.5;
/// Part of a bound that a proof is trusted for.
constexpr double kTrustedShare = 0.92;
/// Where bounds are short, a call is held for this part of them.
constexpr int kHoldsInBound = 6;

}  // namespace

base::Duration holdFor(base::Duration bound) {
  return bound == base::Duration::zero() ? kLongestHold
                                         : std::min(kLongestHold, bound / kHoldsInBound);
}

base::Duration trustedAge(base::Duration bound) {
  const auto share = std::chrono::duration_cast<base::Duration>(bound * kTrustedShare);
  // A proof may be older than it says by the hold of its call: so no key is accepted later than the
  // bound, whatever the service's clock did.
  return bound == base::Duration::zero() ? bound : std::min(share, bound - holdFor(bound));
}

TableWatch::TableWatch(TableWatchOptions options, base::Clock& clock, base::TimerService& timers,
                       base::RandomSource& random, clients::TableFeedClient& feed,
                       TableWatchListener& listener)
    : options_(std::move(options)),
      clock_(clock),
      timers_(timers),
      random_(random),
      feed_(feed),
      listener_(listener) {}

TableWatch::~TableWatch() { timers_.cancel(retryTimer_); }

void TableWatch::start() { next(); }

void TableWatch::onWake() {
  // A first copy that is still under way has a limit of its own.
  if (!confirmedAt_) return;
  caughtUp_ = false;
  askAtOnce();
}

void TableWatch::onStoreReturned() {
  if (confirmedAt_) askAtOnce();
}

void TableWatch::askAtOnce() {
  backoff_ = {};
  timers_.cancel(retryTimer_);
  next();
}

void TableWatch::next() { ask(caughtUp_ ? options_.wait : base::Duration::zero()); }

void TableWatch::ask(base::Duration wait) {
  if (position_) {
    follow(wait);
  } else {
    readAll();
  }
}

template <class Handler>
clients::FeedCallback TableWatch::ofThisCall(Handler handler) {
  return [this, handler = std::move(handler), call = ++lastCall_,
          alive = std::weak_ptr(lifetime_)](const clients::FeedReply& reply) {
    if (!alive.expired() && call == lastCall_) handler(reply);
  };
}

void TableWatch::readAll() {
  const auto sentAt = clock_.now();
  feed_.readAll(options_.table, ofThisCall([this, sentAt](const clients::FeedReply& reply) {
                  onAll(reply, sentAt);
                }));
}

void TableWatch::follow(base::Duration wait) {
  const auto sentAt = clock_.now();
  feed_.changes(
      options_.table, *position_, wait,
      ofThisCall([this, sentAt](const clients::FeedReply& reply) { onChanges(reply, sentAt); }));
}

void TableWatch::onAll(const clients::FeedReply& reply, base::TimePoint sentAt) {
  if (reply.status != clients::FeedStatus::kOk) {
    onFailed(reply.status);
    return;
  }
  if (base::eraOf(reply.revision) < base::eraOf(confirmedRevision_)) {
    onFailed(clients::FeedStatus::kHistoryGone);
    return;
  }
  backoff_ = {};
  removeMissing(reply);
  noteServiceTime(reply);
  unreachableAt_ = reply.unreachableAt;
  const bool laterEra = base::eraOf(reply.revision) > base::eraOf(confirmedRevision_);
  for (const auto& row : reply.rows) {
    // A node of a former build numbers rows by the era in which it first read them.
    const bool ofFormerEra = base::eraOf(row.revision) < base::eraOf(reply.revision);
    if (laterEra || ofFormerEra) {
      applyOfLaterEra(row, reply.revision);
    } else {
      apply(row, RowSource::kCopy);
    }
  }
  position_ = reply.revision;
  confirm(reply, sentAt);
  listener_.onCurrent();
  next();
}

void TableWatch::removeMissing(const clients::FeedReply& copy) {
  std::set<std::string> present;
  for (const auto& row : copy.rows) present.insert(row.key);
  std::vector<std::string> gone;
  for (const auto& [key, revision] : revisions_) {
    if (!present.contains(key)) gone.push_back(key);
  }
  for (auto& key : gone) remove({std::move(key), std::nullopt, copy.revision});
}

void TableWatch::onChanges(const clients::FeedReply& reply, base::TimePoint sentAt) {
  if (reply.status == clients::FeedStatus::kHistoryGone) {
    position_.reset();
    listener_.onFailure(reply.status);
    next();
    return;
  }
  if (reply.status != clients::FeedStatus::kOk) {
    onFailed(reply.status);
    return;
  }
  backoff_ = {};
  noteServiceTime(reply);
  unreachableAt_ = reply.unreachableAt;
  // What was changed during a pause may be as old as the pause is long, like rows of a copy.
  // So may what is different since a return of the service.
  const bool sameEra = base::eraOf(reply.revision) == base::eraOf(*position_);
  const auto source = caughtUp_ && sameEra ? RowSource::kFeed : RowSource::kCopy;
  for (const auto& row : reply.rows) {
    if (row.value) {
      apply(row, source);
    } else {
      remove(row);
    }
  }
  position_ = std::max(*position_, reply.revision);
  confirm(reply, sentAt);
  listener_.onCurrent();
  if (reply.rows.empty() || options_.pause == base::Duration::zero()) {
    next();
  } else {
    retryTimer_ = timers_.schedule(options_.pause, [this] { next(); });
  }
}

void TableWatch::confirm(const clients::FeedReply& reply, base::TimePoint sentAt) {
  const auto currentAt = reply.currentAt.value_or(sentAt);
  confirmedAt_ = std::max(confirmedAt_.value_or(currentAt), currentAt);
  confirmedRevision_ = std::max(confirmedRevision_, reply.revision);
  lastConfirmation_ = Confirmation{currentAt, sentAt, confirmedRevision_, reply.answeredBy};
  caughtUp_ = true;
}

void TableWatch::onFailed(clients::FeedStatus status) {
  listener_.onFailure(status);
  backoff_ = backoff_.count() == 0 ? options_.firstBackoff
                                   : std::min(2 * backoff_, options_.maximumBackoff);
  retryTimer_ = timers_.schedule(random_.jittered(backoff_, kJitter), [this] { next(); });
}

std::optional<base::Duration> TableWatch::serviceTime() const {
  if (!serviceOffset_) return std::nullopt;
  return clock_.now().time_since_epoch() + *serviceOffset_;
}

void TableWatch::noteServiceTime(const clients::FeedReply& reply) {
  if (reply.serviceTime) serviceOffset_ = *reply.serviceTime - clock_.now().time_since_epoch();
}

void TableWatch::apply(clients::FeedRow row, RowSource source) {
  auto& known = revisions_[row.key];
  if (known != 0 && row.revision <= known) return;
  known = row.revision;
  boundChange(row, confirmedRevision_, confirmedAt_);
  listener_.onRow(row, source);
}

void TableWatch::applyOfLaterEra(clients::FeedRow row, base::Revision copied) {
  const auto era = base::eraOf(copied);
  auto& known = revisions_[row.key];
  // Unchanged since this node read it, as the node says that told the copy.
  if (known != 0 && known == row.revision) return;
  if (known >= copied) return;
  if (base::eraOf(row.revision) < era) row.revision = copied;
  known = row.revision;
  boundChange(row, confirmedRevision_, confirmedAt_);
  listener_.onRow(row, RowSource::kCopy);
}

void TableWatch::remove(const clients::FeedRow& row) {
  if (revisions_.erase(row.key) > 0) listener_.onRemoved(row);
}

}  // namespace covewing::config
