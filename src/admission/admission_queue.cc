#include "admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "admission/room_figures.h"

namespace covewing::admission {

namespace {

using base::Duration;
using base::TimePoint;

/// Part of what a less urgent kind asks for that it is served in any case, and the part of the
/// replica that all such service takes at most from the more urgent.
constexpr double kLeastShare = 0.1;
/// Time over which the least share is measured: within it a kind whose requests are large against
/// its share gets one, and callers wait about as long.
constexpr Duration kLeastShareMemory = std::chrono::seconds(5);
/// Part of the replica in which requests that come back are let in at least.
constexpr double kLeastForReturns = 0.1;
/// Most of the replica kept free for more urgent requests that are expected.
constexpr double kMostReserved = 0.5;
/// Least part of the replica that is believed to be left over; below that late work has no hope.
constexpr double kLeastLeft = 0.02;
/// A request in the queue is given up before its time when its start is expected this many times
/// its time left from now: expectations vary.
constexpr double kClearlyLate = 1.5;
/// A request that reached the system longer ago came back or asked elsewhere before.
constexpr Duration kFreshAge = std::chrono::milliseconds(250);
/// Times further away count as this far away.
constexpr Duration kFurthest = std::chrono::hours(1);

Duration fromSeconds(double seconds) {
  const double most = base::toSeconds(kFurthest);
  return Duration(static_cast<Duration::rep>(std::clamp(seconds, 0.0, most) * 1e6));
}

QueueEntry mended(QueueEntry entry, TimePoint now) {
  entry.arrivedAt = std::clamp(entry.arrivedAt, now - kFurthest, now);
  entry.latestInTime = std::clamp(entry.latestInTime, now - kFurthest, now + kFurthest);
  entry.latestUseful = std::clamp(entry.latestUseful, entry.latestInTime,
                                  std::max(entry.latestInTime, now + kFurthest));
  return entry;
}

}  // namespace

struct AdmissionQueue::Moment {
  Moment(const Room& figures, TimePoint at) : room(figures), now(at) {}

  RoomFigures room;
  TimePoint now;
  /// By urgency: what is kept free for more urgent ones, what those ask for of the replica, and
  /// the share of it that the kind is owed. The last place is that of late requests.
  std::array<FreeRoom, ArrivalRates::kUrgencies + 1> reserve{};
  std::array<double, ArrivalRates::kUrgencies + 1> askedBefore{};
  std::array<double, ArrivalRates::kUrgencies + 1> owed{};
  double askedLong = 0.0;

