// Nodes with separate clocks that use the emulator's table and engines, in virtual time. A node can
// be paused, cut off from the table or crashed.
#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "coordination/coordinator.h"
#include "coordination/order_request.h"
#include "emulator/engine_model.h"
#include "emulator/table_model.h"
#include "emulator/virtual_time.h"
#include "emulator/weight_store_model.h"

namespace covewing::coordination {

inline constexpr const char* kRegion = "south";

// A node's clock and timers. The clock is offset from the shared virtual time; callbacks are held
// back while the node is paused.
class NodeTime final : public base::Clock, public base::TimerService {
 public:
  NodeTime(emulator::VirtualTime& world, base::Duration shift) : world_(world), shift_(shift) {}

  base::TimePoint now() const override { return world_.now() + shift_; }
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    return world_.schedule(delay, [this, alive = std::weak_ptr<bool>(alive_), callback] {
      if (!alive.expired()) run(callback);
    });
  }
  void cancel(base::TimerId timer) override { world_.cancel(timer); }

  // Runs the callback now, or after the pause.
  void run(std::function<void()> callback) {
    if (paused_) {
      deferred_.push_back(std::move(callback));
    } else {
      callback();
    }
  }
  void pause() { paused_ = true; }
  void resume() {
    paused_ = false;
    for (auto& callback : std::exchange(deferred_, {})) callback();
  }
  // Only the clock jumps; no time passes.
  void jump(base::Duration by) { shift_ += by; }
  std::weak_ptr<bool> lifetime() const { return alive_; }

 private:
  emulator::VirtualTime& world_;
  base::Duration shift_;
  bool paused_ = false;
  std::vector<std::function<void()>> deferred_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A node's connection to the table.
class NodeTable final : public clients::TableClient {
 public:
  NodeTable(NodeTime& time, emulator::VirtualTime& network, emulator::TableModel& table)
      : time_(time), network_(network), table_(table) {}

  void read(std::vector<std::string> keys, clients::TableCallback callback) override {
    if (failIfCutOff(callback)) return;
    table_.read(std::move(keys), wrap(std::move(callback)));
  }
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override {
    if (failIfCutOff(callback)) return;
    table_.scan(std::move(prefix), after, limit, wrap(std::move(callback)));
  }
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    if (failIfCutOff(callback)) return;
    const bool writesOrder = transaction.writes.front().key.starts_with("order/");
    if (!writesOrder || delayNextOrderWriteBy == base::Duration::zero()) {
      return table_.commit(std::move(transaction), wrap(std::move(callback)));
    }
    network_.schedule(std::exchange(delayNextOrderWriteBy, base::Duration::zero()),
                      [&table = table_, transaction, callback = wrap(std::move(callback))] {
                        table.commit(transaction, callback);
                      });
  }

  // Delays the next write of an order's row in the network for this long.
  base::Duration delayNextOrderWriteBy{};
  bool cutOff = false;
  std::size_t calls = 0;

 private:
  bool failIfCutOff(const clients::TableCallback& callback) {
    ++calls;
    if (!cutOff) return false;
    time_.schedule(std::chrono::milliseconds(1), [callback] {
      callback({clients::TableStatus::kUnavailable, 0, {}});
    });
    return true;
  }
  clients::TableCallback wrap(clients::TableCallback callback) {
    return [&time = time_, alive = time_.lifetime(), callback](const clients::TableReply& reply) {
      if (!alive.expired()) time.run([callback, reply] { callback(reply); });
    };
  }

  NodeTime& time_;
  emulator::VirtualTime& network_;
  emulator::TableModel& table_;
};

struct WorldMembers {
  std::vector<membership::Member> live;
};

class NodeMembers final : public membership::MemberDirectory {
 public:
  NodeMembers(const WorldMembers& world, membership::Member self)
      : world_(world), self_(std::move(self)) {}
  const membership::Member& self() const override { return self_; }
  const std::vector<membership::Member>& liveMembers() const override { return world_.live; }
  const membership::Member* find(base::NodeId id) const override {
    for (const auto& member : world_.live) {
      if (member.id == id) return &member;
    }
    return nullptr;
  }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return 1; }

 private:
  const WorldMembers& world_;
  membership::Member self_;
};

// The engines of the region, with a record of the orders that they accepted.
class WorldEngines final : public emulator::ExecutionObserver, public EngineCatalogue {
  emulator::TestWorld& world_;

 public:
  explicit WorldEngines(emulator::TestWorld& world) : world_(world) {}

  emulator::EngineModel& add(const std::string& name, const std::string& zone,
                             std::vector<clients::LoadedWeights> weights) {
    emulator::EngineModelOptions options;
    options.name = name;
    options.weights = std::move(weights);
    const emulator::EngineSurroundings surroundings{&weightStore, nullptr, this};
    auto engine = std::make_unique<emulator::EngineModel>(options, surroundings, world_.time,
                                                          world_.time, world_.random);
    zones_[engine->id()] = zone;
    auto& slot = engines_[engine->id()];
    slot = std::move(engine);
    return *slot;
  }
  emulator::EngineModel& at(const std::string& name) {
    return *engines_.at(base::engineIdOf(name));
  }
  emulator::EngineModel* find(base::EngineId id) {
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : found->second.get();
  }

