/// Load patterns that caused shortages, each simulated with four schedulers. The results for the
/// callers are printed (`--log_level=message`) and compared.

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

/// Short requests of the most urgent level; `load` is the share of a whole replica.
Stream shortRequests(const Rate& load, std::uint64_t tenant = 1) {
  const double work = 0.6 / kReplicaSlots;
  return {0,
          tenant,
          2000,
          milliseconds(600),
          milliseconds(400),
          seconds(15),
          [load, work](Duration at) { return load(at) / work; }};
}
/// Long requests of the least urgent level: 9,200 tokens.
Stream longRequests(const Rate& load, std::uint64_t tenant = 2) {
  const double work = 1.5 * 9200 / kReplicaMemory;
  return {2,
          tenant,
          9200,
          milliseconds(1500),
          milliseconds(1200),
          seconds(6),
          [load, work](Duration at) { return load(at) / work; }};
}
Rate constantRate(double load) {
  return [load](Duration) { return load; };
}

enum SchedulerKind : std::uint8_t { kPolling, kFifo, kUrgency, kAdmissionQueue };
constexpr std::array kSchedulers = {kPolling, kFifo, kUrgency, kAdmissionQueue};
constexpr std::array kNames = {"polling", "first come", "urgency alone", "this queue"};

std::unique_ptr<Scheduler> makeScheduler(SchedulerKind scheduler) {
  if (scheduler == kAdmissionQueue) return std::make_unique<Scheduler>();
  return std::make_unique<BaselineScheduler>(static_cast<BaselineScheduler::Kind>(scheduler));
}

constexpr std::uint64_t kSeeds = 5;

using Step = std::function<void(Duration, VirtualReplica&, std::size_t)>;

/// Results for the callers, summed over all seeds.
struct Outcome {
  std::map<std::uint32_t, CallerStatistics> byUrgency;
  std::map<std::uint64_t, CallerStatistics> byTenant;
  /// Maximum number of retries within a tenth of a second.
  int maximumRetriesTogether = 0;
  /// Requests of the most urgent level, and of the least urgent one.
  const CallerStatistics& mostUrgent() const { return byUrgency.at(0); }
  const CallerStatistics& lessUrgent() const { return byUrgency.at(2); }
};

void print(const std::string& load, SchedulerKind scheduler, const std::string& kind,
           const CallerStatistics& results) {
  std::ostringstream line;
  line.precision(3);
  line << load << ", " << kNames.at(scheduler) << ", " << kind << ": requests " << results.requests
       << ", on time at first attempt " << results.firstAttemptShare() << ", or after a retry "
       << results.onTimeShare() << ", served " << results.servedShare() << ", refusals "
       << results.refusals << ", repeated refusals " << results.repeatedRefusals;
  BOOST_TEST_MESSAGE(line.str());
}

/// Simulates the load, and 8 s more so that waiting requests end.
Outcome simulate(SchedulerKind scheduler, const std::vector<Stream>& streams, Duration length,
                 const Step& step = {}) {
  Outcome outcome;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LoadSimulation simulation(makeScheduler(scheduler), streams, seed);
    simulation.onStep = step;
    simulation.run(length + seconds(8));
    for (const Stream& stream : streams) outcome.byUrgency[stream.urgency];
    for (auto& [urgency, results] : outcome.byUrgency)
      results += simulation.resultsForUrgency(urgency);
    for (const Stream& stream : streams) {
      outcome.byTenant[stream.tenant] += simulation.resultsForTenant(stream.tenant);
    }
    outcome.maximumRetriesTogether =
        std::max(outcome.maximumRetriesTogether, simulation.maximumRetriesTogether());
  }
  return outcome;
}

/// Simulates the same load with each scheduler.
std::vector<Outcome> compare(const std::string& load, const std::vector<Stream>& streams,
                             Duration length, const Step& step = {}) {
  std::vector<Outcome> outcomes;
  for (const SchedulerKind scheduler : kSchedulers) {
    outcomes.push_back(simulate(scheduler, streams, length, step));
    for (const auto& [urgency, results] : outcomes.back().byUrgency) {
      print(load, scheduler, "urgency " + std::to_string(urgency), results);
    }
  }
  return outcomes;
}

