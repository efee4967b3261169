// The table service is restored from an older backup after the lease has changed hands, so that the
// row names the previous holder with its token. Guards against two failures: the next node to
// acquire the lease issued the last holder's token again, or a lower one, which replicas reject;
// and a holder that was cut off continued beside the new one.
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

#include "config/era_checked_table.h"
#include "coordination/lease_manager.h"
#include "support/memory_table_service.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::coordination {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kNodes = 3;

/// Directory in which all nodes are members; `self` is the index of this node.
class AllMembers final : public membership::MemberDirectory {
 public:
  explicit AllMembers(std::size_t self) : self_(self) {
    for (std::size_t index = 0; index < kNodes; ++index) {
      membership::Member member;
      member.name = "node-" + std::to_string(index);
      member.id = base::nodeIdOf(member.name);
      member.endpoint = {1, static_cast<std::uint16_t>(index + 1)};
      member.incarnation = 1;
      members_.push_back(member);
    }
  }
  const membership::Member& self() const override { return members_[self_]; }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return 1; }

 private:
  std::size_t self_;
  std::vector<membership::Member> members_;
};

/// A node's connection to the service, which can be cut. Reports the store era of each reply.
class Connection final : public clients::TableClient {
 public:
  Connection(clients::TableClient& service, config::StoreEras& eras)
      : service_(service), eras_(eras) {}
  void read(std::vector<std::string> keys, clients::TableCallback callback) override {
    if (cut) return waiting.push_back(std::move(callback));
    service_.read(std::move(keys), observingEra(std::move(callback)));
  }
  void scan(std::string /*prefix*/, base::Revision /*after*/, std::size_t /*limit*/,
            clients::TableCallback /*callback*/) override {}
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    if (cut) return waiting.push_back(std::move(callback));
    service_.commit(std::move(transaction), observingEra(std::move(callback)));
  }
  /// Restores the connection; calls made while it was cut end without a reply.
  void restore() {
    cut = false;
    for (const auto& callback : std::exchange(waiting, {})) callback({});
  }
  bool cut = false;
  std::vector<clients::TableCallback> waiting;

 private:
  clients::TableCallback observingEra(clients::TableCallback callback) {
    return [this, callback = std::move(callback)](const clients::TableReply& reply) {
      eras_.note(base::eraOf(reply.revision), "the service");
      callback(reply);
    };
  }
  clients::TableClient& service_;
  config::StoreEras& eras_;
};

/// Index of the node to which each token was granted, over all nodes.
using HoldersByToken = std::map<base::FencingToken, std::size_t>;

LeaseOptions options() {
  LeaseOptions options;
  options.name = "weights";
  options.duration = seconds(3);
  options.margin = milliseconds(300);
  options.renewInterval = milliseconds(750);
  return options;
}

struct LeaseNode final : LeaseListener {
  LeaseNode(test_support::VirtualTime& time, clients::TableClient& service, std::size_t index,
            HoldersByToken& granted)
      : members(index),
        random(index + 1),
        eras(time, log),
        connection(service, eras),
        table(connection, eras),
        lease(options(), {time, time, random, log, table, members}, *this),
        index_(index),
        granted_(granted) {
    eras.onReturn([this](const config::StoreReturn&) { lease.onStoreReturned(); });
  }
  void onLeaseWritten(const LeaseAnnouncement& /*announcement*/) override {}
  void onLeaseAcquired(const LeaseGrant& grant) override {
    BOOST_TEST(!granted_.contains(grant.token));
    for (const auto& [token, holder] : granted_) BOOST_TEST(token < grant.token);
    granted_[grant.token] = index_;
  }
  void onLeaseLost() override {}
  bool holds() const { return lease.grant().has_value(); }

  AllMembers members;
  base::SeededRandom random;
  test_support::RecordingLog log;
  config::StoreEras eras;
  Connection connection;
  config::EraCheckedTable table;
  LeaseManager lease;

 private:
  std::size_t index_;
  HoldersByToken& granted_;
};

