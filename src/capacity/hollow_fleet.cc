#include "capacity/hollow_fleet.h"

#include <fmt/core.h>
#include <malloc.h>

#include <algorithm>
#include <utility>

#include "config/bearer_key.h"
#include "prefix/prompt.h"

namespace covewing::capacity {

namespace {

constexpr std::string_view kApplication = "pairings";
constexpr std::size_t kApplicationReplicas = 7;
constexpr std::uint32_t kEngineNetwork = 5;
constexpr std::uint16_t kEnginePort = 7200;
/// A prompt consists of a document of the tenant, followed by a tail that is unique to the request.
constexpr std::size_t kDocumentBlocks = 32;
constexpr std::size_t kTailBlocks = 4;
constexpr std::size_t kDocumentsPerTenant = 2;
constexpr std::uint32_t kMaximumTokens = 50;
/// A request stores the blocks of its tail and those of the document that its engine has not
/// cached, about ten in all, and as many are evicted.
constexpr double kEventsPerRequest = 20;
constexpr double kJitter = 0.5;
constexpr base::Duration kPollInterval = std::chrono::milliseconds(10);

base::Duration fromSeconds(double seconds) {
  constexpr double kMicroseconds = 1e6;
  return base::Duration{static_cast<base::Duration::rep>(seconds * kMicroseconds)};
}

std::string tenantName(std::size_t tenant) { return fmt::format("tenant-{:05}", tenant); }
std::string bearerKey(std::size_t tenant) { return "key-" + tenantName(tenant); }
std::string modelName(std::size_t index) { return "model-" + std::to_string(index); }

/// Returns text of exactly `blocks` blocks, which differs between seeds.
std::string blocksOf(std::uint64_t seed, std::size_t blocks) {
  std::string text;
  text.reserve(blocks * prefix::kBytesPerBlock);
  std::uint64_t number = seed;
  while (text.size() < blocks * prefix::kBytesPerBlock) {
    number = base::mixHash(number, text.size());
    text += fmt::format("{:016x}", number);
  }
  return text;
}

}  // namespace

double allocatedBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

class HollowFleet::Caller final : public sim::CompletionCaller {
 public:
  Caller(HollowFleet& owner, std::uint64_t number) : owner_(owner), number_(number) {}
  void onChunk(const clients::StreamChunk& /*chunk*/) override {}
  void onEnd(const clients::StreamEnd& /*end*/) override {
    ++owner_.outcome_.answered;
    finish();
  }
  void onRefused(const request::Refusal& refusal) override {
    ++owner_.outcome_.refused;
    ++owner_.outcome_.refusals[refusal.reason.code];
    finish();
  }
  void onNodeLost() override { finish(); }

 private:
  void finish() { owner_.finished_.push_back(number_); }
  HollowFleet& owner_;
  std::uint64_t number_;
};

class HollowFleet::ProxiedCaller final : public sim::ProxiedCaller {
 public:
  ProxiedCaller(HollowFleet& owner, std::uint64_t number) : owner_(owner), number_(number) {}
  void onResponse(const clients::ApplicationResponse& /*response*/) override {
    ++owner_.outcome_.answered;
    finish();
  }
  void onRefused(const request::Refusal& refusal) override {
    ++owner_.outcome_.refused;
    ++owner_.outcome_.refusals[refusal.reason.code];
    finish();
  }
  void onNodeLost() override { finish(); }

