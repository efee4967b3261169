/// \file
/// Plays a load against one virtual replica under an order of service, and counts what callers get.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/virtual_replica.h"
#include "base/random.h"

namespace covewing::admission {

/// An order of service as the callers of one replica see it; by default the queue under test.
class ServiceOrder {
 public:
  virtual ~ServiceOrder() = default;
  virtual QueueOffer offer(const QueueEntry& entry, const ReplicaCapacity& room,
                           base::TimePoint now) {
    return queue_.offer(entry, room, true, now);
  }
  virtual std::optional<QueueEntry> next(const ReplicaCapacity& room, base::TimePoint now) {
    return queue_.next(room, now);
  }
  virtual std::vector<QueueRefusal> removeExpired(const ReplicaCapacity& room,
                                                  base::TimePoint now) {
    return queue_.removeExpired(room, now);
  }
  virtual std::size_t size() const { return queue_.size(); }

 private:
  AdmissionQueue queue_;
};

/// Orders without a decision: each request polls by itself and gives up after a part of its own
/// target, first come first served, or by urgency alone.
class PlainOrder : public ServiceOrder {
 public:
  enum class Kind : std::uint8_t { kPolling, kFirstCome, kUrgency };
  explicit PlainOrder(Kind kind) : kind_(kind) {}

  QueueOffer offer(const QueueEntry& entry, const ReplicaCapacity& /*room*/,
                   base::TimePoint now) override {
    waiting_.push_back({entry, now, now});
    return {QueueVerdict::kQueued, base::Duration::zero(), waiting_.size() - 1};
  }
  std::optional<QueueEntry> next(const ReplicaCapacity& room, base::TimePoint now) override {
    if (kind_ == Kind::kPolling) return poll(room, now);
    if (waiting_.empty()) return std::nullopt;
    auto head = waiting_.begin();
    if (kind_ == Kind::kUrgency) {
      head = std::min_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
        return a.entry.urgency < b.entry.urgency;
      });
    }
    return room.fits(head->entry, false) ? std::optional(take(head)) : std::nullopt;
  }
  std::vector<QueueRefusal> removeExpired(const ReplicaCapacity& /*room*/,
                                          base::TimePoint now) override {
    std::vector<QueueRefusal> refusals;
    std::erase_if(waiting_, [&](const One& one) {
      const base::Duration allowance = one.entry.softStartDeadline - one.since;
      const bool over = kind_ == Kind::kPolling ? now - one.since > allowance * 48 / 100
                                                : now > one.entry.hardStartDeadline;
      if (over) refusals.push_back({one.entry.id, std::chrono::milliseconds(300), {}, 0});
      return over;
    });
    return refusals;
  }
  std::size_t size() const override { return waiting_.size(); }

 private:
  struct One {
    QueueEntry entry;
    base::TimePoint since;
    base::TimePoint nextPoll;
  };
  QueueEntry take(std::vector<One>::iterator one) {
    const QueueEntry entry = one->entry;
    waiting_.erase(one);
    return entry;
  }
  std::optional<QueueEntry> poll(const ReplicaCapacity& room, base::TimePoint now) {
    for (auto one = waiting_.begin(); one != waiting_.end(); ++one) {
      if (one->nextPoll > now) continue;
      if (room.fits(one->entry, true)) return take(one);
      one->nextPoll = now + std::chrono::milliseconds(20 + random_.below(60));
    }
    return std::nullopt;
  }

  Kind kind_;
  std::vector<One> waiting_;
  base::SeededRandom random_{7};
};

/// Requests of one kind and tenant.
struct Stream {
  std::uint32_t urgency = 0;
  std::uint64_t tenant = 1;
  std::uint32_t tokens = 0;
  base::Duration run{};
  /// From the arrival to the latest start in time, and to the latest of use.
  base::Duration allowance{};
  base::Duration useful{};
  /// Requests a second at a time since the start.
  std::function<double(base::Duration)> rate;
};

/// What callers of one kind or tenant got.
struct Got {
  int asked = 0;
  /// Began in time when they first asked, or after they came back.
  int inTime = 0;
  int inTimeLater = 0;
  int late = 0;
  int refusals = 0;
  int refusedAgain = 0;

  Got& operator+=(const Got& other) {
    asked += other.asked;
    inTime += other.inTime;
    inTimeLater += other.inTimeLater;
    late += other.late;
    refusals += other.refusals;
    refusedAgain += other.refusedAgain;
    return *this;
  }
  double inTimeShare() const { return asked == 0 ? 1.0 : 1.0 * (inTime + inTimeLater) / asked; }
  double firstShare() const { return asked == 0 ? 1.0 : 1.0 * inTime / asked; }
  double servedShare() const {
    return asked == 0 ? 1.0 : 1.0 * (inTime + inTimeLater + late) / asked;
  }
};

