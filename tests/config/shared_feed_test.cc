// Nodes that share the feeds of the table service: who calls it, what the others learn and how
// fresh they may believe themselves, while nodes and the service fail.
#include "config/shared_feed.h"

#include <boost/test/unit_test.hpp>

#include "config/table_watch.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::config {

using clients::FeedReply;
using clients::FeedRow;
using clients::FeedStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kDelay = milliseconds(1);

/// The table service with one table, and the calls that it holds.
class FakeService {
 public:
  explicit FakeService(test_support::VirtualTime& time) : time_(time) {}

  void put(const std::string& key, const std::string& value) {
    rows_[key] = {key, value, ++revision_};
    const auto held = std::exchange(held_, {});
    for (const auto& call : held) answer(call);
  }

  void ask(base::Revision after, base::Duration wait, bool whole,
           const clients::FeedCallback& callback) {
    ++calls;
    auto call = std::make_shared<Call>(Call{after, whole, callback, false});
    const bool news = whole || changedAfter(after);
    if (!news) held_.push_back(call);
    time_.schedule(news ? base::Duration::zero() : wait, [this, call] { answer(call); });
  }

  int calls = 0;

 private:
  struct Call {
    base::Revision after = 0;
    bool whole = false;
    clients::FeedCallback callback;
    bool answered = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  bool changedAfter(base::Revision after) const {
    return std::ranges::any_of(
        rows_, [after](const auto& entry) { return entry.second.revision > after; });
  }
  void answer(const CallPtr& call) {
    if (std::exchange(call->answered, true)) return;
    FeedReply reply;
    reply.status = FeedStatus::kOk;
    reply.revision = revision_;
    reply.serviceTime = time_.now().time_since_epoch() + seconds(500);
    for (const auto& [key, row] : rows_) {
      if (call->whole || row.revision > call->after) reply.rows.push_back(row);
    }
    time_.schedule(kDelay, [call, reply] { call->callback(reply); });
  }

  test_support::VirtualTime& time_;
  std::map<std::string, FeedRow> rows_;
  base::Revision revision_ = 1;
  std::vector<CallPtr> held_;
};

/// The service as one node reaches it.
class ServiceClient final : public clients::TableFeedClient {
 public:
  ServiceClient(FakeService& service, test_support::VirtualTime& time)
      : service_(service), time_(time) {}
  void readAll(std::string /*table*/, clients::FeedCallback callback) override {
    call(0, {}, true, std::move(callback));
  }
  void changes(std::string /*table*/, base::Revision after, base::Duration wait,
               clients::FeedCallback callback) override {
    call(after, wait, false, std::move(callback));
  }

  bool refused = false;
  int calls = 0;
  int wholeReads = 0;

 private:
  void call(base::Revision after, base::Duration wait, bool whole, clients::FeedCallback callback) {
    ++calls;
    if (whole) ++wholeReads;
    if (!refused) return service_.ask(after, wait, whole, callback);
    time_.schedule(kDelay, [callback] { callback({}); });
  }

  FakeService& service_;
  test_support::VirtualTime& time_;
};

class Directory final : public membership::MemberDirectory {
 public:
  Directory(const std::vector<membership::Member>& members, std::size_t self)
      : members_(members), self_(self) {}
  const membership::Member& self() const override { return members_[self_]; }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::uint64_t version() const override { return 1; }

 private:
  const std::vector<membership::Member>& members_;
  std::size_t self_;
};

struct Fleet;

class Wire final : public base::PeerTransport {
 public:
  Wire(Fleet& fleet, std::size_t from) : fleet_(fleet), from_(from) {}
  void send(const base::Endpoint& destination, base::Channel channel, std::string payload) override;