Rate until(Duration end, const Rate& rate) {
  return [end, rate](Duration at) { return at < end ? rate(at) : 0.0; };
}

/// Compares the admission queue with the other schedulers: urgent requests start on time at their
/// first attempt at least as often, apart from `within`.
void checkUrgent(const std::vector<Outcome>& results, double within) {
  const CallerStatistics& queueResult = results.at(kAdmissionQueue).mostUrgent();
  for (const SchedulerKind scheduler : {kPolling, kFifo, kUrgency}) {
    BOOST_TEST_CONTEXT(kNames.at(scheduler)) {
      BOOST_TEST(queueResult.firstAttemptShare() >=
                 results.at(scheduler).mostUrgent().firstAttemptShare() - within);
    }
  }
}
/// More urgent requests are on time at least as often as less urgent ones, at the first attempt and
/// including retries.
void checkNoInversion(const Outcome& results) {
  BOOST_TEST(results.mostUrgent().firstAttemptShare() >= results.lessUrgent().firstAttemptShare());
  BOOST_TEST(results.mostUrgent().onTimeShare() >= results.lessUrgent().onTimeShare());
}
/// Few of the requests that received a time to retry are refused again.
void checkRefusedAgain(const CallerStatistics& queueResult, const CallerStatistics& polling) {
  BOOST_TEST(queueResult.refusals <= polling.refusals);
  BOOST_TEST(queueResult.repeatedRefusals * 3 <= polling.repeatedRefusals);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionLoadTest)

BOOST_AUTO_TEST_CASE(SteadyOverload) {
  const Rate half = until(seconds(20), constantRate(0.65));
  const auto results =
      compare("overload 1.3", {shortRequests(half), longRequests(half)}, seconds(20));
  checkUrgent(results, 0.0);
  checkNoInversion(results.at(kAdmissionQueue));
  checkRefusedAgain(results.at(kAdmissionQueue).lessUrgent(), results.at(kPolling).lessUrgent());
  // The capacity suffices for the urgent requests: none of them loses, and the less urgent ones get
  // the rest.
  BOOST_TEST(results.at(kAdmissionQueue).mostUrgent().firstAttemptShare() >= 0.99);
  BOOST_TEST(results.at(kAdmissionQueue).lessUrgent().firstAttemptShare() >=
             results.at(kPolling).lessUrgent().firstAttemptShare());
  BOOST_TEST(results.at(kAdmissionQueue).lessUrgent().firstAttemptShare() >=
             results.at(kUrgency).lessUrgent().firstAttemptShare());
  BOOST_TEST(results.at(kAdmissionQueue).lessUrgent().servedShare() >= 0.9);
}

/// The guarantee for less urgent levels: they are served a tenth of their demand even while the
/// demand of the most urgent level alone exceeds the capacity, and that costs the most urgent level
/// no more than this.
BOOST_AUTO_TEST_CASE(LessUrgentDoNotStarve) {
  const auto results = compare("urgent alone 1.3",
                               {shortRequests(until(seconds(20), constantRate(1.3))),
                                longRequests(until(seconds(20), constantRate(0.5)))},
                               seconds(20));
  checkUrgent(results, 0.0);
  checkNoInversion(results.at(kAdmissionQueue));
  BOOST_TEST(results.at(kAdmissionQueue).lessUrgent().servedShare() >= 0.09);
  BOOST_TEST(results.at(kAdmissionQueue).lessUrgent().servedShare() >
             results.at(kUrgency).lessUrgent().servedShare());
  // A twentieth of the replica goes to the less urgent requests and the remainder to the urgent
  // ones: at most 0.73 of the urgent ones are served while the load lasts.
  BOOST_TEST(results.at(kAdmissionQueue).mostUrgent().firstAttemptShare() >= 0.6);
  BOOST_TEST(results.at(kAdmissionQueue).mostUrgent().onTimeShare() >= 0.95);
  checkRefusedAgain(results.at(kAdmissionQueue).mostUrgent(), results.at(kPolling).mostUrgent());
}