  static std::size_t placeOf(const Rank& rank) {
    return rank.late ? ArrivalRates::kUrgencies
                     : std::min<std::size_t>(rank.urgency, ArrivalRates::kUrgencies - 1);
  }
};

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options_(options),
      rates_(options.rateMemory),
      longRates_(kLeastShareMemory),
      fresh_(options.rateMemory) {}

AdmissionQueue::Moment AdmissionQueue::look(const Room& room, TimePoint now) {
  Moment moment(room, now);
  runs_.trim(moment.room.taken);
  moment.askedLong = longRates_.askedBefore(ArrivalRates::kUrgencies, now);
  double slots = 0.0;
  double tokens = 0.0;
  const double mostSlots = kMostReserved * moment.room.slots;
  const double mostTokens = kMostReserved * static_cast<double>(moment.room.memory);
  for (std::uint32_t urgency = 0; urgency <= ArrivalRates::kUrgencies; ++urgency) {
    moment.reserve.at(urgency) = {
        std::min(std::llround(slots), static_cast<long long>(mostSlots)),
        std::min(std::llround(tokens), static_cast<long long>(mostTokens))};
    if (urgency == ArrivalRates::kUrgencies) break;
    const Demand asked = rates_.asked(urgency, now);
    moment.askedBefore.at(urgency + 1) = moment.askedBefore.at(urgency) + asked.share;
    moment.owed.at(urgency) = owedTo(urgency, now);
    if (asked.share <= 0.0) continue;
    const FreeRoom held = runs_.heldBy(urgency);
    slots += std::max(0.0, asked.slots - static_cast<double>(held.slots));
    tokens += std::max(0.0, asked.tokens - static_cast<double>(held.tokens));
  }
  return moment;
}

double AdmissionQueue::owedTo(std::uint32_t urgency, TimePoint now) const {
  if (urgency == 0) return 0.0;
  const double least = kLeastShare * std::min(1.0, longRates_.asked(urgency, now).share);
  return (least - longRates_.granted(urgency, now)) * base::toSeconds(kLeastShareMemory);
}

AdmissionQueue::Rank AdmissionQueue::rankOf(const Waiting& waiting, const Moment& moment) const {
  const QueueEntry& entry = waiting.entry;
  Rank rank{moment.now > entry.latestInTime,
            true,
            entry.urgency,
            shares_.used(entry.urgency, entry.tenant, moment.now),
            waiting.due,
            entry.id};
  rank.served = rank.late || moment.room.workOf(entry.cost).replicaSeconds >
                                 moment.owed.at(Moment::placeOf(rank));
  return rank;
}

std::vector<AdmissionQueue::Rank> AdmissionQueue::ranks(const Moment& moment) const {
  std::vector<Rank> ranks;
  ranks.reserve(waiting_.size());
  for (const Waiting& each : waiting_) ranks.push_back(rankOf(each, moment));
  return ranks;
}

FreeRoom AdmissionQueue::reserveFor(const Rank& rank, const Moment& moment) {
  return rank.served ? moment.reserve.at(Moment::placeOf(rank)) : FreeRoom{};
}

bool AdmissionQueue::mayBegin(const Waiting& waiting, const Rank& rank, const Room& room,
                              const Moment& moment) const {
  const FreeRoom free = moment.room.free();
  const FreeRoom reserve = reserveFor(rank, moment);
  if (free.slots < 1 + reserve.slots) return false;
  if (free.tokens < static_cast<std::int64_t>(waiting.entry.cost.tokens) + reserve.tokens) {
    return false;
  }
  return room.fits(waiting.entry, !rank.late);
}

AdmissionQueue::Passing AdmissionQueue::passingOf(const Waiting& head, const Rank& rank,
                                                  const Moment& moment) const {
  const FreeRoom free = moment.room.free();
  const FreeRoom reserve = reserveFor(rank, moment);
  const FreeRoom need{1 + reserve.slots,
                      static_cast<std::int64_t>(head.entry.cost.tokens) + reserve.tokens};
  Passing passing;
  if (free.slots < need.slots || free.tokens < need.tokens) {
    passing.limited = true;
    passing.headBegins = runs_.whenFree(need, free, moment.now);
    return passing;
  }
  // The replica has room, and yet cannot begin it in time, by what it has to read: others may pass
  // for half of the time left, and then the replica reads what it has.
  const Duration allowance = head.entry.latestInTime - head.since;
  passing.none = !rank.late && moment.now - head.since > allowance / 2;
  return passing;
}

bool AdmissionQueue::passes(const Waiting& waiting, const Passing& passing, const Moment& moment) {
  if (passing.none) return false;
  if (!passing.limited) return true;
  const QueueCost& cost = waiting.entry.cost;
  if (moment.now + moment.room.runOf(cost) <= passing.headBegins.at) return true;
  return passing.headBegins.spare.slots >= 1 &&
         passing.headBegins.spare.tokens >= static_cast<std::int64_t>(cost.tokens);
}

std::size_t AdmissionQueue::choose(const std::vector<Rank>& ranks, const Room& room,
                                   const Moment& moment) const {
  const std::size_t none = waiting_.size();
  if (waiting_.empty() || moment.room.full()) return none;
  const auto head =
      static_cast<std::size_t>(std::min_element(ranks.begin(), ranks.end()) - ranks.begin());
  if (mayBegin(waiting_[head], ranks[head], room, moment)) return head;
  const Passing passing = passingOf(waiting_[head], ranks[head], moment);
  std::size_t best = none;
  for (std::size_t place = 0; place < waiting_.size(); ++place) {
    if (place == head || (best != none && ranks[best] < ranks[place])) continue;
    if (!passes(waiting_[place], passing, moment)) continue;
    if (mayBegin(waiting_[place], ranks[place], room, moment)) best = place;
  }
  return best;
}

AdmissionQueue::Forecast AdmissionQueue::forecast(const Waiting& waiting, const Rank& rank,
                                                  double workAhead, const Moment& moment) {
  const QueueEntry& entry = waiting.entry;
  const double own = moment.room.shareOf(entry.cost) * base::toSeconds(moment.room.runTime);
  const double left = 1.0 - moment.askedBefore.at(Moment::placeOf(rank));
  const Duration wait = fromSeconds((workAhead + own) / std::max(left, kLeastShare));
  if (!rank.late && moment.now + wait <= entry.latestInTime) return {wait, true};
  // Late service takes what all requests in time leave.
  const double leftByAll = 1.0 - moment.askedLong;
  if (leftByAll < kLeastLeft) return {wait, false};
  const Duration lateWait = fromSeconds((workAhead + own) / leftByAll);
  return {std::max(wait, lateWait), moment.now + lateWait <= entry.latestUseful};
}

Duration AdmissionQueue::retryAfter(const Waiting& waiting, const Rank& rank, double workAhead,
                                    const Moment& moment) {
  if (moment.room.neverFits(waiting.entry.cost)) return ReturnTimes::kLongest;
  Rank fresh = rank;
  fresh.late = false;
  // Those who come back get what fresh ones leave: otherwise they only push these out.
  const double left = std::max(1.0 - moment.askedBefore.at(Moment::placeOf(fresh)) -
                                   fresh_.asked(rank.urgency, moment.now).share,
                               kLeastForReturns);
  const Duration begins = fromSeconds(workAhead / left);
  const Duration allowance = std::max(Duration::zero(), waiting.entry.latestInTime - waiting.since);
  const Work work = moment.room.workOf(waiting.entry.cost);
  const Duration after = returns_
                             .next(rank.urgency, waiting.entry.id,
                                   {begins - allowance, ReturnTimes::kLongest,
                                    fromSeconds(work.replicaSeconds / left)},
                                   moment.now)
                             .value_or(ReturnTimes::beyond(waiting.entry.id));
  const Duration useful = waiting.entry.latestUseful - moment.now;
  if (after <= useful || waiting.since - waiting.entry.arrivedAt >= kFreshAge) return after;
  // One that asked for the first time may try once more before its answer is of no use, at the rate
  // at which room falls free: what is expected may change, and the caller loses nothing.
  const double leftAtMost = std::max(1.0 - moment.askedBefore.at(Moment::placeOf(fresh)), left);
  return lastTries_
      .next(rank.urgency, waiting.entry.id,
            {useful / 2, useful, fromSeconds(work.replicaSeconds / leftAtMost)}, moment.now)
      .value_or(after);
}

QueueOffer AdmissionQueue::offer(const QueueEntry& entry, const Room& room, bool mayQueue,
                                 TimePoint now) {
  const Moment moment = look(room, now);
  const auto known = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&](const Waiting& each) { return each.entry.id == entry.id; });
  if (known != waiting_.end()) {
    return settle(static_cast<std::size_t>(known - waiting_.begin()), true, ranks(moment), moment);
  }
  // One that gave way and asks again before it was told is a new request.
  withdraw(entry.id);
  Waiting waiting{mended(entry, now), now, {}};
  waiting.due = waiting.entry.latestInTime - (now - waiting.entry.arrivedAt);
  if (now <= waiting.entry.latestInTime && !moment.room.neverFits(entry.cost)) {
    const Work work = moment.room.workOf(entry.cost);
    rates_.onArrival(entry.urgency, work, now);
    longRates_.onArrival(entry.urgency, work, now);
    if (now - waiting.entry.arrivedAt < kFreshAge) fresh_.onArrival(entry.urgency, work, now);
  }
  waiting_.push_back(waiting);
  const std::vector<Rank> order = ranks(moment);
  const std::size_t place = waiting_.size() - 1;
  if (now <= waiting.entry.latestUseful && !moment.room.neverFits(entry.cost) &&
      choose(order, room, moment) == place) {
    grant(place, moment);
    return {QueueVerdict::kGranted, Duration::zero(), 0};
  }
  return settle(place, mayQueue, order, moment);
}

