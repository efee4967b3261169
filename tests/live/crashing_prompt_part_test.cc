// Guards against one part of prompts that crashes every replica that begins an answer on it, in
// requests that have nothing else in common. A quarantine that knows whole requests saw a new
// suspect at each crash: requests with such a part reached replicas 24 times after five had
// crashed.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <string>
#include <string_view>

#include "relay_fleet.h"

namespace covewing::live {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time within which all nodes that can reach each other refuse the part.
constexpr base::Duration kContactTime = seconds(3);
/// Maximum number of arrivals of the part at replicas later than that which is tolerated.
constexpr std::ptrdiff_t kMaximumLateArrivals = 3;
constexpr std::size_t kCrashesBeforeQuarantine = 5;
constexpr std::size_t kModelReplicas = 6;
/// Number of sound requests from which on the share that is served can be compared.
constexpr std::ptrdiff_t kMinimumCompared = 20;
constexpr double kMinimumServedShare = 0.5;

/// Result codes of refusals of a quarantined request and of a quarantined prompt part.
constexpr std::array<std::string_view, 2> kQuarantineCodes{"409", "412"};
constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;

using Response = RelayFleet::Response;
using Responses = std::vector<std::shared_ptr<Response>>;

/// Where the crashing part is in its prompts.
enum class Place : std::uint8_t { kFirst, kMiddle };

/// Streams of one tenant for one model, whose prompts share parts in many combinations, and those
/// with the crashing part: no two alike, at all nodes, with the other parts of the sound ones.
struct PromptTraffic {
  explicit PromptTraffic(RelayFleet& relayFleet, Place crashingPlace = Place::kMiddle)
      : fleet(relayFleet), place(crashingPlace) {}

  void run(base::Duration duration, bool withCrashing) {
    constexpr base::Duration kStep = milliseconds(20);
    constexpr std::size_t kCrashingRequestInterval = 12;
    const auto end = fleet.now() + duration;
    while (fleet.now() < end) {
      ++steps;
      sound.push_back(sendSound());
      if (withCrashing && steps % kCrashingRequestInterval == 0)
        crashing.push_back(sendCrashing(++crashingSent));
      fleet.run(kStep);
    }
  }

  std::shared_ptr<Response> sendSound() {
    return fleet.sendPrompt(steps % RelayFleet::kNodes,
                            prompt(firstPart(steps), "b" + std::to_string(steps % 2), steps));
  }

  std::shared_ptr<Response> sendCrashing(std::size_t number) {
    const std::string part{CrashingReplica::kCrashingPart};
    const auto own = 1'000'000 + number;
    const auto parts = place == Place::kFirst ? prompt(part, firstPart(number), own)
                                              : prompt(firstPart(number), part, own);
    return fleet.sendPrompt(number % RelayFleet::kNodes, parts);
  }

  static std::string firstPart(std::size_t number) { return "a" + std::to_string(number % 3); }

  /// A prompt of two parts, one that all share and one of its own.
  static std::string prompt(const std::string& first, const std::string& second, std::size_t own) {
    return first + ":60," + second + ":20,c0:10," + std::to_string(own) + ":10";
  }