  std::vector<CatalogueEngine> engines() const override {
    std::vector<CatalogueEngine> result;
    for (const auto& [id, engine] : engines_) {
      CatalogueEngine entry;
      entry.address = {id, engine->name(), {}};
      entry.zone = zones_.at(id);
      entry.region = kRegion;
      entry.unreachable = !engine->isUp();
      entry.leaving = engine->isLeaving();
      entry.weights = engine->weights();
      result.push_back(std::move(entry));
    }
    return result;
  }
  std::size_t enginesWith(base::WeightsVersion version) const {
    std::size_t count = 0;
    for (const auto& [id, engine] : engines_) {
      count += holdsVersion(engine->weights(), "rules", version) ? 1 : 0;
    }
    return count;
  }

  void onOrder(base::EngineId engine, const clients::EngineOrder& order,
               const clients::OrderReply& reply) override {
    if (reply.status == clients::OrderStatus::kFencedOff) ++fencedOff;
    if (reply.status != clients::OrderStatus::kAccepted) return;
    ++accepted;
    BOOST_TEST(order.fencingToken >= highestToken[engine]);
    highestToken[engine] = order.fencingToken;
  }

  emulator::WeightStoreModel weightStore{
      {.loadTime = std::chrono::milliseconds(500), .fullSpeedLoads = 2}, world_.time, world_.time};
  std::size_t accepted = 0;
  std::size_t fencedOff = 0;
  std::map<base::EngineId, base::FencingToken> highestToken;

 private:
  std::map<base::EngineId, std::unique_ptr<emulator::EngineModel>> engines_;
  std::map<base::EngineId, std::string> zones_;
};

// A node's connection to the engines: one millisecond to the engine; replies are held back while
// the node is paused.
class NodeEngines final : public clients::EngineClient {
 public:
  NodeEngines(NodeTime& time, emulator::VirtualTime& network, WorldEngines& engines)
      : time_(time), network_(network), engines_(engines) {}

  std::unique_ptr<clients::EngineStream> start(const clients::BackEndAddress&,
                                               clients::EngineRequest,
                                               clients::EngineStreamHandler&) override {
    return nullptr;
  }
  void snapshot(const clients::BackEndAddress&,
                std::function<void(std::optional<clients::EngineReport>)>) override {}
  void poll(const clients::BackEndAddress& address, std::uint64_t fromSequence,
            std::function<void(std::optional<clients::EngineReport>)> callback) override {
    network_.schedule(kDelay, [&time = time_, &engines = engines_, alive = time_.lifetime(),
                               id = address.id, fromSequence, callback] {
      engines.find(id)->report(fromSequence, [&time, alive, callback](const auto& report) {
        if (!alive.expired()) time.run([callback, report] { callback(report); });
      });
    });
  }
  void order(const clients::BackEndAddress& address, clients::EngineOrder order,
             std::function<void(clients::OrderReply)> callback) override {
    const base::Duration delay = kDelay + std::exchange(delayNextOrderBy, base::Duration::zero());
    network_.schedule(delay, [&time = time_, &engines = engines_, alive = time_.lifetime(),
                              id = address.id, order, callback] {
      engines.find(id)->order(order, [&time, alive, callback](const auto& reply) {
        if (!alive.expired()) time.run([callback, reply] { callback(reply); });
      });
    });
  }

  // Delays the next engine order in the network for this long.
  base::Duration delayNextOrderBy{};

 private:
  static constexpr base::Duration kDelay = std::chrono::milliseconds(1);
  NodeTime& time_;
  emulator::VirtualTime& network_;
  WorldEngines& engines_;
};

struct CountingLog final : base::EventLog {
  void write(base::Event event, std::initializer_list<base::EventField>) override {
    ++counts[event];
  }
  std::map<base::Event, std::size_t> counts;
};

class World;

struct NodePeers final : base::PeerTransport {
  explicit NodePeers(World& owner) : world(owner) {}
  void send(const base::Endpoint& destination, base::Channel channel, std::string payload) override;
  World& world;
};

// One node with its coordinator.
struct TestNode {
  TestNode(World& world, const membership::Member& self, base::Duration shift);

  NodeTime time;
  base::SeededRandom random;
  CountingLog log;
  NodeTable table;
  NodeMembers members;
  NodeEngines engines;
  NodePeers peers;
  Coordinator coordinator;
};

