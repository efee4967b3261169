#include "sim/node_host.h"

#include <utility>

namespace covewing::sim {

/// One caller's open connection.
class NodeHost::Call {
 public:
  explicit Call(NodeHost& owner) : owner_(owner) {}
  virtual ~Call() = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void setId(CallId id) { id_ = id; }
  virtual void submit(request::RequestService& requests) = 0;
  virtual void nodeLost() = 0;
  /// Ends the node's work on the call.
  void drop() { active_.reset(); }
  void setPaused(bool paused) {
    if (active_) active_->setPaused(paused);
  }
  base::RequestId requestId() const { return active_ ? active_->id() : base::RequestId{}; }

 protected:
  void finished() { owner_.releaseLater(id_); }
  base::Incarnation incarnation() const { return owner_.process_.incarnation(); }
  void setActive(std::unique_ptr<request::ActiveRequest> active) { active_ = std::move(active); }

 private:
  NodeHost& owner_;
  CallId id_ = 0;
  std::unique_ptr<request::ActiveRequest> active_;
};

class NodeHost::CompletionCall final : public Call, public request::CompletionSink {
 public:
  CompletionCall(NodeHost& owner, request::CompletionRequest request, CompletionCaller& caller)
      : Call(owner), request_(std::move(request)), caller_(caller) {}
  void submit(request::RequestService& requests) override {
    setActive(requests.complete(std::move(request_), *this));
    caller_.onTaken(requestId(), incarnation());
  }
  void nodeLost() override { caller_.onNodeLost(); }
  void onChunk(const clients::StreamChunk& chunk) override { caller_.onChunk(chunk); }
  void onEnd(const clients::StreamEnd& end) override {
    finished();
    caller_.onEnd(end);
  }
  void onRefused(const request::Refusal& refusal) override {
    finished();
    caller_.onRefused(refusal);
  }

 private:
  request::CompletionRequest request_;
  CompletionCaller& caller_;
};

class NodeHost::ProxiedCall final : public Call, public request::ProxiedSink {
 public:
  ProxiedCall(NodeHost& owner, request::ProxiedRequest request, ProxiedCaller& caller)
      : Call(owner), request_(std::move(request)), caller_(caller) {}
  void submit(request::RequestService& requests) override {
    setActive(requests.proxy(std::move(request_), *this));
    caller_.onTaken(requestId(), incarnation());
  }
  void nodeLost() override { caller_.onNodeLost(); }
  void onResponse(const clients::ApplicationResponse& response) override {
    finished();
    caller_.onResponse(response);
  }
  void onRefused(const request::Refusal& refusal) override {
    finished();
    caller_.onRefused(refusal);
  }

 private:
  request::ProxiedRequest request_;
  ProxiedCaller& caller_;
};

/// Names the node in each of its events.
class NodeHost::HostEventLog final : public base::EventLog {
 public:
  explicit HostEventLog(const NodeHost& owner) : owner_(owner) {}
  void write(base::Event event, std::initializer_list<base::EventField> fields) override {
    if (owner_.fleet_.onEvent) owner_.fleet_.onEvent(owner_.name(), event, fields);
  }

