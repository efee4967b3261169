/// Loads that brought the shortage, each under four orders of service: what callers get is printed
/// (`--log_level=message`) and compared.

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <sstream>
#include <string>

#include "admission/load_simulation.h"

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

/// The kept order against the others: the urgent begin in time when they first ask at least as
/// often as under each other order but for `within`.
void checkUrgent(const std::vector<Outcome>& got, double within) {
  const Got& kept = got.at(kKept).urgent();
  for (const Order order : {kPolling, kFirstCome, kUrgency}) {
    BOOST_TEST_CONTEXT(kNames.at(order)) {
      BOOST_TEST(kept.firstShare() >= got.at(order).urgent().firstShare() - within);
    }
  }
}
/// The more urgent are in time at least as often as the less urgent, first or on return.
void checkNoInversion(const Outcome& got) {
  BOOST_TEST(got.urgent().firstShare() >= got.other().firstShare());
  BOOST_TEST(got.urgent().inTimeShare() >= got.other().inTimeShare());
}
/// Few of those that were told when to come back are refused again.
void checkRefusedAgain(const Got& kept, const Got& polling) {
  BOOST_TEST(kept.refusals <= polling.refusals);
  BOOST_TEST(kept.refusedAgain * 3 <= polling.refusedAgain);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionLoadTest)

BOOST_AUTO_TEST_CASE(SteadyOverload) {
  const Rate half = until(seconds(20), steady(0.65));
  const auto got = compare("overload 1.3", {notes(half), reviews(half)}, seconds(20));
  checkUrgent(got, 0.0);
  checkNoInversion(got.at(kKept));
  checkRefusedAgain(got.at(kKept).other(), got.at(kPolling).other());
  // The room is enough for the urgent: none of them loses, and the less urgent have the rest.
  BOOST_TEST(got.at(kKept).urgent().firstShare() >= 0.99);
  BOOST_TEST(got.at(kKept).other().firstShare() >= got.at(kPolling).other().firstShare());
  BOOST_TEST(got.at(kKept).other().firstShare() >= got.at(kUrgency).other().firstShare());
  BOOST_TEST(got.at(kKept).other().servedShare() >= 0.9);
}

/// The bound for the less urgent: they are served a tenth of what they ask, also while the most
/// urgent alone ask for more than there is; and that costs the urgent no more than that.
BOOST_AUTO_TEST_CASE(LessUrgentDoNotStarve) {
  const auto got =
      compare("urgent alone 1.3",
              {notes(until(seconds(20), steady(1.3))), reviews(until(seconds(20), steady(0.5)))},
              seconds(20));
  checkUrgent(got, 0.0);
  checkNoInversion(got.at(kKept));
  BOOST_TEST(got.at(kKept).other().servedShare() >= 0.09);
  BOOST_TEST(got.at(kKept).other().servedShare() > got.at(kUrgency).other().servedShare());
  // A twentieth of the replica goes to the less urgent, the rest of it to the urgent: 0.73 of them
  // at the most while the load lasts.
  BOOST_TEST(got.at(kKept).urgent().firstShare() >= 0.6);
  BOOST_TEST(got.at(kKept).urgent().inTimeShare() >= 0.95);
  checkRefusedAgain(got.at(kKept).urgent(), got.at(kPolling).urgent());
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
  [[maybe_unused]] const auto got = compare(
      "bursts", {notes(until(length, urgent)), reviews(until(length, other))}, length, fewer);
  checkUrgent(got, 0.0);
  checkNoInversion(got.at(kKept));
  checkRefusedAgain(got.at(kKept).urgent(), got.at(kPolling).urgent());
  BOOST_TEST(got.at(kKept).urgent().firstShare() >= 0.95);
  BOOST_TEST(got.at(kKept).other().firstShare() >= got.at(kPolling).other().firstShare());
  BOOST_TEST(got.at(kKept).other().firstShare() >= got.at(kUrgency).other().firstShare());
  BOOST_TEST(got.at(kKept).other().servedShare() >= 0.75);
}

BOOST_AUTO_TEST_CASE(OneTenantAtFiveTimes) {
  const auto tenants = [](double first) {
    std::vector<Stream> streams;
    for (std::uint64_t tenant = 1; tenant <= 10; ++tenant) {
      streams.push_back(notes(until(seconds(20), steady(tenant == 1 ? first : 0.09)), tenant));
    }
    return streams;
  };
  // Of the other tenants' requests, those in time when they first asked; first as usual, then with
  // the one tenant at five times.
  std::array<std::array<double, 2>, kOrders.size()> inTime{};
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
      inTime.at(order).at(first > 0.1 ? 1 : 0) = others.firstShare();
      if (order == kKept) BOOST_TEST(others.inTimeShare() >= 0.99);
      if (order == kKept) BOOST_TEST(outcome.byTenant.at(1).servedShare() >= 0.8);
    }
  }
  BOOST_TEST(inTime[kKept][1] >= inTime[kKept][0] - 0.03);
  for (const Order order : {kPolling, kFirstCome, kUrgency}) {
    BOOST_TEST_CONTEXT(kNames.at(order)) {
      BOOST_TEST(inTime[kKept][1] >= inTime.at(order)[1] + 0.5);
      BOOST_TEST(inTime[kKept][0] >= inTime.at(order)[0]);
    }
  }
}

