/// \file
/// Virtual time and a seeded network for tests of code that runs on many nodes: delay, loss,
/// partitions, paused and stopped processes, and a count of the bytes that each node sends and
/// receives.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"

namespace covewing::test {

/// One event queue for all nodes.
class VirtualTime {
 public:
  base::TimePoint now() const { return now_; }

  std::uint64_t after(base::Duration delay, std::function<void()> action) {
    const std::uint64_t id = ++scheduled_;
    const base::TimePoint time = now_ + std::max(delay, base::Duration{0});
    queue_.emplace(std::pair{time, id}, std::move(action));
    times_.emplace(id, time);
    return id;
  }

  void cancel(std::uint64_t id) {
    const auto found = times_.find(id);
    if (found == times_.end()) return;
    queue_.erase({found->second, id});
    times_.erase(found);
  }

  void runFor(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto node = queue_.extract(queue_.begin());
      now_ = node.key().first;
      times_.erase(node.key().second);
      node.mapped()();
    }
    now_ = end;
  }

  /// Runs until `condition` holds, checked every 10 ms; the time it took, or `bound` if it did not.
  template <class Condition>
  base::Duration runUntil(const Condition& condition, base::Duration bound) {
    const base::TimePoint begin = now_;
    while (!condition() && now_ - begin < bound) runFor(std::chrono::milliseconds(10));
    return now_ - begin;
  }

 private:
  base::TimePoint now_{};
  std::uint64_t scheduled_ = 0;
  std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>> queue_;
  std::map<std::uint64_t, base::TimePoint> times_;
};

class VirtualNetwork;

/// One process: its clock, timers and transport. While paused, timers and messages wait.
class VirtualProcess final : public base::Clock,
                             public base::TimerService,
                             public base::PeerTransport {
 public:
  VirtualProcess(VirtualTime& time, VirtualNetwork& network, base::PeerIdentity ownIdentity,
                 std::uint64_t seed)
      : identity(ownIdentity), random(seed), time_(time), network_(network) {}

  base::TimePoint now() const override { return time_.now(); }

  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    return time_.after(delay, [this, alive = std::weak_ptr<bool>(alive_),
                               callback = std::move(callback)]() mutable {
      if (!alive.expired()) run(std::move(callback));
    });
  }
  void cancel(base::TimerId timer) override { time_.cancel(timer); }
  void send(const base::Endpoint& destination, base::Channel channel, std::string payload) override;

  /// Runs the action now, or when the pause ends.
  void run(std::function<void()> action) {
    if (paused_) {
      waiting_.push_back(std::move(action));
    } else {
      action();
    }
  }
  void pause() { paused_ = true; }
  void resume() {
    paused_ = false;
    for (auto& action : std::exchange(waiting_, {})) action();
  }
  /// Forgets all timers and messages, as a killed process does.
  void stop() {
    alive_ = std::make_shared<bool>(true);
    waiting_.clear();
    handlers.clear();
  }

  base::PeerIdentity identity;
  base::SeededRandom random;
  std::map<base::Channel, base::PeerHandler*> handlers;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t messagesSent = 0;

 private:
  VirtualTime& time_;
  VirtualNetwork& network_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool paused_ = false;
  std::vector<std::function<void()>> waiting_;
};

class VirtualNetwork {
 public:
  /// Headers of IP, UDP and the frame (sender, incarnation, channel, version), counted on each
  /// message.
  static constexpr std::uint64_t kMessageOverhead = 52;

  VirtualNetwork(VirtualTime& time, std::uint64_t seed) : time_(time), random_(seed) {}

  VirtualProcess& add(const std::string& name, base::Endpoint endpoint,
                      base::Incarnation incarnation = 1) {
    const base::PeerIdentity identity{base::nodeIdOf(name), incarnation, endpoint};
    auto process = std::make_unique<VirtualProcess>(time_, *this, identity, random_.next());
    VirtualProcess& added = *process;
    if (const auto found = processes_.find(endpoint); found != processes_.end()) {
      found->second->stop();
      retired_.push_back(std::move(found->second));
    }
    processes_[endpoint] = std::move(process);
    return added;
  }

  void deliver(VirtualProcess& sender, const base::Endpoint& destination, base::Channel channel,
               std::string payload) {
    const std::uint64_t bytes = payload.size() + kMessageOverhead;
    sender.bytesSent += bytes;
    ++sender.messagesSent;
    if (random_.unit() < loss || separated(sender.identity.endpoint, destination)) return;
    const base::Duration delay = random_.jittered(meanDelay, 0.5);
    time_.after(delay, [this, identity = sender.identity, destination, channel, bytes,
                        payload = std::move(payload)] {
      const auto found = processes_.find(destination);
      if (found == processes_.end() || separated(identity.endpoint, destination)) return;
      VirtualProcess& receiver = *found->second;
      receiver.bytesReceived += bytes;
      receiver.run([&receiver, identity, channel, payload] {
        const auto handler = receiver.handlers.find(channel);
        if (handler != receiver.handlers.end()) handler->second->onPeerMessage(identity, payload);
      });
    });
  }

  /// Messages between endpoints of the two groups are lost, until `heal`.
  void separate(std::set<base::Endpoint> group) { separatedGroup_ = std::move(group); }
  void heal() { separatedGroup_.clear(); }

  double loss = 0;
  base::Duration meanDelay = std::chrono::milliseconds(1);

 private:
  bool separated(const base::Endpoint& left, const base::Endpoint& right) const {
    return separatedGroup_.contains(left) != separatedGroup_.contains(right);
  }

  VirtualTime& time_;
  base::SeededRandom random_;
  std::map<base::Endpoint, std::unique_ptr<VirtualProcess>> processes_;
  std::vector<std::unique_ptr<VirtualProcess>> retired_;
  std::set<base::Endpoint> separatedGroup_;
};

inline void VirtualProcess::send(const base::Endpoint& destination, base::Channel channel,
                                 std::string payload) {
  network_.deliver(*this, destination, channel, std::move(payload));
}

}  // namespace covewing::test
