// Timers of a live node: order, cancels at awkward moments, callbacks that own things.
#include "live/asio_runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace covewing::live {

using std::chrono::milliseconds;

namespace {

struct TimersFixture {
  void run(base::Duration duration) { context.run_for(duration); }
  void after(base::Duration delay, char name) {
    timers->schedule(delay, [this, name] { ran += name; });
  }

  boost::asio::io_context context;
  std::optional<AsioTimerService> timers{std::in_place, context};
  std::string ran;
};

/// Cancels timers when it goes, as an object does whose last reference a timer's callback held.
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

BOOST_AUTO_TEST_CASE(TimersRunOnceInTheOrderOfTheirTimes) {
  after(milliseconds(20), 'c');
  after(milliseconds(5), 'a');
  after(milliseconds(10), 'b');
  after(milliseconds(-5), '0');
  run(milliseconds(100));
  BOOST_TEST(ran == "0abc");
}

BOOST_AUTO_TEST_CASE(ThousandsOfTimersRunOnce) {
  constexpr int kCount = 5000;
  int count = 0;
  for (int index = 0; index < kCount; ++index)
    timers->schedule(milliseconds(index % 7), [&count] { ++count; });
  run(milliseconds(200));
  BOOST_TEST(count == kCount);
}

BOOST_AUTO_TEST_CASE(CallbackCancelsAndSchedulesOthersThatAreDue) {
  base::TimerId second = 0;
  timers->schedule(milliseconds(1), [&] {
    timers->cancel(second);
    after({}, 'b');
  });
  second = timers->schedule(milliseconds(1), [this] { ran += 'x'; });
  after(milliseconds(2), 'a');
  // All three are due when the loop looks for the first time.
  const auto until = AsioClock().now() + milliseconds(5);
  while (AsioClock().now() < until) {
  }
  run(milliseconds(50));
  BOOST_TEST(ran == "ab");
}

BOOST_AUTO_TEST_CASE(TimerAfterACancelOfAllOthersRuns) {
  timers->cancel(timers->schedule(milliseconds(1), [this] { ran += 'x'; }));
  after(milliseconds(5), 'a');
  run(milliseconds(50));
  BOOST_TEST(ran == "a");
}

BOOST_AUTO_TEST_CASE(ServiceThatIsDestroyedInACallbackRunsNoOther) {
  timers->schedule(milliseconds(1), [this] { timers.reset(); });
  after(milliseconds(1), 'x');
  run(milliseconds(20));
  BOOST_TEST(ran.empty());
}

BOOST_AUTO_TEST_CASE(CallbackThatGoesWithACancelMayCancelItsOwnTimer) {
  auto owned = std::make_shared<Canceller>(*timers);
  const std::weak_ptr<Canceller> kept = owned;
  const auto id = timers->schedule(milliseconds(1), [owned] {});
  owned->ids = {id};
  owned.reset();
  timers->cancel(id);
  BOOST_TEST(kept.expired());
  after(milliseconds(1), 'a');
  run(milliseconds(20));
  BOOST_TEST(ran == "a");
}

BOOST_AUTO_TEST_CASE(CallbacksThatGoWithTheServiceMayCancelTimers) {
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
