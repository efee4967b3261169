// Replicas of uneven speed under load, without a network: streams with a bound on their pauses
// beside long readings. Compares how a replica is chosen by the pauses that callers see.
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

constexpr base::Duration kBound = milliseconds(300);
constexpr std::uint32_t kStepsOfPiece = 6;
constexpr std::uint32_t kTokensOfStep = 1024;
constexpr double kStepTime = 5300;
constexpr double kReadTime = 26;
constexpr std::size_t kReplicas = 9;
constexpr std::size_t kNodes = 10;
constexpr std::size_t kAsked = 6;
constexpr base::Duration kFirstTime = seconds(4);
constexpr base::Duration kLoadTime = seconds(18);
constexpr base::Duration kWholeTime = seconds(24);

enum class Rule { kFirstWithShortWait, kLeastWork, kSpeedAlone, kPace };
constexpr Rule kRules[] = {Rule::kFirstWithShortWait, Rule::kLeastWork, Rule::kSpeedAlone,
                           Rule::kPace};
const char* nameOf(Rule rule) {
  switch (rule) {
    case Rule::kFirstWithShortWait:
      return "first with a short wait";
    case Rule::kLeastWork:
      return "least work";
    case Rule::kSpeedAlone:
      return "speed alone";
    case Rule::kPace:
      return "pace";
  }
  return "";
}

struct Load {
  std::vector<double> speeds{0.6, 1.0, 1.6};
  /// Of what the replicas can take: readings fill most of it.
  double ofRoom = 0.5;
  /// Part of the time that a replica is slower by 2.5, in moments of 600 ms.
  double slowMoments = 0.15;
  /// This replica is slower by 3.5 from 8 to 14 s.
  std::optional<std::size_t> slowed{};
  /// So many replicas know nothing and are new at 8 s.
  std::size_t replaced = 0;
};

struct Stream {
  std::uint64_t id = 0;
  base::TimePoint cameAt{};
  PlacementDemand work;
  std::uint32_t unread = 0;
  std::uint32_t piecesLeft = 0;
  std::uint32_t steps = 0;
  StreamObservation seen;
  base::TimePoint lastPiece{};
  bool begun = false;
};

struct Replica {
  double speed = 1;
  double moment = 1;
  base::TimePoint momentUntil{};
  base::TimePoint stepEnds{};
  std::deque<Stream> streams;
  ReplicaLedger ledger;
};

struct Seen {
  /// Streams that came after all rules had seen some, those that ended, and of these those that
  /// paused for longer than the bound.
  int came = 0;
  int streams = 0;
  int late = 0;
  /// Begun while one of the replicas was slow, and there.
  int atSlowed = 0;
  /// Of those that came, the part that did not end with all pauses within the bound: where much is
  /// left undone, few of those that ended say little.
  double share() const { return 1 - static_cast<double>(streams - late) / std::max(came, 1); }
};

class Play {
 public:
  Play(Rule rule, Load load, std::uint64_t seed)
      : rule_(rule), load_(load), arrivals_(seed), choices_(seed + 100), moments_(seed + 200) {
    for (std::size_t number = 0; number < kReplicas; ++number)
      replicas_.emplace_back().speed = load.speeds[number % load.speeds.size()];
  }

  Seen run() {
    // A third of the requests reads 5,000 tokens and answers shortly, the others 600.
    constexpr double kTokensOfRequest = (2 * 600 + 5000) / 3.0;
    constexpr double kSlowerBy = 1.5;
    constexpr double kTimeOfToken = kReadTime + kStepTime / kTokensOfStep;
    double room = 0;
    for (const auto& replica : replicas_)
      room += replica.speed / (1 + kSlowerBy * load_.slowMoments);
    const double each = kTokensOfRequest * kTimeOfToken / (room * load_.ofRoom);
    const auto end = now_ + kWholeTime;
    auto next = now_;
    for (; now_ < end; now_ += microseconds(500)) {
      elapsed_ = now_ - start_;
      while (next <= now_ && elapsed_ < kLoadTime) {
        arrive();
        next += microseconds(static_cast<int>(-std::log(1 - uniform(arrivals_)) * each));
      }
      if (load_.replaced > 0 && elapsed_ == seconds(8)) replace();
      for (auto& replica : replicas_)
        if (replica.stepEnds <= now_) step(replica);
    }
    return seen_;
  }

