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

namespace covewing::live {

namespace asio = boost::asio;

base::TimePoint AsioClock::now() const {
  return base::TimePoint{BootClock::now().time_since_epoch()};
}

/// All timers in the order of their due times behind one timer of Asio, the alarm: a timer that is
/// cancelled, as most are, costs Asio nothing. 0.2 us instead of 1.0 us for a timer that is
/// scheduled and cancelled beside 2,000 others.
struct AsioTimerService::Impl : std::enable_shared_from_this<AsioTimerService::Impl> {
  using DueTime = BootClock::time_point;
  using Key = std::pair<DueTime, base::TimerId>;

  explicit Impl(asio::io_context& context) : alarm(context) {}

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
    // Goes last: what the callback owns may cancel timers, this one too, when it goes.
    const auto callback = queue.extract({found->second, id});
    dueTimes.erase(found);
    // An alarm for nothing would keep the loop from ending.
    if (queue.empty()) disarm();
  }

  void disarm() {
    armedFor.reset();
    alarm.cancel();
  }

  /// An alarm that goes off before the first timer is due is set again then.
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
    const auto now = BootClock::now();
    // An alarm that went off just before it was set anew.
    if (!armedFor || now < *armedFor) return;
    armedFor.reset();
    while (!closed && !queue.empty() && queue.begin()->first.first <= now) {
      const auto entry = queue.extract(queue.begin());
      dueTimes.erase(entry.key().second);
      entry.mapped()();
    }
    if (!closed) arm();
  }

  void close() {
    closed = true;
    dueTimes.clear();
    // Goes last: what the callbacks own may cancel timers when it goes.
    const auto callbacks = std::exchange(queue, {});
    disarm();
  }

  BootTimer alarm;
  std::optional<DueTime> armedFor;
  std::map<Key, std::function<void()>> queue;
  std::unordered_map<base::TimerId, DueTime> dueTimes;
  base::TimerId lastId = 0;
  bool closed = false;
};

AsioTimerService::AsioTimerService(asio::io_context& context)
    : impl_(std::make_shared<Impl>(context)) {}
AsioTimerService::~AsioTimerService() { impl_->close(); }

base::TimerId AsioTimerService::schedule(base::Duration delay, std::function<void()> callback) {
  return impl_->add(delay, std::move(callback));
}

void AsioTimerService::cancel(base::TimerId timer) { impl_->remove(timer); }

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
