/// \file
/// Several nodes that relay requests to the same replicas, which report rate limits in their
/// responses. Runs in virtual time, with a network between the nodes in which tests inject faults.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "request/fakes.h"
#include "request/relay_fixture.h"
#include "routing/delayed_network.h"
#include "routing/fakes.h"

namespace covewing::request {

/// A simulated replica, and the requests that arrived there.
struct LimitedReplica {
  struct Arrival {
    base::TimePoint at{};
    std::size_t node = 0;
  };

  base::Endpoint endpoint;
  /// Rate limit in requests per second that its responses report; empty if they report none.
  std::optional<double> limit;
  base::Duration runTime = std::chrono::milliseconds(20);
  std::vector<Arrival> arrivals;
  /// Time at which each node first received a response that reports a limit.
  std::map<std::size_t, base::TimePoint> limitReceivedAt;
};

/// Replicas that accept every request and respond after their run time.
class LimitedReplicas final {
 public:
  explicit LimitedReplicas(test_support::VirtualTime& time) : time_(time) {}

  std::unique_ptr<clients::RelayCall> start(std::size_t node, const base::Endpoint& endpoint,
                                            clients::RelayHandler& handler) {
    auto open = std::make_shared<bool>(true);
    auto& replica = all.at(endpoint.port);
    time_.schedule(connectTime, [this, node, &replica, &handler, open] {
      if (!*open) return;
      if (!handler.stillWanted()) {
        handler.onFailure({clients::DispatchFailure::kNotSent,
                           {base::ResultCode::kBackEndUnreachable, "no longer wanted"}});
        return;
      }
      arrive(node, replica, handler, open);
    });
    return std::make_unique<Call>(open);
  }

  std::map<std::uint16_t, LimitedReplica> all;
  /// Time from the dispatch of a request to its arrival.
  base::Duration connectTime = std::chrono::milliseconds(1);

 private:
  class Call final : public clients::RelayCall {
   public:
    explicit Call(std::shared_ptr<bool> open) : open_(std::move(open)) {}
    ~Call() override { *open_ = false; }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
    void setPaused(bool /*paused*/) override {}
    std::optional<std::size_t> unacknowledgedBytes() const override { return std::nullopt; }

   private:
    std::shared_ptr<bool> open_;
  };

  void arrive(std::size_t node, LimitedReplica& replica, clients::RelayHandler& handler,
              const std::shared_ptr<bool>& open) {
    replica.arrivals.push_back({time_.now(), node});
    time_.schedule(replica.runTime, [this, node, &replica, &handler, open] {
      if (!*open) return;
      clients::RelayedAnswer response;
      response.status = 200;
      response.rateLimit = clients::RateLimitNotice::unlimited();
      if (replica.limit) {
        response.rateLimit = clients::RateLimitNotice::of(*replica.limit);
        replica.limitReceivedAt.try_emplace(node, time_.now());
      }
      handler.onHead(std::move(response));
      if (*open) handler.onEnd();
    });
  }

  test_support::VirtualTime& time_;
};

/// Transports the messages of the placement channel only; others are not needed here.
class PlacementLink final : public base::PeerTransport {
 public:
  PlacementLink(routing::testing::DelayedNetwork& network, base::PeerIdentity self)
      : network_(network), self_(self) {}
  void send(const base::Endpoint& destination, base::Channel channel,
            std::string payload) override {
    if (channel == base::Channel::kPlacement) network_.send(self_, destination, std::move(payload));
  }

 private:
  routing::testing::DelayedNetwork& network_;
  base::PeerIdentity self_;
};

struct LimitNode : RelayObserver, clients::RelayClient {
  LimitNode(std::size_t place, test_support::VirtualTime& time, test_support::RecordingLog& log,
            routing::testing::DelayedNetwork& network, LimitedReplicas& simulatedReplicas,
            std::vector<membership::Member> membersOwnFirst)
      : number(place),
        simulated(simulatedReplicas),
        members(std::move(membersOwnFirst)),
        random(place + 1),
        link(network, {members.self().id, 1, members.self().endpoint}),
        table(time, time, members.self().name),
        replicaCrashDetector({}, {time, time, log, reachability}),
        links({}, {time, time, random, log, reachability, replicas}),
        relayPeers({}, random, members, records),
        parts({}, {time, time, random, log, link, members}),
        streamOrigins({}, {time, time, random, log, link, members, softwareVersions}),
        placement({}, {time, time, random, log, link, members, replicas, holders}),
        quotas({}, {time, time, random, members, link, [this] { return nodes(); }}),
        quarantine({}, {time, time, random, log, link, members, records, table,
                        [this] { return table.serviceTime(); }}),
        reachability(time),
        service(options(),
                {time, time, log, *this, replicas, holders, replicaSelector, replicaCrashDetector,
                 links, relayPeers, parts, placement, retries, quotas, quarantine, requestDurations,
                 streamOrigins, *this},
                tables, [this] { return nodes(); }) {
    network.attach(members.self().endpoint.address,
                   [this](const base::PeerIdentity& sender, std::string_view payload) {
                     placement.onPeerMessage(sender, payload);
                   });
  }

