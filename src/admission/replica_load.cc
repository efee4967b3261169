#include "admission/replica_load.h"

#include <algorithm>
#include <cmath>

namespace covewing::admission {

namespace {

/// Time over which what is left for late service is measured: callers wait about as long.
constexpr base::Duration kLongMemory = std::chrono::seconds(5);
/// Most of the replica kept free for more urgent requests that are expected; half, as no request is
/// refused while half of the places are free. Bursts with 100 ms to begin in: 0.906 of the urgent
/// began in time when they first asked, 0.862 without.
constexpr double kMostReserved = 0.5;

std::int64_t bounded(double expected, double all) {
  return std::llround(std::min(std::round(expected), std::floor(kMostReserved * all)));
}

}  // namespace

std::size_t LoadNow::placeOf(std::uint32_t urgency, bool late) {
  return late ? ArrivalRates::kUrgencies
              : std::min<std::size_t>(urgency, ArrivalRates::kUrgencies - 1);
}

ReplicaLoad::ReplicaLoad(base::Duration rateMemory)
    : rates_(rateMemory), freshRates_(rateMemory), longRates_(kLongMemory) {}

void ReplicaLoad::onArrival(const QueueEntry& entry, bool returned, const LoadNow& load) {
  const Work work = load.room.workOf(entry.cost);
  rates_.onArrival(entry.urgency, work, load.now);
  longRates_.onArrival(entry.urgency, work, load.now);
  leastShares_.at(LoadNow::placeOf(entry.urgency, false)).onArrival(work.replicaSeconds, load.now);
  if (!returned) freshRates_.onArrival(entry.urgency, work, load.now);
}

void ReplicaLoad::onGrant(const QueueEntry& entry, const LoadNow& load) {
  const std::size_t place = LoadNow::placeOf(entry.urgency, false);
  leastShares_.at(place).onGrant(load.room.workOf(entry.cost).replicaSeconds, load.now);
  runs_.onGrant({static_cast<std::uint32_t>(place), entry.cost.tokens,
                 load.now + load.room.runOf(entry.cost)});
}

LoadNow ReplicaLoad::look(const ReplicaCapacity& room, base::TimePoint now) {
  LoadNow load(room, now);
  runs_.trim(load.room.taken);
  load.askedLong = longRates_.askedBefore(ArrivalRates::kUrgencies, now);
  double slots = 0.0;
  double tokens = 0.0;
  for (std::uint32_t urgency = 0; urgency < ArrivalRates::kUrgencies; ++urgency) {
    load.reserve.at(urgency) = {bounded(slots, load.room.slots),
                                bounded(tokens, static_cast<double>(load.room.memory))};
    load.askedFresh.at(urgency) = freshRates_.asked(urgency, now).share;
    const Demand asked = rates_.asked(urgency, now);
    load.askedBefore.at(urgency + 1) = load.askedBefore.at(urgency) + asked.share;
    if (asked.share <= 0.0) continue;
    const FreeRoom held = runs_.heldBy(urgency);
    slots += std::max(0.0, asked.slots - static_cast<double>(held.slots));
    tokens += std::max(0.0, asked.tokens - static_cast<double>(held.tokens));
  }
  load.reserve.back() = {bounded(slots, load.room.slots),
                         bounded(tokens, static_cast<double>(load.room.memory))};
  return load;
}

FutureRoom ReplicaLoad::whenFree(const FreeRoom& need, const LoadNow& load) const {
  FutureRoom future = runs_.whenFree(need, load.room.free(), load.now);
  // The rest is held by runs that were not granted here (a home that started again knows none):
  // taken to end after the usual time.
  if (future.spare.slots < 0 || future.spare.tokens < 0) {
    future.at = std::max(future.at, load.now + load.room.runTime);
  }
  return future;
}

bool ReplicaLoad::withinLeastShare(const QueueEntry& entry, const LoadNow& load) const {
  return entry.urgency != 0 && leastShares_.at(LoadNow::placeOf(entry.urgency, false))
                                   .covers(load.room.workOf(entry.cost).replicaSeconds, load.now);
}

}  // namespace covewing::admission
