/// \file
/// Tenant quotas of many nodes on one virtual clock, with network partitions, restarts of nodes,
/// and a history of what was granted.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "admission/fake_cluster.h"
#include "admission/tenant_home.h"
#include "admission/tenant_quotas.h"

namespace covewing::admission {

class QuotaFleet {
 public:
  /// A granted request.
  struct Granted {
    base::TimePoint at;
    std::uint32_t tokens = 0;
  };
  struct AcquireResult {
    bool decided = false;
    QuotaVerdict verdict;
    base::TimePoint at;

    bool granted() const { return decided && verdict.outcome == QuotaOutcome::kGranted; }
  };
  using AcquireResultPtr = std::shared_ptr<AcquireResult>;

  static constexpr base::Duration kDelay = std::chrono::milliseconds(1);

  QuotaFleet(std::size_t count, QuotaOptions options) : options_(options), knownNodes_(count) {
    for (std::size_t index = 0; index < count; ++index) {
      membership::Member member;
      member.name = "node-" + std::to_string(index);
      member.id = base::nodeIdOf(member.name);
      member.endpoint = {0x0a000001U + static_cast<std::uint32_t>(index), 7400};
      member.incarnation = 1;
      nodes_.push_back(std::make_unique<Node>(*this, index, std::move(member)));
    }
    refreshViews();
    for (auto& node : nodes_) node->start();
  }

  FakeTime& time() { return time_; }
  std::size_t size() const { return nodes_.size(); }
  TenantQuotas& quotas(std::size_t node) { return *nodes_[node]->quotas; }
  const std::vector<Granted>& history() const { return history_; }
  std::size_t messages() const { return messages_; }

  AcquireResultPtr acquire(std::size_t node, const QuotaDemand& demand) {
    auto result = std::make_shared<AcquireResult>();
    if (!nodes_[node]->up) return result;
    auto& quotas = *nodes_[node]->quotas;
    quotas.acquire(quotas.newWaitId(), demand,
                   [this, result, tokens = demand.tokens](const QuotaVerdict& verdict) {
                     *result = {true, verdict, time_.now()};
                     if (result->granted()) history_.push_back({time_.now(), tokens});
                   });
    return result;
  }

  /// Nodes of different groups do not reach each other. Call `refreshViews` to update the views.
  void setGroup(std::size_t node, std::size_t group) { nodes_[node]->group = group; }
  void kill(std::size_t node) {
    nodes_[node]->up = false;
    nodes_[node]->quotas.reset();
  }
  void restart(std::size_t node) {
    nodes_[node]->up = true;
    ++nodes_[node]->member.incarnation;
    nodes_[node]->start();
  }
  /// A frozen node neither sends nor receives; messages to it are lost.
  void freeze(std::size_t node, bool frozen) { nodes_[node]->frozen = frozen; }
  /// Each node sees the running nodes of its own group.
  void refreshViews() {
    for (auto& node : nodes_) {
      std::vector<membership::Member> seen;
      for (const auto& other : nodes_) {
        if (other->up && other->group == node->group) seen.push_back(other->member);
      }
      node->directory.set(node->member, std::move(seen));
    }
  }
  /// Each node suspects this share of the nodes of other groups that it still sees.
  void suspectUnreachable(double share) {
    for (auto& node : nodes_) {
      auto seen = node->directory.liveMembers();
      const auto left = static_cast<std::size_t>(share * static_cast<double>(seen.size()));
      for (std::size_t place = 0; place < seen.size(); ++place) {
        const auto& other = *std::ranges::find(nodes_, seen[place].id,
                                               [](const auto& each) { return each->member.id; });
        const bool suspected = other->group != node->group && place < left;
        seen[place].state =
            suspected ? membership::MemberState::kSuspect : membership::MemberState::kAlive;
      }
      node->directory.set(node->member, std::move(seen));
    }
  }
  /// Each node sees only itself, as immediately after its start.
  void isolateViews() {
    for (auto& node : nodes_) node->directory.set(node->member, {node->member});
  }
  void setKnownNodes(std::size_t count) { knownNodes_ = count; }
  std::size_t homeOf(base::TenantId tenant) const {
    const auto& home = tenantHome(tenant, nodes_.front()->directory);
    for (const auto& node : nodes_) {
      if (node->member.id == home.id) return node->index;
    }
    return 0;
  }

  /// Maximum number of tokens granted within any period of this length.
  double maximumInWindow(base::Duration span) const {
    double worst = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const Granted& granted : history_) {
      sum += granted.tokens;
      while (granted.at - history_[first].at > span) sum -= history_[first++].tokens;
      worst = std::max(worst, sum);
    }
    return worst;
  }

 private:
  struct Node final : base::PeerTransport {
    Node(QuotaFleet& owner, std::size_t number, membership::Member self)
        : fleet(owner), index(number), member(std::move(self)), random(number + 1) {}

    void start() {
      quotas = std::make_unique<TenantQuotas>(
          fleet.options_, QuotaEnvironment{fleet.time_, fleet.time_, random, directory, *this,
                                           [this] { return fleet.knownNodes_; }});
    }
    void send(const base::Endpoint& destination, base::Channel /*channel*/,
              std::string payload) override {
      fleet.deliver(*this, destination, std::move(payload));
    }

    QuotaFleet& fleet;
    std::size_t index;
    membership::Member member;
    base::SeededRandom random;
    FakeDirectory directory;
    std::unique_ptr<TenantQuotas> quotas;
    bool up = true;
    bool frozen = false;
    std::size_t group = 0;
  };

  static bool reaches(const Node& from, const Node& to) {
    return from.up && to.up && !from.frozen && !to.frozen && from.group == to.group;
  }

  void deliver(Node& from, const base::Endpoint& destination, std::string payload) {
    ++messages_;
    const auto target = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node->member.endpoint == destination;
    });
    if (target == nodes_.end() || !reaches(from, **target)) return;
    const base::PeerIdentity sender{from.member.id, from.member.incarnation, from.member.endpoint};
    time_.schedule(kDelay, [to = target->get(), sender, payload = std::move(payload)] {
      if (to->up && !to->frozen) to->quotas->onPeerMessage(sender, payload);
    });
  }

  QuotaOptions options_;
  FakeTime time_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Granted> history_;
  std::size_t knownNodes_;
  std::size_t messages_ = 0;
};

}  // namespace covewing::admission
