#include "live/asio_runtime.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>
#include <unordered_map>

namespace covewing::live {

namespace asio = boost::asio;

base::TimePoint AsioClock::now() const {
  const auto sinceOrigin = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint{std::chrono::duration_cast<base::Duration>(sinceOrigin)};
}

struct AsioTimerService::Impl {
  explicit Impl(asio::io_context& ioContext) : context(ioContext) {}

  asio::io_context& context;
  base::TimerId last = 0;
  std::unordered_map<base::TimerId, asio::steady_timer> timers;
};

AsioTimerService::AsioTimerService(asio::io_context& context)
    : impl_(std::make_shared<Impl>(context)) {}
AsioTimerService::~AsioTimerService() = default;

base::TimerId AsioTimerService::schedule(base::Duration delay, std::function<void()> callback) {
  const auto id = ++impl_->last;
  auto& timer = impl_->timers.emplace(id, impl_->context).first->second;
  timer.expires_after(std::max(delay, base::Duration::zero()));
  timer.async_wait([weak = std::weak_ptr<Impl>(impl_), id,
                    callback = std::move(callback)](boost::system::error_code error) {
    const auto impl = weak.lock();
    // Erased first: a timer cancelled after its expiry was queued must not run.
    if (error || !impl || impl->timers.erase(id) == 0) return;
    callback();
  });
  return id;
}

void AsioTimerService::cancel(base::TimerId timer) { impl_->timers.erase(timer); }

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