/// Whether the entry, which gets no room now, waits or is refused.
QueueOffer AdmissionQueue::settle(std::size_t place, bool mayQueue, const std::vector<Rank>& ranks,
                                  const Moment& moment) {
  const Waiting& waiting = waiting_[place];
  QueueOffer offer{QueueVerdict::kQueued, Duration::zero(), 0};
  double workAhead = 0.0;
  for (std::size_t each = 0; each < ranks.size(); ++each) {
    if (!(ranks[each] < ranks[place])) continue;
    ++offer.ahead;
    workAhead += moment.room.workOf(waiting_[each].entry.cost).replicaSeconds;
  }
  const Forecast expected = forecast(waiting, ranks[place], workAhead, moment);
  offer.wait = expected.wait;
  const bool over =
      moment.now > waiting.entry.latestUseful || moment.room.neverFits(waiting.entry.cost);
  const bool lastOfFull = waiting_.size() > options_.mostEntries &&
                          (offer.ahead + 1 == waiting_.size() ||
                           displaced_.size() >= std::max<std::size_t>(options_.mostEntries, 1));
  if (mayQueue && !over && !lastOfFull && (expected.servable || moment.room.halfFree())) {
    if (waiting_.size() > options_.mostEntries) makeRoom(ranks);
    return offer;
  }
  offer.verdict = QueueVerdict::kRefused;
  if (mayQueue || over) offer.wait = retryAfter(waiting, ranks[place], workAhead, moment);
  remove(place);
  return offer;
}

