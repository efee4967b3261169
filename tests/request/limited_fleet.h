/// \file
/// Several nodes that relay requests to the same replicas, which name rate limits in their answers;
/// in virtual time, with a network between the nodes that a test breaks.
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

/// A replica as the test plays it, and what arrived there.
struct LimitedReplica {
  struct Arrival {
    base::TimePoint at{};
    std::size_t node = 0;
  };

  base::Endpoint endpoint;
  /// Requests a second that its answers name; empty: none.
  std::optional<double> limit;
  base::Duration runTime = std::chrono::milliseconds(20);
  std::vector<Arrival> arrivals;
  /// When each node had read an answer that names a limit.
  std::map<std::size_t, base::TimePoint> toldAt;
};

/// Replicas that take each request, and answer it after their run time.
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
  /// From the dispatch to the arrival.
  base::Duration connectTime = std::chrono::milliseconds(1);

 private:
  class Call final : public clients::RelayCall {
   public:
    explicit Call(std::shared_ptr<bool> open) : open_(std::move(open)) {}
    ~Call() override { *open_ = false; }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
    void setPaused(bool /*paused*/) override {}

   private:
    std::shared_ptr<bool> open_;
  };

  void arrive(std::size_t node, LimitedReplica& replica, clients::RelayHandler& handler,
              const std::shared_ptr<bool>& open) {
    replica.arrivals.push_back({time_.now(), node});
    time_.schedule(replica.runTime, [this, node, &replica, &handler, open] {
      if (!*open) return;
      clients::RelayedAnswer answer;
      answer.status = 200;
      answer.rateLimit = clients::RateLimitNotice::unlimited();
      if (replica.limit) {
        answer.rateLimit = clients::RateLimitNotice::of(*replica.limit);
        replica.toldAt.try_emplace(node, time_.now());
      }
      handler.onHead(std::move(answer));
      if (*open) handler.onEnd();
    });
  }

  test_support::VirtualTime& time_;
};