 private:
  void finish() { owner_.finished_.push_back(number_); }
  HollowFleet& owner_;
  std::uint64_t number_;
};

HollowFleet::HollowFleet(const FleetSize& size)
    : size_(size), allocatedBefore_(allocatedBytes()), random_(size.seed) {
  fleet_ = std::make_unique<sim::Fleet>(fleetOptions());
  // The table's rows belong to the platform. The engines' allocations are recorded, so that
  // memoryPerNode() can subtract them.
  const double before = allocatedBytes();
  addEngines();
  enginesAllocated_ = allocatedBytes() - before;
}

HollowFleet::~HollowFleet() {
  // Engines have timers on the fleet's scheduler, so they are destroyed before it.
  engines_.clear();
  fleet_.reset();
}

std::string HollowFleet::zoneOf(std::size_t index) const {
  return "zone-" + std::to_string(index % size_.zones);
}

sim::Location HollowFleet::locationOf(std::size_t index) const {
  const auto zone = index % size_.zones;
  return {zoneOf(index), "region-" + std::to_string(zone * size_.regions / size_.zones)};
}

sim::FleetOptions HollowFleet::fleetOptions() {
  sim::FleetOptions options;
  options.seed = size_.seed;
  options.measureCpu = true;
  options.platform.keptCache.reset();
  options.node.routingPolicy = size_.policy;
  for (std::size_t index = 0; index < size_.nodes; ++index) {
    options.nodes.push_back({"node-" + std::to_string(index), locationOf(index)});
  }
  for (std::size_t index = 0; index < kApplicationReplicas; ++index) {
    sim::ApplicationPlacement replica;
    replica.location = locationOf(index);
    replica.model.name = std::string(kApplication) + "-" + std::to_string(index);
    replica.model.application = kApplication;
    options.applications.push_back(std::move(replica));
  }
  addTemplates(options);
  AdmissionObserver* observer = this;
  options.makeEngineClient = [this, observer](sim::Network& network, sim::HostId self) {
    return std::make_unique<HollowEngineClient>(
        network, self,
        [this](sim::HostId host) {
          const auto found = engineByHost_.find(host);
          return found == engineByHost_.end() ? nullptr : found->second;
        },
        observer);
  };
  return options;
}

void HollowFleet::addTemplates(sim::FleetOptions& options) const {
  sim::InitialTemplate base;
  base.name = "base";
  base.document = fmt::format(
      R"({{"kind":"base","parameters":{{"model":{{"type":"text"}},"rate":{{"type":"number","default":1000}}}},)"
      R"("body":{{"models":[{{"model":"${{model}}"}}],"priority":"standard",)"
      R"("limits":{{"requests_per_second":"${{rate}}","burst":1000,"concurrency":1000}},)"
      R"("deadline_ms":10000,"hold_ms":2000,"applications":[{{"path":"/pairings",)"
      R"("application":"{}","not_repeatable_methods":["POST"]}}]}}}})",
      kApplication);
  options.templates.push_back(std::move(base));
  for (std::size_t tenant = 0; tenant < size_.tenants; ++tenant) {
    options.templates.push_back(
        {tenantName(tenant), tenantDocument(tenant, 0), base::hashName(tenantName(tenant))});
  }
}

std::string HollowFleet::tenantDocument(std::size_t tenant, std::uint64_t rateOffset) const {
  constexpr std::uint64_t kMinimumRate = 1000;
  return fmt::format(
      R"({{"base":"base","key_digests":["{}"],"values":{{"model":"{}","rate":{}}}}})",
      config::digestBearerKey(bearerKey(tenant)), modelName(tenant % size_.models),
      kMinimumRate + rateOffset);
}

void HollowFleet::addEngines() {
  constexpr std::uint32_t kPrivateNetwork = 10U << 24U;
  constexpr unsigned kNetworkShift = 16;
  const double fromRequests = size_.requestsPerSecond * kEventsPerRequest;
  const double steady = std::max(0.0, size_.eventsPerSecond - fromRequests);
  for (std::size_t index = 0; index < size_.engines; ++index) {
    HollowEngineOptions options;
    options.name = "engine-" + std::to_string(index);
    // Each zone has engines of every model.
    options.model = modelName(index / size_.zones % size_.models);
    options.endpoint = {
        kPrivateNetwork | kEngineNetwork << kNetworkShift | static_cast<std::uint32_t>(index + 1),
        kEnginePort};
    options.zone = locationOf(index).zone;
    options.region = locationOf(index).region;
    options.capacityBlocks = size_.blocksPerEngine;
    options.eventsPerSecond = steady / static_cast<double>(size_.engines);
    engines_.push_back(
        std::make_unique<HollowEngine>(fleet_->network(), std::move(options), size_.seed));
    engineByHost_[engines_.back()->host()] = engines_.back().get();
    fleet_->machines().addInitial(engines_.back()->machine());
  }
}

void HollowFleet::start() {
  fleet_->start();
  loadRunning_ = true;
  repeat(size_.requestsPerSecond, &HollowFleet::sendCompletion);
  repeat(size_.claimsPerSecond, &HollowFleet::sendProxied);
  repeat(size_.changesPerSecond, &HollowFleet::sendChange);
}

// --- load

void HollowFleet::repeat(double perSecond, void (HollowFleet::*send)()) {
  if (perSecond <= 0) return;
  const auto interval = random_.jittered(fromSeconds(1 / perSecond), kJitter);
  fleet_->scheduler().after(interval, [this, perSecond, send] {
    if (!loadRunning_) return;
    (this->*send)();
    repeat(perSecond, send);
  });
}

std::size_t HollowFleet::drawNode() { return random_.below(size_.nodes); }

std::size_t HollowFleet::drawTenant() {
  // The load is skewed: the first tenth of the tenants sends about a third of the requests.
  const double draw = random_.unit();
  return static_cast<std::size_t>(draw * draw * static_cast<double>(size_.tenants));
}

std::shared_ptr<const std::string> HollowFleet::drawPrompt(std::size_t tenant) {
  const auto document = tenant * kDocumentsPerTenant + random_.below(kDocumentsPerTenant);
  return std::make_shared<const std::string>(blocksOf(document, kDocumentBlocks) +
                                             blocksOf(random_.next(), kTailBlocks));
}

void HollowFleet::dropFinishedCallers() {
  for (const auto number : std::exchange(finished_, {})) {
    callers_.erase(number);
    proxiedCallers_.erase(number);
  }
}

void HollowFleet::sendCompletion() {
  dropFinishedCallers();
  const auto tenant = drawTenant();
  request::CompletionRequest request;
  request.bearerKey = bearerKey(tenant);
  request.model = modelName(tenant % size_.models);
  request.prompt = drawPrompt(tenant);
  request.maximumTokens = kMaximumTokens;
  const auto number = nextNumber_++;
  auto& caller = *callers_.emplace(number, std::make_unique<Caller>(*this, number)).first->second;
  fleet_->node(drawNode()).complete(std::move(request), caller);
}

void HollowFleet::sendProxied() {
  dropFinishedCallers();
  const auto number = nextNumber_++;
  request::ProxiedRequest request;
  request.bearerKey = bearerKey(drawTenant());
  request.method = "POST";
  request.target = "/pairings";
  request.body = "{}";
  request.idempotencyKey = "call-" + std::to_string(number);
  auto& caller = *proxiedCallers_.emplace(number, std::make_unique<ProxiedCaller>(*this, number))
                      .first->second;
  fleet_->node(drawNode()).proxy(std::move(request), caller);
}

void HollowFleet::sendChange() {
  const auto tenant = random_.below(size_.tenants);
  auto& node = fleet_->node(drawNode());
  if (node.node() == nullptr) return;
  const auto current = node.node()->configuration().findByName(tenantName(tenant));
  if (current == nullptr) return;
  const auto number = nextNumber_++;
  node::OperatorRequest request;
  request.method = "PUT";
  request.target = fmt::format("/v1/templates/{}?operation=change-{}&author=operator&version={}",
                               tenantName(tenant), number, current->revision);
  request.body = tenantDocument(tenant, number);
  node.operate(std::move(request), [](const std::optional<node::OperatorResponse>&) {});
}

void HollowFleet::onAdmitted(const HollowEngine& engine, const std::vector<base::BlockHash>& chain,
                             std::uint32_t matchedBlocks) {
  if (chain.size() < kDocumentBlocks) return;
  auto& holders = holders_[chain[kDocumentBlocks - 1]];
  // The tail is unique to the request and cannot be reused. The document counts as reusable either
  // as a whole or not at all.
  const bool reusable = !holders.empty();
  if (reusable) {
    outcome_.reusableBlocks += kDocumentBlocks;
    outcome_.reusedBlocks += std::min<std::uint64_t>(matchedBlocks, kDocumentBlocks);
  }
  if (std::ranges::find(holders, &engine) == holders.end()) holders.push_back(&engine);
}

// --- measurements

std::vector<Usage> HollowFleet::usage() {
  constexpr std::size_t kUdpHeaders = 28;
  using sim::TrafficClass;
  std::vector<Usage> result;
  // Nodes count sent peer traffic by channel, but not received traffic. As the fleet receives what
  // it sends, the received part is split by the fleet's share of each channel.
  std::array<double, sim::kChannelCount> share{};
  double sum = 0;
  std::vector<std::array<double, sim::kChannelCount>> sent(size_.nodes);
  for (std::size_t index = 0; index < size_.nodes; ++index) {
    const auto count = fleet_->node(index).peerMessages();
    for (std::size_t channel = 0; channel < sim::kChannelCount; ++channel) {
      const auto bytes =
          static_cast<double>(count.bytes.at(channel) + kUdpHeaders * count.messages.at(channel));
      sent.at(index).at(channel) = bytes;
      share.at(channel) += bytes;
      sum += bytes;
    }
  }
  for (std::size_t index = 0; index < size_.nodes; ++index) {
    auto& node = fleet_->node(index);
    const auto& traffic = fleet_->network().traffic(node.host());
    const auto sentAndReceived = [&](TrafficClass kind) {
      const auto position = static_cast<std::size_t>(kind);
      return static_cast<double>(traffic.sent.at(position) + traffic.received.at(position));
    };
    Usage usage;
    const auto add = [&](Traffic kind, double bytes) {
      usage.bytes.at(static_cast<std::size_t>(kind)) += bytes;
    };
    add(Traffic::kEngineReports, sentAndReceived(TrafficClass::kEngineReports));
    add(Traffic::kOrders, sentAndReceived(TrafficClass::kOrders));
    add(Traffic::kTable, sentAndReceived(TrafficClass::kTable));
    add(Traffic::kObjectStore, sentAndReceived(TrafficClass::kObjectStore));
    add(Traffic::kMachineList, sentAndReceived(TrafficClass::kMachineList));
    const double peer =
        sentAndReceived(TrafficClass::kPeerDatagram) + sentAndReceived(TrafficClass::kPeerStream);
    double nodeSum = 0;
    for (const double bytes : sent.at(index)) nodeSum += bytes;
    for (std::size_t channel = 1; channel <= 6; ++channel) {
      const double part =
          sum > 0
              ? (nodeSum > 0 ? (sent.at(index).at(channel) / nodeSum + share.at(channel) / sum) / 2
                             : share.at(channel) / sum)
              : 0;
      add(static_cast<Traffic>(channel - 1), peer * part);
    }
    usage.sentBytes = static_cast<double>(traffic.controlSent());
    usage.receivedBytes = static_cast<double>(traffic.controlReceived());
    usage.cpuNanoseconds = static_cast<double>(node.process().cpuUse().nanoseconds);
    result.push_back(usage);
  }
  return result;
}

std::uint64_t HollowFleet::publishedEvents() const {
  std::uint64_t sum = 0;
  for (const auto& engine : engines_) sum += engine->published();
  return sum;
}

double HollowFleet::memoryPerNode() const {
  return (allocatedBytes() - allocatedBefore_ - enginesAllocated_) /
         static_cast<double>(size_.nodes);
}

std::size_t HollowFleet::nodesThatSeeAll() {
  std::size_t count = 0;
  for (std::size_t index = 0; index < size_.nodes; ++index) {
    auto* node = fleet_->node(index).node();
    if (node != nullptr && node->members().liveMembers().size() == size_.nodes) ++count;
  }
  return count;
}

std::size_t HollowFleet::nodesReady() {
  std::size_t count = 0;
  for (std::size_t index = 0; index < size_.nodes; ++index) {
    auto* node = fleet_->node(index).node();
    if (node != nullptr && node->ready()) ++count;
  }
  return count;
}

std::optional<base::Duration> HollowFleet::timeOfChange(std::size_t node, base::Duration limit) {
  const std::size_t tenant = 0;
  const auto current = fleet_->node(node).node()->configuration().findByName(tenantName(tenant));
  if (current == nullptr) return std::nullopt;
  const auto before = current->revision;
  node::OperatorRequest request;
  request.method = "PUT";
  request.target = fmt::format("/v1/templates/{}?operation=timed-{}&author=operator&version={}",
                               tenantName(tenant), nextNumber_, before);
  request.body = tenantDocument(tenant, nextNumber_++);
  const auto start = fleet_->scheduler().now();
  fleet_->node(node).operate(std::move(request),
                             [](const std::optional<node::OperatorResponse>&) {});
  while (fleet_->scheduler().now() - start < limit) {
    fleet_->runFor(kPollInterval);
    bool onAllNodes = true;
    for (std::size_t index = 0; index < size_.nodes && onAllNodes; ++index) {
      auto* running = fleet_->node(index).node();
      if (running == nullptr) continue;
      const auto view = running->configuration().findByName(tenantName(tenant));
      onAllNodes = view != nullptr && view->revision > before;
    }
    if (onAllNodes) return fleet_->scheduler().now() - start;
  }
  return std::nullopt;
}

std::optional<base::Duration> HollowFleet::timeOfDetection(std::size_t node, base::Duration limit) {
  const auto id = base::nodeIdOf(fleet_->node(node).name());
  const auto start = fleet_->scheduler().now();
  fleet_->node(node).crash();
  while (fleet_->scheduler().now() - start < limit) {
    fleet_->runFor(kPollInterval);
    bool onAllNodes = true;
    for (std::size_t index = 0; index < size_.nodes && onAllNodes; ++index) {
      auto* running = fleet_->node(index).node();
      if (running == nullptr) continue;
      const auto* member = running->members().find(id);
      onAllNodes = member == nullptr || member->state == membership::MemberState::kDead;
    }
    if (onAllNodes) return fleet_->scheduler().now() - start;
  }
  return std::nullopt;
}

}  // namespace covewing::capacity
