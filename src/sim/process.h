/// \file
/// One simulated process: its clock, timers, random numbers and life cycle.
///
/// A process runs, is paused (nothing of it runs; what arrives is held back), or is crashed (all
/// its timers and expected replies are forgotten). Each start has a higher incarnation. All code of
/// the process runs inside `dispatch`, which is where its CPU time may be measured.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "sim/scheduler.h"

namespace covewing::sim {

class Process;

/// Where an answer goes: runs the callback given to Process::expect once, on that process, unless
/// it crashed since. Copies share the one callback.
template <class... Arguments>
class Reply {
 public:
  Reply() = default;
  Reply(Process& process, std::uint64_t id) : process_(&process), id_(id) {}
  /// Delivers the answer now, or when the process wakes from its pause.
  void operator()(Arguments... arguments) const;

 private:
  Process* process_ = nullptr;
  std::uint64_t id_ = 0;
};

/// CPU used by a process, of the simulating thread. Recorded only; nothing depends on it.
struct CpuUse {
  std::uint64_t nanoseconds = 0;
  std::uint64_t dispatches = 0;
};

class Process final : public base::Clock, public base::TimerService, public base::RandomSource {
 public:
  enum class State : std::uint8_t { kCrashed, kRunning, kPaused };

  /// A process that has not started yet. `seed` is the run's; the process derives its own from it.
  Process(Scheduler& scheduler, std::string name, std::uint64_t seed);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() override;

  const std::string& name() const { return name_; }
  State state() const { return state_; }
  bool running() const { return state_ == State::kRunning; }
  bool crashed() const { return state_ == State::kCrashed; }
  /// Number of starts so far.
  base::Incarnation incarnation() const { return incarnation_; }
  Scheduler& scheduler() { return scheduler_; }

  /// Starts a crashed process under the next incarnation.
  void start();
  /// Ends it at once: timers, expected replies and held-back deliveries are destroyed before this
  /// returns, so the owner destroys the process's objects afterwards.
  void crash();
  void pause();
  /// Goes on after a pause; what was held back runs now, in the order it came.
  void resume();

  /// Runs `work` as this process: now when running, after the pause when paused, never when
  /// crashed.
  void dispatch(std::function<void()> work);

  /// Registers `callback` for an answer to come.
  template <class... Arguments>
  Reply<Arguments...> expect(std::type_identity_t<std::function<void(Arguments...)>> callback) {
    const auto id = nextId_++;
    if (crashed()) return {};
    pending_.emplace(id, std::make_unique<Expected<Arguments...>>(std::move(callback)));
    return Reply<Arguments...>(*this, id);
  }

  base::TimePoint now() const override;
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override;
  void cancel(base::TimerId timer) override;
  std::uint64_t next() override { return random_.next(); }

  /// Switches the recording of CPU time on or off.
  void measureCpu(bool enabled) { measureCpu_ = enabled; }
  const CpuUse& cpuUse() const { return cpuUse_; }

 private:
  template <class... Arguments>
  friend class Reply;

  /// A callback that waits for its timer or answer.
  struct Pending {
    Pending() = default;
    Pending(const Pending&) = delete;
    Pending& operator=(const Pending&) = delete;
    virtual ~Pending() = default;
    EventId event = 0;
  };
  template <class... Arguments>
  struct Expected final : Pending {
    explicit Expected(std::function<void(Arguments...)> function) : callback(std::move(function)) {}
    std::function<void(Arguments...)> callback;
  };

  /// Removes and returns the pending callback; null when it was cancelled, ran or died.
  std::unique_ptr<Pending> take(std::uint64_t id);
  void run(const std::function<void()>& work);

  Scheduler& scheduler_;
  std::string name_;
  std::uint64_t seed_;
  base::Duration clockOffset_;
  base::SeededRandom random_;
  State state_ = State::kCrashed;
  base::Incarnation incarnation_ = 0;
  std::uint64_t nextId_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Pending>> pending_;
  std::vector<std::function<void()>> heldBack_;
  bool measureCpu_ = false;
  CpuUse cpuUse_;
};

template <class... Arguments>
void Reply<Arguments...>::operator()(Arguments... arguments) const {
  if (process_ == nullptr) return;
  process_->dispatch([process = process_, id = id_, ... values = std::move(arguments)]() mutable {
    const auto pending = process->take(id);
    if (pending == nullptr) return;
    static_cast<Process::Expected<Arguments...>&>(*pending).callback(std::move(values)...);
  });
}

}  // namespace covewing::sim
