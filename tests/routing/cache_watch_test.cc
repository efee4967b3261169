// Watching the cache events of replicas and stores.
#include "routing/cache_watch.h"

#include <boost/test/unit_test.hpp>

#include "routing/replica_selector.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class FakeFeed final : public clients::CacheFeedClient {
 public:
  struct Call {
    clients::CacheFeedTarget target;
    std::uint64_t since = 0;
    std::function<void(clients::CacheFeedReply)> callback;
  };
  std::unique_ptr<clients::CacheFeedCall> poll(
      const clients::CacheFeedTarget& target, std::uint64_t since, base::Duration /*wait*/,
      std::function<void(clients::CacheFeedReply)> callback) override {
    calls.push_back({target, since, std::move(callback)});
    return std::make_unique<InFlight>(open);
  }
  std::vector<Call> calls;
  /// Number of polls that have not been cancelled.
  int open = 0;

 private:
  struct InFlight final : clients::CacheFeedCall {
    explicit InFlight(int& openCalls) : count(openCalls) { ++count; }
    ~InFlight() override { --count; }
    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;
    int& count;
  };
};

class FakeMembers final : public membership::MemberDirectory {
 public:
  FakeMembers() { members.push_back(member("self")); }
  static membership::Member member(const std::string& name) {
    membership::Member member;
    member.name = name;
    member.id = base::nodeIdOf(name);
    return member;
  }
  const membership::Member& self() const override { return members.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return members; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return members.size(); }
  std::vector<membership::Member> members;
};

struct WatchFixture {
  WatchFixture() {
    replicas.setRemovalListener([this](const std::string&) { watch.endUnlisted(); });
    replicas.onListed(listedReplica({1, 1}));
    watch.start();
  }

  static clients::CacheFeedReply reply(std::uint64_t epoch, std::uint64_t next,
                                       std::uint32_t tokens) {
    clients::CacheFeedReply reply;
    reply.status = clients::CacheFeedStatus::kOk;
    reply.epoch = epoch;
    reply.next = next;
    reply.events = {{cacheSalt(1, ""), "m", "aa", tokens}};
    return reply;
  }

  static Replica listedReplica(const base::Endpoint& endpoint) {
    Replica replica;
    replica.instance = "r1";
    replica.service = "llm";
    replica.endpoint = endpoint;
    replica.models = {{"m", 1}};
    return replica;
  }

  void configureStore(const base::Endpoint& endpoint) {
    config::RouteTableContents contents;
    config::Service service;
    service.name = "kept";
    service.cacheStore = config::CacheStore{endpoint, "z", 3};
    contents.services = {service};
    stores.update(config::RouteTable{contents});
  }

  std::uint32_t matched() const {
    return holders.matchedTokens(base::engineIdOf("r1"), cacheScope(cacheSalt(1, ""), "m"), chain);
  }

