/// \file
/// Admission services of several nodes on one virtual clock, connected by a simulated network.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_service.h"

namespace covewing::admission {

/// Clock and timers shared by all nodes.
class FakeTime final : public base::Clock, public base::TimerService {
 public:
  base::TimePoint now() const override { return now_; }
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    const base::TimerId id = nextId_++;
    timers_.emplace(std::pair{now_ + std::max(delay, base::Duration::zero()), id},
                    std::move(callback));
    return id;
  }
  void cancel(base::TimerId timer) override {
    std::erase_if(timers_, [timer](const auto& entry) { return entry.first.second == timer; });
  }
  void advance(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    while (!timers_.empty() && timers_.begin()->first.first <= end) {
      auto entry = timers_.extract(timers_.begin());
      now_ = std::max(now_, entry.key().first);
      entry.mapped()();
    }
    now_ = end;
  }
  /// Advances the clock without running timers, as if the machine were suspended.
  void pause(base::Duration duration) { now_ += duration; }

 private:
  base::TimePoint now_{std::chrono::seconds(100)};
  base::TimerId nextId_ = 1;
  std::map<std::pair<base::TimePoint, base::TimerId>, std::function<void()>> timers_;
};

class FakeDirectory final : public membership::MemberDirectory {
 public:
  const membership::Member& self() const override { return self_; }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId id) const override {
    const auto found = std::find_if(members_.begin(), members_.end(),
                                    [id](const auto& member) { return member.id == id; });
    return found == members_.end() ? nullptr : &*found;
  }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return version_; }

  void set(membership::Member self, std::vector<membership::Member> members) {
    self_ = std::move(self);
    members_ = std::move(members);
    ++version_;
  }

 private:
  membership::Member self_;
  std::vector<membership::Member> members_;
  std::uint64_t version_ = 0;
};

/// Admission services of several nodes; a message between them takes one millisecond.
class FakeCluster {
 public:
  explicit FakeCluster(std::size_t nodes, AdmissionOptions options = {}) : options_(options) {
    std::vector<membership::Member> members;
    for (std::size_t index = 0; index < nodes; ++index) {
      membership::Member member;
      member.name = "node-" + std::to_string(index);
      member.id = base::nodeIdOf(member.name);
      member.endpoint.address = 0x0a000001U + static_cast<std::uint32_t>(index);
      member.endpoint.port = 7400;
      member.incarnation = 1;
      members.push_back(std::move(member));
    }
    for (std::size_t index = 0; index < nodes; ++index) {
      nodes_.push_back(std::make_unique<FakeNode>(*this, index, members));
    }
  }

  FakeTime& time() { return time_; }
  AdmissionService& service(std::size_t node) { return *nodes_[node]->service; }
  /// Partitions a node from all others, or ends its partition. Membership views do not change.
  void setPartitioned(std::size_t node, bool partitioned) {
    partitioned ? (void)partitioned_.insert(node) : (void)partitioned_.erase(node);
  }
  std::size_t messages() const { return messages_; }
  std::size_t bytes() const { return bytes_; }

 private:
  struct FakeNode final : base::PeerTransport {
    FakeNode(FakeCluster& owner, std::size_t number, const std::vector<membership::Member>& members)
        : cluster(owner), index(number), random(number + 1) {
      directory.set(members[number], members);
      service = makeAdmissionController(cluster.options_, cluster.time_, cluster.time_, random, log,
                                        directory, *this);
    }
    void send(const base::Endpoint& destination, base::Channel /*channel*/,
              std::string payload) override {
      cluster.deliver(index, destination, std::move(payload));
    }

    FakeCluster& cluster;
    std::size_t index;
    base::SeededRandom random;
    base::NullEventLog log;
    FakeDirectory directory;
    std::unique_ptr<AdmissionService> service;
  };

  void deliver(std::size_t from, const base::Endpoint& destination, std::string payload) {
    ++messages_;
    bytes_ += payload.size();
    const auto target = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node->directory.self().endpoint == destination;
    });
    if (target == nodes_.end()) return;
    const std::size_t to = (*target)->index;
    if (partitioned_.contains(from) || partitioned_.contains(to)) return;
    time_.schedule(std::chrono::milliseconds(1), [this, from, to, payload = std::move(payload)] {
      const membership::Member& sender = nodes_[from]->directory.self();
      nodes_[to]->service->onPeerMessage({sender.id, sender.incarnation, sender.endpoint}, payload);
    });
  }

  AdmissionOptions options_;
  FakeTime time_;
  std::vector<std::unique_ptr<FakeNode>> nodes_;
  std::set<std::size_t> partitioned_;
  std::size_t messages_ = 0;
  std::size_t bytes_ = 0;
};

/// A request and the decision on it.
struct Call {
  std::unique_ptr<AdmissionTicket> ticket;
  std::shared_ptr<std::vector<AdmissionVerdict>> verdicts =
      std::make_shared<std::vector<AdmissionVerdict>>();

  bool answered() const { return !verdicts->empty(); }
  bool admitted() const { return answered() && verdicts->front().admitted; }
  base::ResultCode code() const { return verdicts->front().reason.code; }
};

inline Call call(AdmissionService& service, const config::TenantTemplatePtr& tenant,
                 base::PriorityClass priority = base::PriorityClass::kStandard,
                 std::uint32_t promptTokens = 100) {
  Call made;
  AdmissionRequest request;
  request.tenant = tenant;
  request.priority = priority;
  request.promptTokens = promptTokens;
  made.ticket =
      service.admit(std::move(request), [verdicts = made.verdicts](AdmissionVerdict verdict) {
        verdicts->push_back(std::move(verdict));
      });
  return made;
}

inline std::shared_ptr<config::TenantTemplate> tenantNamed(const std::string& name) {
  auto tenant = std::make_shared<config::TenantTemplate>();
  tenant->name = name;
  tenant->id = base::tenantIdOf(name);
  tenant->revision = 1;
  tenant->deadline = std::chrono::seconds(10);
  tenant->holdTime = std::chrono::seconds(1);
  return tenant;
}

}  // namespace covewing::admission
