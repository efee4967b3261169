/// \file
/// One covewing node: wires membership, configuration, coordination, cache index, routing,
/// admission and request life together. The live runtime and the simulator run this same class.
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
#include "membership/member_directory.h"
#include "node/operator_api.h"
#include "request/caller_request.h"
#include "routing/fleet_view.h"
#include "routing/routing_policy.h"

namespace covewing::node {

/// Identity and limits of a node, from its settings.
struct NodeOptions {
  std::string name;
  std::string zone;
  std::string region;
  base::Endpoint peerEndpoint;
  /// Peer endpoints to join through.
  std::vector<base::Endpoint> seeds;
  /// Must grow with each start of the same name.
  base::Incarnation incarnation = 1;
  /// Routing policy by name; "default" is the shipped one.
  std::string routingPolicy = "default";
  /// Makes the routing policy in place of `routingPolicy` where set: for experiments with policies
  /// that no node ships.
  std::function<std::unique_ptr<routing::RoutingPolicy>(const routing::FleetView&)> makePolicy;
  /// Weights that engines of the region may load at once: the weight store's limit.
  std::uint32_t loadSlots = 2;
  std::size_t maximumOpenRequests = 10'000;
  admission::AdmissionOptions admission;
  /// Configuration counts as confirmed for this long after the last confirmation.
  base::Duration freshnessBound = std::chrono::seconds(5);
};

/// Everything a node reaches the world through. All must outlive the node and share its thread.
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

/// The node's part in its region's coordination.
struct CoordinationStatus {
  coordination::LeaseStatus lease;
  /// Orders that this node executes.
  std::size_t openOrders = 0;
};

class Node {
 public:
  virtual ~Node() = default;
  /// Starts joining and loading; requests are served from the moment a copy of the configuration is
  /// here.
  virtual void start() = 0;
  /// A decoded frame from another node.
  virtual void onPeerMessage(const base::PeerIdentity& sender, base::Channel channel,
                             std::string_view payload) = 0;
  virtual request::RequestService& requests() = 0;
  virtual OperatorService& operators() = 0;
  /// Ready to serve callers: configuration is loaded and the node is not draining.
  virtual bool ready() const = 0;
  /// Planned stop: refuse new requests, hand over roles, finish streams; `drained` is called once
  /// when none is left or `bound` has passed.
  virtual void drain(base::Duration timeout, std::function<void()> drained) = 0;

  virtual const config::ConfigurationView& configuration() const = 0;
  virtual const membership::MemberDirectory& members() const = 0;
  virtual const routing::FleetView& fleet() const = 0;
  virtual CoordinationStatus coordination() const = 0;
};

std::unique_ptr<Node> makeNode(NodeOptions options, NodeEnvironment environment);

}  // namespace covewing::node
