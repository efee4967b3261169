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

/// Least part of the replica that is believed to be left over; below that late work has no hope.
constexpr double kLeastLeft = 0.02;
/// A request in the queue is given up before its time when its start is expected this many times
/// its time left from now: expectations vary.
constexpr double kClearlyLate = 1.5;
/// A request that reads at most this part of what another has to read hardly delays it.
constexpr std::uint32_t kLittleRead = 8;
/// Times further away count as this far away.
constexpr Duration kFurthest = std::chrono::hours(1);

QueueEntry mended(QueueEntry entry, TimePoint now) {
  entry.arrivedAt = std::clamp(entry.arrivedAt, now - kFurthest, now);
  entry.softStartDeadline = std::clamp(entry.softStartDeadline, now - kFurthest, now + kFurthest);
  entry.hardStartDeadline = std::clamp(entry.hardStartDeadline, entry.softStartDeadline,
                                       std::max(entry.softStartDeadline, now + kFurthest));
  return entry;
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options_(options), load_(options.rateMemory) {}

bool AdmissionQueue::useless(const QueueEntry& entry, const LoadNow& load) {
  return load.now > entry.hardStartDeadline || load.room.neverFits(entry.cost);
}

AdmissionQueue::Rank AdmissionQueue::rankOf(const Waiting& waiting, const LoadNow& load) const {
  const QueueEntry& entry = waiting.entry;
  Rank rank{useless(entry, load),
            load.now > entry.softStartDeadline,
            true,
            entry.urgency,
            shares_.used(entry.urgency, entry.tenant, load.now),
            waiting.due,
            entry.id};
  rank.served = rank.late || !load_.withinLeastShare(entry, load);
  return rank;
}

std::vector<AdmissionQueue::Rank> AdmissionQueue::ranks(const LoadNow& load) const {
  std::vector<Rank> ranks;
  ranks.reserve(waiting_.size());
  for (const Waiting& each : waiting_) ranks.push_back(rankOf(each, load));
  return ranks;
}

FreeRoom AdmissionQueue::needOf(const Waiting& waiting, const Rank& rank, const LoadNow& load) {
  const auto tokens = static_cast<std::int64_t>(waiting.entry.cost.tokens);
  if (!rank.served) return {1, tokens};
  const FreeRoom reserve = load.reserve.at(LoadNow::placeOf(rank.urgency, rank.late));
  // Never more than the replica has: an empty one takes also what exceeds the part not kept.
  const FreeRoom whole = load.room.whole();
  return {std::min(1 + reserve.slots, whole.slots),
          std::min(tokens + reserve.tokens, whole.tokens)};
}

bool AdmissionQueue::mayBegin(const Waiting& waiting, const Rank& rank, const ReplicaCapacity& room,
                              const LoadNow& load) const {
  const FreeRoom free = load.room.free();
  const FreeRoom need = needOf(waiting, rank, load);
  if (free.slots < need.slots || free.tokens < need.tokens) return false;
  return room.fits(waiting.entry, !rank.late);
}

AdmissionQueue::Passing AdmissionQueue::passingOf(const Waiting& head, const Rank& rank,
                                                  const LoadNow& load) const {
  const FreeRoom free = load.room.free();
  const FreeRoom need = needOf(head, rank, load);
  Passing passing;
  if (free.slots < need.slots || free.tokens < need.tokens) {
    passing.limited = true;
    passing.headBegins = load_.whenFree(need, load);
    return passing;
  }
  // The replica has room, and yet cannot begin it in time, by what it has to read: others may pass
  // for half of the time left, and then only those that read little. Without shortage nothing is
  // held back: what has to wait then is larger than the replica can read in time.
  const Duration allowance = head.entry.softStartDeadline - head.since;
  if (!rank.late && !load.room.halfFree() && load.now - head.since > allowance / 2) {
    passing.mostUnread = head.entry.cost.prefillTokens / kLittleRead;
  }
  return passing;
}

bool AdmissionQueue::passes(const Waiting& waiting, const Passing& passing, const LoadNow& load) {
  const QueueCost& cost = waiting.entry.cost;
  if (passing.mostUnread && cost.prefillTokens > *passing.mostUnread) return false;
  if (!passing.limited) return true;
  if (load.now + load.room.runOf(cost) <= passing.headBegins.at) return true;
  return passing.headBegins.spare.slots >= 1 &&
         passing.headBegins.spare.tokens >= static_cast<std::int64_t>(cost.tokens);
}

std::size_t AdmissionQueue::choose(const std::vector<Rank>& ranks, const ReplicaCapacity& room,
                                   const LoadNow& load) const {
  const std::size_t none = waiting_.size();
  if (waiting_.empty() || load.room.full()) return none;
  const auto head =
      static_cast<std::size_t>(std::min_element(ranks.begin(), ranks.end()) - ranks.begin());
  if (ranks[head].useless) return none;
  if (mayBegin(waiting_[head], ranks[head], room, load)) return head;
  const Passing passing = passingOf(waiting_[head], ranks[head], load);
  std::size_t best = none;
  for (std::size_t place = 0; place < waiting_.size(); ++place) {
    if (place == head || ranks[place].useless || (best != none && ranks[best] < ranks[place]))
      continue;
    if (!passes(waiting_[place], passing, load)) continue;
    if (mayBegin(waiting_[place], ranks[place], room, load)) best = place;
  }
  return best;
}

AdmissionQueue::Forecast AdmissionQueue::forecast(const Waiting& waiting, const Rank& rank,
                                                  double workAhead, const LoadNow& load) {
  const QueueEntry& entry = waiting.entry;
  const double own = load.room.shareOf(entry.cost) * base::toSeconds(load.room.runTime);
  // One within the least share of its kind goes before the more urgent: they leave it all.
  const double left =
      rank.served ? 1.0 - load.askedBefore.at(LoadNow::placeOf(rank.urgency, rank.late)) : 1.0;
  const Duration wait = fromSeconds((workAhead + own) / std::max(left, LoadNow::kLeastReckoned));
  if (!rank.late && load.now + wait <= entry.softStartDeadline) return {wait, true};
  // Late service takes what all requests in time leave.
  const double leftByAll = 1.0 - load.askedLong;
  if (leftByAll < kLeastLeft) return {wait, false};
  const Duration lateWait = fromSeconds((workAhead + own) / leftByAll);
  return {std::max(wait, lateWait), load.now + lateWait <= entry.hardStartDeadline};
}

QueueOffer AdmissionQueue::offer(const QueueEntry& entry, const ReplicaCapacity& room,
                                 bool mayQueue, TimePoint now) {
  const LoadNow load = load_.look(room, now);
  const auto known = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&](const Waiting& each) { return each.entry.id == entry.id; });
  if (known != waiting_.end()) {
    return settle(static_cast<std::size_t>(known - waiting_.begin()), true, ranks(load), load);
  }
  // One that gave way and asks again before it was told is a new request.
  withdraw(entry.id);
  Waiting waiting{mended(entry, now), now, {}};
  waiting.due = waiting.entry.softStartDeadline - (now - waiting.entry.arrivedAt);
  if (now <= waiting.entry.softStartDeadline && !useless(waiting.entry, load)) {
    load_.onArrival(entry, askedBefore(waiting.entry, now), load);
  }
  waiting_.push_back(waiting);
  const std::vector<Rank> order = ranks(load);
  const std::size_t place = waiting_.size() - 1;
  if (choose(order, room, load) == place) {
    grant(place, load);
    return {QueueVerdict::kGranted, Duration::zero(), 0};
  }
  return settle(place, mayQueue, order, load);
}

