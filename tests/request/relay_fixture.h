// A relay service with fake replicas and callers that are driven by the test step by step.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/retry_window.h"
#include "request/fakes.h"
#include "request/relay_service.h"
#include "request/request_fingerprint.h"
#include "routing/part_messages.h"
#include "support/memory_table_service.h"
#include "support/recording_log.h"
#include "support/shared_records.h"
#include "support/virtual_time.h"

namespace covewing::request {

/// One dispatch as received by the relay client.
struct Dispatched {
  base::Endpoint replica;
  clients::RelayedRequestPtr request;
  clients::DispatchTerms terms;
  clients::RelayHandler* handler = nullptr;
  bool open = true;
  /// Relay listener of the node that passes the request on.
  std::optional<base::Endpoint> via;
  /// The replica was told to stop its work.
  bool withdrawn = false;

  void head(unsigned status, bool notExecuted = false,
            std::optional<base::WeightsVersion> version = std::nullopt) const {
    clients::RelayedAnswer response;
    response.status = status;
    response.headers = {{"Signature", base::toString(replica)}};
    response.notExecuted = notExecuted;
    response.version = version;
    handler->onHead(std::move(response));
  }
  void respond(unsigned status, std::string_view body) const {
    head(status);
    if (!body.empty()) handler->onBody(body);
    handler->onEnd();
  }
  void refuseNotExecuted(unsigned status = 503) const {
    head(status, true);
    handler->onEnd();
  }
  /// Responds with headers in which the replica reports that it is leaving.
  void respondLeaving(unsigned status, bool notExecuted = false) const {
    clients::RelayedAnswer response;
    response.status = status;
    response.notExecuted = notExecuted;
    response.leaving = true;
    handler->onHead(std::move(response));
  }
  /// Refuses the request, and requests that this node backs off for the given time.
  void requestBackOff(base::Duration rest) const {
    clients::RelayedAnswer response;
    response.status = 503;
    response.notExecuted = true;
    response.rest = rest;
    handler->onHead(std::move(response));
    handler->onEnd();
  }
  void breakConnection() const {
    handler->onFailure({clients::DispatchFailure::kOutcomeUnknown,
                        {base::ResultCode::kBackEndLost, "reset"},
                        clients::FailurePoint::kBackEnd,
                        clients::RunEnd::kConnectionEnded});
  }
  /// The node that was to pass the request on, or the connection to it, failed.
  void failAtRelay(clients::DispatchFailure failure) const {
    handler->onFailure({failure,
                        {base::ResultCode::kBackEndUnreachable, "relay"},
                        clients::FailurePoint::kRelay,
                        failure == clients::DispatchFailure::kNotSent
                            ? clients::RunEnd::kNotSent
                            : clients::RunEnd::kNotShown});
  }
  void refuseConnection() const {
    handler->onFailure({clients::DispatchFailure::kNotSent,
                        {base::ResultCode::kBackEndUnreachable, "refused"},
                        clients::FailurePoint::kBackEnd,
                        clients::RunEnd::kNotSent});
  }
};

class FakeRelayClient final : public clients::RelayClient {
 public:
  std::unique_ptr<clients::RelayCall> start(const clients::RelayPath& path,
                                            clients::RelayedRequestPtr request,
                                            const clients::DispatchTerms& terms,
                                            clients::RelayHandler& handler) override {
    sent.push_back(std::make_shared<Dispatched>(
        Dispatched{terms.replica.endpoint(), std::move(request), terms, &handler, true, path.via}));
    return std::make_unique<Call>(sent.back());
  }
  Dispatched& last() { return *sent.back(); }

  std::vector<std::shared_ptr<Dispatched>> sent;

 private:
  class Call final : public clients::RelayCall {
   public:
    explicit Call(std::shared_ptr<Dispatched> dispatched) : dispatched_(std::move(dispatched)) {}
    ~Call() override { dispatched_->open = false; }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
    void setPaused(bool /*paused*/) override {}
    std::optional<std::size_t> unacknowledgedBytes() const override { return std::nullopt; }
    bool withdraw() override {
      dispatched_->withdrawn = !dispatched_->via;
      return dispatched_->withdrawn;
    }

