// RelayFlow: handles attempts that failed, by a retry or by ending the request.
#include <algorithm>
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

namespace {
constexpr std::string_view kRetryBudgetUsedUp = "retry budget used up";
}  // namespace

void RelayFlow::discardUndelivered() {
  body_.discardIncomplete();
  if (!headDelivered_) bufferedBody_.clear();
}

void RelayFlow::recordRefusal(const clients::RelayedAnswer& response) {
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  if (response.otherInstance) {
    record.setTerminated();
    return;
  }
  if (response.status == kMisdirected) {
    const auto known = incoming_.prompt ? record.versionOf(incoming_.prompt->model) : 0;
    if (known == attempt_->decision.version)
      record.markVersionUncertain(now + options_.wrongVersionBackOff);
    return;
  }
  attempt_->outcome = routing::PlacementOutcome::kRefused;
  // A replica that states how long it backs off is healthy. Ejecting it would only keep other
  // requests away from it.
  if (response.status == kServiceUnavailable && response.rest > base::Duration::zero()) return;
  record.setAtCapacity(now + std::max(options_.fullBackOff, response.rest));
  // A replica that reports its rate limit is healthy, too.
  if (response.rateLimit.limited()) return;
  record.health().onFailure(now, dependencies_.replicas.failureRateOfOthers(record));
}

void RelayFlow::onNotRun(const clients::RelayedAnswer& response) {
  const auto self = shared_from_this();
  const clients::RelayedAnswer refusal = response;
  recordRefusal(refusal);
  ++refusals_;
  if (refusal.status == kBadRequest && !headDelivered_) {
    finishComplete();
    return;
  }
  if (retryOnAnotherReplica(RetryCause::kRefused,
                            "the replica refused with " + std::to_string(refusal.status),
                            FailureKind::kNotRun, evidenceOf(refusal))) {
    return;
  }
  if (headDelivered_) {
    abortStream("no replica resumed the stream");
  } else if (executions_ > 0) {
    refuse(base::ResultCode::kBackEndLost, "the replicas refused another attempt", {});
  } else {
    refuse(base::ResultCode::kBackEndRefused,
           "the replicas refused with " + std::to_string(refusal.status), kRetryAfterRefusals);
  }
}

void RelayFlow::onBrokenOff(std::string_view why) {
  recordInterruption(clients::FailurePoint::kBackEnd);
  onAttemptLost(RetryCause::kLost, {base::ResultCode::kBackEndLost, std::string{why}},
                evidenceOf(*attempt_->response));
}

void RelayFlow::onAttemptLost(RetryCause cause, const base::Reason& reason,
                              AttemptEvidence evidence) {
  const auto self = shared_from_this();
  if (!attempt_->response) ++executions_;
  if (runEndRequired() && evidence.runEnd == clients::RunEnd::kNotShown) {
    logAttemptFailure(cause, reason.detail, kRunMayGoOn, evidence);
    endAttempt();
  } else if (retryOnAnotherReplica(cause, reason.detail, FailureKind::kMayHaveRun, evidence)) {
    return;
  }
  if (headDelivered_) {
    abortStream(reason.detail);
  } else {
    refuse(reason.code, reason.detail, {});
  }
}

std::string_view RelayFlow::reserveRetry(FailureKind kind) {
  const bool cannotContinue = headDelivered_ && !body_.canContinue();
  if (cannotContinue || (kind == FailureKind::kMayHaveRun && !repeatable()))
    return "not repeatable";
  const bool mayRunAgain = executions_ == 0 || executions_ < mostRuns();
  if (!mayRunAgain || refusals_ > options_.maximumRefusals) return "attempts used up";
  if (timeLeft() < kMinimumAttemptTime) return "no time left";
  if (kind == FailureKind::kNeverArrived) {
    if (retry_) retry_->onNotDelivered();
    return {};
  }
  const bool reservedBefore = attempt_->withdrawnAt && retry_;
  if (reservedBefore) return {};
  auto reserved =
      dependencies_.retries.reserve(assignment_.service->name, dependencies_.clock.now());
  if (!reserved) return kRetryBudgetUsedUp;
  retry_ = std::move(reserved);
  return {};
}

bool RelayFlow::countRetry(const routing::PlacementGrant& grant) {
  // The retry may have waited for a replica while the requests that paid for it left the window.
  if (!retry_ || retry_->send(dependencies_.clock.now())) return true;
  dependencies_.placement.returnGrant(grant);
  refuseUnplaced(kRetryBudgetUsedUp, kRetryAfterRefusals);
  return false;
}

void RelayFlow::logAttemptFailure(RetryCause cause, std::string_view why,
                                  std::string_view notRetried, AttemptEvidence evidence) {
  const auto& service = assignment_.service->name;
  const auto now = dependencies_.clock.now();
  const auto use = dependencies_.retries.use(service, now);
  dependencies_.log.write(
      notRetried.empty() ? base::Event::kRequestRetried : base::Event::kRelayAttemptFailed,
      {{"request", incoming_.request->id},
       {"replica", attempt_->decision.replica->facts().instance},
       {"attempt", std::to_string(dispatches_)},
       {"after_ms", millisecondsText(now - attempt_->sentAt)},
       {"begun_ms", attempt_->headAt ? millisecondsText(now - *attempt_->headAt) : std::string{}},
       {"service", service},
       {"cause", std::string{toString(cause)}},
       {"why", std::string{why}},
       {"not_run_by", std::string{toString(evidence.notRun)}},
       {"ended_by", std::string{toString(evidence.runEnd)}},
       {"configuration", std::to_string(assignment_.table->version())},
       {"configuration_in_force", std::to_string(hooks_.tableInForce()->version())},
       {"retries_sent", std::to_string(use.sent)},
       {"retries_reserved", std::to_string(use.reserved)},
       {"retries_allowed", std::to_string(static_cast<std::uint32_t>(use.allowed))},
       {"runs", std::to_string(executions_)},
       {"last_event", body_.lastEventId()},
       {"left_ms", millisecondsText(timeLeft())},
       {"not_retried", std::string{notRetried}}});
}

bool RelayFlow::retryOnAnotherReplica(RetryCause cause, std::string_view why, FailureKind kind,
                                      AttemptEvidence evidence) {
  const auto notRetried = reserveRetry(kind);
  logAttemptFailure(cause, why, notRetried, evidence);
  if (!notRetried.empty()) {
    endAttempt();
    return false;
  }
  startRetry(cause);
  return true;
}

void RelayFlow::startRetry(RetryCause cause) {
  retryCause_ = cause;
  excluded_.push_back(attempt_->decision.replica->facts().instance);
  endAttempt();
  discardUndelivered();
  choose();
}

}  // namespace covewing::request
