/// Loads that brought the shortage, each under four orders of service: what callers get is printed
/// (`--log_level=message`) and compared.

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <sstream>
#include <string>

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

constexpr std::uint64_t kSeeds = 5;

using Step = std::function<void(Duration, VirtualReplica&, std::size_t)>;

/// What callers got in all seeds together.
struct Outcome {
  std::map<std::uint32_t, Got> byUrgency;
  std::map<std::uint64_t, Got> byTenant;
  /// Most that came back within a tenth of a second.
  int mostTogether = 0;
  /// Requests of the most urgent kind, and of the least urgent.
  const Got& urgent() const { return byUrgency.at(0); }
  const Got& other() const { return byUrgency.at(2); }
};

void print(const std::string& load, Order order, const std::string& kind, const Got& got) {
  std::ostringstream line;
  line.precision(3);
  line << load << ", " << kNames.at(order) << ", " << kind << ": asked " << got.asked
       << ", in time at first " << got.firstShare() << ", or on return " << got.inTimeShare()
       << ", served " << got.servedShare() << ", refusals " << got.refusals << ", again "
       << got.refusedAgain;
  BOOST_TEST_MESSAGE(line.str());
}

/// Plays the load; 8 s more let what waits end.
Outcome played(Order order, const std::vector<Stream>& streams, Duration length,
               const Step& step = {}) {
  Outcome outcome;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LoadPlay play(make(order), streams, seed);
    play.onStep = step;
    play.run(length + seconds(8));
    for (const Stream& stream : streams) outcome.byUrgency[stream.urgency];
    for (auto& [urgency, got] : outcome.byUrgency) got += play.ofUrgency(urgency);
    for (const Stream& stream : streams) {
      outcome.byTenant[stream.tenant] += play.ofTenant(stream.tenant);
    }
    outcome.mostTogether = std::max(outcome.mostTogether, play.mostTogether());
  }
  return outcome;
}

/// The same under each order.
std::vector<Outcome> compare(const std::string& load, const std::vector<Stream>& streams,
                             Duration length, const Step& step = {}) {
  std::vector<Outcome> outcomes;
  for (const Order order : kOrders) {
    outcomes.push_back(played(order, streams, length, step));
    for (const auto& [urgency, got] : outcomes.back().byUrgency) {
      print(load, order, "urgency " + std::to_string(urgency), got);
    }
  }
  return outcomes;
}

Rate until(Duration end, const Rate& rate) {
  return [end, rate](Duration at) { return at < end ? rate(at) : 0.0; };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionLoadTest)

BOOST_AUTO_TEST_CASE(SteadyOverload) {
  const Rate half = until(seconds(20), steady(0.65));
  [[maybe_unused]] const auto got = compare("overload 1.3", {notes(half), reviews(half)}, seconds(20));
}

BOOST_AUTO_TEST_CASE(UrgentAloneOverload) {
  const auto got =
      compare("urgent alone 1.3",
              {notes(until(seconds(20), steady(1.3))), reviews(until(seconds(20), steady(0.5)))},
              seconds(20));
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
  [[maybe_unused]] const auto got = compare("bursts", {notes(until(length, urgent)), reviews(until(length, other))},
                           length, fewer);
}

BOOST_AUTO_TEST_CASE(OneTenantAtFiveTimes) {
  const auto tenants = [](double first) {
    std::vector<Stream> streams;
    for (std::uint64_t tenant = 1; tenant <= 10; ++tenant) {
      streams.push_back(notes(until(seconds(20), steady(tenant == 1 ? first : 0.09)), tenant));
    }
    return streams;
  };
  for (const Order order : kOrders) {
    for (const double first : {0.09, 0.45}) {
      const Outcome outcome = played(order, tenants(first), seconds(20));
      Got others;
      for (const auto& [tenant, got] : outcome.byTenant) {
        if (tenant != 1) others += got;
      }
      const std::string load = first > 0.1 ? "tenant at five times" : "tenants as usual";
      print(load, order, "others", others);
      print(load, order, "this tenant", outcome.byTenant.at(1));
    }
  }
}

BOOST_AUTO_TEST_CASE(AllBackAtOnce) {
  const Rate load = [](Duration at) { return at < milliseconds(500) ? 10.0 : 0.5; };
  [[maybe_unused]] const auto got = compare("all at once", {notes(until(seconds(14), load))}, seconds(14));
  for (const auto& each : got) BOOST_TEST_MESSAGE("most together " << each.mostTogether);
}

BOOST_AUTO_TEST_CASE(CapacityBackAtOnce) {
  Duration empty{};
  Duration filled{};
  Duration worstEmpty{};
  Duration worstFilled{};
  const Step step = [&](Duration at, VirtualReplica& replica, std::size_t queued) {
    if (at == Duration::zero()) {
      replica.setRoom(8, 29000);
      empty = filled = Duration::zero();
    }
    if (at == seconds(14)) replica.setRoom(24, 87000);
    if (at <= seconds(14)) return;
    if (queued == 0 && empty == Duration::zero()) empty = at - seconds(14);
    const bool full = replica.taken() >= 0.9 * replica.slots() ||
                      static_cast<double>(replica.memoryTaken()) >= 0.9 * kReplicaMemory;
    if (full && filled == Duration::zero()) filled = at - seconds(14);
    worstEmpty = std::max(worstEmpty, empty);
    worstFilled = std::max(worstFilled, filled);
  };
  for (const Order order : kOrders) {
    worstEmpty = worstFilled = Duration::zero();
    const Outcome outcome = played(
        order, {notes(until(seconds(20), steady(0.5))), reviews(until(seconds(20), steady(0.4)))},
        seconds(20), step);
    print("capacity back", order, "urgent", outcome.urgent());
    print("capacity back", order, "other", outcome.other());
    BOOST_TEST_MESSAGE("queue empty after " << base::toMilliseconds(worstEmpty)
                                            << " ms, filled after "
                                            << base::toMilliseconds(worstFilled) << " ms");
  }
}

BOOST_AUTO_TEST_CASE(LongAmongShort) {
  Stream large = reviews(until(seconds(20), steady(0.15)));
  large.urgency = 0;
  Stream small = notes(until(seconds(20), steady(1.0)));
  small.tokens = 4000;
  for (const Order order : kOrders) {
    const Outcome outcome = played(order, {small, large}, seconds(20));
    print("long among short", order, "short", outcome.byTenant.at(1));
    print("long among short", order, "long", outcome.byTenant.at(2));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