/// The messages on the placement channel; the others do not matter here.
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
            routing::testing::DelayedNetwork& network, LimitedReplicas& playedReplicas,
            std::vector<membership::Member> ownFirst)
      : number(place),
        played(playedReplicas),
        members(std::move(ownFirst)),
        random(place + 1),
        link(network, {members.self().id, 1, members.self().endpoint}),
        table(time, time, members.self().name),
        replicaEnds({}, {time, time, log, reachability}),
        parts({}, {time, time, random, log, link, members}),
        placement({}, {time, time, random, log, link, members, replicas, holders}),
        quotas({}, {time, time, random, members, link, [this] { return nodes(); }}),
        quarantine({}, {time, time, random, log, link, members, records, table,
                        [this] { return table.serviceTime(); }}),
        reachability(time),
        service(options(),
                {time, time, log, *this, replicas, holders, choice, replicaEnds, parts, placement,
                 retries, quotas, quarantine, requestDurations, *this},
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
  std::unique_ptr<clients::RelayCall> start(const base::Endpoint& replica,
                                            clients::RelayedRequestPtr /*request*/,
                                            const clients::DispatchTerms& /*terms*/,
                                            clients::RelayHandler& handler) override {
    return played.start(number, replica, handler);
  }
  void onRelayFinished(const config::Route& /*route*/, const RelayOutcome& /*outcome*/) override {}

  std::size_t number;
  LimitedReplicas& played;
  routing::testing::FakeMembers members;
  base::SeededRandom random;
  PlacementLink link;
  routing::ReplicaDirectory replicas;
  routing::PrefixHolders holders;
  routing::WeightsTargets targets;
  routing::CacheStores stores;
  routing::FleetLoad fleet;
  routing::ReplicaSelector choice{{replicas, holders, targets, stores, fleet, "zone"}, {}, random};
  test_support::SharedRecords records;
  test_support::MemoryTableService table;
  routing::ReplicaCrashDetector replicaEnds;
  routing::PartLookup parts;
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

/// What became of the callers' requests.
struct LimitedCalls {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  /// Of those refused, from the request to the refusal, summed.
  base::Duration refusedAfter{};
  /// When refused callers were told to come back.
  std::vector<base::TimePoint> comeBackAt;
};

struct LimitedFleet {
  LimitedFleet(std::size_t nodeCount, std::size_t replicaCount) {
    time.advance(std::chrono::seconds(100));
    for (std::size_t number = 0; number < nodeCount; ++number)
      everybody.push_back(routing::testing::makeMember("node-" + std::to_string(number), "zone"));
    for (std::size_t number = 0; number < replicaCount; ++number) {
      const auto port = static_cast<std::uint16_t>(kFirstPort + number);
      replicas.all[port].endpoint = {0x7f000001, port};
    }
    for (std::size_t number = 0; number < nodeCount; ++number) start(number);
  }

  /// Starts the node, or starts it again with nothing remembered.
  void start(std::size_t number) {
    auto ownFirst = everybody;
    std::swap(ownFirst.front(), ownFirst[number]);
    auto& node = nodes[number];
    node.reset();
    node = std::make_unique<LimitNode>(number, time, log, network, replicas, ownFirst);
    node->tables.current = std::make_shared<const config::RouteTable>(RelayFixture::contents());
    node->tables.confirmed = time.now();
    for (const auto& [port, replica] : replicas.all) {
      routing::Replica facts;
      facts.instance = nameOf(port);
      facts.service = "app";
      facts.zone = "zone";
      facts.endpoint = replica.endpoint;
      facts.slots = 16;
      node->replicas.onListed(facts);
    }
  }
  /// The node takes these for the live members.
  void setView(std::size_t node, const std::vector<std::size_t>& live) {
    std::vector<membership::Member> members;
    for (const auto number : live) members.push_back(everybody.at(number));
    nodes.at(node)->members.set(std::move(members));
  }

  static std::string nameOf(std::uint16_t port) { return "r" + std::to_string(port); }
  LimitedReplica& replica(std::size_t number) {
    return replicas.all.at(static_cast<std::uint16_t>(kFirstPort + number));
  }
  /// The node that is the home of the replica where all are alive.
  std::size_t homeOf(std::size_t number) {
    const auto instance = nameOf(static_cast<std::uint16_t>(kFirstPort + number));
    const auto& home = routing::ReplicaHomes(nodes.begin()->second->members)
                           .homeOf(base::engineIdOf(instance), "zone");
    const auto found = std::ranges::find(everybody, home.id, &membership::Member::id);
    return static_cast<std::size_t>(found - everybody.begin());
  }

  void request(std::size_t node) {
    IncomingRequest arrival;
    arrival.host = "example";
    arrival.path = "/safe/x";
    arrival.key = "key";
    arrival.arrivedAt = time.now();
    arrival.request = std::make_shared<const clients::RelayedRequest>(clients::RelayedRequest{
        "id-" + std::to_string(++calls.sent), "POST", arrival.path, {}, {}});
    nodes.at(node)->service.begin(std::move(arrival), std::make_unique<Caller>(*this));
  }
  /// Callers send so many requests a second, spread over the nodes.
  void load(base::Duration span, double perSecond) {
    const auto end = time.now() + span;
    const base::Duration gap{static_cast<base::Duration::rep>(1e6 / perSecond)};
    for (; time.now() < end; time.advance(gap)) {
      auto node = nodes.begin();
      std::advance(node, static_cast<std::ptrdiff_t>(callers.below(nodes.size())));
      if (!silent.contains(node->first)) request(node->first);
    }
  }

  /// Most arrivals in a window of 4 s from nodes that were told half a second before, as a part of
  /// what the replica's limit allows: one and a half times as many, and 5 more.
  double worst(std::size_t number, double limit) {
    using std::chrono::milliseconds;
    constexpr base::Duration kWindow = std::chrono::seconds(4);
    const auto& one = replica(number);
    std::vector<base::TimePoint> counted;
    for (const auto& arrival : one.arrivals) {
      const auto told = one.toldAt.find(arrival.node);
      if (told == one.toldAt.end() || told->second + milliseconds(500) > arrival.at) continue;
      if (!excused.contains(arrival.node)) counted.push_back(arrival.at);
    }
    std::size_t most = 0;
    for (std::size_t last = 0; last < counted.size(); ++last) {
      const auto first = std::ranges::lower_bound(counted, counted[last] - kWindow);
      most = std::max(most, last + 1 - static_cast<std::size_t>(first - counted.begin()));
    }
    return static_cast<double>(most) / (1.5 * 4 * limit + 5);
  }
  /// Arrivals a second at the replica since then.
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
  std::vector<membership::Member> everybody;
  std::map<std::size_t, std::unique_ptr<LimitNode>> nodes;
  /// Nodes that callers send nothing, and nodes whose requests do not count.
  std::set<std::size_t> silent;
  std::set<std::size_t> excused;
  base::SeededRandom callers{7};
  LimitedCalls calls;

 private:
  class Caller final : public ResponseWriter {
   public:
    explicit Caller(LimitedFleet& fleet) : fleet_(fleet), since_(fleet.time.now()) {}
    void begin(const clients::RelayedAnswer& /*answer*/) override {}
    void write(std::string_view /*bytes*/) override {}
    void end() override { ++fleet_.calls.served; }
    void refuse(const RelayRefusal& refusal) override {
      ++fleet_.calls.refused;
      fleet_.calls.refusedAfter += fleet_.time.now() - since_;
      fleet_.calls.comeBackAt.push_back(fleet_.time.now() + refusal.retryAfter);
    }
    void abort() override {}
    void onPressure(std::function<void(bool)> /*listener*/) override {}

   private:
    LimitedFleet& fleet_;
    base::TimePoint since_;
  };
};

}  // namespace covewing::request