 private:
  static double uniform(base::SeededRandom& random) {
    return static_cast<double>(random.below(1 << 20)) / (1 << 20);
  }

  void replace() {
    for (std::size_t number = 0; number < load_.replaced; ++number)
      replicas_[number].ledger = ReplicaLedger();
  }

  void arrive() {
    const bool reads = arrivals_.below(3) == 0;
    if (elapsed_ > kFirstTime) ++seen_.came;
    Stream stream;
    stream.id = ++last_;
    stream.cameAt = now_;
    stream.unread = reads ? 5000 : 600;
    stream.work = {stream.unread + 100, stream.unread, 32, 0};
    stream.piecesLeft = reads ? 9 : 49;
    PlacementTerms terms;
    terms.longestPause = kBound;
    auto& replica = choose(stream.work, terms, reads);
    if (slowedNow(replica)) ++seen_.atSlowed;
    replica.ledger.grant(stream.id, stream.work, terms, {}, now_);
    replica.streams.push_back(stream);
  }

  Replica& choose(const PlacementDemand& work, const PlacementTerms& terms, bool reads) {
    constexpr base::Duration kPatience = milliseconds(100);
    auto order = ordered(rule_ == Rule::kSpeedAlone || (rule_ == Rule::kPace && reads));
    if (rule_ == Rule::kLeastWork) {
      return **std::ranges::min_element(order, {}, [this](Replica* replica) {
        const auto load = replica->ledger.load(now_);
        return load.pendingPrefillTokens + 100 * load.requests;
      });
    }
    order.resize(kAsked);
    Replica* best = nullptr;
    base::Duration least = base::Duration::max();
    bool bestKeeps = false;
    for (auto* replica : order) {
      const auto wait = replica->ledger.expectedWait(work, now_);
      const auto excess = rule_ == Rule::kPace ? replica->ledger.pauseExcess(work, terms, now_)
                                               : base::Duration::zero();
      if (wait <= kPatience && excess == base::Duration::zero()) return *replica;
      const bool keeps = excess == base::Duration::zero();
      if (bestKeeps && !keeps) continue;
      const auto cost = wait + excess;
      if (bestKeeps == keeps && cost >= least) continue;
      least = cost;
      bestKeeps = keeps;
      best = replica;
    }
    return *best;
  }

  /// As rendezvous hashing of many parts: at random, by shares.
  std::vector<Replica*> ordered(bool bySpeed) {
    std::vector<std::uint32_t> speeds;
    for (const auto& replica : replicas_) speeds.push_back(replica.ledger.speedPercent());
    auto sorted = speeds;
    std::ranges::sort(sorted);
    const double usual = sorted[sorted.size() / 2];
    std::vector<std::pair<double, Replica*>> scored;
    for (std::size_t number = 0; number < kReplicas; ++number) {
      const double share = bySpeed ? shareOfReading(speeds[number], usual) : 1;
      scored.emplace_back(std::log(uniform(choices_) + 1e-9) / share, &replicas_[number]);
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
    if (now_ >= replica.momentUntil) {
      replica.moment = uniform(moments_) < load_.slowMoments ? 2.5 : 1;
      replica.momentUntil = now_ + milliseconds(600);
    }
    return replica.moment;
  }

  void step(Replica& replica) {
    std::uint32_t budget = kTokensOfStep;
    std::vector<std::uint64_t> ended;
    for (auto& stream : replica.streams) {
      if (stream.unread > 0) {
        const auto read = std::min(stream.unread, budget);
        stream.unread -= read;
        budget -= read;
        if (stream.unread == 0) piece(replica, stream);
      } else if (++stream.steps % kStepsOfPiece == 0) {
        piece(replica, stream);
      }
      if (stream.piecesLeft == 0) ended.push_back(stream.id);
    }
    for (const auto id : ended) finish(replica, id);
    const double work = kStepTime + kReadTime * (kTokensOfStep - budget);
    replica.stepEnds =
        now_ + microseconds(static_cast<int>(work / replica.speed * slowness(replica)));
  }

  void piece(Replica& replica, Stream& stream) {
    --stream.piecesLeft;
    if (stream.begun) {
      ++stream.seen.pauses;
      stream.seen.streamed += now_ - stream.lastPiece;
      stream.seen.longestPause = std::max(stream.seen.longestPause, now_ - stream.lastPiece);
    } else {
      replica.ledger.begin(stream.id, now_);
    }
    stream.begun = true;
    stream.lastPiece = now_;
  }

  void finish(Replica& replica, std::uint64_t id) {
    const auto stream = std::ranges::find(replica.streams, id, &Stream::id);
    if (stream->cameAt - start_ > kFirstTime) {
      ++seen_.streams;
      seen_.late += stream->seen.longestPause > kBound ? 1 : 0;
    }
    replica.ledger.end({id, {}, PlacementOutcome::kServed, stream->seen},
                       base::nodeIdOf(std::to_string(id % kNodes)), 0, now_);
    replica.streams.erase(stream);
  }

  Rule rule_;
  Load load_;
  /// Apart, so that each rule is given the same requests.
  base::SeededRandom arrivals_;
  base::SeededRandom choices_;
  base::SeededRandom moments_;
  std::vector<Replica> replicas_;
  base::TimePoint now_{seconds(100)};
  const base::TimePoint start_ = now_;
  base::Duration elapsed_{};
  std::uint64_t last_ = 0;
  Seen seen_;
};

Seen played(Rule rule, const Load& load) {
  constexpr std::uint64_t kSeeds = 12;
  Seen sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto seen = Play(rule, load, seed).run();
    sum.came += seen.came;
    sum.streams += seen.streams;
    sum.late += seen.late;
    sum.atSlowed += seen.atSlowed;
  }
  return sum;
}

