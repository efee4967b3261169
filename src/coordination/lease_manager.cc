#include "coordination/lease_manager.h"

#include <algorithm>
#include <utility>

#include "coordination/lease_candidates.h"

namespace covewing::coordination {

namespace {

constexpr double kJitter = 0.25;
/// Number of this node's latest writes that are kept in order to recognise them in a row read
/// later; older ones have long taken effect or never will.
constexpr std::size_t kRememberedAttempts = 8;
/// Low bits of a fencing token, which count within a store era: a million tokens in each era. The
/// bits above contain the era.
constexpr unsigned kTokenBitsPerEra = 20;

const clients::TableRow* findRow(const std::vector<clients::TableRow>& rows, std::string_view key) {
  const auto found =
      std::ranges::find_if(rows, [key](const clients::TableRow& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace

base::FencingToken lastTokenBefore(base::StoreEra era) {
  return base::FencingToken{era} << kTokenBitsPerEra;
}

base::Duration settleTime(Succession succession, const LeaseOptions& options) {
  if (options.orderGap.count() == 0) return {};
  switch (succession) {
    case Succession::kFirst:
      return {};
    case Succession::kRestartedHolder:
      return options.orderTransitTime;
    case Succession::kRecentlyActive:
      return options.orderGap + options.orderTransitTime;
    case Succession::kExpired:
      break;
  }
  // Minimum time between the last write of the previous holder and the acquisition of the lease.
  const auto waited = options.duration + options.margin;
  const auto window = options.orderWindow.count() == 0 ? options.duration : options.orderWindow;
  return std::max(options.orderGap + options.orderTransitTime + window + options.margin - waited,
                  base::Duration::zero());
}

LeaseManager::LeaseManager(LeaseOptions options, LeaseEnvironment environment,
                           LeaseListener& listener)
    : options_(std::move(options)), environment_(std::move(environment)), listener_(listener) {}

LeaseManager::~LeaseManager() {
  environment_.timers.cancel(stepTimer_);
  environment_.timers.cancel(expiryTimer_);
}

/// Wraps a callback so that it does nothing once this object is destroyed.
template <class Handler>
auto LeaseManager::guarded(Handler handler) {
  return [alive = std::weak_ptr<bool>(lifetime_), handler = std::move(handler)](auto&&... values) {
    if (!alive.expired()) handler(std::forward<decltype(values)>(values)...);
  };
}

void LeaseManager::start() {
  started_ = true;
  // Prevents nodes that start together from calling the table service at the same moment.
  scheduleStep(environment_.random.jittered(options_.firstBackOff, 1.0));
}

std::optional<LeaseGrant> LeaseManager::grant() const {
  if (releasing_ || !tenure_ || hasExpired()) return std::nullopt;
  return tenure_->grant;
}

std::optional<LeaseGrant> LeaseManager::grantForOrders() const {
  const auto held = grant();
  const auto now = environment_.clock.now();
  if (!held || now < tenure_->settledAt || now >= tenure_->ordersUntil) return std::nullopt;
  return held;
}

bool LeaseManager::settled() const {
  return tenure_ && environment_.clock.now() >= tenure_->settledAt;
}

base::Duration LeaseManager::settleTimeLeft() const {
  if (!tenure_) return {};
  return std::max(tenure_->settledAt - environment_.clock.now(), base::Duration::zero());
}

bool LeaseManager::hasExpired() const { return environment_.clock.now() >= tenure_->validUntil; }

LeaseStatus LeaseManager::status() const {
  LeaseStatus status;
  status.candidate = isCandidate();
  status.held = grant().has_value();
  if (status.held) {
    status.holder = environment_.members.self().name;
    status.token = tenure_->grant.token;
    status.remaining = tenure_->validUntil - environment_.clock.now();
  } else if (observed_ && observed_->row) {
    status.holder = observed_->row->released ? "" : observed_->row->holder;
    status.token = observed_->row->token;
  }
  return status;
}

std::vector<membership::Member> LeaseManager::candidates() const {
  return leaseCandidates(options_.name, options_.region, environment_.members.liveMembers(),
                         options_.candidates);
}

bool LeaseManager::isCandidate() const {
  const base::NodeId self = environment_.members.self().id;
  return std::ranges::any_of(
      candidates(), [self](const membership::Member& member) { return member.id == self; });
}

bool LeaseManager::isOwn(const LeaseRow& row) const {
  const membership::Member& self = environment_.members.self();
  return row.holder == self.name && row.incarnation == self.incarnation;
}

bool LeaseManager::isEarlierIncarnation(const LeaseRow& row) const {
  const membership::Member& self = environment_.members.self();
  return row.holder == self.name && row.incarnation < self.incarnation &&
         row.address == base::toString(self.endpoint);
}

bool LeaseManager::holderIsUncertain() const {
  if (observed_->row) return observed_->row->era != observed_->era;
  return storeReturned_ && observed_->revision == 0;
}

bool LeaseManager::isFree() const {
  // A node that was cut off when the service was restored may hold a lease that the backup does not
  // show.
  if (holderIsUncertain()) return heldAtStoreReturn_.has_value();
  // An earlier incarnation cannot renew the lease any more. Waiting for it to expire would leave a
  // fleet that was restarted as a whole without orders for some 4 s.
  return !observed_->row || observed_->row->released || isOwn(*observed_->row) ||
         isEarlierIncarnation(*observed_->row);
}

base::FencingToken LeaseManager::nextToken() const {
  const base::FencingToken last = observed_->row ? observed_->row->token : 0;
  return std::max({last, highestToken_, lastTokenBefore(observed_->era)}) + 1;
}

Succession LeaseManager::succession() const {
  if (holderIsUncertain()) {
    if (!heldAtStoreReturn_) return Succession::kExpired;
    return *heldAtStoreReturn_ ? Succession::kRestartedHolder : Succession::kRecentlyActive;
  }
  // An unreadable row was written by some node, which may be sending orders.
  if (!observed_->row)
    return observed_->revision == 0 ? Succession::kFirst : Succession::kRecentlyActive;
  const LeaseRow& row = *observed_->row;
  if (isOwn(row) || isEarlierIncarnation(row))
    return row.settled ? Succession::kRestartedHolder : Succession::kRecentlyActive;
  // Builds that write no address into the row have no order window: they send orders as long as
  // they hold the lease.
  const bool hasOrderWindow = !row.address.empty();
  return row.released || !hasOrderWindow ? Succession::kRecentlyActive : Succession::kExpired;
}

void LeaseManager::onReleaseHint() {
  if (!started_ || stopped_ || releasing_ || tenure_ || callInFlight_ || !isCandidate()) return;
  read();
}

void LeaseManager::onAnnouncement(const LeaseAnnouncement& announcement) {
  if (!started_ || stopped_ || releasing_ || tenure_ || !isCandidate()) return;
  if (observed_ && observed_->revision >= announcement.revision) return;
  observed_ = Observation{.revision = announcement.revision,
                          .tenureRevision = announcement.tenureRevision,
                          .row = announcement.row,
                          .firstSeenAt = environment_.clock.now(),
                          .era = base::eraOf(announcement.revision)};
  // An announcement describes the row as it was just written, in the current era.
  observed_->row->era = observed_->era;
  highestToken_ = std::max(highestToken_, announcement.row.token);
  heldAtStoreReturn_.reset();
  if (!callInFlight_) step();
}

void LeaseManager::onStoreReturned() {
  storeReturned_ = true;
  heldAtStoreReturn_ = tenure_ && !hasExpired() ? std::optional{settled()} : std::nullopt;
  if (tenure_) endTenure("the table service was restored from an older backup");
  observed_.reset();
  attempts_.clear();
  if (started_ && !stopped_ && !callInFlight_) step();
}

void LeaseManager::scheduleStep(base::Duration delay) {
  environment_.timers.cancel(stepTimer_);
  stepTimer_ = environment_.timers.schedule(delay, guarded([this] { step(); }));
}

void LeaseManager::backOff() {
  backOff_ = backOff_.count() == 0 ? options_.firstBackOff
                                   : std::min(2 * backOff_, options_.maximumBackOff);
  scheduleStep(environment_.random.jittered(backOff_, kJitter));
}

void LeaseManager::step() {
  if (!started_ || stopped_ || callInFlight_) return;
  if (releasing_) return writeRelease();
  if (tenure_ && hasExpired()) endTenure("not renewed in time");
  if (tenure_ && !isAble()) endTenure("this node cannot do the holder's work");
  if (tenure_) return renew();
  if (isCandidate() && isAble()) return stepAsCandidate();
  // Changes of the row go unnoticed while it is not observed, so its age would be wrong: start over
  // when this node becomes a candidate again.
  observed_.reset();
  scheduleStep(environment_.random.jittered(options_.membershipInterval, kJitter));
}

void LeaseManager::stepAsCandidate() {
  if (!observed_) return read();
  const base::TimePoint due = observed_->firstSeenAt + options_.duration + options_.margin;
  const base::TimePoint now = environment_.clock.now();
  if (isFree() || now >= due) return acquire();
  scheduleStep(due - now);
}

void LeaseManager::read() {
  callInFlight_ = true;
  environment_.table.read({leaseKey(options_.name), leaseTenureKey(options_.name)},
                          guarded([this](const clients::TableReply& reply) {
                            callInFlight_ = false;
                            onReadReply(reply);
                          }));
}

void LeaseManager::onReadReply(const clients::TableReply& reply) {
  if (reply.status != clients::TableStatus::kOk) return backOff();
  backOff_ = {};
  observe(reply);
  recogniseOwnWrite();
  step();
}

void LeaseManager::observe(const clients::TableReply& reply) {
  const clients::TableRow* lease = findRow(reply.rows, leaseKey(options_.name));
  const clients::TableRow* tenure = findRow(reply.rows, leaseTenureKey(options_.name));
  const base::Revision revision = lease == nullptr ? 0 : lease->revision;
  const auto era = base::eraOf(reply.revision);
  const bool changed = !observed_ || observed_->revision != revision || observed_->era != era;
  if (!observed_) observed_ = Observation{};
  if (changed) observed_->firstSeenAt = environment_.clock.now();
  observed_->revision = revision;
  observed_->tenureRevision = tenure == nullptr ? 0 : tenure->revision;
  base::Reason ignored;
  observed_->row = lease == nullptr ? std::nullopt : parseLeaseRow(lease->value, ignored);
  observed_->era = era;
  if (!observed_->row) return;
  highestToken_ = std::max(highestToken_, observed_->row->token);
  if (!holderIsUncertain() && !isOwn(*observed_->row)) heldAtStoreReturn_.reset();
}

bool LeaseManager::recogniseOwnWrite() {
  if (!observed_ || !observed_->row || !isOwn(*observed_->row)) return false;
  const auto attempt = std::ranges::find_if(
      attempts_, [this](const Attempt& one) { return one.row.nonce == observed_->row->nonce; });
  if (attempt == attempts_.end() || attempt->row.released) return false;
  // The write was decided on a row of an earlier era; the service may have lost the record of a
  // later holder.
  if (holderIsUncertain()) return false;
  Attempt recognised = *attempt;
  recognised.tenureRevision = observed_->tenureRevision;
  // When the write is recognised in the row after a lost reply, its lease may already have expired.
  const base::TimePoint validUntil = recognised.sentAt + options_.duration - options_.margin;
  if (environment_.clock.now() >= validUntil) return false;
  becomeHolder(recognised, observed_->revision);
  return true;
}

LeaseRow LeaseManager::makeRow(base::FencingToken token, bool released) {
  const membership::Member& self = environment_.members.self();
  return {.holder = self.name,
          .incarnation = self.incarnation,
          .nonce = environment_.random.next(),
          .token = token,
          .released = released,
          .address = base::toString(self.endpoint),
          .settled = settled(),
          .era = observed_ ? observed_->era : 0};
}

void LeaseManager::acquire() {
  commit(makeRow(nextToken(), false), {observed_->revision, observed_->tenureRevision}, true);
}

void LeaseManager::renew() {
  commit(makeRow(tenure_->grant.token, false), {tenure_->revision, tenure_->grant.tenureRevision},
         false);
}

void LeaseManager::commit(LeaseRow row, const Expectation& expected, bool newTenure) {
  const Attempt attempt{
      .row = std::move(row),
      .sentAt = environment_.clock.now(),
      .tenureRevision = expected.tenureRevision,
      .settleTime = newTenure ? settleTime(succession(), options_) : settleTimeLeft()};
  clients::TableTransaction transaction;
  // On a conflict, the reply contains the current rows of both conditions.
  transaction.conditions = {{leaseKey(options_.name), expected.revision},
                            {leaseTenureKey(options_.name), expected.tenureRevision}};
  transaction.writes.push_back({leaseKey(options_.name), encodeLeaseRow(attempt.row)});
  if (newTenure) {
    transaction.writes.push_back(
        {leaseTenureKey(options_.name), std::to_string(attempt.row.token)});
  }
  attempts_.push_back(attempt);
  if (attempts_.size() > kRememberedAttempts) attempts_.erase(attempts_.begin());
  callInFlight_ = true;
  environment_.table.commit(std::move(transaction),
                            guarded([this, attempt, newTenure](const clients::TableReply& reply) {
                              callInFlight_ = false;
                              onCommitReply(reply, attempt, newTenure);
                            }));
}

void LeaseManager::onCommitReply(const clients::TableReply& reply, const Attempt& attempt,
                                 bool newTenure) {
  switch (reply.status) {
    case clients::TableStatus::kOk: {
      backOff_ = {};
      if (base::eraOf(reply.revision) != attempt.row.era && !attempt.row.released) {
        // The write was decided in an earlier era and applied in this one: it gives no lease in
        // this era, so the lease is acquired again.
        observed_.reset();
        return step();
      }
      Attempt confirmed = attempt;
      if (newTenure) confirmed.tenureRevision = reply.revision;
      if (attempt.row.released) return finishRelease();
      becomeHolder(confirmed, reply.revision);
      return;
    }
    case clients::TableStatus::kConflict:
      backOff_ = {};
      observe(reply);
      if (attempt.row.released) return finishRelease();
      if (recogniseOwnWrite()) return;
      if (tenure_) endTenure("another node holds the lease");
      return step();
    case clients::TableStatus::kUnknown:
      if (attempt.row.released) return finishRelease();
      return read();
    default:
      if (attempt.row.released) return finishRelease();
      return backOff();
  }
}

void LeaseManager::becomeHolder(const Attempt& attempt, base::Revision revision) {
  const base::TimePoint validUntil = attempt.sentAt + options_.duration - options_.margin;
  if (environment_.clock.now() >= validUntil) {
    // The reply took longer than the lease lasts: read the row, then acquire the lease again.
    if (tenure_) endTenure("renewal confirmed too late");
    observed_.reset();
    return backOff();
  }
  const bool renewed = tenure_ && tenure_->grant.token == attempt.row.token;
  if (tenure_ && !renewed) endTenure("acquired again with another token");
  const auto settledAt =
      renewed ? tenure_->settledAt : environment_.clock.now() + attempt.settleTime;
  const bool hasWindow = options_.orderWindow.count() > 0;
  tenure_ = Tenure{.grant = {.token = attempt.row.token,
                             .tenureRevision = attempt.tenureRevision,
                             .settleTime = attempt.settleTime},
                   .revision = revision,
                   .validUntil = validUntil,
                   .ordersUntil = hasWindow ? attempt.sentAt + options_.orderWindow : validUntil,
                   .settledAt = settledAt};
  observed_ = Observation{.revision = revision,
                          .tenureRevision = attempt.tenureRevision,
                          .row = attempt.row,
                          .firstSeenAt = environment_.clock.now(),
                          .era = attempt.row.era};
  highestToken_ = std::max(highestToken_, attempt.row.token);
  heldAtStoreReturn_.reset();
  armExpiry();
  const base::Duration sinceSent = environment_.clock.now() - attempt.sentAt;
  scheduleStep(releasing_ ? base::Duration::zero() : options_.renewInterval - sinceSent);
  listener_.onLeaseWritten({attempt.row, revision, attempt.tenureRevision});
  if (renewed) return;
  environment_.log.write(base::Event::kLeaseAcquired,
                         {{"lease", options_.name}, {"token", std::to_string(attempt.row.token)}});
  listener_.onLeaseAcquired(tenure_->grant);
}

void LeaseManager::armExpiry() {
  environment_.timers.cancel(expiryTimer_);
  const base::Duration left = tenure_->validUntil - environment_.clock.now();
  expiryTimer_ = environment_.timers.schedule(left, guarded([this] {
                                                if (!tenure_ || !hasExpired()) return;
                                                endTenure("not renewed in time");
                                                if (!callInFlight_) step();
                                              }));
}

void LeaseManager::endTenure(std::string_view reason) {
  const base::FencingToken token = tenure_->grant.token;
  tenure_.reset();
  environment_.timers.cancel(expiryTimer_);
  environment_.log.write(base::Event::kLeaseLost, {{"lease", options_.name},
                                                   {"token", std::to_string(token)},
                                                   {"detail", std::string(reason)}});
  listener_.onLeaseLost();
}

void LeaseManager::release(std::function<void()> done) {
  releaseDone_ = std::move(done);
  releasing_ = true;
  if (callInFlight_) return;  // continues in the callback of that call
  scheduleStep(base::Duration::zero());
  if (!started_) finishRelease();
}

void LeaseManager::writeRelease() {
  if (!tenure_) return finishRelease();
  const Tenure tenure = *tenure_;
  LeaseRow row = makeRow(tenure.grant.token, true);
  endTenure("released");
  commit(std::move(row), {tenure.revision, tenure.grant.tenureRevision}, false);
}

void LeaseManager::finishRelease() {
  stopped_ = true;
  environment_.timers.cancel(stepTimer_);
  if (releaseDone_) std::exchange(releaseDone_, nullptr)();
}

}  // namespace covewing::coordination
