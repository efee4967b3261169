// Workload of card tournaments on an evening. A prompt is a sequence of segments from the most
// widely shared to the most specific: rulebook, event, tenant, match history, question. Sizes,
// shares and rates are explained in docs/WORKLOADS.md.
#include <algorithm>
#include <array>
#include <iterator>
#include <string>

#include "base/ids.h"
#include "bench/arrival_process.h"
#include "bench/draw.h"
#include "bench/workload.h"

namespace covewing::bench {

using base::Duration;
using base::PriorityClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::string_view kModel = "rules";
constexpr std::string_view kApplication = "pairings";

struct TenantShape {
  std::string_view name;
  double weight;
  std::uint32_t events;
  PriorityClass priority;
};
/// A few large organisers make most of the calls; the smallest ones have a lower priority class.
constexpr std::array kTenants = {TenantShape{"saigon-open", 0.30, 8, PriorityClass::kUrgent},
                                 TenantShape{"hanoi-league", 0.24, 6, PriorityClass::kUrgent},
                                 TenantShape{"danang-cup", 0.14, 4, PriorityClass::kUrgent},
                                 TenantShape{"hue-series", 0.10, 3, PriorityClass::kUrgent},
                                 TenantShape{"cantho-club", 0.08, 2, PriorityClass::kUrgent},
                                 TenantShape{"nhatrang-club", 0.06, 2, PriorityClass::kUrgent},
                                 TenantShape{"dalat-shop", 0.05, 2, PriorityClass::kInteractive},
                                 TenantShape{"vungtau-shop", 0.03, 1, PriorityClass::kInteractive}};

struct RulebookShape {
  double weight;
  std::uint32_t tokens;
};
/// The first rulebook is that of the evening's main game, which has the highest demand.
constexpr std::array kRulebooks = {RulebookShape{0.50, 12'000}, RulebookShape{0.20, 10'000},
                                   RulebookShape{0.14, 8'000}, RulebookShape{0.10, 10'000},
                                   RulebookShape{0.06, 6'000}};

constexpr std::uint32_t kEventTokens = 2'500;
constexpr std::uint32_t kHouseRuleTokens = 800;
constexpr std::uint32_t kTablesPerEvent = 40;
constexpr std::uint32_t kMinimumHistoryTokens = 1'200;
constexpr std::uint32_t kMaximumHistoryTokens = 4'000;
constexpr std::uint32_t kQuestionTokens = 120;
constexpr std::uint32_t kAnswerTokens = 220;
constexpr std::uint32_t kDeckGuideTokens = 900;
constexpr std::uint32_t kFormatTokens = 1'200;
constexpr std::uint32_t kDeckTokens = 400;
constexpr std::uint32_t kDeckAnswerTokens = 48;
constexpr std::uint32_t kPlayerQuestionTokens = 60;
constexpr std::uint32_t kPlayerAnswerTokens = 128;
constexpr std::uint32_t kResultTokens = 4'000;
constexpr std::uint32_t kReportTokens = 256;

/// Calls per second at the peak with load 1.
constexpr double kFirstRulings = 15.0;
constexpr double kDeckChecks = 25.0;
constexpr double kPlayerQuestions = 7.5;
constexpr double kMatchReports = 4.0;
constexpr double kPageReads = 30.0;
constexpr double kStandingsPosts = 3.0;

constexpr double kFollowUpChance = 0.45;
constexpr Duration kMinimumFollowUpDelay = seconds(3);
constexpr Duration kMeanExtraFollowUpDelay = seconds(8);

constexpr Duration kRoundGap = seconds(12);
constexpr Duration kRoundEndLength = seconds(2);

/// Share of the callers in each zone.
constexpr std::array kZoneWeights = {0.45, 0.30, 0.25};

constexpr Duration kDeadline = seconds(10);
constexpr Duration kHoldTime = seconds(2);

struct Table {
  std::vector<PromptSegment> history;
};
struct Event {
  std::size_t rulebook = 0;
  PromptSegment text;
  PromptSegment format;
  std::vector<Table> tables;
};
struct Organiser {
  PromptSegment houseRules;
  std::vector<Event> events;
  std::vector<double> eventWeights;
};

class Tournaments {
 public:
  explicit Tournaments(const WorkloadOptions& options)
      : options_(options), random_(base::mixHash(options.seed, kSeedTag)) {}

  Workload draw() {
    workload_.model = kModel;
    workload_.application = kApplication;
    drawDocuments();
    drawTenants();
    const PeakEnvelope envelope{.duration = options_.duration};
    const auto rounds = drawBursts(random_, options_.duration, kRoundGap, kRoundEndLength);
    const auto addCalls = [&](double peak, double burstFactor, auto add) {
      const ArrivalRate rate{peak * options_.load, burstFactor};
      for (const Duration at : drawArrivalTimes(random_, envelope, rounds, rate)) add(at);
    };
    addCalls(kFirstRulings, 1.6, [this](Duration at) { addRulings(at); });
    addCalls(kDeckChecks * options_.lowerLoad, 3.0, [this](Duration at) { addDeckCheck(at); });
    addCalls(kPlayerQuestions * options_.lowerLoad, 1.0,
             [this](Duration at) { addPlayerQuestion(at); });
    addCalls(kMatchReports * options_.lowerLoad, 2.0, [this](Duration at) { addMatchReport(at); });
    addCalls(kPageReads, 2.0, [this](Duration at) { addPageRead(at); });
    addCalls(kStandingsPosts, 3.0, [this](Duration at) { addStandingsPost(at); });
    sortArrivals(workload_.arrivals);
    return std::move(workload_);
  }

 private:
  static constexpr std::uint64_t kSeedTag = 0x7061697273;

  PromptSegment text(std::uint32_t tokens) { return promptText(random_.next(), tokens); }

  void drawDocuments() {
    std::ranges::transform(kRulebooks, std::back_inserter(rulebooks_),
                           [this](const RulebookShape& shape) { return text(shape.tokens); });
    newRulebook_ = text(kRulebooks.front().tokens);
    deckGuide_ = text(kDeckGuideTokens);
  }

  void drawTenants() {
    std::vector<double> rulebookWeights;
    rulebookWeights.reserve(std::size(kRulebooks));
    for (const RulebookShape& shape : kRulebooks) rulebookWeights.push_back(shape.weight);
    for (const TenantShape& shape : kTenants) {
      addTenant(shape);
      Organiser organiser;
      organiser.houseRules = text(kHouseRuleTokens);
      for (std::uint32_t index = 0; index < shape.events; ++index) {
        organiser.events.push_back(drawEvent(rulebookWeights));
        organiser.eventWeights.push_back(1.0 / (1.0 + index));
      }
      organisers_.push_back(std::move(organiser));
    }
  }

  void addTenant(const TenantShape& shape) {
    WorkloadTenant tenant;
    tenant.name = shape.name;
    tenant.bearerKey = "key-" + tenant.name;
    tenant.cacheSalt = base::hashName(tenant.name);
    tenant.document = tenantDocument({.bearerKey = tenant.bearerKey,
                                      .model = std::string(kModel),
                                      .application = std::string(kApplication),
                                      .paths = {"/pairings", "/standings"},
                                      .priority = shape.priority,
                                      .deadline = kDeadline,
                                      .holdTime = kHoldTime});
    workload_.tenants.push_back(std::move(tenant));
  }

  Event drawEvent(const std::vector<double>& rulebookWeights) {
    Event event;
    event.rulebook = drawIndex(random_, rulebookWeights);
    event.text = text(kEventTokens);
    event.format = text(kFormatTokens);
    for (std::uint32_t table = 0; table < kTablesPerEvent; ++table) {
      event.tables.push_back(
          {{text(drawBetween(random_, kMinimumHistoryTokens, kMaximumHistoryTokens))}});
    }
    return event;
  }

  const PromptSegment& rulebook(const Event& event, Duration at) const {
    const bool shifted = options_.shiftAt > Duration::zero() && at >= options_.shiftAt;
    return shifted && event.rulebook == 0 ? newRulebook_ : rulebooks_[event.rulebook];
  }

  std::uint32_t drawTenant() {
    std::array<double, kTenants.size()> weights{};
    for (std::size_t index = 0; index < kTenants.size(); ++index) {
      weights[index] = kTenants[index].weight;
    }
    return static_cast<std::uint32_t>(drawIndex(random_, weights));
  }

  Event& drawEventOf(std::uint32_t tenant) {
    Organiser& organiser = organisers_[tenant];
    return organiser.events[drawIndex(random_, organiser.eventWeights)];
  }

  /// Adds a call with a random caller zone. Its class is the requested one, or the tenant's highest
  /// class if the requested one is higher.
  Arrival& addArrival(std::string_view label, Duration at, std::uint32_t tenant,
                      PriorityClass requestedPriority) {
    Arrival& arrival = workload_.arrivals.emplace_back();
    arrival.at = at;
    arrival.label = label;
    arrival.tenant = tenant;
    arrival.zone = static_cast<std::uint32_t>(drawIndex(random_, kZoneWeights)) % options_.zones;
    arrival.nodeDraw = static_cast<std::uint32_t>(random_.below(1U << 16U));
    arrival.priority = std::max(requestedPriority, kTenants[tenant].priority);
    return arrival;
  }

  /// Adds a question about a match and the follow-up questions from the same table.
  void addRulings(Duration at) {
    const std::uint32_t tenant = drawTenant();
    Event& event = drawEventOf(tenant);
    Table& table = event.tables[random_.below(event.tables.size())];
    while (at < options_.duration) {
      addRuling(at, tenant, event, table);
      if (!drawChance(random_, kFollowUpChance)) return;
      at += kMinimumFollowUpDelay + drawExponential(random_, kMeanExtraFollowUpDelay);
    }
  }

  void addRuling(Duration at, std::uint32_t tenant, const Event& event, Table& table) {
    Arrival& arrival = addArrival("ruling", at, tenant, PriorityClass::kUrgent);
    arrival.prompt = {rulebook(event, at), event.text, organisers_[tenant].houseRules};
    arrival.prompt.insert(arrival.prompt.end(), table.history.begin(), table.history.end());
    const PromptSegment question = text(kQuestionTokens);
    arrival.prompt.push_back(question);
    arrival.maximumTokens = kAnswerTokens;
    table.history.push_back(question);
    table.history.push_back(text(kAnswerTokens));
  }

  void addDeckCheck(Duration at) {
    const std::uint32_t tenant = drawTenant();
    const Event& event = drawEventOf(tenant);
    Arrival& arrival = addArrival("deck_check", at, tenant, PriorityClass::kInteractive);
    arrival.prompt = {deckGuide_, event.format, text(kDeckTokens)};
    arrival.maximumTokens = kDeckAnswerTokens;
  }

  void addPlayerQuestion(Duration at) {
    const std::uint32_t tenant = drawTenant();
    const Event& event = drawEventOf(tenant);
    Arrival& arrival = addArrival("player_question", at, tenant, PriorityClass::kStandard);
    arrival.prompt = {rulebook(event, at), event.text, text(kPlayerQuestionTokens)};
    arrival.maximumTokens = kPlayerAnswerTokens;
  }

  void addMatchReport(Duration at) {
    const std::uint32_t tenant = drawTenant();
    const Event& event = drawEventOf(tenant);
    Arrival& arrival = addArrival("match_report", at, tenant, PriorityClass::kBackground);
    arrival.prompt = {event.text, text(kResultTokens)};
    arrival.maximumTokens = kReportTokens;
  }

  void addPageRead(Duration at) {
    Arrival& arrival = addArrival("page_read", at, drawTenant(), PriorityClass::kInteractive);
    arrival.method = "GET";
    arrival.target = drawChance(random_, 0.6) ? "/pairings" : "/standings";
  }

  void addStandingsPost(Duration at) {
    Arrival& arrival = addArrival("standings_post", at, drawTenant(), PriorityClass::kUrgent);
    arrival.method = "POST";
    arrival.target = "/standings";
    arrival.body = "{\"seat\":" + std::to_string(posts_) + "}";
    arrival.idempotencyKey = "post-" + std::to_string(posts_++);
    arrival.notRepeatable = true;
  }

  WorkloadOptions options_;
  base::SeededRandom random_;
  Workload workload_;
  std::vector<PromptSegment> rulebooks_;
  PromptSegment newRulebook_;
  PromptSegment deckGuide_;
  std::vector<Organiser> organisers_;
  std::uint64_t posts_ = 0;
};

}  // namespace

Workload drawTournaments(const WorkloadOptions& options) { return Tournaments(options).draw(); }

}  // namespace covewing::bench