class World {
 public:
  TestNode& addNode(const std::string& name, const std::string& zone,
                    base::Duration shift = base::Duration::zero(),
                    base::Incarnation incarnation = 1) {
    membership::Member member;
    member.name = name;
    member.id = base::nodeIdOf(name);
    member.zone = zone;
    member.region = kRegion;
    member.incarnation = incarnation;
    member.endpoint = {static_cast<std::uint32_t>(member.id.value), 1};
    members.live.push_back(member);
    std::ranges::sort(members.live, {}, &membership::Member::id);
    nodes[name] = std::make_unique<TestNode>(*this, member, shift);
    return *nodes[name];
  }
  // Three nodes in three zones.
  void addNodes() {
    addNode("node-a", "zone-1");
    addNode("node-b", "zone-2", std::chrono::hours(5));
    addNode("node-c", "zone-3", -std::chrono::hours(2));
  }
  void addEngines(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      engines.add("rules-" + std::to_string(index), "zone-" + std::to_string(index % 3 + 1),
                  {{"rules", 1, {}}});
    }
  }
  void start() {
    for (auto& [name, node] : nodes) node->coordinator.start();
  }
  void crash(const std::string& name) {
    nodes.erase(name);
    std::erase_if(members.live, [&](const membership::Member& one) { return one.name == name; });
  }
  // Name of the node that holds the lease by its own clock; empty if there is none. Checks that
  // there is at most one.
  std::string holder() const {
    std::string holder;
    for (const auto& [name, node] : nodes) {
      if (!node->coordinator.leaseStatus().held) continue;
      BOOST_TEST(holder.empty());
      holder = name;
    }
    return holder;
  }
  TestNode& holderNode() { return *nodes.at(holder()); }
  TestNode& nonHolder() {
    for (auto& [name, node] : nodes) {
      if (name != holder()) return *node;
    }
    return *nodes.begin()->second;
  }
  void run(base::Duration duration) { shared.time.run(duration); }
  // Runs until `condition` holds and checks `invariant` at each step; returns false after `limit`.
  bool runUntil(
      base::Duration limit, const std::function<bool()>& condition,
      const std::function<void()>& invariant = [] {}) {
    const base::TimePoint end = shared.time.now() + limit;
    while (shared.time.now() < end) {
      if (condition()) return true;
      shared.time.run(std::chrono::milliseconds(10));
      invariant();
    }
    return condition();
  }

  // Creates the order through the node and returns its identifier.
  std::string createOrder(TestNode& node, OrderRequest request) {
    request.region = kRegion;
    if (request.operationId.empty()) request.operationId = "operation-1";
    std::vector<config::FieldMistake> mistakes;
    auto order = makeOrder(request, engines.engines(), mistakes);
    BOOST_REQUIRE_MESSAGE(order, config::toText(mistakes));
    std::optional<OrderCallResult> result;
    node.coordinator.orders().create(*order,
                                     [&](const OrderCallResult& answer) { result = answer; });
    BOOST_REQUIRE(runUntil(std::chrono::seconds(20), [&] { return result.has_value(); }));
    BOOST_REQUIRE((result->status == OrderCallStatus::kOk));
    return result->order->id;
  }
  // The order as stored in the table.
  Order order(const std::string& id) const {
    const auto reply = table.readNow({orderKey(kRegion, id)});
    BOOST_REQUIRE(!reply.rows.empty());
    base::Reason reason;
    const auto parsed = parseOrder(reply.rows[0].value, reply.rows[0].revision, reason);
    BOOST_REQUIRE(parsed);
    return *parsed;
  }
  bool runUntilFinished(
      const std::string& id, const std::function<void()>& invariant = [] {}) {
    return runUntil(
        std::chrono::minutes(3), [&] { return isFinal(order(id).state); }, invariant);
  }

  bool dropPeerMessages = false;
  emulator::TestWorld shared;
  emulator::TableModel table{emulator::kTableDefaults, shared.time, shared.time, shared.random};
  WorldEngines engines{shared};
  WorldMembers members;
  std::map<std::string, std::unique_ptr<TestNode>> nodes;
};

inline void NodePeers::send(const base::Endpoint& destination, base::Channel /*channel*/,
                            std::string payload) {
  if (world.dropPeerMessages) return;
  for (const auto& member : world.members.live) {
    if (member.endpoint != destination) continue;
    world.shared.time.schedule(std::chrono::milliseconds(1), [this, name = member.name, payload] {
      const auto node = world.nodes.find(name);
      if (node == world.nodes.end()) return;
      TestNode& receiver = *node->second;
      receiver.time.run([&receiver, payload] { receiver.coordinator.onPeerMessage({}, payload); });
    });
  }
}

inline TestNode::TestNode(World& world, const membership::Member& self, base::Duration shift)
    : time(world.shared.time, shift),
      random(self.id.value),
      table(time, world.shared.time, world.table),
      members(world.members, self),
      engines(time, world.shared.time, world.engines),
      peers(world),
      coordinator({.region = kRegion, .loadSlots = 2, .lease = {}, .executor = {}},
                  {time, time, random, log, peers, table, engines, members, world.engines}) {}

}  // namespace covewing::coordination
