// Load test with replicas of different speeds, without a network: streams with a bound on their
// pauses run concurrently with long prefills. Compares rules for selecting a replica by the pauses
// that callers experience.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "routing/replica_ledger.h"

namespace covewing::routing {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kPauseBound = milliseconds(300);
constexpr std::uint32_t kStepsPerChunk = 6;
constexpr std::uint32_t kTokensPerStep = 1024;
constexpr double kStepTime = 5300;
constexpr double kPrefillTime = 26;
constexpr std::size_t kReplicas = 9;
constexpr std::size_t kNodes = 10;
constexpr std::size_t kQueried = 6;
constexpr base::Duration kWarmUpTime = seconds(4);
constexpr base::Duration kLoadTime = seconds(18);
constexpr base::Duration kWholeTime = seconds(24);

enum class Rule { kFirstWithShortWait, kLeastWork, kSpeedAlone, kSpeedModel };
constexpr Rule kRules[] = {Rule::kFirstWithShortWait, Rule::kLeastWork, Rule::kSpeedAlone,
                           Rule::kSpeedModel};
const char* nameOf(Rule rule) {
  switch (rule) {
    case Rule::kFirstWithShortWait:
      return "first with a short wait";
    case Rule::kLeastWork:
      return "least work";
    case Rule::kSpeedAlone:
      return "speed alone";
    case Rule::kSpeedModel:
      return "speed model";
  }
  return "";
}

struct Load {
  std::vector<double> speeds{0.6, 1.0, 1.6};
  /// Load as a fraction of the replicas' capacity; prefills make up most of it.
  double ofCapacity = 0.5;
  /// Fraction of the time for which a replica is slower by a factor of 2.5, in intervals of 600 ms.
  double slowTimeShare = 0.15;
  /// This replica is slower by a factor of 3.5 from 8 to 14 s.
  std::optional<std::size_t> slowed{};
  /// Number of replicas whose ledgers are empty again at 8 s.
  std::size_t resetCount = 0;
};

struct Stream {
  std::uint64_t id = 0;
  base::TimePoint arrivedAt{};
  PlacementDemand work;
  std::uint32_t prefillTokens = 0;
  std::uint32_t chunksLeft = 0;
  std::uint32_t steps = 0;
  StreamObservation observed;
  base::TimePoint lastChunkAt{};
  bool started = false;
};

struct Replica {
  double speed = 1;
  double slowdown = 1;
  base::TimePoint slowdownUntil{};
  base::TimePoint stepEnds{};
  std::deque<Stream> streams;
  ReplicaLedger ledger;
};

struct Outcome {
  /// Streams that arrived after all rules had observed some, those of them that ended, and those of
  /// these that paused for longer than the bound.
  int arrived = 0;
  int streams = 0;
  int late = 0;
  /// Streams that were sent to the slowed replica while it was slow.
  int atSlowed = 0;
  /// Share of the arrived streams that did not end with all pauses within the bound. Streams that
  /// did not end are included, since the ended ones alone say little if much work is left undone.
  double failedShare() const {
    return 1 - static_cast<double>(streams - late) / std::max(arrived, 1);
  }
};

class Simulation {
 public:
  Simulation(Rule rule, Load load, std::uint64_t seed)
      : rule_(rule),
        load_(load),
        arrivalRandom_(seed),
        choiceRandom_(seed + 100),
        slowdownRandom_(seed + 200) {
    for (std::size_t number = 0; number < kReplicas; ++number)
      replicas_.emplace_back().speed = load.speeds[number % load.speeds.size()];
  }

  Outcome run() {
    // A third of the requests prefill 5,000 tokens and have short outputs, the others prefill 600.
    constexpr double kTokensPerRequest = (2 * 600 + 5000) / 3.0;
    constexpr double kSlowdown = 1.5;
    constexpr double kTimePerToken = kPrefillTime + kStepTime / kTokensPerStep;
    double capacity = 0;
    for (const auto& replica : replicas_)
      capacity += replica.speed / (1 + kSlowdown * load_.slowTimeShare);
    const double each = kTokensPerRequest * kTimePerToken / (capacity * load_.ofCapacity);
    const auto end = now_ + kWholeTime;
    auto next = now_;
    for (; now_ < end; now_ += microseconds(500)) {
      elapsed_ = now_ - start_;
      while (next <= now_ && elapsed_ < kLoadTime) {
        arrive();
        next += microseconds(static_cast<int>(-std::log(1 - uniform(arrivalRandom_)) * each));
      }
      if (load_.resetCount > 0 && elapsed_ == seconds(8)) resetLedgers();
      for (auto& replica : replicas_)
        if (replica.stepEnds <= now_) step(replica);
    }
    return outcome_;
  }

 private:
  static double uniform(base::SeededRandom& random) {
    return static_cast<double>(random.below(1 << 20)) / (1 << 20);
  }

