#include "live/lazy_deadline.h"

#include <boost/asio/steady_timer.hpp>

namespace covewing::live {

struct LazyDeadline::Impl : std::enable_shared_from_this<LazyDeadline::Impl> {
  using SteadyTime = std::chrono::steady_clock::time_point;

  Impl(const boost::asio::any_io_executor& executor, std::function<void()> callback)
      : timer(executor), expired(std::move(callback)) {}

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
    if (deadline == SteadyTime::max()) return;
    if (std::chrono::steady_clock::now() < deadline) {
      arm();
      return;
    }
    deadline = SteadyTime::max();
    expired();
  }

  boost::asio::steady_timer timer;
  std::function<void()> expired;
  SteadyTime deadline = SteadyTime::max();
  bool active = false;
};

LazyDeadline::LazyDeadline(const boost::asio::any_io_executor& executor,
                           std::function<void()> expired)
    : impl_(std::make_shared<Impl>(executor, std::move(expired))) {}
LazyDeadline::~LazyDeadline() = default;

void LazyDeadline::set(base::Duration delay) {
  impl_->deadline = std::chrono::steady_clock::now() + delay;
  if (!impl_->active || impl_->deadline < impl_->timer.expiry()) impl_->arm();
}

void LazyDeadline::clear() { impl_->deadline = Impl::SteadyTime::max(); }

void LazyDeadline::stop() {
  clear();
  impl_->active = false;
  impl_->timer.cancel();
}

}  // namespace covewing::live
