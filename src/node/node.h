/// \file
/// One covewing node: connects membership, configuration, coordination, cache index, routing,
/// admission and request handling. The live runtime and the simulator use the same class.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admission/admission_options.h"
#include "base/endpoint.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/application_client.h"
#include "clients/engine_client.h"
#include "clients/machine_list_client.h"
#include "clients/object_store_client.h"
#include "clients/table_client.h"
#include "config/configuration_view.h"
#include "coordination/lease_manager.h"
#include "engine_routing/fleet_view.h"
#include "engine_routing/routing_policy.h"
#include "membership/member_directory.h"
#include "node/operator_api.h"
#include "request/caller_request.h"

namespace covewing::node {

/// Identity and limits of a node, from its settings.
struct NodeOptions {
  std::string name;
  std::string zone;
  std::string region;
  base::Endpoint peerEndpoint;
  /// Peer endpoints through which the node joins the cluster.
  std::vector<base::Endpoint> seeds;
  /// Must be higher at each start of a node with the same name.
  base::Incarnation incarnation = 1;
  /// Name of the routing policy; "default" selects the shipped policy.
  std::string routingPolicy = "default";
  /// If set, creates the routing policy, and `routingPolicy` is ignored. For experiments with
  /// policies that are not shipped.
  std::function<std::unique_ptr<engine_routing::RoutingPolicy>(const engine_routing::FleetView&)>
      makePolicy;
  /// Maximum number of weight loads in progress at once in the region, the limit of the weight
  /// store.
  std::uint32_t loadSlots = 2;
  std::size_t maximumOpenRequests = 10'000;
  admission::AdmissionOptions admission;
  /// How long the configuration counts as confirmed after its last confirmation.
  base::Duration freshnessBound = std::chrono::seconds(5);
};

/// External services and runtime interfaces of a node. All must outlive the node and be used on its
/// thread.
struct NodeEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  clients::TableClient& table;
  clients::ObjectStoreClient& objects;
  clients::MachineListClient& machines;
  clients::EngineClient& engines;
  clients::ApplicationClient& applications;
};

/// State of the node in the coordination of its region.
struct CoordinationStatus {
  coordination::LeaseStatus lease;
  /// Number of orders that this node is executing.
  std::size_t openOrders = 0;
};

class Node {
 public:
  virtual ~Node() = default;
  /// Starts to join the cluster and to load the configuration; requests are served as soon as a
  /// copy of the configuration is available.
  virtual void start() = 0;
  /// Handles a decoded frame from another node.
  virtual void onPeerMessage(const base::PeerIdentity& sender, base::Channel channel,
                             std::string_view payload) = 0;
  virtual request::RequestService& requests() = 0;
  virtual OperatorService& operators() = 0;
  /// Whether the node can serve callers: its configuration is loaded and it is not draining.
  virtual bool ready() const = 0;
  /// Planned stop: refuses new requests, hands over roles and finishes open streams. `drained` is
  /// called once, when no request is open any more or `timeout` has passed.
  virtual void drain(base::Duration timeout, std::function<void()> drained) = 0;

  virtual const config::ConfigurationView& configuration() const = 0;
  virtual const membership::MemberDirectory& members() const = 0;
  virtual const engine_routing::FleetView& fleet() const = 0;
  virtual CoordinationStatus coordination() const = 0;
};

std::unique_ptr<Node> makeNode(NodeOptions options, NodeEnvironment environment);

}  // namespace covewing::node