   private:
    std::shared_ptr<Dispatched> dispatched_;
  };
};

/// The part of the response that a caller has received.
struct CallerView {
  std::optional<clients::RelayedAnswer> head;
  std::string body;
  bool ended = false;
  bool aborted = false;
  std::optional<RelayRefusal> refusal;
  int finals = 0;
  /// Set to false by a test whose caller closes the connection before the event loop notices it.
  bool connected = true;
  /// Listener for back-pressure; set by the flow.
  std::function<void(bool)> onPressure;

  bool open() const { return finals == 0; }
};

class FakeResponseWriter final : public ResponseWriter {
 public:
  explicit FakeResponseWriter(CallerView& view) : view_(view) {}
  void begin(const clients::RelayedAnswer& response) override { view_.head = response; }
  void write(std::string_view bytes) override { view_.body += bytes; }
  void end() override {
    view_.ended = true;
    ++view_.finals;
  }
  void refuse(const RelayRefusal& refusal) override {
    view_.refusal = refusal;
    ++view_.finals;
  }
  void abort() override {
    view_.aborted = true;
    ++view_.finals;
  }
  bool callerConnected() const override { return view_.connected; }
  void onPressure(std::function<void(bool)> listener) override {
    view_.onPressure = std::move(listener);
  }

 private:
  CallerView& view_;
};

/// Accepts connections for all replicas except those that the test has ended.
class FakeReachability final : public clients::ReachabilityClient {
 public:
  explicit FakeReachability(base::TimerService& timers) : timers_(timers) {}
  void connect(const base::Endpoint& address, base::Duration /*timeout*/,
               std::function<void(clients::Reachability)> callback) override {
    const bool refuses = ended.contains(address);
    timers_.schedule(std::chrono::milliseconds(1), [refuses, callback = std::move(callback)] {
      callback(refuses ? clients::Reachability::kRefuses : clients::Reachability::kAccepts);
    });
  }

  std::set<base::Endpoint> ended;

 private:
  base::TimerService& timers_;
};

class FakeTables final : public RouteTableSource {
 public:
  config::RouteTablePtr table() const override { return current; }
  std::optional<base::TimePoint> confirmedAt() const override { return confirmed; }

  config::RouteTablePtr current;
  std::optional<base::TimePoint> confirmed;
};

struct RelayFixture : RelayObserver {
  /// Start time of a node that has been running for longer than a retry window.
  static constexpr base::TimePoint kStartedLongAgo{-std::chrono::minutes(1)};
  static std::size_t oneNode() { return 1; }

  RelayFixture() {
    useTable(contents());
    for (const char* name : {"a", "b", "c"}) addReplica(name, "app");
    for (const char* name : {"m1", "m2", "m3"}) addReplica(name, "llm", 1);
    targets.onChange([this] { service.onWeightsChanged(); });
  }

  static config::Route route(std::string path, config::RequestKind kind, std::string serviceName) {
    config::Route route;
    route.name = path;
    route.host = "example";
    route.pathPrefix = '/' + path + '/';
    route.kind = kind;
    route.timeout = std::chrono::seconds(4);
    route.targetLatency = std::chrono::milliseconds(400);
    route.attempts = 2;
    route.split = {{std::move(serviceName), 1}};
    return route;
  }

