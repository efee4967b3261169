// RelayFlow: replaces an attempt whose replica is silent, or whose weights are out of date, by one
// at another replica. Where two replicas must not work on the request at a time, the first one is
// told to stop, and the request goes on once the end of its run has been seen.
#include <algorithm>
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

namespace {
constexpr std::string_view kWeightsOutOfDate =
    "the version of the weights is out of date and the request has not begun";
}  // namespace

bool RelayFlow::runEndRequired() const {
  return streaming() || assignment_.service->engine.has_value();
}

clients::RunEnd RelayFlow::shownRunEnd() const {
  if (!call_->mayHaveBeenSent()) return clients::RunEnd::kNotSent;
  const bool reached = attempt_->relay || dependencies_.links.working(*attempt_->decision.replica);
  return reached ? clients::RunEnd::kNotShown : clients::RunEnd::kUnreachable;
}

bool RelayFlow::mustAwaitRunEnd() const {
  return runEndRequired() && shownRunEnd() == clients::RunEnd::kNotShown;
}

void RelayFlow::onReceiveTimeout() {
  if (ended_ || !attempt_ || replacement_) return;
  // The end of a run cannot be seen through another node.
  const bool endUnseen = (attempt_->relay || attempt_->withdrawnAt) && mustAwaitRunEnd();
  if (endUnseen || othersAreRateLimited() ||
      !beginReplacement(RetryCause::kSilent, "the replica is silent")) {
    // It is better to keep waiting than to end the request.
    armReceiveTimeout();
    return;
  }
  const auto self = shared_from_this();
  auto& record = *attempt_->decision.replica;
  // Silence on a link that has failed is no sign of the replica's.
  if (attempt_->relay || dependencies_.links.working(record)) {
    attempt_->outcome = routing::PlacementOutcome::kFailed;
    record.health().onFailure(dependencies_.clock.now(),
                              dependencies_.replicas.failureRateOfOthers(record));
  }
  // The attempt goes on meanwhile: a replica that is silent for a second may be sound, and the
  // search may find no other one.
  replacement_->searching = true;
  choose();
}

bool RelayFlow::beginReplacement(RetryCause cause, std::string_view why) {
  const bool counted = attempt_->response.has_value();
  if (!counted) ++executions_;
  if (!reserveRetry(FailureKind::kMayHaveRun).empty()) {
    if (!counted) --executions_;
    return false;
  }
  logAttemptFailure(cause, why, {}, {NotRunProof::kNone, shownRunEnd()});
  replacement_ = Replacement{!counted, retryCause_};
  retryCause_ = cause;
  excluded_.push_back(attempt_->decision.replica->facts().instance);
  return true;
}

void RelayFlow::keepAttempt(std::string_view why) {
  const auto& instance = attempt_->decision.replica->facts().instance;
  dependencies_.log.write(
      base::Event::kRelayAttemptKept,
      {{"request", incoming_.request->id},
       {"replica", instance},
       {"attempt", std::to_string(dispatches_)},
       {"after_ms", millisecondsText(dependencies_.clock.now() - attempt_->sentAt)},
       {"why", std::string{why}}});
  dependencies_.placement.cancel(std::exchange(placementTicket_, 0));
  dependencies_.timers.cancel(holdTimer_);
  std::erase(excluded_, instance);
  if (replacement_->executionCounted) --executions_;
  retryCause_ = replacement_->previousCause;
  dropReplacement();
  // A replica that was told to stop may yet end the run, and the request then needs its retry.
  if (!attempt_->withdrawnAt) retry_.reset();
  armReceiveTimeout();
}

void RelayFlow::giveUpReplacedAttempt() {
  endAttempt();
  discardUndelivered();
}

void RelayFlow::dropReplacement() {
  dependencies_.timers.cancel(runEndTimer_);
  if (!replacement_) return;
  if (replacement_->accepted) returnAccepted(*replacement_->accepted);
  replacement_.reset();
}

void RelayFlow::returnAccepted(const AcceptedDispatch& accepted) {
  dependencies_.placement.returnGrant(accepted.grant);
  if (retry_) retry_->onNotDelivered();
}

void RelayFlow::withdrawAttempt() {
  if (!attempt_->withdrawnAt) {
    attempt_->withdrawnAt = dependencies_.clock.now();
    call_->withdraw();
  }
  dependencies_.timers.cancel(runEndTimer_);
  runEndTimer_ =
      dependencies_.timers.schedule(options_.runEndTimeout, [this] { onRunEndTimeout(); });
}

