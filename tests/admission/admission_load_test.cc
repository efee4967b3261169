/// Loads that brought the shortage, each under four orders of service: what callers get is printed
/// (`--log_level=message`) and compared.

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "admission/load_play.h"

namespace covewing::admission {

using base::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kReplicaSlots = 24;
constexpr double kReplicaMemory = 87000;

using Rate = std::function<double(Duration)>;

/// Short requests of the most urgent kind; `load` is the share of a whole replica.
Stream notes(const Rate& load, std::uint64_t tenant = 1) {
  const double work = 0.6 / kReplicaSlots;
  return {0,
          tenant,
          2000,
          milliseconds(600),
          milliseconds(400),
          seconds(15),
          [load, work](Duration at) { return load(at) / work; }};
}
/// Long requests of the least urgent kind: 9,200 tokens.
Stream reviews(const Rate& load, std::uint64_t tenant = 2) {
  const double work = 1.5 * 9200 / kReplicaMemory;
  return {2,
          tenant,
          9200,
          milliseconds(1500),
          milliseconds(1200),
          seconds(6),
          [load, work](Duration at) { return load(at) / work; }};
}
Rate steady(double load) {
  return [load](Duration) { return load; };
}

enum Order : std::uint8_t { kPolling, kFirstCome, kUrgency, kKept };
constexpr std::array kOrders = {kPolling, kFirstCome, kUrgency, kKept};
constexpr std::array kNames = {"polling", "first come", "urgency alone", "this queue"};

std::unique_ptr<ServiceOrder> make(Order order) {
  if (order == kKept) return std::make_unique<ServiceOrder>();
  return std::make_unique<PlainOrder>(static_cast<PlainOrder::Kind>(order));
}

void print(const char* load, Order order, const char* kind, const Got& got) {
  std::ostringstream line;
  line << load << ", " << kNames.at(order) << ", " << kind << ": asked " << got.asked
       << ", in time " << got.inTimeShare() << " (at first " << got.firstShare() << "), served "
       << got.servedShare() << ", refusals " << got.refusals << ", again " << got.refusedAgain;
  BOOST_TEST_MESSAGE(line.str());
}

struct TwoKinds {
  Got urgent;
  Got other;
  double inTime() const {
    return 1.0 * (urgent.inTime + urgent.inTimeLater + other.inTime + other.inTimeLater) /
           (urgent.asked + other.asked);
  }
};

using Step = std::function<void(Duration, VirtualReplica&, std::size_t)>;

/// Plays the load under each order; 8 s more let what waits end.
std::vector<TwoKinds> compare(const char* load, const std::vector<Stream>& streams, Duration length,
                              const Step& step = {}) {
  std::vector<TwoKinds> results;
  for (const Order order : kOrders) {
    LoadPlay play(make(order), streams);
    play.onStep = step;
    play.run(length + seconds(8));
    results.push_back({play.ofUrgency(0), play.ofUrgency(2)});
    print(load, order, "urgent", results.back().urgent);
    print(load, order, "other", results.back().other);
  }
  return results;
}

Rate until(Duration end, const Rate& rate) {
  return [end, rate](Duration at) { return at < end ? rate(at) : 0.0; };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionLoadTest)

BOOST_AUTO_TEST_CASE(SteadyOverload) {
  const Duration length = seconds(20);
  const auto got =
      compare("overload 1.3",
              {notes(until(length, steady(0.65))), reviews(until(length, steady(0.65)))}, length);
  (void)got;
}

BOOST_AUTO_TEST_CASE(BurstOfLessUrgentThenOfMoreUrgent) {
  const Duration length = seconds(18);
  const Rate urgent = [](Duration at) {
    return at >= seconds(10) && at < milliseconds(13400) ? 0.45 * 1.8 : 0.45;
  };
  const Rate other = [](Duration at) {
    return at >= seconds(4) && at < seconds(10) ? 0.25 * 2.4 : 0.25;
  };
  const Step fewer = [](Duration at, VirtualReplica& replica, std::size_t) {
    if (at == seconds(4)) replica.setRoom(18, 64766);
    if (at == milliseconds(13400)) replica.setRoom(24, 87000);
  };
  const auto got = compare("bursts", {notes(until(length, urgent)), reviews(until(length, other))},
                           length, fewer);
  (void)got;
}

BOOST_AUTO_TEST_CASE(OneTenantAtFiveTimes) {
  for (const Order order : kOrders) {
    for (const bool flood : {false, true}) {
      std::vector<Stream> streams;
      for (std::uint64_t tenant = 1; tenant <= 10; ++tenant) {
        streams.push_back(
            notes(until(seconds(20), steady(tenant == 1 && flood ? 0.45 : 0.09)), tenant));
      }
      LoadPlay play(make(order), streams);
      play.run(seconds(28));
      Got others;
      for (std::uint64_t tenant = 2; tenant <= 10; ++tenant) {
        others.asked += play.ofTenant(tenant).asked;
        others.inTime += play.ofTenant(tenant).inTime;
        others.inTimeLater += play.ofTenant(tenant).inTimeLater;
        others.late += play.ofTenant(tenant).late;
        others.refusals += play.ofTenant(tenant).refusals;
      }
      print(flood ? "flood" : "no flood", order, "others", others);
      print(flood ? "flood" : "no flood", order, "tenant", play.ofTenant(1));
    }
  }
}

BOOST_AUTO_TEST_CASE(AllBackAtOnce) {
  const Rate load = [](Duration at) { return at < milliseconds(500) ? 10.0 : 0.5; };
  for (const Order order : kOrders) {
    LoadPlay play(make(order), {notes(until(seconds(14), load))});
    play.run(seconds(22));
    print("all at once", order, "urgent", play.ofUrgency(0));
    BOOST_TEST_MESSAGE("most together " << play.mostTogether());
  }
}

BOOST_AUTO_TEST_CASE(CapacityBackAtOnce) {
  for (const Order order : kOrders) {
    Duration empty{};
    Duration filled{};
    LoadPlay play(make(order), {notes(until(seconds(20), steady(0.5))),
                                reviews(until(seconds(20), steady(0.4)))});
    play.onStep = [&](Duration at, VirtualReplica& replica, std::size_t queued) {
      if (at == Duration::zero()) replica.setRoom(8, 29000);
      if (at == seconds(14)) replica.setRoom(24, 87000);
      if (at <= seconds(14)) return;
      if (queued == 0 && empty == Duration::zero()) empty = at - seconds(14);
      const bool full = replica.taken() >= 0.9 * replica.slots() ||
                        static_cast<double>(replica.memoryTaken()) >= 0.9 * 87000;
      if (full && filled == Duration::zero()) filled = at - seconds(14);
    };
    play.run(seconds(28));
    print("capacity back", order, "urgent", play.ofUrgency(0));
    print("capacity back", order, "other", play.ofUrgency(2));
    BOOST_TEST_MESSAGE("queue empty after " << base::toMilliseconds(empty) << " ms, filled after "
                                            << base::toMilliseconds(filled) << " ms");
  }
}

BOOST_AUTO_TEST_CASE(LongAmongShort) {
  const Duration length = seconds(20);
  Stream large = reviews(until(length, steady(0.15)));
  large.urgency = 0;
  large.tenant = 2;
  Stream small = notes(until(length, steady(1.0)));
  small.tokens = 4000;
  for (const Order order : kOrders) {
    LoadPlay play(make(order), {small, large});
    play.run(length + seconds(8));
    print("long among short", order, "short", play.ofTenant(1));
    print("long among short", order, "long", play.ofTenant(2));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