  static config::RouteTableContents contents() {
    using config::RequestKind;
    config::RouteTableContents contents;
    contents.version = 1;
    contents.routes = {route("safe", RequestKind::kIdempotent, "app"),
                       route("unsafe", RequestKind::kNonIdempotent, "app"),
                       route("once", RequestKind::kStreaming, "llm"),
                       route("resumable", RequestKind::kStreaming, "llm")};
    contents.routes[1].attempts = 1;
    contents.routes[2].attempts = 1;
    contents.routes[3].resumable = true;
    contents.routes[3].gapTarget = std::chrono::milliseconds(300);
    config::Service model;
    model.name = "llm";
    model.engine = config::EngineProfile{8, 100'000, 12, {"m"}};
    config::Service application;
    application.name = "app";
    contents.services = {application, model};
    contents.tenants = {{"tenant", {"key"}, 1, false, std::nullopt}};
    return contents;
  }

  void useTable(config::RouteTableContents contents) {
    tables.current = std::make_shared<const config::RouteTable>(std::move(contents));
    tables.confirmed = time.now();
  }

  /// Puts a new configuration in force in which the only tenant has a limit.
  void limitTenant(double perSecond, double burst, bool countsTokens = false) {
    auto limited = contents();
    limited.version = tables.current->version() + 1;
    limited.tenants[0].rate = config::TenantRate{perSecond, burst, countsTokens, 7};
    useTable(std::move(limited));
  }
  /// Puts a new configuration in force in which the only tenant has another name, and so possibly
  /// another home node for its limit.
  void renameTenant(const std::string& name) {
    auto renamed = contents();
    renamed.version = tables.current->version() + 1;
    renamed.tenants[0].rate = tables.current->findTenantByKey("key")->rate;
    renamed.tenants[0].name = name;
    useTable(std::move(renamed));
  }

  void addReplica(const std::string& name, const std::string& serviceName,
                  base::WeightsVersion version = 0, const std::string& software = "v1") {
    routing::Replica replica;
    replica.instance = name;
    replica.service = serviceName;
    replica.softwareVersion = software;
    softwareVersions.onCurrent(time.now());
    replica.endpoint = {0x7f000001, static_cast<std::uint16_t>(8000 + replicas.all().size())};
    replica.slots = 8;
    if (version > 0) replica.models = {{"m", version}};
    replicas.onListed(std::move(replica));
  }

  /// All replicas of the model but that of the attempt leave the list.
  void makeOthersLeave(const Dispatched& attempt) {
    for (const char* name : {"m1", "m2", "m3"}) {
      const auto record = replicas.find(name);
      if (record != nullptr && record->facts().endpoint != attempt.replica)
        replicas.onRemoved(name);
    }
  }

  /// Announces a version of the model's weights to this node.
  void announceWeights(base::WeightsVersion version) { targets.onNamed("m", version, time.now()); }
  /// Lets this node know the time at which the version was announced.
  void setAnnouncementTime(base::WeightsVersion version, base::TimePoint namedAt) {
    targets.onDated("m", version, namedAt);
    // The timer that is due now withdraws requests whose start deadline has passed.
    time.settle();
  }

  /// Values of the field in the log entries of the event, in order.
  std::vector<std::string> loggedValues(base::Event event, std::string_view field) const {
    std::vector<std::string> values;
    for (const auto& [written, fields] : log.entries) {
      if (written != event) continue;
      const auto found = std::ranges::find(fields, field, &base::EventField::name);
      values.push_back(found == fields.end() ? "no field" : found->value);
    }
    return values;
  }

  /// Starts a request on the route with this path.
  CallerView& request(const std::string& path, const std::string& key = "key",
                      std::string body = {}) {
    return request(path, key, std::move(body), {});
  }
  /// Takes up the stream that the given attempt began, after the event.
  CallerView& resume(const std::string& attempt, const std::string& lastEventId) {
    IncomingRequest resumed;
    resumed.resumedRequest = attempt;
    resumed.lastEventId = lastEventId;
    return request("resumable", "key", {}, std::move(resumed));
  }
  CallerView& request(const std::string& path, const std::string& key, std::string body,
                      IncomingRequest incoming) {
    incoming.host = "example";
    incoming.path = '/' + path + "/x";
    incoming.key = key;
    incoming.arrivedAt = time.now() - readDelay;
    incoming.readDelay = readDelay;
    incoming.request = std::make_shared<const clients::RelayedRequest>(clients::RelayedRequest{
        "id-" + std::to_string(++requests), "POST", incoming.path, {}, std::move(body)});
    if (path == "once" || path == "resumable") {
      PromptMetadata prompt;
      prompt.model = "m";
      prompt.chain = *prefix::PartChain::parse(promptText);
      prompt.promptTokens = prompt.chain.totalTokens();
      prompt.maximumOutputTokens = 20;
      incoming.declaredTokens = prompt.promptTokens + prompt.maximumOutputTokens;
      incoming.prompt = std::move(prompt);
    }
    views.push_back(std::make_unique<CallerView>());
    flow = service.begin(std::move(incoming), std::make_unique<FakeResponseWriter>(*views.back()));
    return *views.back();
  }

  /// Reports, as other nodes would, that `crashes` replicas ended while they executed the path's
  /// request without a body.
  void quarantineAfter(std::size_t crashes, const std::string& path) {
    const auto run = base::featureOf(fingerprintOf({{}, {}, '/' + path + "/x", {}, {}}, "tenant"));
    for (std::size_t count = 0; count < crashes; ++count)
      quarantine.onReplicaCrash({++replicasEnded}, {{{run}, false}});
    time.advance(std::chrono::milliseconds(301));
  }
  void quarantineRequest(const std::string& path) { quarantineAfter(3, path); }

  void onRelayFinished(const config::Route& /*route*/, const RelayOutcome& outcome) override {
    outcomes.push_back(outcome);
  }

  RelayServiceOptions options() const {
    RelayServiceOptions options;
    options.confirmationBound = std::chrono::seconds(5);
    return options;
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  base::SeededRandom random{1};
  FakeRelayClient client;
  FakeTables tables;
  routing::ReplicaDirectory replicas;
  routing::SoftwareVersions softwareVersions{replicas};
  routing::PrefixHolders holders;
  routing::WeightsTargets targets;
  routing::CacheStores stores;
  routing::FleetLoad fleet;
  routing::ReplicaSelector replicaSelector{
      {replicas, holders, targets, stores, fleet, "zone"}, {}, random};
  FakeReachability reachability{time};
  routing::ReplicaCrashDetector replicaCrashDetector{{}, {time, time, log, reachability}};
  FakeMembers members{"self"};
  FakePeers peers;
  routing::PartLookup parts{{}, {time, time, random, log, peers, members}};
  routing::Placement placement{{}, {time, time, random, log, peers, members, replicas, holders}};
  admission::TenantQuotas quotas{
      {}, {time, time, random, members, peers, [this] { return members.liveMembers().size(); }}};
  test_support::SharedRecords records;
  test_support::MemoryTableService table{time, time, "own"};
  routing::ReplicaLinks links{{}, {time, time, random, log, reachability, replicas}};
  /// Nodes that may pass requests on; they are not homes of replicas.
  FakeMembers relayMembers{"self"};
  routing::RelayPeers relayPeers{{}, random, relayMembers, records};
  quarantine::RequestQuarantine quarantine{{},
                                           {time, time, random, log, peers, members, records, table,
                                            [this] { return table.serviceTime(); }}};
  admission::RetryWindows retries{
      {std::chrono::seconds(10), 0.2, 20, 1.0}, kStartedLongAgo, oneNode};
  routing::RequestDurations requestDurations;
  /// The software versions that were stored for streams, by stream.
  std::map<std::uint64_t, std::string> storedOrigins;
  routing::StreamOrigins streamOrigins{
      {},
      {time,
       time,
       random,
       log,
       peers,
       members,
       softwareVersions,
       {},
       [this](routing::StreamId stream, const routing::StreamOrigin& origin,
              base::Duration /*keepFor*/) {
         storedOrigins[stream.value] = origin.softwareVersion;
       }}};
  std::vector<RelayOutcome> outcomes;
  std::vector<std::unique_ptr<CallerView>> views;
  std::size_t requests = 0;
  /// Time for which the next requests lie unread.
  base::Duration readDelay{};
  std::uint64_t replicasEnded = 0;
  /// Prompt parts of the requests, each with its identifier and number of tokens.
  std::string promptText = "aa:1000,bb:200";
  std::weak_ptr<RelayFlow> flow;
  RelayService service{options(),
                       {time, time, log, client, replicas, holders, replicaSelector,
                        replicaCrashDetector, links, relayPeers, parts, placement, retries, quotas,
                        quarantine, requestDurations, streamOrigins, *this},
                       tables,
                       oneNode};
};

}  // namespace covewing::request