struct LeaseReturnFixture {
  LeaseReturnFixture() {
    time.advance(seconds(1));
    for (std::size_t index = 0; index < kNodes; ++index)
      nodes.push_back(std::make_unique<LeaseNode>(time, service, index, granted));
    for (auto& node : nodes) node->lease.start();
    run(seconds(2));
  }
  /// Advances the time and checks that there are never two holders.
  void run(base::Duration duration) {
    const auto end = time.now() + duration;
    while (time.now() < end) {
      time.advance(milliseconds(10));
      BOOST_REQUIRE(holders() <= 1);
    }
  }
  long holders() const {
    return std::ranges::count_if(nodes, [](const auto& node) { return node->holds(); });
  }
  LeaseNode& holder() const {
    const auto found = std::ranges::find_if(nodes, [](const auto& node) { return node->holds(); });
    BOOST_REQUIRE((found != nodes.end()));
    return **found;
  }
  /// Notifies all other nodes of the restore.
  void notifyAllExcept(const LeaseNode& cutOff) {
    for (auto& node : nodes) {
      if (node.get() != &cutOff) node->eras.note(1, "gossip");
    }
  }
  /// Advances the time until there is a holder, for at most 30 s, and returns how long that took.
  base::Duration timeWithoutHolder() {
    const auto since = time.now();
    while (holders() == 0 && time.now() < since + seconds(30)) run(milliseconds(10));
    return time.now() - since;
  }

  test_support::VirtualTime time;
  test_support::MemoryTableService service{time, time, "own"};
  HoldersByToken granted;
  std::vector<std::unique_ptr<LeaseNode>> nodes;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LeaseReturnTest, LeaseReturnFixture)

BOOST_AUTO_TEST_CASE(HolderReacquiresTheLeaseAtOnceWithAHigherToken) {
  auto& former = holder();
  const auto copy = service.copy();
  run(seconds(3));
  service.returnFrom(copy);
  run(seconds(2));
  BOOST_TEST(former.holds());
  BOOST_TEST(granted.size() == 2U);
}

// The backup was made before the lease changed hands: its row names the first holder, with the
// first token.
BOOST_AUTO_TEST_CASE(TokenLostByTheServiceIsNotIssuedAgain) {
  const auto copy = service.copy();
  auto& first = holder();
  first.connection.cut = true;
  run(seconds(6));
  auto& second = holder();
  BOOST_TEST(&second != &first);
  second.connection.cut = true;
  first.connection.restore();
  service.returnFrom(copy, 100);
  run(seconds(10));
  BOOST_TEST(granted.size() >= 3U);
  BOOST_TEST(holders() == 1);
}

// The second holder is cut off when the service is restored without its row: it may send orders
// until its lease expires by its own clock.
BOOST_AUTO_TEST_CASE(LeaseOfACutOffHolderExpiresBeforeItIsAcquired) {
  const auto empty = test_support::MemoryTableService::Copy{};
  auto& former = holder();
  former.connection.cut = true;
  service.returnFrom(empty, 100);
  notifyAllExcept(former);
  run(seconds(8));
  BOOST_TEST(holders() == 1);
  BOOST_TEST(!former.holds());
}

// The same if the backup shows the lease as released, which it was before the last holder acquired
// it.
BOOST_AUTO_TEST_CASE(BackupThatShowsTheLeaseAsReleasedIsNotTrusted) {
  auto& first = holder();
  bool released = false;
  first.lease.release([&released] { released = true; });
  time.advance(milliseconds(5));
  BOOST_TEST(released);
  const auto copy = service.copy();
  run(seconds(5));
  auto& second = holder();
  second.connection.cut = true;
  service.returnFrom(copy, 100);
  run(seconds(8));
  BOOST_TEST(holders() == 1);
  BOOST_TEST(!second.holds());
}

BOOST_AUTO_TEST_CASE(NextHolderExistsWithinTheDurationOfALease) {
  const auto copy = service.copy();
  run(seconds(2));
  auto& former = holder();
  former.connection.cut = true;
  service.returnFrom(copy);
  notifyAllExcept(former);
  BOOST_TEST((timeWithoutHolder() < seconds(3) + 3 * milliseconds(300) + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
