#include "admission/retry_schedule.h"

#include <algorithm>

namespace covewing::admission {

namespace {

/// Equal for equal ids, between 0 and 1.
double fractionOf(std::uint64_t id) {
  std::uint64_t mixed = id + 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31U;
  return static_cast<double>(mixed >> 11U) / static_cast<double>(1ULL << 53U);
}

base::Duration part(base::Duration whole, double fraction) {
  return base::Duration(
      static_cast<base::Duration::rep>(static_cast<double>(whole.count()) * fraction));
}

}  // namespace

base::Duration ReturnTimes::after(const QueueEntry& entry, base::TimePoint since, double workAhead,
                                  const LoadNow& load) {
  if (load.room.neverFits(entry.cost)) return kLongest;
  const std::size_t place = LoadNow::placeOf(entry.urgency, false);
  const double work = load.room.workOf(entry.cost).replicaSeconds;
  const double leftByUrgent = std::max(1.0 - load.askedBefore.at(place), LoadNow::kLeastReckoned);
  // Those who come back get what fresh ones leave: otherwise they only push these out, and 0.85 of
  // the urgent began in time when they first asked, in place of 0.98 (bursts).
  const double left = std::max(leftByUrgent - load.askedFresh.at(place), LoadNow::kLeastReckoned);
  const base::Duration allowance = std::max(base::Duration(0), entry.softStartDeadline - since);
  const Window window{fromSeconds(workAhead / left) - allowance, kLongest,
                      fromSeconds(work / left)};
  const base::Duration after =
      next(returns_, entry, window, load.now)
          .value_or(kLongest / 2 + part(kLongest / 2, fractionOf(entry.id)));
  const base::Duration useful = entry.hardStartDeadline - load.now;
  if (after <= useful || askedBefore(entry, since)) return after;
  // One that asked for the first time may try once more before its answer is of no use, at the rate
  // at which room falls free: what is expected may change, and the caller loses nothing. Of the
  // less urgent 0.95 were served in an overload of 1.3 times, 0.84 without.
  return next(lastTries_, entry, {useful / 2, useful, fromSeconds(work / leftByUrgent)}, load.now)
      .value_or(after);
}

std::optional<base::Duration> ReturnTimes::next(Schedule& schedule, const QueueEntry& entry,
                                                const Window& window, base::TimePoint now) {
  base::TimePoint& next = schedule.at(LoadNow::placeOf(entry.urgency, false));
  const base::TimePoint from = std::max(next, now + std::max(window.earliest, base::Duration(0)));
  if (from >= now + window.latest) return std::nullopt;
  next = from + window.interval;
  return std::min(window.latest, from - now + part(window.interval, fractionOf(entry.id)));
}

}  // namespace covewing::admission
