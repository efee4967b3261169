// A fleet of nodes that share the feed of a table service, with fakes of the service and of the
// wire.
#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/shared_feed.h"
#include "config/table_watch.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::config::feed_fleet {

using clients::FeedReply;
using clients::FeedRow;
using clients::FeedStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr base::Duration kDelay = milliseconds(1);

/// The timers of one node, and what arrives there: both come late while it stands still, in any
/// order.
class NodeTimers final : public base::TimerService {
 public:
  NodeTimers(test_support::VirtualTime& time, std::uint64_t seed) : time_(time), random_(seed) {}

  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    const auto id = ++last_;
    start(id, delay, std::move(callback));
    return id;
  }
  void cancel(base::TimerId timer) override {
    const auto found = running_.find(timer);
    if (found == running_.end()) return;
    time_.cancel(found->second);
    running_.erase(found);
  }
  void standStill(base::Duration span) { wakesAt_ = std::max(wakesAt_, time_.now() + span); }

 private:
  void start(base::TimerId id, base::Duration delay, std::function<void()> callback) {
    running_[id] = time_.schedule(delay, [this, id, callback = std::move(callback)] {
      if (time_.now() < wakesAt_) {
        constexpr std::uint64_t kOrder = 100;
        const base::Duration order{static_cast<base::Duration::rep>(random_.below(kOrder))};
        start(id, wakesAt_ - time_.now() + order, callback);
        return;
      }
      running_.erase(id);
      callback();
    });
  }

  test_support::VirtualTime& time_;
  base::SeededRandom random_;
  base::TimePoint wakesAt_{};
  base::TimerId last_ = 0;
  std::map<base::TimerId, base::TimerId> running_;
};

/// The table service with one table, and the calls that it holds. It knows nothing of eras but the
/// number of its own.
class FakeService {
 public:
  /// What the service held at one moment.
  struct Copy {
    std::map<std::string, FeedRow> rows;
    base::Revision number = 0;
  };

  explicit FakeService(test_support::VirtualTime& time) : time_(time) {}

  void put(const std::string& key, const std::string& value) {
    rows_[key] = {key, value, ++number_};
    committedAt[value] = time_.now();
    answerHeld();
  }
  void remove(const std::string& key) {
    rows_[key] = {key, std::nullopt, ++number_};
    answerHeld();
  }
  Copy copy() const { return {rows_, number_}; }
  /// Comes back from a copy; its counter goes on from there, `ahead` further.
  void returnFrom(const Copy& copy, base::Revision ahead = 0) {
    rows_ = copy.rows;
    number_ = copy.number + ahead;
    ++era_;
    answerHeld();
  }
  base::StoreEra era() const { return era_; }

  void ask(base::Revision after, base::Duration wait, bool whole,
           const clients::FeedCallback& callback) {
    ++calls;
    auto call = std::make_shared<Call>(Call{after, whole, callback, false});
    const bool news = whole || base::numberOf(after) > number_ || changedAfter(after);
    if (!news) held_.push_back(call);
    time_.schedule(news ? base::Duration::zero() : wait, [this, call] { answer(call); });
  }

  int calls = 0;
  /// The lead of the clock that answers name.
  base::Duration clockLead = seconds(500);
  /// When each value was committed.
  std::map<std::string, base::TimePoint> committedAt;

 private:
  struct Call {
    base::Revision after = 0;
    bool whole = false;
    clients::FeedCallback callback;
    bool answered = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  bool changedAfter(base::Revision after) const {
    return std::ranges::any_of(rows_, [after](const auto& entry) {
      return entry.second.revision > base::numberOf(after);
    });
  }
  void answerHeld() {
    const auto held = std::exchange(held_, {});
    for (const auto& call : held) answer(call);
  }
  void answer(const CallPtr& call) {
    if (std::exchange(call->answered, true)) return;
    FeedReply reply;
    const auto after = base::numberOf(call->after);
    const bool gone = !call->whole && after > number_;
    reply.status = gone ? FeedStatus::kHistoryGone : FeedStatus::kOk;
    reply.revision = base::revisionAt(era_, number_);
    reply.serviceTime = time_.now().time_since_epoch() + clockLead;
    for (const auto& [key, row] : rows_) {
      const bool told = call->whole ? row.value.has_value() : row.revision > after;
      if (!told || gone) continue;
      reply.rows.push_back(row);
      reply.rows.back().revision = base::revisionAt(era_, row.revision);
    }
    time_.schedule(kDelay, [call, reply] { call->callback(reply); });
  }

