// Fakes of all services that the request path uses, driven by the test step by step.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_controller.h"
#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/application_client.h"
#include "clients/engine_client.h"
#include "clients/table_client.h"
#include "config/configuration_view.h"
#include "engine_routing/fleet_view.h"
#include "engine_routing/routing_policy.h"
#include "membership/member_directory.h"
#include "request/request_manager.h"
#include "request/zone_reachability.h"
#include "support/virtual_time.h"

namespace covewing::request {

using test_support::VirtualTime;

/// A table service for which the test decides whether calls are applied and whether they are
/// answered.
class FakeTable final : public clients::TableClient {
 public:
  enum class Behaviour { kNormal, kLoseAnswer, kLoseRequest, kRateLimit, kUnavailable, kNoReply };

  explicit FakeTable(VirtualTime& time) : time_(time) {}

  /// Behaviour of the next calls, one entry per call. Once it is empty, the default behaviour
  /// applies.
  std::deque<Behaviour> nextBehaviours;
  Behaviour defaultBehaviour = Behaviour::kNormal;
  std::map<std::string, clients::TableRow> rows;
  std::vector<clients::TableTransaction> commits;
  std::uint64_t reads = 0;
  base::Duration latency = std::chrono::milliseconds(1);
  /// Offset of the service's clock from that of the nodes. If it is set, replies to reads contain
  /// the service's time.
  std::optional<base::Duration> clockOffset;

  void read(std::vector<std::string> keys, clients::TableCallback callback) override {
    ++reads;
    const Behaviour behaviour = next();
    clients::TableReply reply = refusalOf(behaviour);
    if (behaviour == Behaviour::kNormal) {
      reply.status = clients::TableStatus::kOk;
      reply.revision = revision_;
      reply.rows = currentRows(keys);
      if (clockOffset) reply.serviceTime = time_.now().time_since_epoch() + *clockOffset;
    }
    deliverReply(behaviour, std::move(reply), std::move(callback));
  }
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override {
    const Behaviour behaviour = next();
    clients::TableReply reply = refusalOf(behaviour);
    if (behaviour == Behaviour::kNormal) reply = scanned(prefix, after, limit);
    deliverReply(behaviour, std::move(reply), std::move(callback));
  }
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    const Behaviour behaviour = next();
    clients::TableReply reply = refusalOf(behaviour);
    if (behaviour == Behaviour::kNormal) reply = apply(transaction);
    if (behaviour == Behaviour::kLoseAnswer) apply(transaction);
    commits.push_back(std::move(transaction));
    deliverReply(behaviour, std::move(reply), std::move(callback));
  }
  clients::TableReply apply(const clients::TableTransaction& transaction) {
    std::vector<std::string> keys;
    bool holds = true;
    for (const clients::TableCondition& condition : transaction.conditions) {
      keys.push_back(condition.key);
      const auto found = rows.find(condition.key);
      const base::Revision current = found == rows.end() ? 0 : found->second.revision;
      holds = holds && current == condition.revision;
    }
    if (!holds) return {clients::TableStatus::kConflict, revision_, currentRows(keys)};
    ++revision_;
    for (const clients::TableWrite& write : transaction.writes) {
      if (write.value.has_value()) {
        rows[write.key] = {write.key, *write.value, revision_};
      } else {
        rows.erase(write.key);
      }
    }
    return {clients::TableStatus::kOk, revision_, {}};
  }

 private:
  Behaviour next() {
    if (nextBehaviours.empty()) return defaultBehaviour;
    const Behaviour behaviour = nextBehaviours.front();
    nextBehaviours.pop_front();
    return behaviour;
  }
  static clients::TableReply refusalOf(Behaviour behaviour) {
    if (behaviour == Behaviour::kRateLimit) return {clients::TableStatus::kRateLimited, 0, {}};
    if (behaviour == Behaviour::kUnavailable) return {clients::TableStatus::kUnavailable, 0, {}};
    return {clients::TableStatus::kUnknown, 0, {}};
  }
  std::vector<clients::TableRow> currentRows(const std::vector<std::string>& keys) const {
    std::vector<clients::TableRow> found;
    for (const std::string& key : keys) {
      if (rows.contains(key)) found.push_back(rows.at(key));
    }
    return found;
  }
  clients::TableReply scanned(const std::string& prefix, base::Revision after,
                              std::size_t limit) const {
    std::vector<clients::TableRow> found;
    for (const auto& [key, row] : rows) {
      if (key.starts_with(prefix) && row.revision > after) found.push_back(row);
    }
    std::ranges::sort(found, {}, &clients::TableRow::revision);
    const bool complete = found.size() <= limit;
    if (!complete) found.resize(limit);
    const base::Revision revision = complete ? revision_ : found.back().revision;
    return {clients::TableStatus::kOk, revision, std::move(found)};
  }
  void deliverReply(Behaviour behaviour, clients::TableReply reply,
                    clients::TableCallback callback) {
    if (behaviour == Behaviour::kNoReply) return;
    time_.schedule(latency,
                   [reply = std::move(reply), callback = std::move(callback)] { callback(reply); });
  }