 private:
  const NodeHost& owner_;
};

NodeHost::NodeHost(const FleetOptions& fleet, node::NodeOptions options,
                   NodeSurroundings surroundings)
    : fleet_(fleet),
      options_(std::move(options)),
      surroundings_(std::move(surroundings)),
      process_(surroundings_.network.scheduler(), options_.name, fleet.seed),
      host_(surroundings_.network.addHost(process_, options_.peerEndpoint, options_.zone,
                                          options_.region)) {
  process_.measureCpu(fleet.measureCpu);
}

NodeHost::~NodeHost() {
  process_.crash();
  calls_.clear();
  run_.reset();
}

PeerMessageCount NodeHost::peerMessages() const {
  return run_ ? run_->peers->count() : PeerMessageCount{};
}

std::unique_ptr<NodeHost::Run> NodeHost::makeRun() {
  auto& network = surroundings_.network;
  const base::PeerIdentity self{base::nodeIdOf(options_.name), process_.incarnation(),
                                options_.peerEndpoint};
  auto run = std::make_unique<Run>();
  run->log = std::make_unique<HostEventLog>(*this);
  run->peers = std::make_unique<SimPeerTransport>(network, host_, self, surroundings_.peers);
  run->table =
      std::make_unique<SimTableClient>(network, host_, surroundings_.platform, surroundings_.table);
  run->objects = std::make_unique<SimObjectStoreClient>(network, host_, surroundings_.platform,
                                                        surroundings_.objects);
  run->machines = std::make_unique<SimMachineListClient>(network, host_, surroundings_.platform,
                                                         surroundings_.machines);
  if (fleet_.makeEngineClient) {
    run->engines = fleet_.makeEngineClient(network, host_);
  } else {
    run->engines = std::make_unique<SimEngineClient>(network, host_, surroundings_.engines);
  }
  run->applications = std::make_unique<SimApplicationClient>(
      network, host_, surroundings_.applications, fleet_.applicationClientFaults);
  node::NodeEnvironment environment{process_,      process_,          process_,      *run->log,
                                    *run->peers,   *run->table,       *run->objects, *run->machines,
                                    *run->engines, *run->applications};
  if (fleet_.decorator) run->decorator = fleet_.decorator();
  auto options = options_;
  options.incarnation = process_.incarnation();
  if (run->decorator) {
    run->node = node::makeNode(std::move(options), run->decorator->decorate(environment));
  } else {
    run->node = node::makeNode(std::move(options), environment);
  }
  return run;
}

void NodeHost::start() {
  if (!process_.crashed()) return;
  process_.start();
  run_ = makeRun();
  process_.dispatch([this] { run_->node->start(); });
}

void NodeHost::crash() {
  if (process_.crashed()) return;
  // Callbacks first, then the callers' requests, then the node that both refer to.
  process_.crash();
  for (auto& [id, call] : calls_) call->drop();
  run_.reset();
  surroundings_.network.breakConnections(host_);
  for (const auto& [id, call] : std::exchange(calls_, {})) call->nodeLost();
  for (const auto& [id, callback] : std::exchange(operations_, {})) callback(std::nullopt);
}

void NodeHost::stop(base::Duration bound, std::function<void(std::size_t openCalls)> stopped) {
  process_.dispatch([this, bound, stopped = std::move(stopped)] {
    run_->node->drain(bound, [this, stopped] {
      // The node ends after its own code has returned.
      process_.schedule(base::Duration::zero(), [this, stopped] {
        surroundings_.network.scheduler().after(base::Duration::zero(), [this, stopped] {
          const auto open = openCalls();
          crash();
          stopped(open);
        });
      });
    });
  });
}

CallId NodeHost::open(std::unique_ptr<Call> call) {
  const auto id = nextCall_++;
  auto& opened = *call;
  opened.setId(id);
  calls_.emplace(id, std::move(call));
  if (process_.crashed()) {
    surroundings_.network.scheduler().after(base::Duration::zero(), [this, id] {
      const auto lost = calls_.extract(id);
      if (!lost.empty()) lost.mapped()->nodeLost();
    });
    return id;
  }
  process_.dispatch([this, id] {
    const auto found = calls_.find(id);
    if (found != calls_.end()) found->second->submit(run_->node->requests());
  });
  return id;
}

CallId NodeHost::complete(request::CompletionRequest request, CompletionCaller& caller) {
  return open(std::make_unique<CompletionCall>(*this, std::move(request), caller));
}

CallId NodeHost::proxy(request::ProxiedRequest request, ProxiedCaller& caller) {
  return open(std::make_unique<ProxiedCall>(*this, std::move(request), caller));
}

void NodeHost::disconnect(CallId call) {
  process_.dispatch([this, call] {
    const auto gone = calls_.extract(call);
    if (!gone.empty()) gone.mapped()->drop();
  });
}

void NodeHost::setPaused(CallId call, bool paused) {
  process_.dispatch([this, call, paused] {
    const auto found = calls_.find(call);
    if (found != calls_.end()) found->second->setPaused(paused);
  });
}

base::RequestId NodeHost::requestId(CallId call) const {
  const auto found = calls_.find(call);
  return found == calls_.end() ? base::RequestId{} : found->second->requestId();
}

void NodeHost::releaseLater(CallId call) {
  process_.schedule(base::Duration::zero(), [this, call] { calls_.erase(call); });
}

void NodeHost::operate(node::OperatorRequest request,
                       std::function<void(std::optional<node::OperatorResponse>)> callback) {
  const auto id = nextOperation_++;
  operations_.emplace(id, std::move(callback));
  if (process_.crashed()) {
    surroundings_.network.scheduler().after(base::Duration::zero(), [this, id] {
      const auto lost = operations_.extract(id);
      if (!lost.empty()) lost.mapped()(std::nullopt);
    });
    return;
  }
  process_.dispatch([this, id, request = std::move(request)] {
    run_->node->operators().call(request, [this, id](node::OperatorResponse response) {
      const auto answered = operations_.extract(id);
      if (!answered.empty()) answered.mapped()(std::move(response));
    });
  });
}

void NodeHost::onPeerMessage(const base::PeerIdentity& sender, base::Channel channel,
                             std::string_view payload) {
  if (run_) run_->node->onPeerMessage(sender, channel, payload);
}

}  // namespace covewing::sim