BOOST_AUTO_TEST_CASE(BurstOfLessUrgentThenOfMoreUrgent) {
  const Duration length = seconds(18);
  const Rate mostUrgent = [](Duration at) {
    return at >= seconds(10) && at < milliseconds(13400) ? 0.45 * 1.8 : 0.45;
  };
  const Rate lessUrgent = [](Duration at) {
    return at >= seconds(4) && at < seconds(10) ? 0.25 * 2.4 : 0.25;
  };
  const Step fewer = [](Duration at, VirtualReplica& replica, std::size_t) {
    if (at == seconds(4)) replica.setCapacity(18, 64766);
    if (at == milliseconds(13400)) replica.setCapacity(24, 87000);
  };
  [[maybe_unused]] const auto results = compare(
      "bursts", {shortRequests(until(length, mostUrgent)), longRequests(until(length, lessUrgent))},
      length, fewer);
  checkUrgent(results, 0.0);
  checkNoInversion(results.at(kAdmissionQueue));
  checkRefusedAgain(results.at(kAdmissionQueue).mostUrgent(), results.at(kPolling).mostUrgent());
  BOOST_TEST(results.at(kAdmissionQueue).mostUrgent().firstAttemptShare() >= 0.95);
  BOOST_TEST(results.at(kAdmissionQueue).lessUrgent().firstAttemptShare() >=
             results.at(kPolling).lessUrgent().firstAttemptShare());
  BOOST_TEST(results.at(kAdmissionQueue).lessUrgent().firstAttemptShare() >=
             results.at(kUrgency).lessUrgent().firstAttemptShare());
  BOOST_TEST(results.at(kAdmissionQueue).lessUrgent().servedShare() >= 0.75);
}

BOOST_AUTO_TEST_CASE(OneTenantAtFiveTimesItsUsualLoad) {
  const auto tenants = [](double first) {
    std::vector<Stream> streams;
    for (std::uint64_t tenant = 1; tenant <= 10; ++tenant) {
      streams.push_back(
          shortRequests(until(seconds(20), constantRate(tenant == 1 ? first : 0.09)), tenant));
    }
    return streams;
  };
  // Share of the other tenants' requests that were on time at their first attempt: first with the
  // usual load, then with the one tenant at five times its usual load.
  std::array<std::array<double, 2>, kSchedulers.size()> onTime{};
  for (const SchedulerKind scheduler : kSchedulers) {
    for (const double first : {0.09, 0.45}) {
      const Outcome outcome = simulate(scheduler, tenants(first), seconds(20));
      CallerStatistics others;
      for (const auto& [tenant, results] : outcome.byTenant) {
        if (tenant != 1) others += results;
      }
      const std::string load = first > 0.1 ? "tenant at five times its load" : "usual load";
      print(load, scheduler, "others", others);
      print(load, scheduler, "this tenant", outcome.byTenant.at(1));
      onTime.at(scheduler).at(first > 0.1 ? 1 : 0) = others.firstAttemptShare();
      if (scheduler == kAdmissionQueue) BOOST_TEST(others.onTimeShare() >= 0.99);
      if (scheduler == kAdmissionQueue) BOOST_TEST(outcome.byTenant.at(1).servedShare() >= 0.8);
    }
  }
  BOOST_TEST(onTime[kAdmissionQueue][1] >= onTime[kAdmissionQueue][0] - 0.03);
  for (const SchedulerKind scheduler : {kPolling, kFifo, kUrgency}) {
    BOOST_TEST_CONTEXT(kNames.at(scheduler)) {
      BOOST_TEST(onTime[kAdmissionQueue][1] >= onTime.at(scheduler)[1] + 0.5);
      BOOST_TEST(onTime[kAdmissionQueue][0] >= onTime.at(scheduler)[0]);
    }
  }
}