 private:
  Fleet& fleet_;
  std::size_t from_;
};

struct Listener final : TableWatchListener {
  void onRow(const FeedRow& row, RowSource /*source*/) override { rows[row.key] = *row.value; }
  void onRemoved(const FeedRow& row) override { rows.erase(row.key); }
  void onCurrent() override {}
  void onFailure(FeedStatus /*status*/) override { ++failures; }
  std::map<std::string, std::string> rows;
  int failures = 0;
};

struct FleetNode {
  FleetNode(Fleet& fleet, std::size_t index);
  Directory directory;
  ServiceClient service;
  Wire wire;
  base::SeededRandom random;
  test_support::RecordingLog log;
  SharedFeed feed;
  Listener listener;
  TableWatch watch;
  bool silent = false;
};

struct Fleet {
  explicit Fleet(std::size_t nodesOfAZone, std::size_t zones = 1) {
    time.advance(seconds(10));
    service.put("a", "1");
    for (std::size_t index = 0; index < nodesOfAZone * zones; ++index) {
      membership::Member member;
      member.id = base::NodeId{index + 1};
      member.zone = "zone-" + std::to_string(index % zones);
      member.endpoint = {static_cast<std::uint32_t>(index), 1};
      members.push_back(member);
    }
    for (std::size_t index = 0; index < members.size(); ++index)
      nodes.push_back(std::make_unique<FleetNode>(*this, index));
    for (auto& node : nodes) node->watch.start();
    time.advance(seconds(10));
  }

  FeedWatchers::Role roleOf(std::size_t index) const {
    return FeedWatchers(nodes[index]->directory, {}).role();
  }
  std::vector<FleetNode*> with(std::initializer_list<FeedWatchers::Role> roles) {
    std::vector<FleetNode*> found;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (std::ranges::find(roles, roleOf(index)) != roles.end())
        found.push_back(nodes[index].get());
    }
    return found;
  }
  /// Readers of the fleet and watchers of its zones, or all other nodes.
  std::vector<FleetNode*> of(bool watchers) {
    if (!watchers) return with({FeedWatchers::Role::kFollower});
    return with({FeedWatchers::Role::kReader, FeedWatchers::Role::kZoneWatcher});
  }
  base::Duration ageOf(const FleetNode& node) const {
    return time.now() - *node.watch.confirmedAt();
  }

  test_support::VirtualTime time;
  FakeService service{time};
  std::vector<membership::Member> members;
  std::vector<std::unique_ptr<FleetNode>> nodes;
};

void Wire::send(const base::Endpoint& destination, base::Channel channel, std::string payload) {
  if (fleet_.nodes[from_]->silent || fleet_.nodes[destination.address]->silent) return;
  BOOST_TEST((channel == base::Channel::kTableFeed));
  fleet_.time.schedule(kDelay, [this, to = destination.address, payload = std::move(payload)] {
    const auto& sender = fleet_.members[from_];
    fleet_.nodes[to]->feed.onPeerMessage({sender.id, 1, sender.endpoint}, payload);
  });
}

FleetNode::FleetNode(Fleet& fleet, std::size_t index)
    : directory(fleet.members, index),
      service(fleet.service, fleet.time),
      wire(fleet, index),
      random(index + 1),
      feed({}, {fleet.time, fleet.time, random, log, wire, directory, service}),
      watch({"t"}, fleet.time, fleet.time, random, feed, listener) {}

}  // namespace

BOOST_AUTO_TEST_SUITE(SharedFeedTest)

BOOST_AUTO_TEST_CASE(OnlyTheReadersOfTheFleetCallTheService) {
  Fleet fleet(20, 5);
  BOOST_TEST(fleet.of(true).size() == 10U);
  const auto readers = fleet.with({FeedWatchers::Role::kReader});
  BOOST_REQUIRE(readers.size() == 2U);
  BOOST_TEST(readers[0]->directory.self().zone != readers[1]->directory.self().zone);
  for (const auto& node : fleet.nodes) node->service.calls = 0;
  fleet.time.advance(seconds(20));
  for (const auto& node : fleet.nodes) {
    const bool reader = std::ranges::find(readers, node.get()) != readers.end();
    BOOST_TEST((node->service.calls > 0) == reader);
  }
}

BOOST_AUTO_TEST_CASE(CallsToTheServiceDoNotGrowWithTheFleet) {
  const auto callsOf = [](std::size_t nodesOfAZone, std::size_t zones) {
    Fleet fleet(nodesOfAZone, zones);
    fleet.service.calls = 0;
    fleet.time.advance(seconds(20));
    return fleet.service.calls;
  };
  BOOST_TEST(callsOf(40, 5) <= callsOf(4, 2) + 2);
}

BOOST_AUTO_TEST_CASE(ProofStaysYoungAcrossTheTiers) {
  Fleet fleet(20, 5);
  for (int step = 0; step < 100; ++step) {
    fleet.time.advance(milliseconds(100));
    for (const auto& node : fleet.nodes) BOOST_TEST((fleet.ageOf(*node) < milliseconds(1300)));
  }
}