  std::size_t nodes() const { return members.liveMembers().size(); }
  static RelayServiceOptions options() {
    RelayServiceOptions options;
    options.confirmationBound = {};
    return options;
  }
  std::unique_ptr<clients::RelayCall> start(const clients::RelayPath& /*path*/,
                                            clients::RelayedRequestPtr /*request*/,
                                            const clients::DispatchTerms& terms,
                                            clients::RelayHandler& handler) override {
    return simulated.start(number, terms.replica.endpoint(), handler);
  }
  void onRelayFinished(const config::Route& /*route*/, const RelayOutcome& /*outcome*/) override {}

  std::size_t number;
  LimitedReplicas& simulated;
  routing::testing::FakeMembers members;
  base::SeededRandom random;
  PlacementLink link;
  routing::ReplicaDirectory replicas;
  routing::PrefixHolders holders;
  routing::WeightsTargets targets;
  routing::CacheStores stores;
  routing::FleetLoad fleet;
  routing::ReplicaSelector replicaSelector{
      {replicas, holders, targets, stores, fleet, "zone"}, {}, random};
  test_support::SharedRecords records;
  test_support::MemoryTableService table;
  routing::ReplicaCrashDetector replicaCrashDetector;
  routing::ReplicaLinks links;
  routing::RelayPeers relayPeers;
  routing::PartLookup parts;
  routing::SoftwareVersions softwareVersions{replicas};
  routing::StreamOrigins streamOrigins;
  routing::Placement placement;
  admission::TenantQuotas quotas;
  quarantine::RequestQuarantine quarantine;
  FakeReachability reachability;
  admission::RetryWindows retries{{std::chrono::seconds(10), 0.2, 20, 1.0},
                                  RelayFixture::kStartedLongAgo,
                                  [this] { return nodes(); }};
  routing::RequestDurations requestDurations;
  FakeTables tables;
  RelayService service;
};

/// Results of the callers' requests.
struct LimitedCalls {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  /// Sum of the times from the request to the refusal, over all refused requests.
  base::Duration refusedAfter{};
  /// Times at which refused callers may retry, according to their refusals.
  std::vector<base::TimePoint> retryAt;
};

struct LimitedFleet {
  /// With `sharedPartCount` above 0 the replicas serve a model, and each prompt begins with one of
  /// so many shared parts; otherwise requests have no prompts.
  LimitedFleet(std::size_t nodeCount, std::size_t replicaCount, std::size_t sharedPartCount = 0)
      : sharedParts(sharedPartCount) {
    time.advance(std::chrono::seconds(100));
    for (std::size_t number = 0; number < nodeCount; ++number)
      allMembers.push_back(routing::testing::makeMember("node-" + std::to_string(number), "zone"));
    for (std::size_t number = 0; number < replicaCount; ++number) {
      const auto port = static_cast<std::uint16_t>(kFirstPort + number);
      replicas.all[port].endpoint = {0x7f000001, port};
    }
    for (std::size_t number = 0; number < nodeCount; ++number) start(number);
  }

  /// Starts the node, or restarts it without any of its earlier state.
  void start(std::size_t number) {
    auto membersOwnFirst = allMembers;
    std::swap(membersOwnFirst.front(), membersOwnFirst[number]);
    auto& node = nodes[number];
    node.reset();
    node = std::make_unique<LimitNode>(number, time, log, network, replicas, membersOwnFirst);
    node->tables.current = std::make_shared<const config::RouteTable>(RelayFixture::contents());
    node->tables.confirmed = time.now();
    for (const auto& [port, replica] : replicas.all) {
      routing::Replica facts;
      facts.instance = nameOf(port);
      facts.service = sharedParts > 0 ? "llm" : "app";
      facts.zone = "zone";
      facts.endpoint = replica.endpoint;
      facts.slots = 16;
      if (sharedParts > 0) facts.models = {{"m", 1}};
      node->replicas.onListed(facts);
    }
  }
  /// Sets the members that the node considers live.
  void setView(std::size_t node, const std::vector<std::size_t>& live) {
    std::vector<membership::Member> members;
    for (const auto number : live) members.push_back(allMembers.at(number));
    nodes.at(node)->members.set(std::move(members));
  }

  static std::string nameOf(std::uint16_t port) { return "r" + std::to_string(port); }
  LimitedReplica& replica(std::size_t number) {
    return replicas.all.at(static_cast<std::uint16_t>(kFirstPort + number));
  }
  /// The home node of the replica while all nodes are live.
  std::size_t homeOf(std::size_t number) {
    const auto instance = nameOf(static_cast<std::uint16_t>(kFirstPort + number));
    const auto& home = routing::ReplicaHomes(nodes.begin()->second->members)
                           .homeOf(base::engineIdOf(instance), "zone");
    const auto found = std::ranges::find(allMembers, home.id, &membership::Member::id);
    return static_cast<std::size_t>(found - allMembers.begin());
  }