BOOST_AUTO_TEST_CASE(AllBackAtOnce) {
  const Rate load = [](Duration at) { return at < milliseconds(500) ? 10.0 : 0.5; };
  const auto got = compare("all at once", {notes(until(seconds(14), load))}, seconds(14));
  for (const Order order : kOrders) {
    BOOST_TEST_MESSAGE(kNames.at(order)
                       << ": most that came back in 0.1 s: " << got.at(order).mostTogether);
  }
  checkUrgent(got, 0.0);
  checkRefusedAgain(got.at(kKept).urgent(), got.at(kPolling).urgent());
  BOOST_TEST(got.at(kKept).urgent().servedShare() >= 0.99);
  BOOST_TEST(got.at(kKept).urgent().refusedAgain * 100 <= got.at(kKept).urgent().refusals);
  // Some four begin in a tenth of a second.
  BOOST_TEST(got.at(kKept).mostTogether <= 10);
}

BOOST_AUTO_TEST_CASE(CapacityBackAtOnce) {
  // Longest times in all seeds from the return of the capacity, at 14 s.
  Duration empty{};
  Duration filled{};
  bool wasEmpty = false;
  bool wasFilled = false;
  const Step step = [&](Duration at, VirtualReplica& replica, std::size_t queued) {
    if (at == Duration::zero()) {
      replica.setRoom(8, 29000);
      wasEmpty = wasFilled = false;
    }
    if (at == seconds(14)) replica.setRoom(24, 87000);
    if (at <= seconds(14)) return;
    if (!wasEmpty) empty = std::max(empty, at - seconds(14));
    if (!wasFilled) filled = std::max(filled, at - seconds(14));
    wasEmpty = wasEmpty || queued == 0;
    wasFilled = wasFilled || replica.slotsInUse() >= 0.9 * replica.slots() ||
                static_cast<double>(replica.memoryInUse()) >= 0.9 * kReplicaMemory;
  };
  // Load that the whole replica bears, and load that fills it.
  for (const double load : {0.8, 1.2}) {
    std::vector<Outcome> got;
    for (const Order order : kOrders) {
      empty = filled = Duration::zero();
      got.push_back(played(order,
                           {notes(until(seconds(20), steady(load * 0.55))),
                            reviews(until(seconds(20), steady(load * 0.45)))},
                           seconds(20), step));
      const std::string name = "capacity back, load " + std::to_string(load).substr(0, 3);
      print(name, order, "urgent", got.back().urgent());
      print(name, order, "other", got.back().other());
      BOOST_TEST_MESSAGE("queue empty after " << base::toMilliseconds(empty) << " ms, filled after "
                                              << base::toMilliseconds(filled) << " ms");
    }
    checkUrgent(got, 0.0);
    checkNoInversion(got.at(kKept));
    checkRefusedAgain(got.at(kKept).urgent(), got.at(kPolling).urgent());
    BOOST_TEST(got.at(kKept).urgent().inTimeShare() >= 0.95);
    if (load < 1.0) BOOST_TEST((empty <= seconds(1)));
    if (load > 1.0) BOOST_TEST((filled <= seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(LongAmongShort) {
  Stream large = reviews(until(seconds(20), steady(0.15)));
  large.urgency = 0;
  Stream small = notes(until(seconds(20), steady(1.0)));
  small.tokens = 4000;
  std::vector<Outcome> got;
  for (const Order order : kOrders) {
    got.push_back(played(order, {small, large}, seconds(20)));
    print("long among short", order, "short", got.back().byTenant.at(1));
    print("long among short", order, "long", got.back().byTenant.at(2));
  }
  for (const Order order : {kPolling, kFirstCome, kUrgency}) {
    for (const std::uint64_t tenant : {1, 2}) {
      BOOST_TEST(got.at(kKept).byTenant.at(tenant).firstShare() >=
                 got.at(order).byTenant.at(tenant).firstShare());
    }
  }
  BOOST_TEST(got.at(kKept).byTenant.at(2).firstShare() >= 0.95);
  BOOST_TEST(got.at(kKept).byTenant.at(1).servedShare() >= 0.95);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