  VirtualTime& time_;
  base::Revision revision_ = 0;
};

/// A stream that the code under test opened.
struct FakeStream {
  clients::BackEndAddress engine;
  clients::EngineRequest request;
  clients::EngineStreamHandler* handler = nullptr;
  bool cancelled = false;
  bool paused = false;

  void accept() const { handler->onAccepted(); }
  void chunk(std::uint64_t position) const {
    handler->onChunk({position, "t" + std::to_string(position) + " "});
  }
  void end(std::uint32_t outputTokens) const { handler->onEnd({8, 4, outputTokens, "stop"}); }
  void fail(clients::DispatchFailure failure, base::ResultCode code) const {
    handler->onError({failure, {code, "planned"}});
  }
};

class FakeEngines final : public clients::EngineClient {
 public:
  std::vector<std::shared_ptr<FakeStream>> streams;

  std::unique_ptr<clients::EngineStream> start(const clients::BackEndAddress& engine,
                                               clients::EngineRequest request,
                                               clients::EngineStreamHandler& handler) override {
    auto stream = std::make_shared<FakeStream>();
    stream->engine = engine;
    stream->request = std::move(request);
    stream->handler = &handler;
    streams.push_back(stream);
    return std::make_unique<Handle>(stream);
  }
  void poll(const clients::BackEndAddress& /*engine*/, std::uint64_t /*fromSequence*/,
            std::function<void(std::optional<clients::EngineReport>)> /*callback*/) override {}
  void snapshot(const clients::BackEndAddress& /*engine*/,
                std::function<void(std::optional<clients::EngineReport>)> /*callback*/) override {}
  void order(const clients::BackEndAddress& /*engine*/, clients::EngineOrder /*order*/,
             std::function<void(clients::OrderReply)> /*callback*/) override {}

  FakeStream& last() { return *streams.back(); }

 private:
  struct Handle final : clients::EngineStream {
    explicit Handle(std::shared_ptr<FakeStream> opened) : stream(std::move(opened)) {}
    ~Handle() override { stream->cancelled = true; }
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;
    void setPaused(bool paused) override { stream->paused = paused; }
    std::shared_ptr<FakeStream> stream;
  };
};

class FakeApplications final : public clients::ApplicationClient {
 public:
  struct Call {
    clients::BackEndAddress backEnd;
    clients::ApplicationRequest request;
    std::function<void(clients::ApplicationResult)> callback;

    void respond(const base::RequestId& requestId, unsigned status = 200) const {
      callback(clients::ApplicationResponse{requestId, status, {}, "body"});
    }
    void respond() const { respond(request.requestId); }
    void fail(clients::DispatchFailure failure, base::ResultCode code) const {
      callback(clients::DispatchError{failure, {code, "planned"}});
    }
  };
  std::vector<Call> calls;

  void call(const clients::BackEndAddress& backEnd, clients::ApplicationRequest request,
            std::function<void(clients::ApplicationResult)> callback) override {
    calls.push_back({backEnd, std::move(request), std::move(callback)});
  }
};

class FakeFleet final : public engine_routing::FleetView {
 public:
  std::vector<engine_routing::EngineState> states;
  std::vector<clients::BackEndAddress> replicas;

  const std::vector<engine_routing::EngineState>& engines() const override { return states; }
  const engine_routing::EngineState* find(base::EngineId id) const override {
    for (const engine_routing::EngineState& state : states) {
      if (state.address.id == id) return &state;
    }
    return nullptr;
  }
  std::vector<clients::BackEndAddress> applicationReplicas(
      std::string_view /*application*/) const override {
    return replicas;
  }
  base::WeightsVersion defaultVersion(std::string_view /*model*/) const override { return newest; }
  base::WeightsVersion newest = 7;
};

/// Chooses the first engine that is not excluded.
class FakePolicy final : public engine_routing::RoutingPolicy {
 public:
  explicit FakePolicy(const FakeFleet& fleet) : fleet_(fleet) {}
  std::uint32_t dispatched = 0;
  std::uint32_t finished = 0;
  std::vector<engine_routing::RouteQuery> queries;