  test_support::VirtualTime& time_;
  /// Their revisions are bare numbers.
  std::map<std::string, FeedRow> rows_;
  base::Revision number_ = 1;
  base::StoreEra era_ = 0;
  std::vector<CallPtr> held_;
};

/// The service as one node reaches it.
class ServiceClient final : public clients::TableFeedClient {
 public:
  ServiceClient(FakeService& service, NodeTimers& timers, StoreEras& eras)
      : service_(service), timers_(timers), eras_(eras) {}
  void readAll(std::string /*table*/, clients::FeedCallback callback) override {
    call(0, {}, true, std::move(callback));
  }
  void changes(std::string /*table*/, base::Revision after, base::Duration wait,
               clients::FeedCallback callback) override {
    call(after, wait, false, std::move(callback));
  }

  bool refused = false;
  /// So many calls more are refused.
  int refuseNext = 0;
  int calls = 0;
  int wholeReads = 0;
  /// How long answers are under way beyond the service's own delay.
  std::function<base::Duration()> delay = [] { return base::Duration::zero(); };

 private:
  void call(base::Revision after, base::Duration wait, bool whole, clients::FeedCallback callback) {
    ++calls;
    if (whole) ++wholeReads;
    const bool refusedNow = refused || refuseNext > 0;
    refuseNext -= refuseNext > 0 ? 1 : 0;
    if (refusedNow) {
      timers_.schedule(kDelay, [callback] { callback({}); });
      return;
    }
    service_.ask(after, wait, whole, [this, callback](const FeedReply& reply) {
      timers_.schedule(delay(), [this, callback, reply] {
        eras_.note(base::eraOf(reply.revision), "the service");
        callback(reply);
      });
    });
  }

  FakeService& service_;
  NodeTimers& timers_;
  StoreEras& eras_;
};

class Directory final : public membership::MemberDirectory {
 public:
  Directory(const std::vector<membership::Member>& members, std::size_t self)
      : members_(members), self_(self) {}
  const membership::Member& self() const override { return members_[self_]; }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
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
  NodeTimers timers;
  test_support::RecordingLog log;
  StoreEras eras;
  ServiceClient service;
  Wire wire;
  base::SeededRandom random;
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
  /// How long a message between nodes is under way; empty: it is lost.
  std::function<std::optional<base::Duration>()> messageDelay = [] { return kDelay; };
  std::vector<membership::Member> members;
  std::vector<std::unique_ptr<FleetNode>> nodes;
};

inline void Wire::send(const base::Endpoint& destination, base::Channel channel,
                       std::string payload) {
  if (fleet_.nodes[from_]->silent || fleet_.nodes[destination.address]->silent) return;
  BOOST_TEST((channel == base::Channel::kTableFeed));
  const auto delay = fleet_.messageDelay();
  if (!delay) return;
  auto& receiver = *fleet_.nodes[destination.address];
  receiver.timers.schedule(*delay, [this, &receiver, payload = std::move(payload)] {
    const auto& sender = fleet_.members[from_];
    receiver.feed.onPeerMessage({sender.id, 1, sender.endpoint}, payload);
  });
}

inline FleetNode::FleetNode(Fleet& fleet, std::size_t index)
    : directory(fleet.members, index),
      timers(fleet.time, index + 1),
      eras(fleet.time, log),
      service(fleet.service, timers, eras),
      wire(fleet, index),
      random(index + 1),
      feed({}, {fleet.time, timers, random, log, wire, directory, service, eras}),
      watch({"t"}, fleet.time, timers, random, feed, listener) {
  eras.onReturn([this](const StoreReturn&) { watch.onStoreReturned(); });
}

}  // namespace covewing::config::feed_fleet
