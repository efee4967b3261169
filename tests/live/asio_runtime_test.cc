// Timers of a live node: their order, cancellation from callbacks and destructors, and callbacks
// that own objects.
#include "live/asio_runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace covewing::live {

using std::chrono::milliseconds;

namespace {

struct TimersFixture {
  void run(base::Duration duration) { context.run_for(duration); }
  void scheduleNamed(base::Duration delay, char name) {
    timers->schedule(delay, [this, name] { executed += name; });
  }

  boost::asio::io_context context;
  std::optional<AsioTimerService> timers{std::in_place, context};
  std::string executed;
};

/// Cancels timers in its destructor, like an object whose last reference is held by a timer's
/// callback.
struct Canceller {
  explicit Canceller(AsioTimerService& service) : timers(service) {}
  Canceller(const Canceller&) = delete;
  Canceller& operator=(const Canceller&) = delete;
  ~Canceller() {
    for (const auto id : ids) timers.cancel(id);
  }
  AsioTimerService& timers;
  std::vector<base::TimerId> ids;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AsioTimerServiceTest, TimersFixture)

BOOST_AUTO_TEST_CASE(TimersRunOnceInOrderOfDueTime) {
  scheduleNamed(milliseconds(20), 'c');
  scheduleNamed(milliseconds(5), 'a');
  scheduleNamed(milliseconds(10), 'b');
  scheduleNamed(milliseconds(-5), '0');
  run(milliseconds(100));
  BOOST_TEST(executed == "0abc");
}

BOOST_AUTO_TEST_CASE(ThousandsOfTimersRunOnce) {
  constexpr int kCount = 5000;
  int count = 0;
  for (int index = 0; index < kCount; ++index)
    timers->schedule(milliseconds(index % 7), [&count] { ++count; });
  run(milliseconds(200));
  BOOST_TEST(count == kCount);
}

BOOST_AUTO_TEST_CASE(CallbackMayCancelAndScheduleDueTimers) {
  base::TimerId second = 0;
  timers->schedule(milliseconds(1), [&] {
    timers->cancel(second);
    scheduleNamed({}, 'b');
  });
  second = timers->schedule(milliseconds(1), [this] { executed += 'x'; });
  scheduleNamed(milliseconds(2), 'a');
  // All three are due when the event loop first checks the timers.
  const auto until = AsioClock().now() + milliseconds(5);
  while (AsioClock().now() < until) {
  }
  run(milliseconds(50));
  BOOST_TEST(executed == "ab");
}

BOOST_AUTO_TEST_CASE(TimerRunsAfterAllOthersWereCancelled) {
  timers->cancel(timers->schedule(milliseconds(1), [this] { executed += 'x'; }));
  scheduleNamed(milliseconds(5), 'a');
  run(milliseconds(50));
  BOOST_TEST(executed == "a");
}

BOOST_AUTO_TEST_CASE(ServiceDestroyedInACallbackRunsNoFurtherTimer) {
  timers->schedule(milliseconds(1), [this] { timers.reset(); });
  scheduleNamed(milliseconds(1), 'x');
  run(milliseconds(20));
  BOOST_TEST(executed.empty());
}

BOOST_AUTO_TEST_CASE(ObjectOwnedByACancelledCallbackMayCancelTheSameTimer) {
  auto owned = std::make_shared<Canceller>(*timers);
  const std::weak_ptr<Canceller> observer = owned;
  const auto id = timers->schedule(milliseconds(1), [owned] {});
  owned->ids = {id};
  owned.reset();
  timers->cancel(id);
  BOOST_TEST(observer.expired());
  scheduleNamed(milliseconds(1), 'a');
  run(milliseconds(20));
  BOOST_TEST(executed == "a");
}

BOOST_AUTO_TEST_CASE(ObjectsOwnedByCallbacksMayCancelTimersWhenTheServiceIsDestroyed) {
  constexpr int kCount = 100;
  std::vector<std::shared_ptr<Canceller>> owned;
  std::vector<base::TimerId> ids;
  for (int index = 0; index < kCount; ++index) {
    owned.push_back(std::make_shared<Canceller>(*timers));
    ids.push_back(timers->schedule(std::chrono::hours(1), [one = owned.back()] {}));
  }
  for (const auto& one : owned) one->ids = ids;
  const std::weak_ptr<Canceller> last = owned.back();
  owned.clear();
  timers.reset();
  BOOST_TEST(last.expired());
}

// Guards against an event loop that is busy for seconds without a figure that tells.
BOOST_AUTO_TEST_CASE(LongestDelayTellsForHowLongTheLoopWasBusy) {
  constexpr milliseconds kBusy{60};
  constexpr milliseconds kDue{5};
  scheduleNamed(kDue, 'a');
  boost::asio::post(context, [kBusy] { std::this_thread::sleep_for(kBusy); });
  run(milliseconds(150));
  BOOST_TEST((timers->takeLongestDelay() >= kBusy - kDue));
  BOOST_TEST((timers->takeLongestDelay() == base::Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
