#include "sim/fleet.h"

#include <algorithm>
#include <utility>

#include "config/template_document.h"
#include "config/template_row.h"

namespace covewing::sim {

namespace {
constexpr std::uint32_t kNodeNetwork = 1;
constexpr std::uint32_t kEngineNetwork = 2;
constexpr std::uint32_t kApplicationNetwork = 3;
constexpr std::uint32_t kPlatformNetwork = 4;
constexpr std::uint16_t kNodePort = 7100;
constexpr std::uint16_t kEnginePort = 7200;
constexpr std::uint16_t kApplicationPort = 7300;
constexpr std::uint16_t kPlatformPort = 7400;
constexpr std::string_view kPlatformZone = "platform";
constexpr std::string_view kInitialAuthor = "initial";

template <class Host>
Host* hostAt(const std::vector<Host*>& hosts, HostId id) {
  return id < hosts.size() ? hosts[id] : nullptr;
}

template <class Host>
void setHostAt(std::vector<Host*>& hosts, HostId id, Host& host) {
  if (hosts.size() <= id) hosts.resize(id + 1, nullptr);
  hosts[id] = &host;
}
}  // namespace

base::Endpoint Fleet::endpointOf(std::uint32_t network, std::size_t index, std::uint16_t port) {
  // 10.network.x.y
  constexpr std::uint32_t kTen = 10U << 24U;
  constexpr unsigned kNetworkShift = 16;
  const auto host = static_cast<std::uint32_t>(index + 1);
  return {kTen | network << kNetworkShift | host, port};
}

Fleet::Fleet(FleetOptions options) : options_(std::move(options)) {
  network_ = std::make_unique<Network>(scheduler_, options_.network,
                                       base::mixHash(options_.seed, base::hashName("network")));
  addPlatform();
  addTemplates();
  addEngines();
  addApplications();
  addNodes();
}

Fleet::~Fleet() = default;

void Fleet::addPlatform() {
  auto region = options_.platform.region;
  if (region.empty() && !options_.nodes.empty()) region = options_.nodes.front().location.region;
  platform_ = std::make_unique<Process>(scheduler_, "platform", options_.seed);
  platform_->start();
  platformHost_ = network_->addHost(*platform_, endpointOf(kPlatformNetwork, 0, kPlatformPort),
                                    kPlatformZone, region);
  auto& process = *platform_;
  const auto& settings = options_.platform;
  table_ = std::make_unique<emulator::TableModel>(settings.table, process, process, process);
  objects_ =
      std::make_unique<emulator::ObjectStoreModel>(settings.objects, process, process, process);
  machines_ =
      std::make_unique<emulator::MachineListModel>(settings.machines, process, process, process);
  weightStore_ = std::make_unique<emulator::WeightStoreModel>(settings.weights, process, process);
  if (settings.keptCache) {
    keptCacheStore_ = std::make_unique<emulator::KeptCacheStoreModel>(*settings.keptCache, process);
  }
}

void Fleet::addTemplates() {
  for (const auto& initial : options_.templates) {
    config::TemplateRow row;
    row.name = initial.name;
    row.document = initial.document;
    row.cacheSalt = initial.cacheSalt;
    row.author = kInitialAuthor;
    row.operationId = std::string(kInitialAuthor) + "-" + initial.name;
    clients::TableTransaction transaction;
    transaction.writes.push_back(
        {config::templateRowKey(row.name), config::encodeTemplateRow(row)});
    std::vector<config::FieldMistake> mistakes;
    const auto document = config::parseTemplateDocument(initial.document, mistakes);
    if (document) {
      for (const auto& digest : document->keyDigests) {
        transaction.writes.push_back(
            {std::string(config::kTemplateKeyPrefix) + digest, initial.name});
      }
    }
    table_->commitNow(transaction);
  }
}

void Fleet::addEngines() {
  emulator::EngineSurroundings surroundings;
  surroundings.weightStore = weightStore_.get();
  surroundings.keptCacheStore = keptCacheStore_.get();
  surroundings.observer = options_.observer;
  for (std::size_t index = 0; index < options_.engines.size(); ++index) {
    const auto& placement = options_.engines[index];
    EngineHostOptions host;
    host.model = placement.model;
    host.endpoint = endpointOf(kEngineNetwork, index, kEnginePort);
    host.zone = placement.location.zone;
    host.region = placement.location.region;
    host.chunksPerMessage = options_.chunksPerMessage;
    engines_.push_back(
        std::make_unique<EngineHost>(*network_, std::move(host), surroundings, options_.seed));
    setHostAt(engineByHost_, engines_.back()->host(), *engines_.back());
    machines_->addInitial(engineMachine(index));
  }
}

void Fleet::addApplications() {
  for (std::size_t index = 0; index < options_.applications.size(); ++index) {
    const auto endpoint = endpointOf(kApplicationNetwork, index, kApplicationPort);
    applications_.push_back(std::make_unique<ApplicationHost>(
        *network_, options_.applications[index], endpoint, options_.observer, options_.seed));
    setHostAt(applicationByHost_, applications_.back()->host(), *applications_.back());
    machines_->addInitial(applicationMachine(index));
  }
}

std::vector<base::Endpoint> Fleet::seedEndpoints() const {
  std::map<std::string, std::size_t> taken;
  std::vector<base::Endpoint> seeds;
  for (std::size_t index = 0; index < options_.nodes.size(); ++index) {
    auto& count = taken[options_.nodes[index].location.zone];
    if (count >= options_.seedsPerZone) continue;
    ++count;
    seeds.push_back(endpointOf(kNodeNetwork, index, kNodePort));
  }
  return seeds;
}

void Fleet::addNodes() {
  const auto seeds = seedEndpoints();
  const NodeSurroundings surroundings{
      *network_,
      platformHost_,
      *table_,
      *objects_,
      *machines_,
      [this](HostId host) -> PeerReceiver* { return hostAt(nodeByHost_, host); },
      [this](HostId host) { return hostAt(engineByHost_, host); },
      [this](HostId host) -> emulator::ApplicationModel* {
        auto* application = hostAt(applicationByHost_, host);
        return application == nullptr ? nullptr : &application->model();
      }};
  for (std::size_t index = 0; index < options_.nodes.size(); ++index) {
    const auto& placement = options_.nodes[index];
    auto node = options_.node;
    node.name = placement.name;
    node.zone = placement.location.zone;
    node.region = placement.location.region;
    node.peerEndpoint = endpointOf(kNodeNetwork, index, kNodePort);
    node.seeds = seeds;
    std::erase(node.seeds, node.peerEndpoint);
    nodes_.push_back(std::make_unique<NodeHost>(options_, std::move(node), surroundings));
    setHostAt(nodeByHost_, nodes_.back()->host(), *nodes_.back());
  }
}

void Fleet::start() {
  for (auto& node : nodes_) node->start();
}

clients::Machine Fleet::engineMachine(std::size_t index) const {
  const auto& options = engines_[index]->options();
  clients::Machine machine;
  machine.name = options.model.name;
  machine.kind = clients::MachineKind::kEngine;
  machine.endpoint = options.endpoint;
  machine.zone = options.zone;
  machine.region = options.region;
  return machine;
}

clients::Machine Fleet::applicationMachine(std::size_t index) const {
  const auto& host = *applications_[index];
  clients::Machine machine;
  machine.name = host.placement().model.name;
  machine.kind = clients::MachineKind::kApplication;
  machine.endpoint = host.endpoint();
  machine.zone = host.placement().location.zone;
  machine.region = host.placement().location.region;
  machine.application = host.placement().model.application;
  return machine;
}

void Fleet::leaveEngine(std::size_t index) {
  auto machine = engineMachine(index);
  machine.state = clients::MachineState::kLeaving;
  machines_->update(std::move(machine));
  engines_[index]->model().leave();
}

void Fleet::leaveApplication(std::size_t index) {
  auto machine = applicationMachine(index);
  machine.state = clients::MachineState::kLeaving;
  machines_->update(std::move(machine));
  applications_[index]->model().leave();
}

}  // namespace covewing::sim