  std::string_view name() const override { return "fake"; }
  void choose(engine_routing::RouteQuery query, engine_routing::RouteCallback callback) override {
    queries.push_back(query);
    engine_routing::RouteDecision decision;
    decision.reason = {base::ResultCode::kNoBackEnd, "none left"};
    for (const engine_routing::EngineState& state : fleet_.states) {
      if (state.unreachable) continue;
      if (std::ranges::find(query.excluded, state.address.id) != query.excluded.end()) continue;
      decision.engine = state.address.id;
      decision.incarnation = state.incarnation;
      decision.expectedTimeToFirstToken = std::chrono::milliseconds(50);
      decision.candidates.push_back({state.address.id, state.address.name, 0, false, {}, ""});
      decision.reason = {};
      break;
    }
    callback(std::move(decision));
  }
  void onDispatched(const engine_routing::RouteQuery& /*query*/,
                    const engine_routing::RouteDecision& /*decision*/) override {
    ++dispatched;
  }
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*firstTokenAfter*/) override {
    ++finished;
  }

 private:
  const FakeFleet& fleet_;
};

class FakeAdmission final : public admission::AdmissionController {
 public:
  explicit FakeAdmission(VirtualTime& time) : time_(time) {}
  admission::AdmissionVerdict verdict{true, {}, {}, {}};
  /// While set, verdicts are withheld until `releaseHeld` is called.
  bool hold = false;
  std::uint32_t retries = 100;
  std::uint32_t ticketsHeld = 0;

  std::unique_ptr<admission::AdmissionTicket> admit(
      admission::AdmissionRequest /*request*/, admission::AdmissionCallback callback) override {
    if (hold) {
      held_.push_back(std::move(callback));
    } else {
      time_.schedule({}, [this, callback = std::move(callback)] { callback(verdict); });
    }
    return std::make_unique<Ticket>(ticketsHeld);
  }
  bool takeRetry() override {
    if (retries == 0) return false;
    --retries;
    return true;
  }
  void onExpectedFirstToken(base::PriorityClass /*priority*/,
                            base::Duration /*expected*/) override {}
  void releaseHeld() {
    for (const auto& callback : std::exchange(held_, {})) callback(verdict);
  }

 private:
  struct Ticket final : admission::AdmissionTicket {
    explicit Ticket(std::uint32_t& held) : count(held) { ++count; }
    ~Ticket() override { --count; }
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;
    std::uint32_t& count;
  };
  VirtualTime& time_;
  std::vector<admission::AdmissionCallback> held_;
};

class FakeConfiguration final : public config::ConfigurationView {
 public:
  std::shared_ptr<config::TenantTemplate> tenant = std::make_shared<config::TenantTemplate>();
  bool confirmed = true;
  bool copyAvailable = true;
  bool checking = false;

  config::TenantTemplatePtr findByKey(std::string_view bearerKey) const override {
    return copyAvailable && bearerKey == "key" ? tenant : nullptr;
  }
  config::TenantTemplatePtr findByName(std::string_view name) const override {
    return copyAvailable && name == tenant->name ? tenant : nullptr;
  }
  config::Freshness freshness() const override { return {1, confirmed, {}, checking}; }
  bool loaded() const override { return copyAvailable; }
};

class FakeZones final : public ZoneReachability {
 public:
  std::set<std::string, std::less<>> cutOffZones;
  bool cutOff(std::string_view homeZone) const override { return cutOffZones.contains(homeZone); }
  bool reachable(std::string_view zone) const override { return !cutOffZones.contains(zone); }
};

class FakePeers final : public base::PeerTransport {
 public:
  struct Message {
    base::Endpoint destination;
    base::Channel channel = base::Channel::kRequest;
    std::string payload;
  };
  std::vector<Message> sent;
  void send(const base::Endpoint& destination, base::Channel channel,
            std::string payload) override {
    sent.push_back({destination, channel, std::move(payload)});
  }
};

/// Live members by name, all in one region. The first one is the node itself.
class FakeMembers final : public membership::MemberDirectory {
 public:
  explicit FakeMembers(const std::string& self) { add(self); }
  void add(const std::string& name) {
    membership::Member member;
    member.id = base::nodeIdOf(name);
    member.name = name;
    member.endpoint = {0, static_cast<std::uint16_t>(members_.size() + 1)};
    members_.push_back(member);
  }
  void setEndpoints(const std::function<base::Endpoint(const std::string&)>& endpointOf) {
    for (membership::Member& member : members_) member.endpoint = endpointOf(member.name);
  }
  const membership::Member& self() const override { return members_.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId id) const override {
    for (const membership::Member& member : members_) {
      if (member.id == id) return &member;
    }
    return nullptr;
  }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return members_.size(); }

 private:
  std::vector<membership::Member> members_;
};