/// The share of streams with a pause over the bound, by rule.
std::vector<Seen> compared(const std::string& what, const Load& load) {
  std::vector<Seen> all;
  for (const auto rule : kRules) {
    all.push_back(played(rule, load));
    BOOST_TEST_MESSAGE(what << ", " << nameOf(rule) << ": " << all.back().late << " of "
                            << all.back().streams << " ended of " << all.back().came
                            << " paused too long, " << all.back().atSlowed
                            << " begun at the slowed replica");
  }
  return all;
}

constexpr std::size_t kToday = 0;
constexpr std::size_t kKept = 3;

}  // namespace

BOOST_AUTO_TEST_SUITE(PaceLoadTest)

BOOST_AUTO_TEST_CASE(ThreeSpeedsAtHalfOfTheRoom) {
  const auto seen = compared("three speeds, 0.5 of the room", {});
  BOOST_TEST(seen[kKept].share() < seen[kToday].share() * 0.8);
}

BOOST_AUTO_TEST_CASE(ThreeSpeedsAtMostOfTheRoom) {
  const auto seen = compared("three speeds, 0.8 of the room", {.ofRoom = 0.8});
  BOOST_TEST(seen[kKept].share() <= seen[kToday].share());
}

BOOST_AUTO_TEST_CASE(ThreeSpeedsAboveTheRoom) {
  const auto seen = compared("three speeds, 1.1 of the room", {.ofRoom = 1.1});
  BOOST_TEST(seen[kKept].share() <= seen[kToday].share() * 1.05);
}

BOOST_AUTO_TEST_CASE(EqualSpeedsAreNoWorse) {
  // Without slow moments nobody pauses for too long; with them some do.
  for (const double slowMoments : {0.0, 0.15}) {
    for (const double ofRoom : {0.3, 0.5, 0.8}) {
      const auto seen = compared("equal speeds, slow moments " + std::to_string(slowMoments) +
                                     ", " + std::to_string(ofRoom) + " of the room",
                                 {.speeds = {1.0}, .ofRoom = ofRoom, .slowMoments = slowMoments});
      BOOST_TEST(seen[kKept].share() <= seen[kToday].share() + 0.01);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReplicaThatSlowsGetsFewerStreams) {
  const auto seen = compared("one slows by 3.5 for 6 s",
                             {.speeds = {1.0}, .ofRoom = 0.3, .slowMoments = 0, .slowed = 4});
  BOOST_TEST(seen[kKept].atSlowed < seen[kToday].atSlowed);
  BOOST_TEST(seen[kKept].share() <= seen[kToday].share());
}

BOOST_AUTO_TEST_CASE(QuarterOfTheHomesForgetsAllItLearned) {
  const auto seen = compared("two of nine relearn at 8 s", {.replaced = 2});
  BOOST_TEST(seen[kKept].share() < seen[kToday].share());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
