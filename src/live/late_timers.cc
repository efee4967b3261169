#include "live/late_timers.h"

#include <exception>
#include <utility>
#include <vector>

#include "live/handler_failures.h"

namespace covewing::live {

namespace {

namespace asio = boost::asio;

/// The late timers of one event loop.
class LateTimers final : public asio::execution_context::service {
 public:
  static asio::execution_context::id id;  // NOLINT(readability-identifier-naming): set by Asio

  explicit LateTimers(asio::execution_context& context) : service(context) {}

  void run(asio::io_context& context, std::function<void()> expired) {
    if (!handlingInput_ && BootClock::now() < noWaitBefore_) {
      expired();
      return;
    }
    expired_.push_back(std::move(expired));
    // Timers that expire while input is handled wait for its end with the first one.
    if (handlingInput_) return;
    handlingInput_ = true;
    runStep([&] { handleInput(context); });
    handlingInput_ = false;
    for (const auto& callback : std::exchange(expired_, {})) runStep(callback);
    if (failure_) std::rethrow_exception(std::exchange(failure_, nullptr));
  }

 private:
  /// Runs `step`. An exception leaves the event loop's handler only once all timers have run.
  template <class Step>
  void runStep(const Step& step) {
    try {
      step();
    } catch (...) {
      if (failure_) HandlerFailures::of(this->context()).reportCurrentException("late timer");
      if (!failure_) failure_ = std::current_exception();
    }
  }

  void handleInput(asio::io_context& context) {
    const auto begin = BootClock::now();
    while (context.poll_one() > 0 && BootClock::now() - begin < kMaximumInputTime) {
    }
    const auto end = BootClock::now();
    noWaitBefore_ = end + kPauseBetweenWaits * (end - begin);
  }

  void shutdown() override { expired_.clear(); }

  std::vector<std::function<void()>> expired_;
  bool handlingInput_ = false;
  std::exception_ptr failure_;
  BootClock::time_point noWaitBefore_{};
};

asio::execution_context::id LateTimers::id;

}  // namespace

void runExpired(asio::io_context& context, BootClock::time_point due,
                std::function<void()> expired) {
  if (BootClock::now() - due <= kTimerLateness) {
    expired();
  } else {
    asio::use_service<LateTimers>(context).run(context, std::move(expired));
  }
}

}  // namespace covewing::live