  test_support::VirtualTime time;
  base::SeededRandom random{1};
  test_support::RecordingLog log;
  FakeFeed feed;
  FakeMembers members;
  ReplicaDirectory replicas;
  CacheStores stores;
  PrefixHolders holders;
  prefix::PartChain chain = *prefix::PartChain::parse("aa:50,own:5");
  /// Options of a node that starts to watch as soon as it is eligible.
  static CacheWatchOptions atOnce() {
    CacheWatchOptions options;
    options.eligibilityDelay = {};
    return options;
  }
  CacheWatch watch{atOnce(),
                   {time, time, random, log, feed, replicas, stores, members, holders},
                   [](const std::string& service) { return service == "llm" ? 3U : 0U; }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CacheWatchTest, WatchFixture)

BOOST_AUTO_TEST_CASE(EventsAreAppliedAndNextPollContinuesAfterThem) {
  feed.calls.back().callback(reply(7, 12, 50));
  BOOST_TEST(matched() == 50U);
  time.advance(milliseconds(400));
  BOOST_TEST(feed.calls.size() == 2U);
  BOOST_TEST(feed.calls.back().since == 12U);
  feed.calls.back().callback(reply(7, 13, 0));
  BOOST_TEST(matched() == 0U);
}

BOOST_AUTO_TEST_CASE(RestartOrGapDropsHolderEntries) {
  feed.calls.back().callback(reply(7, 12, 50));
  time.advance(milliseconds(400));
  auto restarted = reply(8, 1, 50);
  restarted.events.clear();
  feed.calls.back().callback(restarted);
  BOOST_TEST(matched() == 0U);
}

BOOST_AUTO_TEST_CASE(FailedPollIsRetriedAfterBackOff) {
  feed.calls.back().callback({});
  BOOST_TEST(feed.calls.size() == 1U);
  time.advance(seconds(1));
  BOOST_TEST(feed.calls.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReplicaWithFewWatcherSlotsIsWatchedByItsHomeAndTheNextHomeOnly) {
  std::size_t watchers = 0;
  std::vector<membership::Member> all;
  for (int number = 0; number < 20; ++number)
    all.push_back(FakeMembers::member("n" + std::to_string(number)));
  for (std::size_t self = 0; self < all.size(); ++self) {
    FakeMembers view;
    view.members = all;
    std::swap(view.members[0], view.members[self]);
    FakeFeed calls;
    CacheWatch one({}, {time, time, random, log, calls, replicas, stores, view, holders},
                   [](const std::string& /*service*/) { return 3U; });
    one.start();
    time.advance(seconds(3));
    watchers += one.watchCount();
  }
  BOOST_TEST(watchers == 2U);
}

// Guards against polling twice: if a watch ended and restarted while a poll was in flight, both
// polls scheduled a next one, and the second timer outlived the watch and crashed the process.
BOOST_AUTO_TEST_CASE(RestartedWatchPollsOnlyOnce) {
  const auto early = feed.calls.back();
  replicas.onRemoved("r1");
  time.advance(milliseconds(600));
  Replica relisted;
  relisted.instance = "r1";
  relisted.service = "llm";
  relisted.models = {{"m", 1}};
  replicas.onListed(relisted);
  time.advance(milliseconds(600));
  BOOST_TEST(feed.calls.size() == 2U);
  const auto late = feed.calls.back();
  early.callback(reply(7, 12, 50));
  late.callback(reply(7, 12, 50));
  time.advance(milliseconds(400));
  BOOST_TEST(feed.calls.size() == 3U);
  replicas.onRemoved("r1");
  time.advance(seconds(5));
  BOOST_TEST(feed.calls.size() == 3U);
}

// Guards against fetching parts that the replica dropped long before: nodes that do not watch a
// replica depend on its home for these changes.
BOOST_AUTO_TEST_CASE(HomePublishesCacheChangesWhereNotAllNodesWatch) {
  std::vector<CacheChange> changes;
  watch.onChange([&](const CacheChange& change) { changes.push_back(change); });
  feed.calls.back().callback(reply(7, 12, 50));
  BOOST_TEST(changes.empty());
  // Adds nodes until there are two more than may watch, none of them before this node in the home
  // order.
  const auto homes = ReplicaHomes(members);
  for (int number = 0; members.members.size() < 6; ++number) {
    members.members.push_back(FakeMembers::member("n" + std::to_string(number)));
    if (!homes.isAmongFirst(base::engineIdOf("r1"), {}, 1)) members.members.pop_back();
  }
  time.advance(milliseconds(400));
  feed.calls.back().callback(reply(7, 13, 40));
  time.advance(milliseconds(400));
  feed.calls.back().callback(reply(7, 14, 0));
  BOOST_REQUIRE(changes.size() == 2U);
  BOOST_TEST(changes[0].previousTokens == 50U);
  BOOST_TEST(changes[0].currentTokens == 40U);
  BOOST_TEST(changes[1].previousTokens == 40U);
  BOOST_TEST(changes[1].currentTokens == 0U);
}

// Guards against needless transfers: each new watcher receives all events that the replica still
// retains.
BOOST_AUTO_TEST_CASE(BrieflyEligibleNodeDoesNotWatch) {
  FakeFeed calls;
  FakeMembers view;
  CacheWatch late({}, {time, time, random, log, calls, replicas, stores, view, holders},
                  [](const std::string& /*service*/) { return 1U; });
  late.start();
  // The node sees no other members for a short time, as after a start, and then discovers them.
  time.advance(milliseconds(1400));
  const auto alone = view.members;
  for (int number = 0; number < 200; ++number)
    view.members.push_back(FakeMembers::member("n" + std::to_string(number)));
  time.advance(seconds(5));
  BOOST_TEST(calls.calls.empty());
  view.members = alone;
  time.advance(seconds(3));
  BOOST_TEST(calls.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(StoreIsAvailableWhileItResponds) {
  configureStore({9, 9});
  BOOST_TEST((stores.choose(1) == nullptr));
  time.advance(milliseconds(600));
  const auto call = feed.calls.back();
  BOOST_TEST((std::get<clients::CacheStoreTarget>(call.target).endpoint() == base::Endpoint{9, 9}));
  call.callback(reply(1, 1, 50));
  BOOST_TEST((stores.choose(1) != nullptr));
  time.advance(milliseconds(400));
  feed.calls.back().callback({});
  BOOST_TEST((stores.choose(1) == nullptr));
}

// Guards against polling a replica that lists no models and therefore has no prompt cache, such as
// one listed by another writer.
BOOST_AUTO_TEST_CASE(ReplicaWithoutModelsIsNotPolled) {
  replicas.onRemoved("r1");
  Replica other;
  other.instance = "other";
  other.service = "llm";
  other.endpoint = {9, 9};
  replicas.onListed(other);
  const auto before = feed.calls.size();
  time.advance(seconds(10));
  BOOST_TEST(feed.calls.size() == before);
}

// Guards against polls to an address that belongs to somebody else by then: watches ended at the
// next review, up to half a second after the entry.
BOOST_AUTO_TEST_CASE(WatchEndsWithTheEntryOfItsReplica) {
  BOOST_TEST(feed.open == 1);
  replicas.onRemoved("r1");
  BOOST_TEST(watch.watchCount() == 0U);
  BOOST_TEST(feed.open == 0);
}

BOOST_AUTO_TEST_CASE(WatchOfAStoreEndsWhenTheConfigurationNoLongerNamesIt) {
  configureStore({9, 9});
  time.advance(milliseconds(600));
  BOOST_TEST(watch.watchCount() == 2U);
  configureStore({9, 10});
  watch.endUnlisted();
  BOOST_TEST(watch.watchCount() == 1U);
  BOOST_TEST(feed.open == 1);
}

// Guards against polls to the former address of a replica whose entry names another one.
BOOST_AUTO_TEST_CASE(WatchBeginsAnewWhenTheAddressChanges) {
  replicas.onListed(listedReplica({1, 2}));
  time.advance(milliseconds(600));
  const auto& target = std::get<clients::ReplicaTarget>(feed.calls.back().target);
  BOOST_TEST((target.endpoint() == base::Endpoint{1, 2}));
  BOOST_TEST(feed.open == 1);
}

// Guards against a replica that is taken out of use because somebody else has its former address.
BOOST_AUTO_TEST_CASE(ResponseAtAFormerAddressDoesNotEndTheReplica) {
  const auto early = feed.calls.back();
  replicas.onListed(listedReplica({1, 2}));
  clients::CacheFeedReply other;
  other.status = clients::CacheFeedStatus::kOtherInstance;
  other.responder = {"call-1", 421, "r9", true};
  early.callback(other);
  BOOST_TEST(!replicas.find("r1")->terminated());
  time.advance(milliseconds(600));
  BOOST_TEST(watch.watchCount() == 1U);
}

// Guards against a stranger's events under the name of a replica that has ended, and against
// further calls to it.
BOOST_AUTO_TEST_CASE(ResponseOfAnotherInstanceEndsTheReplicaAndItsWatch) {
  feed.calls.back().callback(reply(7, 12, 50));
  time.advance(milliseconds(400));
  clients::CacheFeedReply other;
  other.status = clients::CacheFeedStatus::kOtherInstance;
  other.responder = {"call-1", 421, "r9", true};
  feed.calls.back().callback(other);
  BOOST_TEST(replicas.find("r1")->terminated());
  BOOST_TEST(matched() == 0U);
  BOOST_TEST(watch.watchCount() == 0U);
  const auto polls = feed.calls.size();
  time.advance(seconds(10));
  BOOST_TEST(feed.calls.size() == polls);
}

// Guards against the events of the next run, or of a store of kept cache that names nobody, under
// the name of a replica that has ended.
BOOST_AUTO_TEST_CASE(CacheThatWasBegunAnewEndsTheReplica) {
  feed.calls.back().callback(reply(7, 12, 50));
  time.advance(milliseconds(400));
  feed.calls.back().callback(reply(8, 13, 60));
  BOOST_TEST(replicas.find("r1")->terminated());
  BOOST_TEST(matched() == 0U);
  BOOST_TEST(watch.watchCount() == 0U);
}

// Guards against the end of a replica that goes unnoticed at nodes without requests there.
BOOST_AUTO_TEST_CASE(PollWithoutAResponseIsReported) {
  std::vector<ReplicaRecordPtr> unanswered;
  watch.onUnanswered([&](const ReplicaRecordPtr& replica) { unanswered.push_back(replica); });
  feed.calls.back().callback({});
  BOOST_REQUIRE(unanswered.size() == 1U);
  BOOST_TEST((unanswered.front() == replicas.find("r1")));
  time.advance(seconds(5));
  clients::CacheFeedReply malformed;
  malformed.responder.status = 200;
  feed.calls.back().callback(malformed);
  BOOST_TEST(unanswered.size() == 1U);
}

// Guards against polls to a replica of which a request has shown that it has ended.
BOOST_AUTO_TEST_CASE(ReplicaThatHasEndedIsNotPolled) {
  feed.calls.back().callback(reply(7, 12, 50));
  replicas.find("r1")->setTerminated();
  time.advance(seconds(10));
  BOOST_TEST(feed.calls.size() == 1U);
  BOOST_TEST(watch.watchCount() == 0U);
}

BOOST_AUTO_TEST_CASE(LeavingNoticeInPollReplyIsRecorded) {
  auto refusal = clients::CacheFeedReply{};
  refusal.status = clients::CacheFeedStatus::kBusy;
  refusal.leaving = true;
  feed.calls.back().callback(refusal);
  BOOST_TEST(!replicas.find("r1")->inService());
}

// Guards against exhausting the rate limit: a replica that accepts one request per second received
// two polls per second from the nodes that watched its cache.
BOOST_AUTO_TEST_CASE(RateLimitedReplicaIsPolledInfrequentlyAndOnlyByItsHome) {
  std::size_t limitedCalls = 0;
  watch.onRateLimitedPoll([&](const ReplicaRecord& /*replica*/) { ++limitedCalls; });
  auto limited = reply(7, 12, 50);
  limited.rateLimit = clients::RateLimitNotice::of(1);
  feed.calls.back().callback(limited);
  BOOST_TEST(replicas.find("r1")->notices().rateLimit().perSecond().value() == 1.0);
  time.advance(seconds(10));
  BOOST_TEST(feed.calls.size() == 1U);
  time.advance(seconds(20));
  BOOST_TEST(feed.calls.size() == 2U);
  BOOST_TEST(limitedCalls == 1U);
  // In a small fleet, the other nodes leave the watch to the home as well.
  members.members.push_back(FakeMembers::member("other"));
  members.members.push_back(FakeMembers::member("another"));
  time.advance(seconds(1));
  const bool home = ReplicaHomes(members).isAmongFirst(base::engineIdOf("r1"), {}, 1);
  BOOST_TEST(watch.watchCount() == (home ? 1U : 0U));
}

BOOST_AUTO_TEST_CASE(ReplicaWhoseRateLimitEndsIsPolledAtOnce) {
  auto limited = reply(7, 12, 50);
  limited.rateLimit = clients::RateLimitNotice::of(0.2);
  feed.calls.back().callback(limited);
  time.advance(seconds(2));
  const auto now = time.now();
  replicas.find("r1")->notices().rateLimit().update(
      {clients::RateLimitNotice::unlimited(), now, now});
  time.advance(seconds(1));
  BOOST_TEST(feed.calls.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