  void resetLedgers() {
    for (std::size_t number = 0; number < load_.resetCount; ++number)
      replicas_[number].ledger = ReplicaLedger();
  }

  void arrive() {
    const bool longPrompt = arrivalRandom_.below(3) == 0;
    if (elapsed_ > kWarmUpTime) ++outcome_.arrived;
    Stream stream;
    stream.id = ++last_;
    stream.arrivedAt = now_;
    stream.prefillTokens = longPrompt ? 5000 : 600;
    stream.work = {stream.prefillTokens + 100, stream.prefillTokens, 32, 0};
    stream.chunksLeft = longPrompt ? 9 : 49;
    PlacementTerms terms;
    terms.maximumPause = kPauseBound;
    auto& replica = choose(stream.work, terms, longPrompt);
    if (slowedNow(replica)) ++outcome_.atSlowed;
    replica.ledger.grant(stream.id, stream.work, terms, {}, now_);
    replica.streams.push_back(stream);
  }

  Replica& choose(const PlacementDemand& work, const PlacementTerms& terms, bool longPrompt) {
    constexpr base::Duration kAcceptableWait = milliseconds(100);
    auto order = ordered(rule_ == Rule::kSpeedAlone || (rule_ == Rule::kSpeedModel && longPrompt));
    if (rule_ == Rule::kLeastWork) {
      return **std::ranges::min_element(order, {}, [this](Replica* replica) {
        const auto load = replica->ledger.load(now_);
        return load.pendingPrefillTokens + 100 * load.requests;
      });
    }
    order.resize(kQueried);
    Replica* best = nullptr;
    base::Duration leastCost = base::Duration::max();
    bool bestMeetsBound = false;
    for (auto* replica : order) {
      const auto wait = replica->ledger.expectedWait(work, now_);
      const auto excess = rule_ == Rule::kSpeedModel
                              ? replica->ledger.pauseExcess(work, terms, now_)
                              : base::Duration::zero();
      if (wait <= kAcceptableWait && excess == base::Duration::zero()) return *replica;
      const bool meetsBound = excess == base::Duration::zero();
      if (bestMeetsBound && !meetsBound) continue;
      const auto cost = wait + excess;
      if (bestMeetsBound == meetsBound && cost >= leastCost) continue;
      leastCost = cost;
      bestMeetsBound = meetsBound;
      best = replica;
    }
    return *best;
  }

  /// Random order weighted by shares, like rendezvous hashing over many parts.
  std::vector<Replica*> ordered(bool bySpeed) {
    std::vector<std::uint32_t> speeds;
    for (const auto& replica : replicas_) speeds.push_back(replica.ledger.speedPercent());
    auto sorted = speeds;
    std::ranges::sort(sorted);
    const double usual = sorted[sorted.size() / 2];
    std::vector<std::pair<double, Replica*>> scored;
    for (std::size_t number = 0; number < kReplicas; ++number) {
      const double share = bySpeed ? shareOfLongPrompts(speeds[number], usual) : 1;
      scored.emplace_back(std::log(uniform(choiceRandom_) + 1e-9) / share, &replicas_[number]);
    }
    std::ranges::sort(scored, std::greater{}, &std::pair<double, Replica*>::first);
    std::vector<Replica*> order;
    for (const auto& [score, replica] : scored) order.push_back(replica);
    return order;
  }

  bool slowedNow(const Replica& replica) const {
    return load_.slowed && &replica == &replicas_[*load_.slowed] && elapsed_ >= seconds(8) &&
           elapsed_ < seconds(14);
  }

  double slowness(Replica& replica) {
    if (slowedNow(replica)) return 3.5;
    if (now_ >= replica.slowdownUntil) {
      replica.slowdown = uniform(slowdownRandom_) < load_.slowTimeShare ? 2.5 : 1;
      replica.slowdownUntil = now_ + milliseconds(600);
    }
    return replica.slowdown;
  }

  void step(Replica& replica) {
    std::uint32_t budget = kTokensPerStep;
    std::vector<std::uint64_t> ended;
    for (auto& stream : replica.streams) {
      if (stream.prefillTokens > 0) {
        const auto read = std::min(stream.prefillTokens, budget);
        stream.prefillTokens -= read;
        budget -= read;
        if (stream.prefillTokens == 0) emitChunk(replica, stream);
      } else if (++stream.steps % kStepsPerChunk == 0) {
        emitChunk(replica, stream);
      }
      if (stream.chunksLeft == 0) ended.push_back(stream.id);
    }
    for (const auto id : ended) finish(replica, id);
    const double work = kStepTime + kPrefillTime * (kTokensPerStep - budget);
    replica.stepEnds =
        now_ + microseconds(static_cast<int>(work / replica.speed * slowness(replica)));
  }

  void emitChunk(Replica& replica, Stream& stream) {
    --stream.chunksLeft;
    if (stream.started) {
      ++stream.observed.pauses;
      stream.observed.streamed += now_ - stream.lastChunkAt;
      stream.observed.longestPause =
          std::max(stream.observed.longestPause, now_ - stream.lastChunkAt);
    } else {
      replica.ledger.begin(stream.id, now_);
    }
    stream.started = true;
    stream.lastChunkAt = now_;
  }

