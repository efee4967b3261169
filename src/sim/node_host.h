/// \file
/// A covewing node in the simulator: the product's own node::Node on a simulated process, and the
/// callers' and operators' ends of the calls that are open on it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "node/node.h"
#include "sim/engine_client.h"
#include "sim/fleet_options.h"
#include "sim/network.h"
#include "sim/peer_transport.h"
#include "sim/platform_clients.h"
#include "sim/process.h"

namespace covewing::sim {

/// A caller of a completion. Besides the answer it hears when its node dies.
class CompletionCaller : public request::CompletionSink {
 public:
  /// The node has taken the call under this identifier; `incarnation` is the node's.
  virtual void onTaken(const base::RequestId& /*id*/, base::Incarnation /*incarnation*/) {}
  /// The connection to the node broke, or there was none. Nothing follows.
  virtual void onNodeLost() = 0;
};

class ProxiedCaller : public request::ProxiedSink {
 public:
  virtual void onTaken(const base::RequestId& /*id*/, base::Incarnation /*incarnation*/) {}
  virtual void onNodeLost() = 0;
};

/// Handle of a call that is open on one node; unique within the node over all its runs.
using CallId = std::uint64_t;

/// Services around a node that all nodes of a fleet share.
struct NodeSurroundings {
  Network& network;
  HostId platform = 0;
  emulator::TableModel& table;
  emulator::ObjectStoreModel& objects;
  emulator::MachineListModel& machines;
  PeerReceiverLookup peers;
  EngineLookup engines;
  ApplicationLookup applications;
};

class NodeHost final : public PeerReceiver {
 public:
  NodeHost(const FleetOptions& fleet, node::NodeOptions options, NodeSurroundings surroundings);
  ~NodeHost() override;
  NodeHost(const NodeHost&) = delete;
  NodeHost& operator=(const NodeHost&) = delete;

  const std::string& name() const { return options_.name; }
  const node::NodeOptions& options() const { return options_; }
  HostId host() const { return host_; }
  Process& process() { return process_; }
  const Process& process() const { return process_; }
  /// The running node; null while it is crashed or stopped.
  node::Node* node() { return run_ ? run_->node.get() : nullptr; }
  /// Messages of the present run by channel; zero when there is none.
  PeerMessageCount peerMessages() const;

  void start();
  /// Ends the process at once; callers and operators see their connections break.
  void crash();
  void pause() { process_.pause(); }
  void resume() { process_.resume(); }
  /// Planned stop: drains within `bound` and ends the process then; `stopped` hears how many calls
  /// were still open at that moment.
  void stop(base::Duration bound, std::function<void(std::size_t openCalls)> stopped);

  /// Opens a call as a caller's connection does: at once, after the pause when the node is paused.
  CallId complete(request::CompletionRequest request, CompletionCaller& caller);
  CallId proxy(request::ProxiedRequest request, ProxiedCaller& caller);
  /// The caller goes away; it hears nothing more.
  void disconnect(CallId call);
  /// The caller stops reading, or goes on.
  void setPaused(CallId call, bool paused);
  /// The node's identifier of the call; empty while the node has not taken it.
  base::RequestId requestId(CallId call) const;
  std::size_t openCalls() const { return calls_.size(); }

  /// Answers with nothing when the node dies first.
  void operate(node::OperatorRequest request,
               std::function<void(std::optional<node::OperatorResponse>)> callback);

  void onPeerMessage(const base::PeerIdentity& sender, base::Channel channel,
                     std::string_view payload) override;

 private:
  class Call;
  class CompletionCall;
  class ProxiedCall;
  class HostEventLog;

  /// Everything that lives as long as one run of the process.
  struct Run {
    std::unique_ptr<base::EventLog> log;
    std::unique_ptr<SimPeerTransport> peers;
    std::unique_ptr<SimTableClient> table;
    std::unique_ptr<SimObjectStoreClient> objects;
    std::unique_ptr<SimMachineListClient> machines;
    std::unique_ptr<clients::EngineClient> engines;
    std::unique_ptr<SimApplicationClient> applications;
    std::unique_ptr<EnvironmentDecorator> decorator;
    std::unique_ptr<node::Node> node;
  };

  std::unique_ptr<Run> makeRun();
  CallId open(std::unique_ptr<Call> call);
  /// Releases a call whose answer is complete, outside of the node's own code.
  void releaseLater(CallId call);

  const FleetOptions& fleet_;
  node::NodeOptions options_;
  NodeSurroundings surroundings_;
  Process process_;
  HostId host_;
  std::unique_ptr<Run> run_;
  std::map<CallId, std::unique_ptr<Call>> calls_;
  CallId nextCall_ = 1;
  std::map<std::uint64_t, std::function<void(std::optional<node::OperatorResponse>)>> operations_;
  std::uint64_t nextOperation_ = 1;
};

}  // namespace covewing::sim
