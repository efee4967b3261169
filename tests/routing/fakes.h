/// \file
/// Fakes for routing tests: manually advanced time, a scripted machine list and engines, and a
/// fixed membership.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "clients/engine_client.h"
#include "clients/machine_list_client.h"
#include "membership/member_directory.h"

namespace covewing::routing::testing {

/// Clock and timers that advance only when `advance` is called.
class ManualTime final : public base::Clock, public base::TimerService {
 public:
  base::TimePoint now() const override { return now_; }
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    const auto due = now_ + std::max(delay, base::Duration::zero());
    queue_.emplace(std::pair(due, ++lastId_), std::move(callback));
    return lastId_;
  }
  void cancel(base::TimerId timer) override {
    std::erase_if(queue_, [&](const auto& entry) { return entry.first.second == timer; });
  }
  /// Runs all timers that are due within `span`, in order.
  void advance(base::Duration span) {
    const auto end = now_ + span;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      now_ = queue_.begin()->first.first;
      auto callback = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      callback();
    }
    now_ = end;
  }

 private:
  base::TimePoint now_{std::chrono::seconds(1000)};
  base::TimerId lastId_ = 0;
  std::map<std::pair<base::TimePoint, base::TimerId>, std::function<void()>> queue_;
};

class FakeMachineList final : public clients::MachineListClient {
 public:
  explicit FakeMachineList(ManualTime& time) : time_(time) {}
  void fetch(clients::MachineListCallback callback) override {
    time_.schedule(std::chrono::milliseconds(5), [this, callback] { callback(machines); });
  }
  std::optional<std::vector<clients::Machine>> machines = std::vector<clients::Machine>{};

 private:
  ManualTime& time_;
};

/// Engines that reply to polls with the contents of `reports`; engines without an entry do not
/// respond.
class FakeEngines final : public clients::EngineClient {
 public:
  explicit FakeEngines(ManualTime& time) : time_(time) {}
  std::unique_ptr<clients::EngineStream> start(const clients::BackEndAddress& /*engine*/,
                                               clients::EngineRequest /*request*/,
                                               clients::EngineStreamHandler& /*h*/) override {
    return nullptr;
  }
  void poll(const clients::BackEndAddress& engine, std::uint64_t fromSequence,
            std::function<void(std::optional<clients::EngineReport>)> callback) override {
    ++polls;
    polledFrom[engine.name] = fromSequence;
    reply(reports, engine, std::move(callback));
  }
  void snapshot(const clients::BackEndAddress& engine,
                std::function<void(std::optional<clients::EngineReport>)> callback) override {
    ++snapshotRequests;
    reply(snapshots, engine, std::move(callback));
  }
  void order(const clients::BackEndAddress& /*engine*/, clients::EngineOrder /*order*/,
             std::function<void(clients::OrderReply)> callback) override {
    callback({});
  }

  std::map<std::string, clients::EngineReport> reports;
  std::map<std::string, clients::EngineReport> snapshots;
  std::map<std::string, std::uint64_t> polledFrom;
  std::uint64_t polls = 0;
  std::uint64_t snapshotRequests = 0;

 private:
  void reply(const std::map<std::string, clients::EngineReport>& source,
             const clients::BackEndAddress& engine,
             std::function<void(std::optional<clients::EngineReport>)> callback) {
    const auto found = source.find(engine.name);
    auto report = found == source.end() ? std::nullopt : std::optional(found->second);
    time_.schedule(std::chrono::milliseconds(1),
                   [callback = std::move(callback), report] { callback(report); });
  }

  ManualTime& time_;
};

inline membership::Member makeMember(const std::string& name, const std::string& zone) {
  membership::Member member;
  member.id = base::nodeIdOf(name);
  member.name = name;
  member.zone = zone;
  member.endpoint = {static_cast<std::uint32_t>(member.id.value), 1};
  return member;
}

class FakeMembers final : public membership::MemberDirectory {
 public:
  explicit FakeMembers(std::vector<membership::Member> members) : self_(members.front()) {
    set(std::move(members));
  }
  void set(std::vector<membership::Member> members) {
    members_ = std::move(members);
    std::sort(members_.begin(), members_.end(),
              [](const auto& left, const auto& right) { return left.id < right.id; });
    ++version_;
  }
  const membership::Member& self() const override { return self_; }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId id) const override {
    for (const auto& member : members_) {
      if (member.id == id) return &member;
    }
    return nullptr;
  }
  std::size_t lostMembers() const override { return lost; }
  std::size_t missingSeeds() const override { return missing; }
  std::uint64_t version() const override { return version_; }

  std::size_t lost = 0;
  std::size_t missing = 0;

 private:
  membership::Member self_;
  std::vector<membership::Member> members_;
  std::uint64_t version_ = 0;
};

/// Record store of one node; `deliver` simulates gossip from another node.
class FakeRecords final : public membership::RecordDissemination {
 public:
  void publish(membership::GossipRecord record) override {
    published.push_back(record);
    records_[record.key] = std::move(record);
  }
  std::optional<membership::GossipRecord> find(std::string_view key) const override {
    const auto found = records_.find(std::string(key));
    return found == records_.end() ? std::nullopt : std::optional(found->second);
  }
  void subscribe(std::string keyPrefix, Listener listener) override {
    for (const auto& [key, record] : records_) {
      if (key.starts_with(keyPrefix)) listener(record);
    }
    listeners_.emplace_back(std::move(keyPrefix), std::move(listener));
  }
  void deliver(const membership::GossipRecord& record) {
    records_[record.key] = record;
    for (const auto& [keyPrefix, listener] : listeners_) {
      if (record.key.starts_with(keyPrefix)) listener(record);
    }
  }
  std::vector<membership::GossipRecord> published;

 private:
  std::map<std::string, membership::GossipRecord> records_;
  std::vector<std::pair<std::string, Listener>> listeners_;
};

inline clients::Machine makeEngineMachine(const std::string& name, const std::string& zone) {
  clients::Machine machine;
  machine.name = name;
  machine.zone = zone;
  machine.endpoint = {0x7f000001, 9000};
  return machine;
}

inline clients::EngineReport makeReport(base::Incarnation incarnation,
                                        base::WeightsVersion version) {
  clients::EngineReport report;
  report.incarnation = incarnation;
  report.weights = {{"rules", version, {"judge"}}};
  report.firstSequence = 1;
  report.nextSequence = 1;
  return report;
}

}  // namespace covewing::routing::testing
