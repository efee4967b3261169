/// \file
/// Simulates a load on one virtual replica with a given scheduler, and counts the results for
/// callers.
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

/// The scheduler of one replica as seen by its callers; by default the queue under test.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  virtual OfferResult offer(const QueueEntry& entry, const ReplicaCapacity& capacity,
                            base::TimePoint now) {
    return queue_.offer(entry, capacity, true, now);
  }
  virtual std::optional<QueueEntry> next(const ReplicaCapacity& capacity, base::TimePoint now) {
    return queue_.next(capacity, now);
  }
  virtual std::vector<QueueRefusal> removeExpired(const ReplicaCapacity& capacity,
                                                  base::TimePoint now) {
    return queue_.removeExpired(capacity, now);
  }
  virtual std::size_t size() const { return queue_.size(); }

 private:
  AdmissionQueue queue_;
};

/// Schedulers for comparison. Polling: each request polls on its own and is abandoned after a part
/// of its own target. Others: first come, first served; by urgency alone.
class BaselineScheduler : public Scheduler {
 public:
  enum class Kind : std::uint8_t { kPolling, kFifo, kUrgency };
  explicit BaselineScheduler(Kind kind) : kind_(kind) {}

  OfferResult offer(const QueueEntry& entry, const ReplicaCapacity& /*capacity*/,
                    base::TimePoint now) override {
    waiting_.push_back({entry, now, now});
    return {QueueVerdict::kQueued, base::Duration::zero(), waiting_.size() - 1};
  }
  std::optional<QueueEntry> next(const ReplicaCapacity& capacity, base::TimePoint now) override {
    if (kind_ == Kind::kPolling) return poll(capacity, now);
    if (waiting_.empty()) return std::nullopt;
    auto head = waiting_.begin();
    if (kind_ == Kind::kUrgency) {
      head = std::min_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
        return a.entry.urgency < b.entry.urgency;
      });
    }
    return capacity.fits(head->entry, false) ? std::optional(take(head)) : std::nullopt;
  }
  std::vector<QueueRefusal> removeExpired(const ReplicaCapacity& /*capacity*/,
                                          base::TimePoint now) override {
    std::vector<QueueRefusal> refusals;
    std::erase_if(waiting_, [&](const Entry& one) {
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
  struct Entry {
    QueueEntry entry;
    base::TimePoint since;
    base::TimePoint nextPoll;
  };
  QueueEntry take(std::vector<Entry>::iterator one) {
    const QueueEntry entry = one->entry;
    waiting_.erase(one);
    return entry;
  }
  std::optional<QueueEntry> poll(const ReplicaCapacity& capacity, base::TimePoint now) {
    for (auto one = waiting_.begin(); one != waiting_.end(); ++one) {
      if (one->nextPoll > now) continue;
      if (capacity.fits(one->entry, true)) return take(one);
      one->nextPoll = now + std::chrono::milliseconds(20 + random_.below(60));
    }
    return std::nullopt;
  }

  Kind kind_;
  std::vector<Entry> waiting_;
  base::SeededRandom random_{7};
};

/// Requests of one urgency level and tenant.
struct Stream {
  std::uint32_t urgency = 0;
  std::uint64_t tenant = 1;
  std::uint32_t tokens = 0;
  base::Duration run{};
  /// Time from the arrival to the soft deadline, and to the hard deadline.
  base::Duration allowance{};
  base::Duration useful{};
  /// Requests per second as a function of the time since the start.
  std::function<double(base::Duration)> rate;
};

/// Results for the callers of one urgency level or tenant.
struct CallerStatistics {
  int requests = 0;
  /// Requests that started on time at their first attempt, and after a retry.
  int onTime = 0;
  int onTimeAfterRetry = 0;
  int late = 0;
  int refusals = 0;
  int repeatedRefusals = 0;

  CallerStatistics& operator+=(const CallerStatistics& other) {
    requests += other.requests;
    onTime += other.onTime;
    onTimeAfterRetry += other.onTimeAfterRetry;
    late += other.late;
    refusals += other.refusals;
    repeatedRefusals += other.repeatedRefusals;
    return *this;
  }
  double onTimeShare() const {
    return requests == 0 ? 1.0 : 1.0 * (onTime + onTimeAfterRetry) / requests;
  }
  double firstAttemptShare() const { return requests == 0 ? 1.0 : 1.0 * onTime / requests; }
  double servedShare() const {
    return requests == 0 ? 1.0 : 1.0 * (onTime + onTimeAfterRetry + late) / requests;
  }
};

class LoadSimulation {
 public:
  LoadSimulation(std::unique_ptr<Scheduler> scheduler, std::vector<Stream> streams,
                 std::uint64_t seed)
      : scheduler_(std::move(scheduler)), streams_(std::move(streams)), random_(seed) {}

  /// Called at the beginning of each step.
  std::function<void(base::Duration, VirtualReplica&, std::size_t queued)> onStep;

  void run(base::Duration length) {
    for (base::Duration at{}; at < length; at += kStep) {
      now_ = kStart + at;
      replica_.endRuns(now_);
      if (onStep) onStep(at, replica_, scheduler_->size());
      grantAll();
      retryDue();
      arrive(at);
      grantAll();
      if (at.count() % (10 * kStep.count()) != 0) continue;
      for (const QueueRefusal& each : scheduler_->removeExpired(replica_, now_)) {
        onRefused(each.id, each.retryAfter);
      }
    }
  }
  const CallerStatistics& resultsForUrgency(std::uint32_t urgency) { return byUrgency_[urgency]; }
  const CallerStatistics& resultsForTenant(std::uint64_t tenant) { return byTenant_[tenant]; }
  /// Maximum number of retries within a tenth of a second.
  int maximumRetriesTogether() const {
    int most = 0;
    for (const auto& [at, count] : retriesAt_) most = std::max(most, count);
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
        count(caller, [](CallerStatistics& statistics) { ++statistics.requests; });
        submit(caller);
      }
    }
  }
  void submit(Caller& caller) {
    caller.entry.softStartDeadline = now_ + caller.stream->allowance;
    caller.entry.hardStartDeadline = caller.first + caller.stream->useful;
    const OfferResult offer = scheduler_->offer(caller.entry, replica_, now_);
    if (offer.verdict == QueueVerdict::kGranted) start(caller);
    if (offer.verdict == QueueVerdict::kRefused) onRefused(caller.entry.id, offer.wait);
  }
  void grantAll() {
    while (const std::optional<QueueEntry> entry = scheduler_->next(replica_, now_)) {
      start(callers_.at(entry->id));
    }
  }
  void start(const Caller& caller) {
    replica_.start(caller.entry, now_);
    const bool onTime = now_ <= caller.entry.softStartDeadline;
    count(caller, [&](CallerStatistics& statistics) {
      ++(!onTime                ? statistics.late
         : caller.refusals == 0 ? statistics.onTime
                                : statistics.onTimeAfterRetry);
    });
    callers_.erase(caller.entry.id);
  }
  void onRefused(std::uint64_t id, base::Duration retryAfter) {
    Caller& caller = callers_.at(id);
    ++caller.refusals;
    count(caller, [&](CallerStatistics& statistics) {
      ++statistics.refusals;
      if (caller.refusals > 1) ++statistics.repeatedRefusals;
    });
    const base::TimePoint back = now_ + retryAfter;
    if (back < caller.first + caller.stream->useful) {
      pendingRetries_.emplace(back, id);
      ++retriesAt_[back.time_since_epoch().count() / 100000];
    } else {
      callers_.erase(id);
    }
  }
  void retryDue() {
    while (!pendingRetries_.empty() && pendingRetries_.begin()->first <= now_) {
      const std::uint64_t id = pendingRetries_.begin()->second;
      pendingRetries_.erase(pendingRetries_.begin());
      submit(callers_.at(id));
    }
  }

  std::unique_ptr<Scheduler> scheduler_;
  std::vector<Stream> streams_;
  VirtualReplica replica_;
  base::TimePoint now_;
  base::SeededRandom random_;
  std::uint64_t lastId_ = 0;
  std::map<std::uint64_t, Caller> callers_;
  std::multimap<base::TimePoint, std::uint64_t> pendingRetries_;
  std::map<std::int64_t, int> retriesAt_;
  std::map<std::uint32_t, CallerStatistics> byUrgency_;
  std::map<std::uint64_t, CallerStatistics> byTenant_;
};

}  // namespace covewing::admission