  void finish(Replica& replica, std::uint64_t id) {
    const auto stream = std::ranges::find(replica.streams, id, &Stream::id);
    if (stream->arrivedAt - start_ > kWarmUpTime) {
      ++outcome_.streams;
      outcome_.late += stream->observed.longestPause > kPauseBound ? 1 : 0;
    }
    replica.ledger.end({id, {}, PlacementOutcome::kServed, stream->observed},
                       base::nodeIdOf(std::to_string(id % kNodes)), 0, now_);
    replica.streams.erase(stream);
  }

  Rule rule_;
  Load load_;
  /// Separate generators, so that each rule receives the same requests.
  base::SeededRandom arrivalRandom_;
  base::SeededRandom choiceRandom_;
  base::SeededRandom slowdownRandom_;
  std::vector<Replica> replicas_;
  base::TimePoint now_{seconds(100)};
  const base::TimePoint start_ = now_;
  base::Duration elapsed_{};
  std::uint64_t last_ = 0;
  Outcome outcome_;
};

Outcome simulate(Rule rule, const Load& load) {
  constexpr std::uint64_t kSeeds = 12;
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto outcome = Simulation(rule, load, seed).run();
    sum.arrived += outcome.arrived;
    sum.streams += outcome.streams;
    sum.late += outcome.late;
    sum.atSlowed += outcome.atSlowed;
  }
  return sum;
}

/// Results by rule.
std::vector<Outcome> compareRules(const std::string& label, const Load& load) {
  std::vector<Outcome> all;
  for (const auto rule : kRules) {
    all.push_back(simulate(rule, load));
    BOOST_TEST_MESSAGE(label << ", " << nameOf(rule) << ": " << all.back().late << " of "
                             << all.back().streams << " ended of " << all.back().arrived
                             << " paused too long, " << all.back().atSlowed
                             << " started at the slowed replica");
  }
  return all;
}

constexpr std::size_t kBaseline = 0;
constexpr std::size_t kSpeedModelRule = 3;

}  // namespace

BOOST_AUTO_TEST_SUITE(PaceLoadTest)

BOOST_AUTO_TEST_CASE(ThreeSpeedsAtHalfCapacity) {
  const auto outcomes = compareRules("three speeds, 0.5 of capacity", {});
  BOOST_TEST(outcomes[kSpeedModelRule].failedShare() < outcomes[kBaseline].failedShare() * 0.8);
}

BOOST_AUTO_TEST_CASE(ThreeSpeedsNearCapacity) {
  const auto outcomes = compareRules("three speeds, 0.8 of capacity", {.ofCapacity = 0.8});
  BOOST_TEST(outcomes[kSpeedModelRule].failedShare() <= outcomes[kBaseline].failedShare());
}

BOOST_AUTO_TEST_CASE(ThreeSpeedsAboveCapacity) {
  const auto outcomes = compareRules("three speeds, 1.1 of capacity", {.ofCapacity = 1.1});
  BOOST_TEST(outcomes[kSpeedModelRule].failedShare() <= outcomes[kBaseline].failedShare() * 1.05);
}

BOOST_AUTO_TEST_CASE(EqualSpeedsCauseNoRegression) {
  // Without slow intervals no stream pauses for too long; with them some do.
  for (const double slowTimeShare : {0.0, 0.15}) {
    for (const double ofCapacity : {0.3, 0.5, 0.8}) {
      const auto outcomes =
          compareRules("equal speeds, slow time share " + std::to_string(slowTimeShare) + ", " +
                           std::to_string(ofCapacity) + " of capacity",
                       {.speeds = {1.0}, .ofCapacity = ofCapacity, .slowTimeShare = slowTimeShare});
      BOOST_TEST(outcomes[kSpeedModelRule].failedShare() <=
                 outcomes[kBaseline].failedShare() + 0.01);
    }
  }
}

BOOST_AUTO_TEST_CASE(SlowedReplicaReceivesFewerStreams) {
  const auto outcomes =
      compareRules("one replica slower by a factor of 3.5 for 6 s",
                   {.speeds = {1.0}, .ofCapacity = 0.3, .slowTimeShare = 0, .slowed = 4});
  BOOST_TEST(outcomes[kSpeedModelRule].atSlowed < outcomes[kBaseline].atSlowed);
  BOOST_TEST(outcomes[kSpeedModelRule].failedShare() <= outcomes[kBaseline].failedShare());
}

BOOST_AUTO_TEST_CASE(TwoOfNineLedgersAreReset) {
  const auto outcomes = compareRules("two of nine ledgers reset at 8 s", {.resetCount = 2});
  BOOST_TEST(outcomes[kSpeedModelRule].failedShare() < outcomes[kBaseline].failedShare());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