BOOST_AUTO_TEST_CASE(AllCallersArriveAtOnce) {
  const Rate load = [](Duration at) { return at < milliseconds(500) ? 10.0 : 0.5; };
  const auto results =
      compare("all at once", {shortRequests(until(seconds(14), load))}, seconds(14));
  for (const SchedulerKind scheduler : kSchedulers) {
    BOOST_TEST_MESSAGE(kNames.at(scheduler) << ": most retries in 0.1 s: "
                                            << results.at(scheduler).maximumRetriesTogether);
  }
  checkUrgent(results, 0.0);
  checkRefusedAgain(results.at(kAdmissionQueue).mostUrgent(), results.at(kPolling).mostUrgent());
  BOOST_TEST(results.at(kAdmissionQueue).mostUrgent().servedShare() >= 0.99);
  BOOST_TEST(results.at(kAdmissionQueue).mostUrgent().repeatedRefusals * 100 <=
             results.at(kAdmissionQueue).mostUrgent().refusals);
  // Some four requests start within a tenth of a second.
  BOOST_TEST(results.at(kAdmissionQueue).maximumRetriesTogether <= 10);
}

BOOST_AUTO_TEST_CASE(CapacityRestoredAtOnce) {
  // Maximum times over all seeds, measured from the restoration of the capacity at 14 s.
  Duration empty{};
  Duration filled{};
  bool wasEmpty = false;
  bool wasFilled = false;
  const Step step = [&](Duration at, VirtualReplica& replica, std::size_t queued) {
    if (at == Duration::zero()) {
      replica.setCapacity(8, 29000);
      wasEmpty = wasFilled = false;
    }
    if (at == seconds(14)) replica.setCapacity(24, 87000);
    if (at <= seconds(14)) return;
    if (!wasEmpty) empty = std::max(empty, at - seconds(14));
    if (!wasFilled) filled = std::max(filled, at - seconds(14));
    wasEmpty = wasEmpty || queued == 0;
    wasFilled = wasFilled || replica.slotsInUse() >= 0.9 * replica.slots() ||
                static_cast<double>(replica.memoryInUse()) >= 0.9 * kReplicaMemory;
  };
  // A load that the whole replica can serve, and a load that fills it.
  for (const double load : {0.8, 1.2}) {
    std::vector<Outcome> results;
    for (const SchedulerKind scheduler : kSchedulers) {
      empty = filled = Duration::zero();
      results.push_back(simulate(scheduler,
                                 {shortRequests(until(seconds(20), constantRate(load * 0.55))),
                                  longRequests(until(seconds(20), constantRate(load * 0.45)))},
                                 seconds(20), step));
      const std::string name = "capacity restored, load " + std::to_string(load).substr(0, 3);
      print(name, scheduler, "urgent", results.back().mostUrgent());
      print(name, scheduler, "other", results.back().lessUrgent());
      BOOST_TEST_MESSAGE("queue empty after " << base::toMilliseconds(empty) << " ms, filled after "
                                              << base::toMilliseconds(filled) << " ms");
    }
    checkUrgent(results, 0.0);
    checkNoInversion(results.at(kAdmissionQueue));
    checkRefusedAgain(results.at(kAdmissionQueue).mostUrgent(), results.at(kPolling).mostUrgent());
    BOOST_TEST(results.at(kAdmissionQueue).mostUrgent().onTimeShare() >= 0.95);
    if (load < 1.0) BOOST_TEST((empty <= seconds(1)));
    if (load > 1.0) BOOST_TEST((filled <= seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(LongRequestsAmongShortOnes) {
  Stream large = longRequests(until(seconds(20), constantRate(0.15)));
  large.urgency = 0;
  Stream small = shortRequests(until(seconds(20), constantRate(1.0)));
  small.tokens = 4000;
  std::vector<Outcome> results;
  for (const SchedulerKind scheduler : kSchedulers) {
    results.push_back(simulate(scheduler, {small, large}, seconds(20)));
    print("long among short", scheduler, "short", results.back().byTenant.at(1));
    print("long among short", scheduler, "long", results.back().byTenant.at(2));
  }
  for (const SchedulerKind scheduler : {kPolling, kFifo, kUrgency}) {
    for (const std::uint64_t tenant : {1, 2}) {
      BOOST_TEST(results.at(kAdmissionQueue).byTenant.at(tenant).firstAttemptShare() >=
                 results.at(scheduler).byTenant.at(tenant).firstAttemptShare());
    }
  }
  BOOST_TEST(results.at(kAdmissionQueue).byTenant.at(2).firstAttemptShare() >= 0.95);
  BOOST_TEST(results.at(kAdmissionQueue).byTenant.at(1).servedShare() >= 0.95);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
