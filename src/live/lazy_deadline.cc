#include "live/lazy_deadline.h"

#include "live/boot_clock.h"
#include "live/late_timers.h"

namespace covewing::live {

struct LazyDeadline::Impl : std::enable_shared_from_this<LazyDeadline::Impl> {
  using Time = BootClock::time_point;

  Impl(const boost::asio::any_io_executor& executor, std::function<void()> callback)
      : context(static_cast<boost::asio::io_context&>(executor.context())),
        timer(context),
        expired(std::move(callback)) {}

  void arm() {
    active = true;
    timer.expires_at(deadline);
    timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (self && !error) self->onTimer();
    });
  }

  void onTimer() {
    active = false;
    if (deadline == Time::max()) return;
    runExpired(context, deadline, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->expireIfDue();
    });
  }

  void expireIfDue() {
    if (active || deadline == Time::max()) return;
    const auto now = BootClock::now();
    if (now < deadline) {
      arm();
      return;
    }
    late = now - deadline;
    deadline = Time::max();
    expired();
  }

  boost::asio::io_context& context;
  BootTimer timer;
  std::function<void()> expired;
  Time deadline = Time::max();
  base::Duration late{};
  bool active = false;
};

LazyDeadline::LazyDeadline(const boost::asio::any_io_executor& executor,
                           std::function<void()> expired)
    : impl_(std::make_shared<Impl>(executor, std::move(expired))) {}
LazyDeadline::~LazyDeadline() = default;

void LazyDeadline::set(base::Duration delay) {
  impl_->deadline = BootClock::now() + delay;
  if (!impl_->active || impl_->deadline < impl_->timer.expiry()) impl_->arm();
}

void LazyDeadline::clear() { impl_->deadline = Impl::Time::max(); }

base::Duration LazyDeadline::lateness() const { return impl_->late; }

void LazyDeadline::stop() {
  clear();
  impl_->active = false;
  impl_->timer.cancel();
}

}  // namespace covewing::live
