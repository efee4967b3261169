#include "live/asio_runtime.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>

#include "live/boot_clock.h"
#include "live/late_timers.h"

namespace covewing::live {

namespace asio = boost::asio;

base::TimePoint AsioClock::now() const {
  return base::TimePoint{BootClock::now().time_since_epoch()};
}

/// Keeps all timers ordered by due time and uses a single Asio timer, the alarm, for the first one.
/// Most timers are cancelled, and cancelling one needs no Asio call: scheduling and cancelling a
/// timer takes 0.2 us instead of 1.0 us while 2,000 others are pending.
struct AsioTimerService::Impl : std::enable_shared_from_this<AsioTimerService::Impl> {
  using DueTime = BootClock::time_point;
  using Key = std::pair<DueTime, base::TimerId>;

  explicit Impl(asio::io_context& ioContext) : context(ioContext), alarm(ioContext) {}

  base::TimerId add(base::Duration delay, std::function<void()> callback) {
    const auto id = ++lastId;
    const auto due = BootClock::now() + std::max(delay, base::Duration::zero());
    queue.emplace(Key{due, id}, std::move(callback));
    dueTimes.emplace(id, due);
    arm();
    return id;
  }

  void remove(base::TimerId id) {
    const auto found = dueTimes.find(id);
    if (found == dueTimes.end()) return;
    // Destroyed at the end of the function, because objects owned by the callback may cancel timers
    // in their destructors, including this one.
    const auto callback = queue.extract({found->second, id});
    dueTimes.erase(found);
    // A pending alarm without timers would keep the event loop from ending.
    if (queue.empty()) disarm();
  }

  void disarm() {
    armedFor.reset();
    alarm.cancel();
  }

  /// Sets the alarm for the first timer. An alarm that is already set for an earlier time is left
  /// alone, because it is set again when it expires.
  void arm() {
    if (queue.empty()) return;
    const auto first = queue.begin()->first.first;
    if (armedFor && *armedFor <= first) return;
    armedFor = first;
    alarm.expires_at(first);
    alarm.async_wait([weak = weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (self && !error) self->onAlarm();
    });
  }

  void onAlarm() {
    // The alarm had already expired when it was cancelled or set to a later time.
    if (!armedFor || BootClock::now() < *armedFor) return;
    runExpired(context, *armedFor, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->runDueTimers();
    });
  }

  void runDueTimers() {
    const auto now = BootClock::now();
    if (!queue.empty()) longestDelay = std::max(longestDelay, now - queue.begin()->first.first);
    armedFor.reset();
    while (!closed && !queue.empty() && queue.begin()->first.first <= now) {
      const auto entry = queue.extract(queue.begin());
      dueTimes.erase(entry.key().second);
      try {
        entry.mapped()();
      } catch (...) {
        // The other timers go on, whatever becomes of this one.
        if (!closed) arm();
        throw;
      }
    }
    if (!closed) arm();
  }

  void close() {
    closed = true;
    dueTimes.clear();
    // Destroyed at the end of the function, because objects owned by the callbacks may cancel
    // timers in their destructors.
    const auto callbacks = std::exchange(queue, {});
    disarm();
  }

  asio::io_context& context;
  BootTimer alarm;
  std::optional<DueTime> armedFor;
  std::map<Key, std::function<void()>> queue;
  std::unordered_map<base::TimerId, DueTime> dueTimes;
  base::TimerId lastId = 0;
  BootClock::duration longestDelay{};
  bool closed = false;
};

AsioTimerService::AsioTimerService(asio::io_context& context)
    : impl_(std::make_shared<Impl>(context)) {}
AsioTimerService::~AsioTimerService() { impl_->close(); }

base::TimerId AsioTimerService::schedule(base::Duration delay, std::function<void()> callback) {
  return impl_->add(delay, std::move(callback));
}

void AsioTimerService::cancel(base::TimerId timer) { impl_->remove(timer); }

base::Duration AsioTimerService::takeLongestDelay() {
  return std::chrono::duration_cast<base::Duration>(
      std::exchange(impl_->longestDelay, BootClock::duration::zero()));
}

std::uint64_t systemSeed() {
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  return (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
}

base::Incarnation startIncarnation() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<base::Incarnation>(
      std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

}  // namespace covewing::live
