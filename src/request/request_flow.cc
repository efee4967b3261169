#include "request/request_flow.h"

#include <fmt/format.h>

#include <algorithm>

#include "request/attempt_rules.h"

namespace covewing::request {

using base::Duration;
using base::Reason;
using base::ResultCode;

namespace {

/// Interval at which a request polls whether the check of the configuration has finished. The check
/// itself has a time limit.
constexpr Duration kConfigurationCheckInterval = std::chrono::milliseconds(5);

/// Whether the same request may succeed a little later.
bool mayBeTransient(ResultCode code) {
  switch (code) {
    case ResultCode::kConfigurationStale:
    case ResultCode::kZoneCutOff:
    case ResultCode::kNodeDraining:
    case ResultCode::kNodeOverloaded:
    case ResultCode::kNoBackEnd:
    case ResultCode::kBackEndRefused:
    case ResultCode::kBackEndLeaving:
    case ResultCode::kBackEndUnreachable:
    case ResultCode::kRetryBudgetExhausted:
    case ResultCode::kIdentityMismatch:
    case ResultCode::kClaimUnavailable:
    case ResultCode::kPlatformUnavailable:
      return true;
    default:
      return false;
  }
}

}  // namespace

RequestFlow::RequestFlow(const RequestDependencies& dependencies, const RequestOptions& options,
                         DeferredRelease& deferred, std::shared_ptr<RequestTrace> trace)
    : dependencies_(dependencies),
      options_(options),
      deferred_(deferred),
      trace_(std::move(trace)),
      stepTimer_(dependencies.timers),
      deadlineTimer_(dependencies.timers) {}

void RequestFlow::start(FinishedCallback finished, std::optional<Reason> refusedByNode) {
  finished_ = std::move(finished);
  stepTimer_.start(Duration::zero(), [this, refusedByNode = std::move(refusedByNode)] {
    const auto self = shared_from_this();
    if (refusedByNode.has_value()) {
      refuse(*refusedByNode);
    } else {
      afterConfigurationCheck([this] { begin(); });
    }
  });
}

void RequestFlow::afterConfigurationCheck(std::function<void()> next) {
  if (!dependencies_.configuration.freshness().checking) {
    next();
    return;
  }
  stepTimer_.start(kConfigurationCheckInterval, [this, next = std::move(next)] {
    const auto self = shared_from_this();
    afterConfigurationCheck(next);
  });
}

void RequestFlow::begin() {
  Reason reason;
  tenant_ = check(reason);
  if (tenant_ == nullptr) {
    refuse(std::move(reason));
    return;
  }
  trace_->tenant = tenant_->name;
  trace_->templateRevision = tenant_->revision;
  trace_->priority = priority();
  trace_->promptTokens = promptTokens();
  trace_->notRepeatable = notRepeatable();
  deadlineTimer_.start(timeLeft(), [this] { onDeadline(); });
  admission::AdmissionRequest request;
  request.requestId = id();
  request.tenant = tenant_;
  request.priority = priority();
  request.promptTokens = promptTokens();
  ticket_ = dependencies_.admission.admit(
      std::move(request),
      whileOpen<admission::AdmissionVerdict>(
          [this](const admission::AdmissionVerdict& verdict) { onAdmission(verdict); }));
}

void RequestFlow::onAdmission(const admission::AdmissionVerdict& verdict) {
  trace_->admitted = verdict.admitted;
  trace_->held = verdict.held;
  if (!verdict.admitted) {
    admissionRetryAfter_ = verdict.retryAfter;
    refuse(verdict.reason);
    return;
  }
  claimThenAttempt();
}

void RequestFlow::claimThenAttempt() {
  if (!notRepeatable() || idempotencyKey().empty()) {
    afterConfigurationCheck([this] { nextAttempt(); });
    return;
  }
  trace_->claim = "waiting";
  const Duration limit = std::min(options_.claimTimeout, timeLeft());
  // `whileOpen` cannot be used here: a claim that is granted after the request has ended must be
  // released.
  ClaimStore& claims = dependencies_.claims;
  dependencies_.claims.claim(tenant_->id, idempotencyKey(), id(), limit,
                             [weak = weak_from_this(), this, &claims](ClaimResult result) {
                               const std::shared_ptr<RequestFlow> self = weak.lock();
                               if (self != nullptr && !ended_) {
                                 onClaim(std::move(result));
                               } else if (result.status == ClaimStatus::kOwned) {
                                 claims.release(std::move(result.claim));
                               }
                             });
}

void RequestFlow::onClaim(ClaimResult result) {
  switch (result.status) {
    case ClaimStatus::kOwned:
      trace_->claim = "owned";
      claim_ = std::move(result.claim);
      afterConfigurationCheck([this] { nextAttempt(); });
      return;
    case ClaimStatus::kDuplicate:
      trace_->claim = "duplicate";
      dependencies_.log.write(base::Event::kClaimDuplicate,
                              {{"request", id().value}, {"detail", result.reason.detail}});
      break;
    case ClaimStatus::kUnavailable:
      trace_->claim = "unavailable";
      break;
  }
  refuse(std::move(result.reason));
}

bool RequestFlow::recheck() {
  if (responseStarted()) return true;
  Reason reason;
  config::TenantTemplatePtr current = check(reason);
  if (current == nullptr) {
    refuse(std::move(reason));
    return false;
  }
  tenant_ = std::move(current);
  return true;
}

void RequestFlow::nextAttempt() {
  if (!recheck()) return;
  ++attempts_;
  startAttempt();
}

void RequestFlow::onAttemptFailed(const clients::DispatchError& error) {
  if (!trace_->attempts.empty()) {
    AttemptTrace& attempt = currentAttempt();
    attempt.endedAfter = elapsed();
    attempt.failure = error.failure;
    attempt.reason = error.reason;
    dependencies_.backEnds.onDispatchFailed(attempt.backEnd, error);
  }
  if (error.failure == clients::DispatchFailure::kOutcomeUnknown) setMayHaveRun();
  const AttemptFailure failure{error.failure, repeatable(), responseStarted(),
                               tenant_->retry.resumeStreams};
  if (!mayRetry(failure)) {
    refuse(error.reason);
    return;
  }
  if (attempts_ >= std::max(1U, tenant_->retry.maximumAttempts)) {
    refuse(error.reason);
    return;
  }
  if (!dependencies_.admission.takeRetry()) {
    refuse({ResultCode::kRetryBudgetExhausted, "after: " + error.reason.detail});
    return;
  }
  const bool resumed = responseStarted();
  dependencies_.log.write(resumed ? base::Event::kStreamResumed : base::Event::kRequestRetried,
                          {{"request", id().value}, {"detail", error.reason.detail}});
  stepTimer_.start(retryDelay(attempts_ + 1, dependencies_.random), [this] {
    const auto self = shared_from_this();
    if (responseStarted()) {
      nextAttempt();
    } else {
      afterConfigurationCheck([this] { nextAttempt(); });
    }
  });
}

bool RequestFlow::reconsiderFailedBackEnds() {
  if (excluded_.empty() || failedBackEndsReconsidered_) return false;
  failedBackEndsReconsidered_ = true;
  excluded_.clear();
  return true;
}

void RequestFlow::onDeadline() {
  const auto self = shared_from_this();
  if (attemptInFlight()) setMayHaveRun();
  const ResultCode code =
      mayHaveRun_ ? ResultCode::kBackEndTimeout : ResultCode::kDeadlineUnreachable;
  refuse({code, "the deadline of the tenant's template has passed"});
}

AttemptTrace& RequestFlow::traceAttempt(base::EngineId backEnd, const std::string& name) {
  AttemptTrace attempt;
  attempt.number = attempts_;
  attempt.backEnd = backEnd;
  attempt.name = name;
  attempt.startedAfter = elapsed();
  trace_->attempts.push_back(std::move(attempt));
  return trace_->attempts.back();
}

void RequestFlow::stopDeadline() {
  deadlineTimer_.stop();
  if (ticket_ != nullptr) ticket_->onFirstToken();
}

Duration RequestFlow::timeLeft() const {
  const Duration configured = tenant_->deadline;
  const Duration deadline = configured > Duration::zero() ? configured : options_.defaultDeadline;
  return std::max(Duration::zero(), deadline - elapsed());
}

void RequestFlow::refuse(Reason reason) {
  if (ended_) return;
  const Refusal refusal = refusalFor(std::move(reason));
  trace_->refusal = refusal;
  logRefusal(refusal);
  settleClaim();
  close(RequestProgress::kRefused);
  deliverRefusal(refusal);
}

void RequestFlow::finish(const std::function<void()>& deliver) {
  if (ended_) return;
  if (!trace_->attempts.empty()) currentAttempt().endedAfter = elapsed();
  close(RequestProgress::kAnswered);
  deliver();
}

void RequestFlow::cancel() {
  if (ended_) return;
  if (attemptInFlight()) setMayHaveRun();
  dependencies_.log.write(base::Event::kCallerDisconnected, {{"request", id().value}});
  settleClaim();
  close(RequestProgress::kDisconnected);
}

void RequestFlow::refuseByNode(Reason reason) {
  if (ended_) return;
  const auto self = shared_from_this();
  if (attemptInFlight()) setMayHaveRun();
  refuse(std::move(reason));
}

bool RequestFlow::attemptInFlight() const {
  return !trace_->attempts.empty() && !trace_->attempts.back().endedAfter.has_value();
}

void RequestFlow::abandon() {
  if (!ended_) close(RequestProgress::kDisconnected);
}

void RequestFlow::settleClaim() {
  if (!claim_.has_value() || mayHaveRun_) return;
  dependencies_.claims.release(std::move(*claim_));
  claim_.reset();
}

void RequestFlow::close(RequestProgress progress) {
  ended_ = true;
  trace_->progress = progress;
  trace_->finishedAfter = elapsed();
  stepTimer_.stop();
  deadlineTimer_.stop();
  stopAttempt();
  if (ticket_ != nullptr)
    deferred_.add(std::shared_ptr<admission::AdmissionTicket>(std::move(ticket_)));
  if (finished_ != nullptr) std::exchange(finished_, nullptr)();
}

Refusal RequestFlow::refusalFor(Reason reason) const {
  Refusal refusal;
  refusal.outcome = mayHaveRun_ ? Outcome::kUnknown : Outcome::kNotRun;
  if (admissionRetryAfter_ > Duration::zero()) {
    refusal.retryAfter = admissionRetryAfter_;
  } else if (!mayHaveRun_ && mayBeTransient(reason.code)) {
    refusal.retryAfter = options_.retryAfter;
  }
  refusal.reason = std::move(reason);
  return refusal;
}

void RequestFlow::logRefusal(const Refusal& refusal) {
  const bool notRun = refusal.outcome == Outcome::kNotRun;
  const base::Event event =
      responseStarted() ? base::Event::kStreamBroken : base::Event::kRequestRefused;
  dependencies_.log.write(event,
                          {{"request", id().value},
                           {"code", fmt::format("{}", static_cast<int>(refusal.reason.code))},
                           {"outcome", notRun ? "not-run" : "unknown"},
                           {"detail", refusal.reason.detail}});
}

}  // namespace covewing::request