void RelayFlow::onRunEndTimeout() {
  if (ended_ || !attempt_ || !replacement_) return;
  const auto self = shared_from_this();
  const auto end = shownRunEnd();
  logRunEnd(end);
  if (end != clients::RunEnd::kNotShown) {
    auto accepted = std::exchange(replacement_->accepted, std::nullopt);
    giveUpReplacedAttempt();
    continueAfterRun(std::move(accepted));
  } else if (retryCause_ == RetryCause::kSilent) {
    // Its response may still come, and silence is no reason to end a response.
    keepAttempt(kRunMayGoOn);
  } else {
    endBesideRun(kRunMayGoOn);
  }
}

void RelayFlow::logRunEnd(clients::RunEnd end) const {
  const auto now = dependencies_.clock.now();
  dependencies_.log.write(base::Event::kRelayRunEnded,
                          {{"request", incoming_.request->id},
                           {"replica", attempt_->decision.replica->facts().instance},
                           {"attempt", std::to_string(dispatches_)},
                           {"ended_by", std::string{clients::toString(end)}},
                           {"after_ms", millisecondsText(now - *attempt_->withdrawnAt)},
                           {"open_ms", millisecondsText(now - attempt_->sentAt)}});
}

void RelayFlow::endBesideRun(std::string_view why) {
  if (headDelivered_) {
    abortStream(why);
  } else {
    refuse(base::ResultCode::kBackEndTimeout, std::string{why}, {});
  }
}

void RelayFlow::continueAfterRun(std::optional<AcceptedDispatch> accepted) {
  if (!accepted) {
    choose();
  } else if (verifyDispatchAllowed()) {
    dispatch(std::move(accepted->decision), accepted->grant);
  } else {
    returnAccepted(*accepted);
  }
}

void RelayFlow::onReplacedAttemptFailed(const clients::DispatchError& error) {
  auto evidence = evidenceOf(error, attempt_->relay.has_value());
  if (error.failure == clients::DispatchFailure::kNotSent) {
    attempt_->notSent = true;
    if (replacement_->executionCounted) --executions_;
  } else if (attempt_->response && wasNotRun(*attempt_->response)) {
    const clients::RelayedAnswer refusal = *attempt_->response;
    evidence.notRun = notRunProof(refusal);
    recordRefusal(refusal);
    ++refusals_;
  } else {
    recordInterruption(error.point);
  }
  const bool ended = evidence.runEnd != clients::RunEnd::kNotShown;
  if (attempt_->withdrawnAt) logRunEnd(evidence.runEnd);
  if (runEndRequired() && !ended) {
    logAttemptFailure(RetryCause::kLost, error.reason.detail, kRunMayGoOn, evidence);
    endBesideRun(error.reason.detail);
    return;
  }
  logAttemptFailure(RetryCause::kLost, error.reason.detail, "another replica is already sought",
                    evidence);
  auto accepted = std::exchange(replacement_->accepted, std::nullopt);
  const bool searching = replacement_->searching && !accepted;
  giveUpReplacedAttempt();
  if (!searching) continueAfterRun(std::move(accepted));
}

bool RelayFlow::othersAreRateLimited() {
  auto others = query();
  others.excluded.push_back(attempt_->decision.replica->facts().instance);
  return dependencies_.replicaSelector.allRateLimited(others, dependencies_.clock.now());
}

void RelayFlow::onStartDeadline() {
  if (!mayStillStart()) return;
  if (replacement_) keepAttempt("its weights are out of date");
  logWithdrawal();
  const bool seesEnd = !attempt_->relay && mustAwaitRunEnd();
  if (seesEnd && beginReplacement(RetryCause::kWeightsOutOfDate, kWeightsOutOfDate)) {
    withdrawAttempt();
    return;
  }
  onAttemptLost(RetryCause::kWeightsOutOfDate,
                {base::ResultCode::kBackEndLost, std::string{kWeightsOutOfDate}},
                {NotRunProof::kNone, shownRunEnd()});
}

void RelayFlow::logWithdrawal() {
  const auto now = dependencies_.clock.now();
  const auto& decision = attempt_->decision;
  dependencies_.log.write(base::Event::kRelayWithdrawn,
                          {{"request", incoming_.request->id},
                           {"route", assignment_.route->name},
                           {"replica", decision.replica->facts().instance},
                           {"attempt", std::to_string(dispatches_)},
                           {"model", incoming_.prompt->model},
                           {"weights", std::to_string(decision.version)},
                           {"after_ms", millisecondsText(now - attempt_->sentAt)},
                           {"late_ms", millisecondsText(now - *decision.startDeadline)},
                           {"head_seen", attempt_->headReceived ? "yes" : "no"},
                           {"left_ms", millisecondsText(timeLeft())}});
}

}  // namespace covewing::request
