/// \file
/// Model of one application replica (pairings, payment checks, pitch map): executes calls, records
/// every execution, and can delay, cross, repeat or lose answers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "clients/application_client.h"
#include "emulator/execution_observer.h"

namespace covewing::emulator {

/// Faults of an application replica; probabilities are a call's, in [0, 1].
struct ApplicationFaults {
  /// Refused with "not run".
  double refuse = 0.0;
  /// Executed, then the connection closes without an answer.
  double loseAnswer = 0.0;
  /// The answer is held back by `delay`.
  double delayAnswer = 0.0;
  base::Duration delay = std::chrono::seconds(2);
  /// The answer is swapped with the next one that becomes ready within `delay`.
  double crossAnswer = 0.0;
  /// The answer is given twice.
  double repeatAnswer = 0.0;
};

struct ApplicationModelOptions {
  std::string name;
  std::string application;
  /// Time from call to execution and from there to the answer, each half of it, with jitter.
  base::Duration serviceTime = std::chrono::milliseconds(6);
  double serviceJitter = 0.5;
  ApplicationFaults faults;
};

/// The body of every answer, as JSON: what ran and where. A checker compares it with the call.
std::string expectedApplicationBody(const clients::ApplicationRequest& request,
                                    const std::string& replica, std::uint64_t number);

class ApplicationModel {
 public:
  /// Called with the answer; twice where answers are repeated: a runtime passes both on as bytes of
  /// the same connection.
  using Callback = std::function<void(clients::ApplicationResult)>;

  ApplicationModel(const ApplicationModelOptions& options, ExecutionObserver* observer,
                   const base::Clock& clock, base::TimerService& timers,
                   base::RandomSource& random);
  ~ApplicationModel();
  ApplicationModel(const ApplicationModel&) = delete;
  ApplicationModel& operator=(const ApplicationModel&) = delete;

  void call(clients::ApplicationRequest request, Callback callback);

  /// Refuses new calls with "not run" and answers those accepted.
  void leave() { leaving_ = true; }
  /// Calls not answered yet get an unknown outcome, whether they were executed or not.
  void crash();
  void restart();
  void pause();
  void resume();

  bool isUp() const { return up_; }
  bool isLeaving() const { return leaving_; }
  bool isIdle() const { return calls_.empty(); }
  ApplicationFaults& faults() { return options_.faults; }
  const std::string& name() const { return options_.name; }
  base::EngineId id() const { return id_; }
  std::uint64_t executions() const { return executions_; }

 private:
  struct Call {
    clients::ApplicationRequest request;
    Callback callback;
    clients::ApplicationResponse response;
    base::TimerId timer = 0;
  };
  using CallId = std::uint64_t;

  bool draw(double probability);
  base::Duration halfServiceTime();
  void accept(clients::ApplicationRequest request, const Callback& callback);
  /// Runs `step` for the call after `delay`, later still while paused, never after a crash.
  void after(base::Duration delay, CallId call, void (ApplicationModel::*step)(CallId));
  void execute(CallId id);
  void becomeReady(CallId id);
  void crossOrAnswer(CallId id);
  void stopWaitingForPartner(CallId id);
  void answer(CallId id);
  void whenAwake(std::function<void()> action);

  ApplicationModelOptions options_;
  ExecutionObserver* observer_;
  const base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  const base::EngineId id_;
  bool up_ = true;
  bool paused_ = false;
  bool leaving_ = false;
  std::map<CallId, Call> calls_;
  CallId lastCall_ = 0;
  /// The call whose answer waits for another to swap with; 0: none.
  CallId waitingForPartner_ = 0;
  std::uint64_t executions_ = 0;
  std::vector<std::function<void()>> deferred_;
};

}  // namespace covewing::emulator
