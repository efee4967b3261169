/// \file
/// State machine of one caller request up to its final response, common to completions and proxied
/// requests.
///
///     checking -> admission -> claim -> attempt -> answered
///                                         | ^
///                                         v |
///                                     backing off
///
/// A claim is made only for a not-repeatable request with an Idempotency-Key. Any state may lead to
/// a refusal instead.
///
/// Each step runs from a timer or from a client's callback, never from inside the call that
/// submitted the request. A refusal is delivered immediately when it is decided.
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
#include "engine_routing/routing_policy.h"
#include "request/back_end_observer.h"
#include "request/caller_request.h"
#include "request/claim_store.h"
#include "request/deferred_release.h"
#include "request/one_shot_timer.h"
#include "request/request_trace.h"
#include "request/tenant_check.h"

namespace covewing::request {

/// Time limits and other settings of the request path.
struct RequestOptions {
  std::size_t maximumOpenRequests = 10'000;
  /// Maximum wait for the first token if the tenant's template sets no deadline.
  base::Duration defaultDeadline = std::chrono::seconds(30);
  /// Maximum wait for an engine to confirm that it accepted a request.
  base::Duration acceptTimeout = std::chrono::seconds(1);
  /// Interval at which the state of the engine of an attempt in flight is checked. An attempt whose
  /// engine is known to be lost is abandoned at once.
  base::Duration engineCheckPeriod = std::chrono::milliseconds(250);
  /// Maximum interval between two chunks of an engine that is considered alive. The first token is
  /// subject only to the deadline of the template: a request does not leave the queue of a live
  /// engine for that of another.
  base::Duration interChunkTimeout = std::chrono::seconds(10);
  /// Maximum wait for the response of an application to one attempt.
  base::Duration applicationTimeout = std::chrono::seconds(5);
  /// Maximum wait for an at-most-once claim.
  base::Duration claimTimeout = std::chrono::seconds(2);
  /// Retry-After time for refusals whose cause is likely to be temporary.
  base::Duration retryAfter = std::chrono::seconds(1);
};

/// Services of the node that a request uses. All must outlive the request.
struct RequestDependencies {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  const config::ConfigurationView& configuration;
  const engine_routing::FleetView& fleet;
  const ZoneReachability& zones;
  engine_routing::RoutingPolicy& policy;
  admission::AdmissionController& admission;
  clients::EngineClient& engines;
  clients::ApplicationClient& applications;
  ClaimStore& claims;
  TraceLog& traces;
  BackEndObserver& backEnds;
};

class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  /// Notifies the owner that the request has ended. Called once.
  using FinishedCallback = std::function<void()>;

  virtual ~RequestFlow() = default;
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  /// Starts processing asynchronously. If `refusedByNode` is set, the request is refused for that
  /// reason instead, also asynchronously.
  void start(FinishedCallback finished, std::optional<base::Reason> refusedByNode);
  /// Called when the caller disconnected. Cancels the request; the sink is not called any more.
  void cancel();
  /// Ends the request in any state with `reason` as its final error, on behalf of the node.
  void refuseByNode(base::Reason reason);
  /// Drops the request without a response, because the node is being destroyed.
  void abandon();
  /// Applies back-pressure of the caller.
  virtual void setPaused(bool /*paused*/) {}

  const base::RequestId& id() const { return trace_->id; }

 protected:
  RequestFlow(const RequestDependencies& dependencies, const RequestOptions& options,
              DeferredRelease& deferred, std::shared_ptr<RequestTrace> trace);

  // --- Steps that depend on the kind of request.
  /// Checks the request against the tenant's template and prepares the data that attempts need.
  /// Returns null and sets `reason` if the request is not allowed.
  virtual config::TenantTemplatePtr check(base::Reason& reason) = 0;
  /// Starts the next attempt. The base class has already counted it.
  virtual void startAttempt() = 0;
  /// Abandons the attempt in flight, if any.
  virtual void stopAttempt() = 0;
  virtual void deliverRefusal(const Refusal& refusal) = 0;
  virtual std::uint32_t promptTokens() const { return 0; }
  virtual base::PriorityClass priority() const = 0;
  virtual const std::string& idempotencyKey() const = 0;
  virtual bool notRepeatable() const = 0;
  /// Whether another attempt after an unknown outcome does no harm.
  virtual bool repeatable() const = 0;
  /// Whether part of the response has reached the caller.
  virtual bool responseStarted() const { return false; }

  // --- Called by the implementations of attempts.
  /// Checks the request again unless its response has started: during a wait its template may have
  /// been retired or changed, or the weights version of its model may have become known. Returns
  /// false if the request was refused.
  bool recheck();
  /// Records that the request may have been executed, so that it is no longer reported as not run.
  void setMayHaveRun() { mayHaveRun_ = true; }
  /// Handles the failure of the attempt: retries if the rules and budgets allow it, otherwise
  /// refuses the request.
  void onAttemptFailed(const clients::DispatchError& error);
  /// Makes the back ends that failed this request eligible again, for use when no other is left.
  /// Does so only once; returns whether any became eligible.
  bool reconsiderFailedBackEnds();
  /// Ends the request with its final error.
  void refuse(base::Reason reason);
  /// Ends the request with its complete response. As the last step, `deliver` passes it to the
  /// sink.
  void finish(const std::function<void()>& deliver);
  bool ended() const { return ended_; }

  /// Adds a record of the attempt to the trace.
  AttemptTrace& traceAttempt(base::EngineId backEnd, const std::string& name);
  AttemptTrace& currentAttempt() { return trace_->attempts.back(); }
  base::Duration elapsed() const { return dependencies_.clock.now() - trace_->startedAt; }
  /// Time left until the deadline for the first token; never negative.
  base::Duration timeLeft() const;
  /// Stops the deadline for the first token, after the response has started.
  void stopDeadline();
  std::uint32_t attemptNumber() const { return attempts_; }
  const config::TenantTemplate& tenant() const { return *tenant_; }
  /// Wraps `callback` so that it is not called after the request has ended.
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

  /// Back ends that failed this request. They are not chosen again as long as another one is
  /// eligible.
  std::vector<base::EngineId> excluded_;

 private:
  /// Runs `next` at once or, if the configuration is being checked at the moment, after that check.
  void afterConfigurationCheck(std::function<void()> next);
  void begin();
  void onAdmission(const admission::AdmissionVerdict& verdict);
  void claimThenAttempt();
  void onClaim(ClaimResult result);
  void nextAttempt();
  /// Whether an attempt was started and has not ended, so that it may be executing.
  bool attemptInFlight() const;
  void onDeadline();
  /// Releases all resources and marks the request as ended.
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