class LoadPlay {
 public:
  LoadPlay(std::unique_ptr<ServiceOrder> order, std::vector<Stream> streams, std::uint64_t seed)
      : order_(std::move(order)), streams_(std::move(streams)), random_(seed) {}

  /// Called at each step, before anything else.
  std::function<void(base::Duration, VirtualReplica&, std::size_t queued)> onStep;

  void run(base::Duration length) {
    for (base::Duration at{}; at < length; at += kStep) {
      now_ = kStart + at;
      replica_.endRuns(now_);
      if (onStep) onStep(at, replica_, order_->size());
      grantAll();
      comeBack();
      arrive(at);
      grantAll();
      if (at.count() % (10 * kStep.count()) != 0) continue;
      for (const QueueRefusal& each : order_->removeExpired(replica_, now_)) {
        refused(each.id, each.retryAfter);
      }
    }
  }
  const Got& ofUrgency(std::uint32_t urgency) { return byUrgency_[urgency]; }
  const Got& ofTenant(std::uint64_t tenant) { return byTenant_[tenant]; }
  /// Most requests that came back within a tenth of a second.
  int mostTogether() const {
    int most = 0;
    for (const auto& [at, count] : returnsAt_) most = std::max(most, count);
    return most;
  }

 private:
  static constexpr base::Duration kStep = std::chrono::milliseconds(5);
  static constexpr base::TimePoint kStart{std::chrono::seconds(100)};

  struct Caller {
    QueueEntry entry;
    const Stream* stream = nullptr;
    base::TimePoint first;
    int refusals = 0;
  };

  template <typename Count>
  void count(const Caller& caller, Count add) {
    add(byUrgency_[caller.entry.urgency]);
    add(byTenant_[caller.entry.tenant]);
  }
  void arrive(base::Duration at) {
    for (const Stream& stream : streams_) {
      double expected = stream.rate(at) * base::toSeconds(kStep);
      for (; expected > 0 && static_cast<double>(random_.below(1000000)) < expected * 1e6;
           expected -= 1.0) {
        const std::uint64_t id = ++lastId_;
        Caller& caller = callers_[id];
        caller = {{id, stream.urgency, stream.tenant, now_, {}, {}, {stream.tokens, 0, stream.run}},
                  &stream,
                  now_,
                  0};
        count(caller, [](Got& got) { ++got.asked; });
        ask(caller);
      }
    }
  }
  void ask(Caller& caller) {
    caller.entry.softStartDeadline = now_ + caller.stream->allowance;
    caller.entry.hardStartDeadline = caller.first + caller.stream->useful;
    const QueueOffer offer = order_->offer(caller.entry, replica_, now_);
    if (offer.verdict == QueueVerdict::kGranted) start(caller);
    if (offer.verdict == QueueVerdict::kRefused) refused(caller.entry.id, offer.wait);
  }
  void grantAll() {
    while (const std::optional<QueueEntry> entry = order_->next(replica_, now_)) {
      start(callers_.at(entry->id));
    }
  }
  void start(const Caller& caller) {
    replica_.start(caller.entry, now_);
    const bool inTime = now_ <= caller.entry.softStartDeadline;
    count(caller, [&](Got& got) {
      ++(!inTime ? got.late : caller.refusals == 0 ? got.inTime : got.inTimeLater);
    });
    callers_.erase(caller.entry.id);
  }
  void refused(std::uint64_t id, base::Duration retryAfter) {
    Caller& caller = callers_.at(id);
    ++caller.refusals;
    count(caller, [&](Got& got) {
      ++got.refusals;
      if (caller.refusals > 1) ++got.refusedAgain;
    });
    const base::TimePoint back = now_ + retryAfter;
    if (back < caller.first + caller.stream->useful) {
      returns_.emplace(back, id);
      ++returnsAt_[back.time_since_epoch().count() / 100000];
    } else {
      callers_.erase(id);
    }
  }
  void comeBack() {
    while (!returns_.empty() && returns_.begin()->first <= now_) {
      const std::uint64_t id = returns_.begin()->second;
      returns_.erase(returns_.begin());
      ask(callers_.at(id));
    }
  }

  std::unique_ptr<ServiceOrder> order_;
  std::vector<Stream> streams_;
  VirtualReplica replica_;
  base::TimePoint now_;
  base::SeededRandom random_;
  std::uint64_t lastId_ = 0;
  std::map<std::uint64_t, Caller> callers_;
  std::multimap<base::TimePoint, std::uint64_t> returns_;
  std::map<std::int64_t, int> returnsAt_;
  std::map<std::uint32_t, Got> byUrgency_;
  std::map<std::uint64_t, Got> byTenant_;
};

}  // namespace covewing::admission
