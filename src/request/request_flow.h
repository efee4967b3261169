/// \file
/// The life of one caller request up to its final answer, common to completions and proxied calls.
///
///     checking -> admission -> claim -> attempt -> answered
///                                         | ^
///                                         v |
///                                     backing off
///
/// A claim is made only for a not-repeatable request with a key. Each of the states may end in a
/// refusal instead.
///
/// Each step runs from a timer or a client's callback, never from inside the caller's own call. A
/// refusal is delivered the moment it is decided.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_controller.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/application_client.h"
#include "clients/engine_client.h"
#include "request/back_end_observer.h"
#include "request/caller_request.h"
#include "request/claim_store.h"
#include "request/deferred_release.h"
#include "request/one_shot_timer.h"
#include "request/request_trace.h"
#include "request/tenant_check.h"
#include "routing/routing_policy.h"

namespace covewing::request {

/// Time limits and other settings of the request path.
struct RequestOptions {
  std::size_t maximumOpenRequests = 10'000;
  /// Longest wait for the first token where the template sets none.
  base::Duration defaultDeadline = std::chrono::seconds(30);
  /// Longest wait for an engine's word that it took a request.
  base::Duration acceptTimeout = std::chrono::seconds(1);
  /// How often the engine of an attempt in flight is looked up: one that is known to be lost is
  /// given up at once.
  base::Duration engineCheckPeriod = std::chrono::milliseconds(250);
  /// Longest silence between two chunks of an engine that is believed to live. The first token is
  /// bound by the template's deadline alone: a live engine's queue is not left for another's.
  base::Duration interChunkTimeout = std::chrono::seconds(10);
  /// Longest wait for an application's answer to one attempt.
  base::Duration applicationTimeout = std::chrono::seconds(5);
  /// Longest wait for an at-most-once claim.
  base::Duration claimTimeout = std::chrono::seconds(2);
  /// Advice to callers whose refusal may pass by itself.
  base::Duration retryAfter = std::chrono::seconds(1);
};

/// Everything that a request reaches the node through; all of it outlives the request's work.
struct RequestDependencies {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  const config::ConfigurationView& configuration;
  const routing::FleetView& fleet;
  const ZoneReachability& zones;
  routing::RoutingPolicy& policy;
  admission::AdmissionController& admission;
  clients::EngineClient& engines;
  clients::ApplicationClient& applications;
  ClaimStore& claims;
  TraceLog& traces;
  BackEndObserver& backEnds;
};

class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  /// Tells the owner that the request is over; called once.
  using FinishedCallback = std::function<void()>;

  virtual ~RequestFlow() = default;
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  /// Begins the work, or refuses the request for a reason of the node itself; either way later.
  void start(FinishedCallback finished, std::optional<base::Reason> refusedByNode);
  /// The caller went away: cancels the work and silences the sink.
  void cancel();
  /// The node ends the request, in whatever state it is.
  void refuseByNode(base::Reason reason);
  /// The node is going away: drops the work without a word to anybody.
  void abandon();
  /// Back-pressure from the caller.
  virtual void setPaused(bool /*paused*/) {}

  const base::RequestId& id() const { return trace_->id; }

 protected:
  RequestFlow(const RequestDependencies& dependencies, const RequestOptions& options,
              DeferredRelease& deferred, std::shared_ptr<RequestTrace> trace);

  // --- The steps that differ between kinds of request.
  /// Checks the request against its template and fills in what the attempts need.
  virtual config::TenantTemplatePtr check(base::Reason& reason) = 0;
  /// Starts the next attempt; the base counted it already.
  virtual void startAttempt() = 0;
  /// Abandons the attempt in flight, if any.
  virtual void stopAttempt() = 0;
  virtual void deliverRefusal(const Refusal& refusal) = 0;
  virtual std::uint32_t promptTokens() const { return 0; }
  virtual base::PriorityClass priority() const = 0;
  virtual const std::string& idempotencyKey() const = 0;
  virtual bool notRepeatable() const = 0;
  /// Another attempt after an unknown outcome does no harm.
  virtual bool repeatable() const = 0;
  /// Part of the answer has reached the caller.
  virtual bool responseStarted() const { return false; }

  // --- What the attempts report.
  /// Checks the request once more, unless its answer has started: its template may have been
  /// retired or changed, or its model's version become known, during a wait. False when it was
  /// refused.
  bool recheck();
  /// From now on nobody can say that the request did not run.
  void setMayHaveRun() { mayHaveRun_ = true; }
  /// The attempt failed: tries again where the rules and budgets allow, else refuses.
  void onAttemptFailed(const clients::DispatchError& error);
  /// The back ends tried before are tried again where no other is left.
  bool reconsiderFailedBackEnds();
  /// Ends the request with its final error.
  void refuse(base::Reason reason);
  /// Ends the request with its whole answer; `deliver` hands it to the sink as the last step.
  void finish(const std::function<void()>& deliver);
  bool ended() const { return ended_; }

  /// Opens the record of the attempt.
  AttemptTrace& traceAttempt(base::EngineId backEnd, const std::string& name);
  AttemptTrace& currentAttempt() { return trace_->attempts.back(); }
  base::Duration elapsed() const { return dependencies_.clock.now() - trace_->startedAt; }
  /// Time left until the first token is due; never negative.
  base::Duration timeLeft() const;
  /// The answer has started, so that the deadline for the first token no longer applies.
  void stopDeadline();
  std::uint32_t attemptNumber() const { return attempts_; }
  const config::TenantTemplate& tenant() const { return *tenant_; }
  /// Runs `callback` with a later result, unless the request is over by then.
  template <class... Arguments, class Callback>
  std::function<void(Arguments...)> whileOpen(Callback callback) {
    return [weak = weak_from_this(), callback = std::move(callback)](Arguments... arguments) {
      const std::shared_ptr<RequestFlow> self = weak.lock();
      if (self != nullptr && !self->ended_) callback(std::forward<Arguments>(arguments)...);
    };
  }

  const RequestDependencies& dependencies() const { return dependencies_; }
  const RequestOptions& options() const { return options_; }
  DeferredRelease& deferred() { return deferred_; }
  RequestTrace& trace() { return *trace_; }

  /// Engines that failed this request, not to be chosen again while another qualifies.
  std::vector<base::EngineId> excluded_;

 private:
  /// Runs `next` at once, or after the check of the configuration that is under way.
  void afterConfigurationCheck(std::function<void()> next);
  void begin();
  void onAdmission(const admission::AdmissionVerdict& verdict);
  void claimThenAttempt();
  void onClaim(ClaimResult result);
  void nextAttempt();
  /// An attempt was started and has not ended: it may be running.
  bool attemptInFlight() const;
  void onDeadline();
  /// Releases everything held and marks the request as over.
  void close(RequestProgress progress);
  void settleClaim();
  Refusal refusalFor(base::Reason reason) const;
  void logRefusal(const Refusal& refusal);

  RequestDependencies dependencies_;
  const RequestOptions& options_;
  DeferredRelease& deferred_;
  std::shared_ptr<RequestTrace> trace_;
  FinishedCallback finished_;
  config::TenantTemplatePtr tenant_;
  std::unique_ptr<admission::AdmissionTicket> ticket_;
  std::optional<Claim> claim_;
  std::uint32_t attempts_ = 0;
  bool mayHaveRun_ = false;
  bool failedBackEndsReconsidered_ = false;
  bool ended_ = false;
  base::Duration admissionRetryAfter_{};
  OneShotTimer stepTimer_;
  OneShotTimer deadlineTimer_;
};

}  // namespace covewing::request
