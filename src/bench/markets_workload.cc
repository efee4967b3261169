// Workload of farmers' markets on a morning. A prompt is a sequence of segments from the most
// widely shared to the most specific: season's price notes, region, tenant, stock list, question.
// Sizes, shares and rates are explained in docs/WORKLOADS.md.
#include <array>
#include <string>

#include "base/ids.h"
#include "bench/arrival_process.h"
#include "bench/draw.h"
#include "bench/workload.h"

namespace covewing::bench {

using base::Duration;
using base::PriorityClass;
using std::chrono::seconds;

namespace {

constexpr std::string_view kModel = "stalls";
constexpr std::string_view kApplication = "tablets";

struct TenantShape {
  std::string_view name;
  double weight;
  std::uint32_t stalls;
  PriorityClass priority;
};
constexpr std::array kTenants = {TenantShape{"brno-zelny-trh", 0.28, 320, PriorityClass::kUrgent},
                                 TenantShape{"olomouc", 0.20, 240, PriorityClass::kUrgent},
                                 TenantShape{"praha-jih", 0.17, 200, PriorityClass::kUrgent},
                                 TenantShape{"plzen", 0.11, 130, PriorityClass::kUrgent},
                                 TenantShape{"jihlava", 0.09, 100, PriorityClass::kUrgent},
                                 TenantShape{"zlin", 0.07, 80, PriorityClass::kUrgent},
                                 TenantShape{"tabor", 0.05, 60, PriorityClass::kInteractive},
                                 TenantShape{"mikulov", 0.03, 40, PriorityClass::kInteractive}};

constexpr std::uint32_t kPriceNoteTokens = 10'000;
constexpr std::uint32_t kRegions = 4;
constexpr std::uint32_t kRegionTokens = 2'500;
constexpr std::uint32_t kTenantTokens = 600;
constexpr std::uint32_t kMinimumStockTokens = 600;
constexpr std::uint32_t kMaximumStockTokens = 2'400;
constexpr std::uint32_t kReadQuestionTokens = 80;
constexpr std::uint32_t kReadAnswerTokens = 220;
constexpr std::uint32_t kLabelGuideTokens = 2'500;
constexpr std::uint32_t kCategories = 12;
constexpr std::uint32_t kCategoryTokens = 800;
constexpr std::uint32_t kLabelQuestionTokens = 60;
constexpr std::uint32_t kLabelAnswerTokens = 60;
constexpr std::uint32_t kSummaryTokens = 2'500;
constexpr std::uint32_t kSummaryAnswerTokens = 256;

/// Calls per second at the peak with load 1.
constexpr double kFirstReads = 13.0;
constexpr double kLabelQuestions = 20.0;
constexpr double kSummaries = 2.0;
constexpr double kPitchMapReads = 20.0;
constexpr double kPaymentChecks = 7.0;

constexpr double kFollowUpChance = 0.4;
constexpr Duration kMinimumFollowUpDelay = seconds(4);
constexpr Duration kMeanExtraFollowUpDelay = seconds(12);

/// Stallholders of a market open at the same time, which causes a burst of calls.
constexpr Duration kOpeningGap = seconds(15);
constexpr Duration kOpeningLength = seconds(3);

constexpr std::array kZoneWeights = {0.40, 0.35, 0.25};

constexpr Duration kDeadline = seconds(10);
constexpr Duration kHoldTime = seconds(2);

struct Stall {
  std::uint32_t region = 0;
  std::vector<PromptSegment> stock;
};
struct Market {
  PromptSegment notes;
  std::vector<Stall> stalls;
};

class Markets {
 public:
  explicit Markets(const WorkloadOptions& options)
      : options_(options), random_(base::mixHash(options.seed, kSeedTag)) {}

  Workload draw() {
    workload_.model = kModel;
    workload_.application = kApplication;
    drawDocuments();
    for (const TenantShape& shape : kTenants) {
      addTenant(shape);
      markets_.push_back(drawMarket(shape));
    }
    const PeakEnvelope envelope{.duration = options_.duration};
    const auto openings = drawBursts(random_, options_.duration, kOpeningGap, kOpeningLength);
    const auto addCalls = [&](double peak, double burstFactor, auto add) {
      const ArrivalRate rate{peak * options_.load, burstFactor};
      for (const Duration at : drawArrivalTimes(random_, envelope, openings, rate)) add(at);
    };
    addCalls(kFirstReads * options_.lowerLoad, 1.8, [this](Duration at) { addReads(at); });
    addCalls(kLabelQuestions, 1.5, [this](Duration at) { addLabelQuestion(at); });
    addCalls(kSummaries * options_.lowerLoad, 1.0, [this](Duration at) { addSummary(at); });
    addCalls(kPitchMapReads, 2.0, [this](Duration at) { addPitchMapRead(at); });
    addCalls(kPaymentChecks, 1.5, [this](Duration at) { addPaymentCheck(at); });
    sortArrivals(workload_.arrivals);
    return std::move(workload_);
  }

