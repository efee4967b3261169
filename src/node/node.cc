#include "node/node.h"

#include <array>
#include <utility>

#include "admission/admission_service.h"
#include "config/configuration_distributor.h"
#include "config/configuration_store.h"
#include "config/template_editor.h"
#include "coordination/coordinator.h"
#include "engine_routing/routing_service.h"
#include "membership/gossip_membership.h"
#include "node/explain_log.h"
#include "node/fleet_catalogue.h"
#include "node/operator_service.h"
#include "node/pause_detector.h"
#include "node/zone_reachability_tracker.h"
#include "request/claim_expiry.h"
#include "request/claim_store.h"
#include "request/request_manager.h"

namespace covewing::node {

namespace {

using base::Channel;

constexpr std::size_t kChannelCount = static_cast<std::size_t>(Channel::kRequest) + 1;

membership::GossipMembershipOptions membershipOptionsOf(const NodeOptions& options) {
  membership::GossipMembershipOptions result;
  result.name = options.name;
  result.zone = options.zone;
  result.region = options.region;
  result.endpoint = options.peerEndpoint;
  result.incarnation = options.incarnation;
  result.seeds = options.seeds;
  return result;
}

engine_routing::RoutingOptions routingOptionsOf(const NodeOptions& options) {
  engine_routing::RoutingOptions result;
  result.policy = options.routingPolicy;
  if (options.makePolicy != nullptr) {
    result.makePolicy =
        [make = options.makePolicy](const engine_routing::PolicyEnvironment& environment) {
          return make(environment.fleet);
        };
  }
  return result;
}

config::ConfigurationDistributorOptions distributorOptionsOf(const NodeOptions& options) {
  config::ConfigurationDistributorOptions result;
  result.seeds = options.seeds;
  return result;
}

coordination::CoordinatorOptions coordinatorOptionsOf(const NodeOptions& options) {
  coordination::CoordinatorOptions result;
  result.region = options.region;
  result.loadSlots = options.loadSlots;
  return result;
}

/// Updates the engine directory from the failures of dispatches. A slow response alone does not
/// count as a failure: taking an overloaded engine out of use would move its load to the others.
class DispatchFeedback final : public request::BackEndObserver {
 public:
  explicit DispatchFeedback(engine_routing::EngineDirectory& directory) : directory_(directory) {}

  void onDispatchFailed(base::EngineId backEnd, const clients::DispatchError& error) override {
    switch (error.reason.code) {
      case base::ResultCode::kBackEndUnreachable:
      case base::ResultCode::kBackEndLost:
        directory_.markUnreachable(backEnd);
        return;
      case base::ResultCode::kBackEndLeaving:
        directory_.markLeaving(backEnd);
        return;
      default:
        return;
    }
  }

 private:
  engine_routing::EngineDirectory& directory_;
};

class NodeImpl final : public Node {
 public:
  NodeImpl(NodeOptions options, NodeEnvironment environment);

  void start() override;
  void onPeerMessage(const base::PeerIdentity& sender, Channel channel,
                     std::string_view payload) override;
  request::RequestService& requests() override { return requests_; }
  OperatorService& operators() override { return *operators_; }
  bool ready() const override { return store_.loaded() && !requests_.draining(); }
  void drain(base::Duration timeout, std::function<void()> drained) override;

  const config::ConfigurationView& configuration() const override { return store_; }
  const membership::MemberDirectory& members() const override { return members_; }
  const engine_routing::FleetView& fleet() const override { return routing_.fleet(); }
  CoordinationStatus coordination() const override {
    return {coordinator_.leaseStatus(), coordinator_.openOrders()};
  }

 private:
  static request::RequestOptions requestOptionsOf(const NodeOptions& options);
  request::RequestDependencies requestDependencies();
  OperatorServiceDependencies operatorDependencies();
  void registerHandler(Channel channel, base::PeerHandler& handler);
  void logReadiness();
  void onWake();
  /// Whether the lease has been released and no request is open.
  bool canFinishDraining() const;
  void finishDraining();