BOOST_AUTO_TEST_CASE(ChangeCrossesTheTiersAtOnce) {
  Fleet fleet(20, 5);
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(20));
  for (const auto& node : fleet.nodes) BOOST_TEST(node->listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(ZoneWhoseReadersAreSilentAsksTheService) {
  Fleet fleet(6, 3);
  const auto readers = fleet.with({FeedWatchers::Role::kReader});
  for (auto* reader : readers) reader->silent = true;
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(1800));
  for (const auto& node : fleet.nodes) {
    if (!node->silent) BOOST_TEST(node->listener.rows["a"] == "2");
  }
  fleet.time.advance(seconds(10));
  for (const auto& node : fleet.nodes) {
    if (!node->silent) BOOST_TEST((fleet.ageOf(*node) < seconds(2)));
  }
}

BOOST_AUTO_TEST_CASE(NodesThatStartTogetherReadTheServiceOnce) {
  // With the whole membership known from the start, followers and watchers wait for the first copy
  // of the node that they ask.
  Fleet fleet(40, 5);
  int wholeReads = 0;
  for (const auto& node : fleet.nodes) wholeReads += node->service.wholeReads;
  BOOST_TEST(wholeReads <= 4);
}

// Copies of 3,000 replicas for all nodes of a zone at once crowded the watchers' links: nobody
// served for 30 s.
BOOST_AUTO_TEST_CASE(NodeSendsNoMoreWholeCopiesThanItsLinkBears) {
  Fleet fleet(2);
  fleet.service.put("large", std::string(300'000, 'x'));
  fleet.time.advance(seconds(2));
  auto& node = *fleet.nodes.front();
  struct Counter final : base::PeerTransport {
    void send(const base::Endpoint& /*destination*/, base::Channel /*channel*/,
              std::string payload) override {
      const auto answer = std::get<FeedAnswer>(*decodeFeedMessage(payload));
      ++(answer.unable ? declined : told);
    }
    int told = 0;
    int declined = 0;
  } counter;
  SharedFeed watcher(
      {}, {fleet.time, fleet.time, node.random, node.log, counter, node.directory, node.service});
  watcher.readAll("t", [](const FeedReply& /*reply*/) {});
  fleet.time.advance(milliseconds(50));
  for (std::uint64_t nonce = 1; nonce <= 50; ++nonce)
    watcher.onPeerMessage({}, encodeFeedMessage(FeedQuestion{nonce, "t", 0, seconds(1), true}));
  BOOST_TEST(counter.told == 4);
  BOOST_TEST(counter.declined == 46);
  fleet.time.advance(seconds(1));
  watcher.onPeerMessage({}, encodeFeedMessage(FeedQuestion{99, "t", 0, seconds(1), true}));
  BOOST_TEST(counter.told == 5);
}

BOOST_AUTO_TEST_CASE(NodeThatMayYetJoinWaitsForItShortly) {
  Fleet fleet(1);
  SharedFeedOptions options;
  options.joinPatience = milliseconds(300);
  auto& node = *fleet.nodes.front();
  node.service.calls = 0;
  SharedFeed fresh(options, {fleet.time, fleet.time, node.random, node.log, node.wire,
                             node.directory, node.service});
  bool answered = false;
  fresh.readAll("t", [&](const FeedReply& /*reply*/) { answered = true; });
  fleet.time.advance(milliseconds(250));
  BOOST_TEST(!answered);
  fleet.time.advance(milliseconds(100));
  BOOST_TEST(answered);
}

BOOST_AUTO_TEST_CASE(ChangeReachesEveryNodeAtOnce) {
  Fleet fleet(20);
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(20));
  for (const auto& node : fleet.nodes) BOOST_TEST(node->listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(ProofStaysYoungAtEveryNode) {
  Fleet fleet(20);
  for (int step = 0; step < 100; ++step) {
    fleet.time.advance(milliseconds(100));
    for (const auto& node : fleet.nodes) BOOST_TEST((fleet.ageOf(*node) < milliseconds(1700)));
  }
}

BOOST_AUTO_TEST_CASE(ProofIsNeverYoungerThanThatOfTheNodeAsked) {
  Fleet fleet(5);
  for (const auto& node : fleet.nodes) node->service.refused = true;
  // The service still answers the calls that it holds.
  const auto refusedSince = fleet.time.now();
  fleet.time.advance(seconds(30));
  for (const auto& node : fleet.nodes)
    BOOST_TEST((*node->watch.confirmedAt() <= refusedSince + TableWatchOptions{}.wait + kDelay));
}

BOOST_AUTO_TEST_CASE(NodeThatTheServiceRefusesLearnsFromOthers) {
  Fleet fleet(5);
  auto* refused = fleet.of(true).front();
  refused->service.refused = true;
  fleet.time.advance(seconds(5));
  fleet.service.put("a", "2");
  fleet.time.advance(seconds(1));
  BOOST_TEST(refused->listener.rows["a"] == "2");
  BOOST_TEST((fleet.ageOf(*refused) < seconds(2)));
  BOOST_TEST(refused->listener.failures == 0);
}

BOOST_AUTO_TEST_CASE(NodeWhoseWatchersAreSilentAsksTheService) {
  Fleet fleet(6);
  for (auto* watcher : fleet.of(true)) watcher->silent = true;
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(1500));
  for (auto* node : fleet.of(false)) {
    BOOST_TEST(node->listener.rows["a"] == "2");
    BOOST_TEST(node->listener.failures == 0);
  }
  fleet.time.advance(seconds(10));
  for (auto* node : fleet.of(false)) BOOST_TEST((fleet.ageOf(*node) < seconds(2)));
}

BOOST_AUTO_TEST_CASE(NodeWhoseWatchersAreRefusedAsksTheService) {
  Fleet fleet(6);
  for (auto* watcher : fleet.of(true)) watcher->service.refused = true;
  fleet.time.advance(seconds(5));
  fleet.service.put("a", "2");
  fleet.time.advance(seconds(2));
  for (const auto& node : fleet.nodes) BOOST_TEST(node->listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(NodeAloneReadsFromTheService) {
  Fleet fleet(1);
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(20));
  BOOST_TEST(fleet.nodes.front()->listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(NodeThatWasNeverServedTellsNothing) {
  Fleet fleet(2);
  FeedAnswer answer;
  struct Catcher final : base::PeerTransport {
    void send(const base::Endpoint& /*destination*/, base::Channel /*channel*/,
              std::string payload) override {
      answer = std::get<FeedAnswer>(*decodeFeedMessage(payload));
    }
    FeedAnswer answer;
  } catcher;
  auto& node = *fleet.nodes.front();
  SharedFeed fresh(
      {}, {fleet.time, fleet.time, node.random, node.log, catcher, node.directory, node.service});
  fresh.onPeerMessage({}, encodeFeedMessage(FeedQuestion{7, "t", 1, seconds(1), false}));
  BOOST_TEST(catcher.answer.nonce == 7U);
  BOOST_TEST(catcher.answer.unable);
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreIgnored) {
  Fleet fleet(2);
  auto& node = *fleet.nodes.front();
  for (const std::string_view payload : {"", "\xc1", "\x93\x01", "\x91\x09", "text"})
    node.feed.onPeerMessage({}, payload);
  BOOST_TEST(!decodeFeedMessage("\x91\x09").has_value());
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(20));
  BOOST_TEST(node.listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(MessagesSurviveTheirEncoding) {
  FeedAnswer answer;
  answer.nonce = 9;
  answer.rows = {{"a", std::string("\0x", 2), 4}, {"b", std::nullopt, 5}};
  answer.revision = 6;
  answer.held = milliseconds(3);
  answer.age = milliseconds(70);
  answer.serviceTime = seconds(12);
  const auto decoded = decodeFeedMessage(encodeFeedMessage(answer));
  BOOST_REQUIRE(decoded.has_value());
  const auto& again = std::get<FeedAnswer>(*decoded);
  BOOST_TEST(again.nonce == 9U);
  BOOST_REQUIRE(again.rows.size() == 2U);
  BOOST_TEST(again.rows[0].value.value() == std::string("\0x", 2));
  BOOST_TEST(!again.rows[1].value.has_value());
  BOOST_TEST(again.rows[1].revision == 5U);
  BOOST_TEST(again.revision == 6U);
  BOOST_TEST((again.held == milliseconds(3) && again.age == milliseconds(70)));
  BOOST_TEST((again.serviceTime == base::Duration{seconds(12)}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