class FakeTraces final : public TraceLog {
 public:
  std::vector<std::shared_ptr<const RequestTrace>> traces;
  void add(std::shared_ptr<const RequestTrace> trace) override {
    traces.push_back(std::move(trace));
  }
};

class FakeBackEndObserver final : public BackEndObserver {
 public:
  std::vector<base::EngineId> failed;
  void onDispatchFailed(base::EngineId backEnd, const clients::DispatchError& /*error*/) override {
    failed.push_back(backEnd);
  }
};

/// Records a response, and whether its chunks are in order without gaps and no call follows the
/// final one.
class RecordingSink final : public CompletionSink {
 public:
  std::vector<clients::StreamChunk> chunks;
  std::optional<clients::StreamEnd> ended;
  std::optional<Refusal> refused;
  std::uint32_t callsAfterEnd = 0;
  std::function<void()> onChunkCallback;

  void onChunk(const clients::StreamChunk& chunk) override {
    recordCall();
    chunks.push_back(chunk);
    if (onChunkCallback) onChunkCallback();
  }
  void onEnd(const clients::StreamEnd& end) override {
    recordCall();
    ended = end;
  }
  void onRefused(const Refusal& refusal) override {
    recordCall();
    refused = refusal;
  }
  bool final() const { return ended.has_value() || refused.has_value(); }
  bool gapless() const {
    for (std::size_t index = 0; index < chunks.size(); ++index) {
      if (chunks[index].position != index) return false;
    }
    return true;
  }

 private:
  void recordCall() {
    if (final()) ++callsAfterEnd;
  }
};

class RecordingProxiedSink final : public ProxiedSink {
 public:
  std::optional<clients::ApplicationResponse> response;
  std::optional<Refusal> refused;
  void onResponse(const clients::ApplicationResponse& received) override { response = received; }
  void onRefused(const Refusal& refusal) override { refused = refusal; }
};

/// A request manager surrounded by fakes, with three engines, two application replicas and one
/// tenant.
struct RequestFixture {
  RequestFixture() {
    for (const char* name : {"engine-a", "engine-b", "engine-c"}) {
      engine_routing::EngineState state;
      state.address = {base::engineIdOf(name), name, {}};
      state.incarnation = 1;
      fleet.states.push_back(state);
    }
    for (const char* name : {"replica-a", "replica-b"}) {
      fleet.replicas.push_back({base::engineIdOf(name), name, {}});
    }
    config::TenantTemplate& tenant = *configuration.tenant;
    tenant.name = "judges";
    tenant.id = base::tenantIdOf(tenant.name);
    tenant.models = {{"rules", {"ruling"}, 0}};
    tenant.deadline = std::chrono::seconds(10);
    tenant.priority = base::PriorityClass::kInteractive;
    tenant.applications = {{"/standings", "pairings", {"POST"}},
                           {"/standings/draft", "drafts", {}}};
  }

  std::unique_ptr<ActiveRequest> complete(bool notRepeatable = false, std::string key = {}) {
    CompletionRequest request;
    request.bearerKey = "key";
    request.model = "rules";
    request.prompt = std::make_shared<const std::string>("may this card be played");
    request.maximumTokens = 100;
    request.notRepeatable = notRepeatable;
    request.idempotencyKey = std::move(key);
    auto active = manager.complete(std::move(request), sink);
    time.advance(std::chrono::milliseconds(5));
    return active;
  }
  std::unique_ptr<ActiveRequest> proxy(std::string method, std::string key = {}) {
    ProxiedRequest request;
    request.bearerKey = "key";
    request.method = std::move(method);
    request.target = "/standings/7?round=2";
    request.idempotencyKey = std::move(key);
    auto active = manager.proxy(std::move(request), proxiedSink);
    time.advance(std::chrono::milliseconds(5));
    return active;
  }

  VirtualTime time;
  base::SeededRandom random{1};
  base::NullEventLog log;
  FakeTable table{time};
  FakeEngines engines;
  FakeApplications applications;
  FakeFleet fleet;
  FakePolicy policy{fleet};
  FakeAdmission admission{time};
  FakeConfiguration configuration;
  FakeZones zones;
  FakeTraces traces;
  FakeBackEndObserver backEnds;
  FakeMembers members{"node-1"};
  FakePeers peers;
  ClaimStore claims{{}, {time, time, random, peers, table, members}};
  RecordingSink sink;
  RecordingProxiedSink proxiedSink;
  RequestManager manager{{"node-1", 3},
                         {},
                         {time, time, random, log, configuration, fleet, zones, policy, admission,
                          engines, applications, claims, traces, backEnds}};
};

}  // namespace covewing::request