  NodeOptions options_;
  NodeEnvironment environment_;
  membership::GossipMembership members_;
  config::ConfigurationStore store_;
  config::ConfigurationDistributor distributor_;
  config::TemplateEditor editor_;
  engine_routing::RoutingService routing_;
  std::unique_ptr<admission::AdmissionService> admission_;
  request::ClaimStore claims_;
  request::ClaimExpiry claimExpiry_;
  ExplainLog explainLog_;
  ZoneReachabilityTracker zones_;
  DispatchFeedback feedback_;
  request::RequestManager requests_;
  FleetCatalogue catalogue_;
  coordination::Coordinator coordinator_;
  std::unique_ptr<OperatorService> operators_;
  PauseDetector pauseDetector_;
  std::array<base::PeerHandler*, kChannelCount> handlers_{};
  std::function<void()> onDrained_;
  bool leaseReleased_ = false;
  request::OneShotTimer drainTimer_;
  request::OneShotTimer readyTimer_;
};

NodeImpl::NodeImpl(NodeOptions options, NodeEnvironment environment)
    : options_(std::move(options)),
      environment_(environment),
      members_(membershipOptionsOf(options_), environment.clock, environment.timers,
               environment.random, environment.log, environment.peers),
      store_({.freshnessBound = options_.freshnessBound}, environment.clock, environment.log),
      distributor_(distributorOptionsOf(options_), environment.clock, environment.timers,
                   environment.random, environment.log, environment.peers, members_,
                   environment.table, environment.objects, store_),
      editor_({}, environment.timers, environment.random, environment.log, environment.table,
              store_, distributor_),
      routing_(routingOptionsOf(options_),
               {environment.clock, environment.timers, environment.random, environment.log,
                environment.peers, environment.machines, environment.engines, members_, members_}),
      admission_(admission::makeAdmissionController(options_.admission, environment.clock,
                                                    environment.timers, environment.random,
                                                    environment.log, members_, environment.peers)),
      claims_({}, {environment.clock, environment.timers, environment.random, environment.peers,
                   environment.table, members_}),
      claimExpiry_({}, {environment.clock, environment.timers, environment.random,
                        environment.table, members_}),
      zones_(members_),
      feedback_(routing_.directory()),
      requests_({options_.name, options_.incarnation}, requestOptionsOf(options_),
                requestDependencies()),
      catalogue_(routing_.fleet()),
      coordinator_(
          coordinatorOptionsOf(options_),
          {environment.clock, environment.timers, environment.random, environment.log,
           environment.peers, environment.table, environment.engines, members_, catalogue_}),
      operators_(makeOperatorService(operatorDependencies())),
      pauseDetector_(environment.clock, environment.timers, environment.log,
                     [this](base::Duration /*pause*/) { onWake(); }),
      drainTimer_(environment.timers),
      readyTimer_(environment.timers) {
  registerHandler(Channel::kMembership, members_);
  registerHandler(Channel::kConfiguration, distributor_);
  registerHandler(Channel::kCacheIndex, routing_.lookups());
  registerHandler(Channel::kCoordination, coordinator_);
  registerHandler(Channel::kAdmission, *admission_);
  registerHandler(Channel::kRequest, claims_);
  requests_.setBeforeRequest([this] { pauseDetector_.check(); });
  requests_.setOnFinished([this] {
    if (onDrained_ != nullptr && canFinishDraining()) finishDraining();
  });
}

request::RequestOptions NodeImpl::requestOptionsOf(const NodeOptions& options) {
  request::RequestOptions result;
  result.maximumOpenRequests = options.maximumOpenRequests;
  return result;
}

request::RequestDependencies NodeImpl::requestDependencies() {
  return {environment_.clock,
          environment_.timers,
          environment_.random,
          environment_.log,
          store_,
          routing_.directory(),
          zones_,
          routing_.policy(),
          *admission_,
          environment_.engines,
          environment_.applications,
          claims_,
          explainLog_,
          feedback_};
}

OperatorServiceDependencies NodeImpl::operatorDependencies() {
  return {environment_.clock,
          environment_.timers,
          editor_,
          store_,
          coordinator_,
          catalogue_,
          members_,
          routing_.fleet(),
          explainLog_,
          [this] {
            return NodeActivity{ready(), requests_.draining(), requests_.openRequests()};
          }};
}

void NodeImpl::registerHandler(Channel channel, base::PeerHandler& handler) {
  handlers_.at(static_cast<std::size_t>(channel)) = &handler;
}

void NodeImpl::start() {
  environment_.log.write(base::Event::kNodeStarting, {{"node", options_.name}});
  pauseDetector_.start();
  members_.start();
  distributor_.start();
  routing_.start();
  coordinator_.start();
  claimExpiry_.start();
  logReadiness();
}

void NodeImpl::logReadiness() {
  constexpr base::Duration kReadinessCheckInterval = std::chrono::milliseconds(20);
  if (!ready()) {
    readyTimer_.start(kReadinessCheckInterval, [this] { logReadiness(); });
    return;
  }
  environment_.log.write(base::Event::kNodeReady, {{"node", options_.name}});
}

void NodeImpl::onPeerMessage(const base::PeerIdentity& sender, Channel channel,
                             std::string_view payload) {
  const auto index = static_cast<std::size_t>(channel);
  base::PeerHandler* handler = index < kChannelCount ? handlers_.at(index) : nullptr;
  if (handler == nullptr) {
    environment_.log.write(base::Event::kMessageRejected, {{"detail", "no such channel"}});
    return;
  }
  handler->onPeerMessage(sender, payload);
}

void NodeImpl::onWake() {
  members_.onWake();
  distributor_.onWake();
}

void NodeImpl::drain(base::Duration timeout, std::function<void()> drained) {
  environment_.log.write(base::Event::kNodeDraining, {{"node", options_.name}});
  requests_.startDraining();
  members_.setDraining(true);
  onDrained_ = std::move(drained);
  drainTimer_.start(timeout, [this] { finishDraining(); });
  coordinator_.drain([this] {
    leaseReleased_ = true;
    // `drained` must not be called from inside `drain`.
    if (onDrained_ != nullptr && canFinishDraining()) {
      drainTimer_.start(base::Duration::zero(), [this] { finishDraining(); });
    }
  });
}

bool NodeImpl::canFinishDraining() const { return leaseReleased_ && requests_.openRequests() == 0; }

void NodeImpl::finishDraining() {
  drainTimer_.stop();
  requests_.failOpenRequests(
      {base::ResultCode::kNodeDraining, "the bound of the planned stop passed"});
  members_.leave();
  environment_.log.write(base::Event::kNodeStopped, {{"node", options_.name}});
  if (onDrained_ != nullptr) std::exchange(onDrained_, nullptr)();
}

}  // namespace

std::unique_ptr<Node> makeNode(NodeOptions options, NodeEnvironment environment) {
  return std::make_unique<NodeImpl>(std::move(options), environment);
}

}  // namespace covewing::node