  RelayFleet& fleet;
  Place place;
  std::size_t steps = 0;
  std::size_t crashingSent = 0;
  Responses sound;
  Responses crashing;
};

std::ptrdiff_t arrivalsAfter(const RelayFleet& fleet, base::TimePoint time) {
  return std::ranges::count_if(fleet.record.crashingArrivals,
                               [time](base::TimePoint arrival) { return arrival > time; });
}

bool refusedByQuarantine(const std::shared_ptr<Response>& response) {
  return std::ranges::find(kQuarantineCodes, response->refusalCode) != kQuarantineCodes.end();
}

std::ptrdiff_t refusedByQuarantine(const Responses& responses) {
  return std::ranges::count_if(responses,
                               [](const auto& response) { return refusedByQuarantine(response); });
}

Responses sentAfter(const Responses& responses, base::TimePoint time) {
  Responses found;
  std::ranges::copy_if(responses, std::back_inserter(found),
                       [time](const auto& response) { return response->sentAt > time; });
  return found;
}

/// Share of the requests sent from `begin` until `end` that were served.
double servedShare(const Responses& responses, base::TimePoint begin, base::TimePoint end) {
  std::ptrdiff_t sent = 0;
  std::ptrdiff_t served = 0;
  for (const auto& response : responses) {
    if (response->sentAt < begin || response->sentAt >= end) continue;
    ++sent;
    served += response->status == kOk ? 1 : 0;
  }
  BOOST_TEST(sent >= kMinimumCompared);
  return static_cast<double>(served) / static_cast<double>(std::max<std::ptrdiff_t>(sent, 1));
}

/// The crashing part comes for 11 s among sound requests; checks what reaches replicas, that the
/// part is refused to the end, and that the sound ones are served.
void checkThatThePartIsQuarantined(Place place) {
  RelayFleet fleet(kModelReplicas);
  PromptTraffic traffic(fleet, place);
  const auto start = fleet.now();
  traffic.run(seconds(1), false);
  traffic.run(seconds(11), true);
  const auto end = fleet.now();
  fleet.run(seconds(1));
  const auto& crashes = fleet.record.crashes;
  BOOST_REQUIRE(!crashes.empty());
  // The fifth crash, or the last one if the part was refused before.
  const auto lastAllowed = crashes[std::min(crashes.size(), kCrashesBeforeQuarantine) - 1];
  const auto known = lastAllowed + kContactTime;
  BOOST_TEST(arrivalsAfter(fleet, known) <= kMaximumLateArrivals);
  const auto late = sentAfter(traffic.crashing, known);
  BOOST_TEST(std::ssize(late) >= kMinimumCompared);
  BOOST_TEST(refusedByQuarantine(late) >= std::ssize(late) - kMaximumLateArrivals);
  BOOST_TEST(refusedByQuarantine(traffic.sound) == 0);
  const auto before = servedShare(traffic.sound, start, crashes.front());
  const auto after = servedShare(traffic.sound, lastAllowed + 2 * kContactTime, end);
  BOOST_TEST(before > kMinimumServedShare);
  BOOST_TEST(after >= kMinimumServedShare * before);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CrashingPromptPartTest)

// Guards against prompts that are known by their deepest or their first part alone.
BOOST_AUTO_TEST_CASE(PartInTheMiddleThatCrashedReplicasIsQuarantined) {
  checkThatThePartIsQuarantined(Place::kMiddle);
}

// Guards against a first part whose prompts all have different parts behind it.
BOOST_AUTO_TEST_CASE(FirstPartThatCrashedReplicasIsQuarantined) {
  checkThatThePartIsQuarantined(Place::kFirst);
}

// Guards against a verdict that is lost when all nodes are restarted: five more replicas would
// crash.
BOOST_AUTO_TEST_CASE(QuarantineOfAPartOutlastsARestartOfAllNodes) {
  RelayFleet fleet(kModelReplicas);
  PromptTraffic traffic(fleet);
  traffic.run(seconds(1), false);
  traffic.run(seconds(7), true);
  fleet.run(seconds(3));
  fleet.killNodes();
  fleet.startNodes();
  fleet.run(seconds(1));
  const auto restarted = fleet.now();
  Responses crashing;
  for (std::size_t node = 0; node < RelayFleet::kNodes; ++node)
    crashing.push_back(traffic.sendCrashing(++traffic.crashingSent));
  fleet.run(seconds(1));
  BOOST_TEST(arrivalsAfter(fleet, restarted) == 0);
  for (const auto& response : crashing) BOOST_TEST(response->status == kServiceUnavailable);
  // Without the crashing part, the restarted nodes serve the same callers.
  traffic.sound.clear();
  traffic.run(seconds(1), false);
  fleet.run(seconds(1));
  BOOST_TEST(servedShare(traffic.sound, restarted, fleet.now()) == 1.0);
}

// Guards against parts that all prompts share being held for the cause of crashes that have none in
// the requests: they are at each of them.
BOOST_AUTO_TEST_CASE(NoPartIsQuarantinedForWavesOfCrashesWithAnotherCause) {
  constexpr std::size_t kEndedAtOnce = 4;
  RelayFleet fleet(kModelReplicas);
  PromptTraffic traffic(fleet);
  traffic.run(seconds(1), false);
  for (int wave = 0; wave < 3; ++wave) {
    fleet.cutPowerOfModelReplicas(kEndedAtOnce);
    traffic.run(seconds(3), false);
  }
  fleet.run(seconds(1));
  BOOST_TEST(refusedByQuarantine(traffic.sound) == 0);
  BOOST_TEST(servedShare(traffic.sound, fleet.now() - seconds(2), fleet.now()) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
