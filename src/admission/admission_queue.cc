#include "admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "admission/capacity_snapshot.h"

namespace covewing::admission {

namespace {

using base::Duration;
using base::TimePoint;

/// Minimum share of the replica that is expected to be left over for late requests. Below that,
/// late requests are assumed not to be served.
constexpr double kMinimumRemainingShare = 0.02;
/// A queued request is refused early once its expected wait exceeds the time left until its soft
/// deadline by this factor. The margin allows for the variation of the expectations.
constexpr double kAbandonFactor = 1.5;
/// A request hardly delays another one if its tokens to prefill are at most those of the other one
/// divided by this.
constexpr std::uint32_t kSmallPrefillDivisor = 8;
/// Times further away are treated as this far away.
constexpr Duration kMaximumTimeDistance = std::chrono::hours(1);

QueueEntry sanitized(QueueEntry entry, TimePoint now) {
  entry.arrivedAt = std::clamp(entry.arrivedAt, now - kMaximumTimeDistance, now);
  entry.softStartDeadline =
      std::clamp(entry.softStartDeadline, now - kMaximumTimeDistance, now + kMaximumTimeDistance);
  entry.hardStartDeadline =
      std::clamp(entry.hardStartDeadline, entry.softStartDeadline,
                 std::max(entry.softStartDeadline, now + kMaximumTimeDistance));
  return entry;
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options_(options), load_(options.rateTimeConstant) {}

bool AdmissionQueue::ineligible(const QueueEntry& entry, const LoadSnapshot& load) {
  return load.now > entry.hardStartDeadline || load.capacity.exceedsMemory(entry.cost);
}

AdmissionQueue::Rank AdmissionQueue::rankOf(const QueuedRequest& waiting,
                                            const LoadSnapshot& load) const {
  const QueueEntry& entry = waiting.entry;
  Rank rank{ineligible(entry, load),
            load.now > entry.softStartDeadline,
            true,
            entry.urgency,
            shares_.usageSteps(entry.urgency, entry.tenant, load.now),
            waiting.due,
            entry.id};
  rank.beyondMinimumShare = rank.late || !load_.withinMinimumShare(entry, load);
  return rank;
}

std::vector<AdmissionQueue::Rank> AdmissionQueue::ranks(const LoadSnapshot& load) const {
  std::vector<Rank> ranks;
  ranks.reserve(waiting_.size());
  for (const QueuedRequest& each : waiting_) ranks.push_back(rankOf(each, load));
  return ranks;
}

FreeCapacity AdmissionQueue::requiredCapacity(const QueuedRequest& waiting, const Rank& rank,
                                              const LoadSnapshot& load) {
  const auto tokens = static_cast<std::int64_t>(waiting.entry.cost.tokens);
  if (!rank.beyondMinimumShare) return {1, tokens};
  const FreeCapacity reserve = load.reserve.at(LoadSnapshot::indexOf(rank.urgency, rank.late));
  // Limited to what the replica has: an empty replica also accepts a request that is larger than
  // the part that is not reserved.
  const FreeCapacity total = load.capacity.total();
  return {std::min(1 + reserve.slots, total.slots),
          std::min(tokens + reserve.tokens, total.tokens)};
}

bool AdmissionQueue::canStart(const QueuedRequest& waiting, const Rank& rank,
                              const ReplicaCapacity& capacity, const LoadSnapshot& load) const {
  const FreeCapacity free = load.capacity.free();
  const FreeCapacity need = requiredCapacity(waiting, rank, load);
  if (free.slots < need.slots || free.tokens < need.tokens) return false;
  return capacity.fits(waiting.entry, !rank.late);
}

AdmissionQueue::OvertakingRule AdmissionQueue::overtakingRule(const QueuedRequest& head,
                                                              const Rank& rank,
                                                              const LoadSnapshot& load) const {
  const FreeCapacity free = load.capacity.free();
  const FreeCapacity need = requiredCapacity(head, rank, load);
  OvertakingRule rule;
  if (free.slots < need.slots || free.tokens < need.tokens) {
    rule.mustNotDelayHead = true;
    rule.headStart = load_.whenFree(need, load);
    return rule;
  }
  // The replica has capacity, but cannot start the head on time because of the prompt tokens it has
  // to prefill. Others may overtake the head for half of its time left, and after that only
  // requests with little to prefill. Without a shortage nothing is held back: a request that has to
  // wait then is larger than the replica can prefill on time.
  const Duration allowance = head.entry.softStartDeadline - head.queuedAt;
  if (!rank.late && !load.capacity.halfFree() && load.now - head.queuedAt > allowance / 2) {
    rule.maximumPrefillTokens = head.entry.cost.prefillTokens / kSmallPrefillDivisor;
  }
  return rule;
}

bool AdmissionQueue::mayOvertake(const QueuedRequest& waiting, const OvertakingRule& rule,
                                 const LoadSnapshot& load) {
  const QueueCost& cost = waiting.entry.cost;
  if (rule.maximumPrefillTokens && cost.prefillTokens > *rule.maximumPrefillTokens) return false;
  if (!rule.mustNotDelayHead) return true;
  if (load.now + load.capacity.runTimeOf(cost) <= rule.headStart.at) return true;
  return rule.headStart.spare.slots >= 1 &&
         rule.headStart.spare.tokens >= static_cast<std::int64_t>(cost.tokens);
}

std::size_t AdmissionQueue::selectNext(const std::vector<Rank>& ranks,
                                       const ReplicaCapacity& capacity,
                                       const LoadSnapshot& load) const {
  const std::size_t none = waiting_.size();
  if (waiting_.empty() || load.capacity.atCapacity()) return none;
  const auto head =
      static_cast<std::size_t>(std::min_element(ranks.begin(), ranks.end()) - ranks.begin());
  if (ranks[head].ineligible) return none;
  if (canStart(waiting_[head], ranks[head], capacity, load)) return head;
  const OvertakingRule rule = overtakingRule(waiting_[head], ranks[head], load);
  std::size_t best = none;
  for (std::size_t position = 0; position < waiting_.size(); ++position) {
    if (position == head || ranks[position].ineligible ||
        (best != none && ranks[best] < ranks[position]))
      continue;
    if (!mayOvertake(waiting_[position], rule, load)) continue;
    if (canStart(waiting_[position], ranks[position], capacity, load)) best = position;
  }
  return best;
}

AdmissionQueue::Forecast AdmissionQueue::forecast(const QueuedRequest& waiting, const Rank& rank,
                                                  double workAhead, const LoadSnapshot& load) {
  const QueueEntry& entry = waiting.entry;
  const double ownWork =
      load.capacity.shareOf(entry.cost) * base::toSeconds(load.capacity.meanRunTime);
  // A request within the minimum share of its level precedes the more urgent ones, which leave all
  // of the replica to it.
  const double availableShare =
      rank.beyondMinimumShare
          ? 1.0 - load.demandAbove.at(LoadSnapshot::indexOf(rank.urgency, rank.late))
          : 1.0;
  const Duration wait = fromSeconds((workAhead + ownWork) /
                                    std::max(availableShare, LoadSnapshot::kMinimumAssumedShare));
  if (!rank.late && load.now + wait <= entry.softStartDeadline) return {wait, true};
  // Late requests only get the capacity that the demand of on-time requests leaves free.
  const double lateShare = 1.0 - load.longTermDemand;
  if (lateShare < kMinimumRemainingShare) return {wait, false};
  const Duration lateWait = fromSeconds((workAhead + ownWork) / lateShare);
  return {std::max(wait, lateWait), load.now + lateWait <= entry.hardStartDeadline};
}

OfferResult AdmissionQueue::offer(const QueueEntry& entry, const ReplicaCapacity& capacity,
                                  bool mayQueue, TimePoint now) {
  const LoadSnapshot load = load_.snapshot(capacity, now);
  const auto known = std::find_if(waiting_.begin(), waiting_.end(), [&](const QueuedRequest& each) {
    return each.entry.id == entry.id;
  });
  if (known != waiting_.end()) {
    return queueOrRefuse(static_cast<std::size_t>(known - waiting_.begin()), true, ranks(load),
                         load);
  }
  // A displaced request that is offered again before its refusal was returned is a new request.
  withdraw(entry.id);
  QueuedRequest waiting{sanitized(entry, now), now, {}};
  waiting.due = waiting.entry.softStartDeadline - (now - waiting.entry.arrivedAt);
  if (now <= waiting.entry.softStartDeadline && !ineligible(waiting.entry, load)) {
    load_.onArrival(entry, isRetry(waiting.entry, now), load);
  }
  waiting_.push_back(waiting);
  const std::vector<Rank> order = ranks(load);
  const std::size_t position = waiting_.size() - 1;
  if (selectNext(order, capacity, load) == position) {
    grant(position, load);
    return {QueueVerdict::kGranted, Duration::zero(), 0};
  }
  return queueOrRefuse(position, mayQueue, order, load);
}

/// Queues or refuses the entry, which gets no capacity now.
OfferResult AdmissionQueue::queueOrRefuse(std::size_t position, bool mayQueue,
                                          const std::vector<Rank>& ranks,
                                          const LoadSnapshot& load) {
  const QueuedRequest& waiting = waiting_[position];
  OfferResult offer{QueueVerdict::kQueued, Duration::zero(), 0};
  double workAhead = 0.0;
  for (std::size_t each = 0; each < ranks.size(); ++each) {
    if (!(ranks[each] < ranks[position])) continue;
    ++offer.ahead;
    workAhead += load.capacity.workOf(waiting_[each].entry.cost).replicaSeconds;
  }
  const Forecast expected = forecast(waiting, ranks[position], workAhead, load);
  offer.wait = expected.wait;
  const bool excluded = ranks[position].ineligible;
  const bool lastInFullQueue =
      waiting_.size() > options_.maximumEntries &&
      (offer.ahead + 1 == waiting_.size() ||
       displaced_.size() >= std::max<std::size_t>(options_.maximumEntries, 1));
  if (mayQueue && !excluded && !lastInFullQueue &&
      (expected.servable || load.capacity.halfFree())) {
    if (waiting_.size() > options_.maximumEntries) displaceLast(ranks);
    return offer;
  }
  offer.verdict = QueueVerdict::kRefused;
  if (mayQueue || excluded)
    offer.wait = retrySchedule_.retryAfter(waiting.entry, waiting.queuedAt, workAhead, load);
  remove(position);
  return offer;
}

void AdmissionQueue::displaceLast(std::vector<Rank> ranks) {
  const auto last = std::max_element(ranks.begin(), ranks.end());
  displaced_.push_back(remove(static_cast<std::size_t>(last - ranks.begin())));
}

void AdmissionQueue::grant(std::size_t position, const LoadSnapshot& load) {
  const QueueEntry entry = remove(position).entry;
  load_.onGrant(entry, load);
  shares_.onGrant(entry.urgency, entry.tenant, entry.weight,
                  load.capacity.workOf(entry.cost).replicaSeconds, load.now);
}

AdmissionQueue::QueuedRequest AdmissionQueue::remove(std::size_t position) {
  std::swap(waiting_[position], waiting_.back());
  QueuedRequest removed = waiting_.back();
  waiting_.pop_back();
  return removed;
}

std::optional<QueueEntry> AdmissionQueue::next(const ReplicaCapacity& capacity, TimePoint now) {
  if (waiting_.empty()) return std::nullopt;
  const LoadSnapshot load = load_.snapshot(capacity, now);
  const std::size_t position = selectNext(ranks(load), capacity, load);
  if (position == waiting_.size()) return std::nullopt;
  const QueueEntry entry = waiting_[position].entry;
  grant(position, load);
  return entry;
}

std::vector<QueueRefusal> AdmissionQueue::removeExpired(const ReplicaCapacity& capacity,
                                                        TimePoint now) {
  std::vector<QueueRefusal> refusals;
  if (waiting_.empty() && displaced_.empty()) return refusals;
  const LoadSnapshot load = load_.snapshot(capacity, now);
  const std::vector<Rank> order = ranks(load);
  std::vector<std::size_t> positions(waiting_.size());
  std::iota(positions.begin(), positions.end(), 0U);
  std::sort(positions.begin(), positions.end(),
            [&](std::size_t a, std::size_t b) { return order[a] < order[b]; });
  std::vector<std::uint64_t> expiredIds;
  double workAhead = 0.0;
  std::size_t ahead = 0;
  const auto refuse = [&](const QueuedRequest& waiting) {
    refusals.push_back({waiting.entry.id,
                        retrySchedule_.retryAfter(waiting.entry, waiting.queuedAt, workAhead, load),
                        std::max(Duration::zero(), now - waiting.queuedAt), ahead});
  };
  for (const std::size_t position : positions) {
    const QueuedRequest& waiting = waiting_[position];
    if (unservable(waiting, order[position], workAhead, load)) {
      refuse(waiting);
      expiredIds.push_back(waiting.entry.id);
      continue;
    }
    ++ahead;
    workAhead += load.capacity.workOf(waiting.entry.cost).replicaSeconds;
  }
  for (const QueuedRequest& each : displaced_) refuse(each);
  displaced_.clear();
  for (const std::uint64_t id : expiredIds) withdraw(id);
  return refusals;
}

bool AdmissionQueue::unservable(const QueuedRequest& waiting, const Rank& rank, double workAhead,
                                const LoadSnapshot& load) {
  const QueueEntry& entry = waiting.entry;
  if (rank.ineligible) return true;
  if (load.capacity.halfFree()) return false;
  const Forecast expected = forecast(waiting, rank, workAhead, load);
  if (expected.servable) return false;
  const Duration timeLeft = entry.softStartDeadline - load.now;
  return rank.late || base::toSeconds(expected.wait) > kAbandonFactor * base::toSeconds(timeLeft);
}

bool AdmissionQueue::withdraw(std::uint64_t id) {
  for (std::vector<QueuedRequest>* each : {&waiting_, &displaced_}) {
    const auto found = std::find_if(each->begin(), each->end(),
                                    [&](const QueuedRequest& one) { return one.entry.id == id; });
    if (found == each->end()) continue;
    each->erase(found);
    return true;
  }
  return false;
}

std::vector<QueueEntry> AdmissionQueue::clear() {
  waiting_.insert(waiting_.end(), displaced_.begin(), displaced_.end());
  std::sort(waiting_.begin(), waiting_.end(), [](const QueuedRequest& a, const QueuedRequest& b) {
    if (a.entry.urgency != b.entry.urgency) return a.entry.urgency < b.entry.urgency;
    return a.due < b.due;
  });
  std::vector<QueueEntry> entries;
  for (const QueuedRequest& each : waiting_) entries.push_back(each.entry);
  waiting_.clear();
  displaced_.clear();
  load_.clearRuns();
  return entries;
}

std::size_t AdmissionQueue::size() const { return waiting_.size(); }

}  // namespace covewing::admission