void AdmissionQueue::makeRoom(std::vector<Rank> ranks) {
  const auto last = std::max_element(ranks.begin(), ranks.end());
  displaced_.push_back(remove(static_cast<std::size_t>(last - ranks.begin())));
}

void AdmissionQueue::grant(std::size_t place, const Moment& moment) {
  const QueueEntry entry = remove(place).entry;
  const Work work = moment.room.workOf(entry.cost);
  rates_.onGrant(entry.urgency, work, moment.now);
  longRates_.onGrant(entry.urgency, work, moment.now);
  shares_.onGrant(entry.urgency, entry.tenant, entry.weight, work.replicaSeconds, moment.now);
  runs_.onGrant({entry.urgency, entry.cost.tokens, moment.now + moment.room.runOf(entry.cost)});
}

AdmissionQueue::Waiting AdmissionQueue::remove(std::size_t place) {
  std::swap(waiting_[place], waiting_.back());
  Waiting removed = waiting_.back();
  waiting_.pop_back();
  return removed;
}

std::optional<QueueEntry> AdmissionQueue::next(const Room& room, TimePoint now) {
  if (waiting_.empty()) return std::nullopt;
  const Moment moment = look(room, now);
  const std::size_t place = choose(ranks(moment), room, moment);
  if (place == waiting_.size()) return std::nullopt;
  const QueueEntry entry = waiting_[place].entry;
  grant(place, moment);
  return entry;
}

std::vector<QueueRefusal> AdmissionQueue::expired(const Room& room, TimePoint now) {
  std::vector<QueueRefusal> refusals;
  if (waiting_.empty() && displaced_.empty()) return refusals;
  const Moment moment = look(room, now);
  const std::vector<Rank> order = ranks(moment);
  std::vector<std::size_t> places(waiting_.size());
  std::iota(places.begin(), places.end(), 0U);
  std::sort(places.begin(), places.end(),
            [&](std::size_t a, std::size_t b) { return order[a] < order[b]; });
  std::vector<std::uint64_t> gone;
  double workAhead = 0.0;
  std::size_t ahead = 0;
  const auto refuse = [&](const Waiting& waiting, const Rank& rank) {
    refusals.push_back({waiting.entry.id, retryAfter(waiting, rank, workAhead, moment),
                        std::max(Duration::zero(), now - waiting.since), ahead});
  };
  for (const std::size_t place : places) {
    const Waiting& waiting = waiting_[place];
    if (hopeless(waiting, order[place], workAhead, moment)) {
      refuse(waiting, order[place]);
      gone.push_back(waiting.entry.id);
      continue;
    }
    ++ahead;
    workAhead += moment.room.workOf(waiting.entry.cost).replicaSeconds;
  }
  for (const Waiting& each : displaced_) refuse(each, rankOf(each, moment));
  displaced_.clear();
  for (const std::uint64_t id : gone) withdraw(id);
  return refusals;
}

bool AdmissionQueue::hopeless(const Waiting& waiting, const Rank& rank, double workAhead,
                              const Moment& moment) {
  const QueueEntry& entry = waiting.entry;
  if (moment.now > entry.latestUseful) return true;
  if (moment.room.halfFree()) return false;
  const Forecast expected = forecast(waiting, rank, workAhead, moment);
  if (expected.servable) return false;
  const Duration left = entry.latestInTime - moment.now;
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
  runs_.clear();
  return entries;
}

std::size_t AdmissionQueue::size() const { return waiting_.size(); }

}  // namespace covewing::admission