/// Whether the entry, which gets no room now, waits or is refused.
QueueOffer AdmissionQueue::settle(std::size_t place, bool mayQueue, const std::vector<Rank>& ranks,
                                  const LoadNow& load) {
  const Waiting& waiting = waiting_[place];
  QueueOffer offer{QueueVerdict::kQueued, Duration::zero(), 0};
  double workAhead = 0.0;
  for (std::size_t each = 0; each < ranks.size(); ++each) {
    if (!(ranks[each] < ranks[place])) continue;
    ++offer.ahead;
    workAhead += load.room.workOf(waiting_[each].entry.cost).replicaSeconds;
  }
  const Forecast expected = forecast(waiting, ranks[place], workAhead, load);
  offer.wait = expected.wait;
  const bool over = ranks[place].useless;
  const bool lastOfFull = waiting_.size() > options_.mostEntries &&
                          (offer.ahead + 1 == waiting_.size() ||
                           displaced_.size() >= std::max<std::size_t>(options_.mostEntries, 1));
  if (mayQueue && !over && !lastOfFull && (expected.servable || load.room.halfFree())) {
    if (waiting_.size() > options_.mostEntries) makeRoom(ranks);
    return offer;
  }
  offer.verdict = QueueVerdict::kRefused;
  if (mayQueue || over) offer.wait = returns_.after(waiting.entry, waiting.since, workAhead, load);
  remove(place);
  return offer;
}