 private:
  static constexpr std::uint64_t kSeedTag = 0x7374616c6c73;

  PromptSegment text(std::uint32_t tokens) { return promptText(random_.next(), tokens); }

  void drawDocuments() {
    priceNotes_ = text(kPriceNoteTokens);
    newPriceNotes_ = text(kPriceNoteTokens);
    labelGuide_ = text(kLabelGuideTokens);
    for (std::uint32_t region = 0; region < kRegions; ++region) {
      regions_.push_back(text(kRegionTokens));
    }
    for (std::uint32_t category = 0; category < kCategories; ++category) {
      categories_.push_back(text(kCategoryTokens));
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
                                      .paths = {"/pitch-map", "/payments"},
                                      .priority = shape.priority,
                                      .deadline = kDeadline,
                                      .holdTime = kHoldTime});
    workload_.tenants.push_back(std::move(tenant));
  }

  Market drawMarket(const TenantShape& shape) {
    Market market;
    market.notes = text(kTenantTokens);
    for (std::uint32_t index = 0; index < shape.stalls; ++index) {
      Stall stall;
      stall.region = static_cast<std::uint32_t>(random_.below(kRegions));
      stall.stock.push_back(text(drawBetween(random_, kMinimumStockTokens, kMaximumStockTokens)));
      market.stalls.push_back(std::move(stall));
    }
    return market;
  }

  const PromptSegment& priceNotes(Duration at) const {
    const bool shifted = options_.shiftAt > Duration::zero() && at >= options_.shiftAt;
    return shifted ? newPriceNotes_ : priceNotes_;
  }

  std::uint32_t drawTenant() {
    std::array<double, kTenants.size()> weights{};
    for (std::size_t index = 0; index < kTenants.size(); ++index) {
      weights[index] = kTenants[index].weight;
    }
    return static_cast<std::uint32_t>(drawIndex(random_, weights));
  }

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

  /// Adds a stallholder's price read in the morning and its follow-up questions.
  void addReads(Duration at) {
    const std::uint32_t tenant = drawTenant();
    Market& market = markets_[tenant];
    Stall& stall = market.stalls[random_.below(market.stalls.size())];
    while (at < options_.duration) {
      addRead(at, tenant, market, stall);
      if (!drawChance(random_, kFollowUpChance)) return;
      at += kMinimumFollowUpDelay + drawExponential(random_, kMeanExtraFollowUpDelay);
    }
  }

  void addRead(Duration at, std::uint32_t tenant, const Market& market, Stall& stall) {
    Arrival& arrival = addArrival("price_read", at, tenant, PriorityClass::kInteractive);
    arrival.prompt = {priceNotes(at), regions_[stall.region], market.notes};
    arrival.prompt.insert(arrival.prompt.end(), stall.stock.begin(), stall.stock.end());
    const PromptSegment question = text(kReadQuestionTokens);
    arrival.prompt.push_back(question);
    arrival.maximumTokens = kReadAnswerTokens;
    stall.stock.push_back(question);
    stall.stock.push_back(text(kReadAnswerTokens));
  }

  void addLabelQuestion(Duration at) {
    Arrival& arrival = addArrival("label_question", at, drawTenant(), PriorityClass::kUrgent);
    const PromptSegment category = categories_[random_.below(categories_.size())];
    arrival.prompt = {labelGuide_, category, text(kLabelQuestionTokens)};
    arrival.maximumTokens = kLabelAnswerTokens;
  }

  void addSummary(Duration at) {
    const std::uint32_t tenant = drawTenant();
    Arrival& arrival = addArrival("day_summary", at, tenant, PriorityClass::kBackground);
    arrival.prompt = {markets_[tenant].notes, text(kSummaryTokens)};
    arrival.maximumTokens = kSummaryAnswerTokens;
  }

  void addPitchMapRead(Duration at) {
    Arrival& arrival = addArrival("pitch_map", at, drawTenant(), PriorityClass::kInteractive);
    arrival.method = "GET";
    arrival.target = "/pitch-map";
  }

  void addPaymentCheck(Duration at) {
    Arrival& arrival = addArrival("payment_check", at, drawTenant(), PriorityClass::kUrgent);
    arrival.method = "POST";
    arrival.target = "/payments";
    arrival.body = "{\"order\":" + std::to_string(payments_) + "}";
    arrival.idempotencyKey = "payment-" + std::to_string(payments_++);
    arrival.notRepeatable = true;
  }

  WorkloadOptions options_;
  base::SeededRandom random_;
  Workload workload_;
  PromptSegment priceNotes_;
  PromptSegment newPriceNotes_;
  PromptSegment labelGuide_;
  std::vector<PromptSegment> regions_;
  std::vector<PromptSegment> categories_;
  std::vector<Market> markets_;
  std::uint64_t payments_ = 0;
};

}  // namespace

Workload drawMarkets(const WorkloadOptions& options) { return Markets(options).draw(); }

}  // namespace covewing::bench