  void request(std::size_t node) {
    IncomingRequest incoming;
    incoming.host = "example";
    incoming.path = sharedParts > 0 ? "/once/x" : "/safe/x";
    incoming.key = "key";
    incoming.arrivedAt = time.now();
    if (sharedParts > 0) incoming.prompt = drawPrompt();
    incoming.request = std::make_shared<const clients::RelayedRequest>(clients::RelayedRequest{
        "id-" + std::to_string(++calls.sent), "POST", incoming.path, {}, {}});
    nodes.at(node)->service.begin(std::move(incoming), std::make_unique<Caller>(*this));
  }
  /// A prompt of a shared part and a part of its own.
  PromptMetadata drawPrompt() {
    PromptMetadata prompt;
    prompt.model = "m";
    const auto shared = std::to_string(callers.below(sharedParts));
    const auto own = std::to_string(calls.sent);
    prompt.chain = *prefix::PartChain::parse("a" + shared + ":800,b" + own + ":100");
    prompt.promptTokens = prompt.chain.totalTokens();
    prompt.maximumOutputTokens = 20;
    return prompt;
  }
  /// Sends `perSecond` requests per second during `span`, spread over the nodes.
  void load(base::Duration span, double perSecond) {
    const auto end = time.now() + span;
    const base::Duration gap{static_cast<base::Duration::rep>(1e6 / perSecond)};
    for (; time.now() < end; time.advance(gap)) {
      auto node = nodes.begin();
      std::advance(node, static_cast<std::ptrdiff_t>(callers.below(nodes.size())));
      if (!idleNodes.contains(node->first)) request(node->first);
    }
  }

  /// Maximum number of arrivals at the replica in any window of 4 s, divided by the number that is
  /// allowed: one and a half times the limit, plus 5. Only counts arrivals from nodes that received
  /// the limit at least half a second earlier.
  double peakLoad(std::size_t number, double limit) {
    using std::chrono::milliseconds;
    constexpr base::Duration kWindow = std::chrono::seconds(4);
    const auto& one = replica(number);
    std::vector<base::TimePoint> counted;
    for (const auto& arrival : one.arrivals) {
      const auto received = one.limitReceivedAt.find(arrival.node);
      if (received == one.limitReceivedAt.end() ||
          received->second + milliseconds(500) > arrival.at)
        continue;
      if (!uncountedNodes.contains(arrival.node)) counted.push_back(arrival.at);
    }
    std::size_t maximum = 0;
    for (std::size_t last = 0; last < counted.size(); ++last) {
      const auto first = std::ranges::lower_bound(counted, counted[last] - kWindow);
      maximum = std::max(maximum, last + 1 - static_cast<std::size_t>(first - counted.begin()));
    }
    return static_cast<double>(maximum) / (1.5 * 4 * limit + 5);
  }
  /// Arrivals per second at the replica since that time.
  double rateSince(std::size_t number, base::TimePoint since) {
    const auto& arrivals = replica(number).arrivals;
    const auto count = std::ranges::count_if(
        arrivals, [since](const auto& arrival) { return arrival.at >= since; });
    return static_cast<double>(count) / base::toSeconds(time.now() - since);
  }

  static constexpr std::uint16_t kFirstPort = 8000;

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  routing::testing::DelayedNetwork network{time, 3};
  LimitedReplicas replicas{time};
  std::size_t sharedParts;
  std::vector<membership::Member> allMembers;
  std::map<std::size_t, std::unique_ptr<LimitNode>> nodes;
  /// `idleNodes`: nodes to which callers send no requests. `uncountedNodes`: nodes whose requests
  /// are not counted.
  std::set<std::size_t> idleNodes;
  std::set<std::size_t> uncountedNodes;
  base::SeededRandom callers{7};
  LimitedCalls calls;

 private:
  class Caller final : public ResponseWriter {
   public:
    explicit Caller(LimitedFleet& fleet) : fleet_(fleet), since_(fleet.time.now()) {}
    void begin(const clients::RelayedAnswer& /*response*/) override {}
    void write(std::string_view /*bytes*/) override {}
    void end() override { ++fleet_.calls.served; }
    void refuse(const RelayRefusal& refusal) override {
      ++fleet_.calls.refused;
      fleet_.calls.refusedAfter += fleet_.time.now() - since_;
      fleet_.calls.retryAt.push_back(fleet_.time.now() + refusal.retryAfter);
    }
    void abort() override {}
    bool callerConnected() const override { return true; }
    void onPressure(std::function<void(bool)> /*listener*/) override {}

   private:
    LimitedFleet& fleet_;
    base::TimePoint since_;
  };
};

}  // namespace covewing::request