void AdmissionQueue::makeRoom(std::vector<Rank> ranks) {
  const auto last = std::max_element(ranks.begin(), ranks.end());
  displaced_.push_back(remove(static_cast<std::size_t>(last - ranks.begin())));
}

void AdmissionQueue::grant(std::size_t place, const LoadNow& load) {
  const QueueEntry entry = remove(place).entry;
  load_.onGrant(entry, load);
  shares_.onGrant(entry.urgency, entry.tenant, entry.weight,
                  load.room.workOf(entry.cost).replicaSeconds, load.now);
}

AdmissionQueue::Waiting AdmissionQueue::remove(std::size_t place) {
  std::swap(waiting_[place], waiting_.back());
  Waiting removed = waiting_.back();
  waiting_.pop_back();
  return removed;
}

std::optional<QueueEntry> AdmissionQueue::next(const ReplicaCapacity& room, TimePoint now) {
  if (waiting_.empty()) return std::nullopt;
  const LoadNow load = load_.look(room, now);
  const std::size_t place = choose(ranks(load), room, load);
  if (place == waiting_.size()) return std::nullopt;
  const QueueEntry entry = waiting_[place].entry;
  grant(place, load);
  return entry;
}

std::vector<QueueRefusal> AdmissionQueue::removeExpired(const ReplicaCapacity& room,
                                                        TimePoint now) {
  std::vector<QueueRefusal> refusals;
  if (waiting_.empty() && displaced_.empty()) return refusals;
  const LoadNow load = load_.look(room, now);
  const std::vector<Rank> order = ranks(load);
  std::vector<std::size_t> places(waiting_.size());
  std::iota(places.begin(), places.end(), 0U);
  std::sort(places.begin(), places.end(),
            [&](std::size_t a, std::size_t b) { return order[a] < order[b]; });
  std::vector<std::uint64_t> gone;
  double workAhead = 0.0;
  std::size_t ahead = 0;
  const auto refuse = [&](const Waiting& waiting) {
    refusals.push_back({waiting.entry.id,
                        returns_.after(waiting.entry, waiting.since, workAhead, load),
                        std::max(Duration::zero(), now - waiting.since), ahead});
  };
  for (const std::size_t place : places) {
    const Waiting& waiting = waiting_[place];
    if (hopeless(waiting, order[place], workAhead, load)) {
      refuse(waiting);
      gone.push_back(waiting.entry.id);
      continue;
    }
    ++ahead;
    workAhead += load.room.workOf(waiting.entry.cost).replicaSeconds;
  }
  for (const Waiting& each : displaced_) refuse(each);
  displaced_.clear();
  for (const std::uint64_t id : gone) withdraw(id);
  return refusals;
}

bool AdmissionQueue::hopeless(const Waiting& waiting, const Rank& rank, double workAhead,
                              const LoadNow& load) {
  const QueueEntry& entry = waiting.entry;
  if (rank.useless) return true;
  if (load.room.halfFree()) return false;
  const Forecast expected = forecast(waiting, rank, workAhead, load);
  if (expected.servable) return false;
  const Duration left = entry.softStartDeadline - load.now;
  return rank.late || base::toSeconds(expected.wait) > kClearlyLate * base::toSeconds(left);
}

bool AdmissionQueue::withdraw(std::uint64_t id) {
  for (std::vector<Waiting>* each : {&waiting_, &displaced_}) {
    const auto found = std::find_if(each->begin(), each->end(),
                                    [&](const Waiting& one) { return one.entry.id == id; });
    if (found == each->end()) continue;
    each->erase(found);
    return true;
  }
  return false;
}

std::vector<QueueEntry> AdmissionQueue::clear() {
  waiting_.insert(waiting_.end(), displaced_.begin(), displaced_.end());
  std::sort(waiting_.begin(), waiting_.end(), [](const Waiting& a, const Waiting& b) {
    if (a.entry.urgency != b.entry.urgency) return a.entry.urgency < b.entry.urgency;
    return a.due < b.due;
  });
  std::vector<QueueEntry> entries;
  for (const Waiting& each : waiting_) entries.push_back(each.entry);
  waiting_.clear();
  displaced_.clear();
  load_.clearRuns();
  return entries;
}

std::size_t AdmissionQueue::size() const { return waiting_.size(); }

}  // namespace covewing::admission
