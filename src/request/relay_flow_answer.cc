// The answer of an attempt: what of it reaches the caller, and what it teaches about the replica.
#include <algorithm>
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kMultipleChoices = 300;
constexpr unsigned kInternalError = 500;

/// Bounds of the wait for an answer's first byte before a repeatable request goes elsewhere.
constexpr base::Duration kLeastSilence = std::chrono::milliseconds(250);
/// Least silence in the middle of a stream that counts as a broken one.
constexpr base::Duration kLeastStreamSilence = std::chrono::milliseconds(1200);

bool successful(unsigned status) { return status >= kOk && status < kMultipleChoices; }

}  // namespace

void RelayFlow::armSilence() {
  dependencies_.timers.cancel(silenceTimer_);
  if (!assignment_.route->repeatable() || paused_) return;
  const auto& route = *assignment_.route;
  auto wait = std::max(kLeastSilence, std::chrono::duration_cast<base::Duration>(
                                          route.targetLatency * options_.silentAttemptShare));
  wait += 2 * attempt_->work;
  if (attempt_->headSeen) wait = std::max({wait, kLeastStreamSilence, 2 * route.gapTarget});
  silenceTimer_ = dependencies_.timers.schedule(wait, [this] { onSilence(); });
}

void RelayFlow::armBegin() {
  dependencies_.timers.cancel(beginTimer_);
  const auto& before = attempt_->decision.startDeadline;
  if (!before) return;
  const auto left = std::max(*before - dependencies_.clock.now(), base::Duration::zero());
  beginTimer_ = dependencies_.timers.schedule(left, [this] { onNotBegun(); });
}

bool RelayFlow::mayStillBegin() const {
  if (over_ || !attempt_ || attempt_->bodySeen) return false;
  return !attempt_->answer || !notRun(*attempt_->answer);
}

void RelayFlow::onWeightsChanged() {
  if (!mayStillBegin() || !arrival_.prompt) return;
  const auto self = shared_from_this();
  // What was known at the dispatch may be too late by now, or nothing.
  auto& decision = attempt_->decision;
  decision.startDeadline =
      dependencies_.choice.startDeadline(arrival_.prompt->model, decision.version);
  // Where it has passed, the timer fires next: answers that came meanwhile are read first, and no
  // request is taken up inside the call that changed the date.
  armBegin();
}

void RelayFlow::endWait() {
  if (!attempt_ || attempt_->headSeen) return;
  attempt_->headSeen = true;
  auto& record = *attempt_->decision.replica;
  record.removePendingPrefill(attempt_->unread);
  record.health().onWaitEnded(dependencies_.clock.now(), attempt_->work);
}

void RelayFlow::endProbe(bool taken) {
  if (!attempt_ || !std::exchange(attempt_->trial, false)) return;
  attempt_->decision.replica->notices().endProbe(taken);
}

bool RelayFlow::stillWanted() const {
  const auto& record = *attempt_->decision.replica;
  return record.inService() && !record.notices().backingOff(dependencies_.clock.now()) &&
         withinRateLimit(record, attempt_->grant);
}

void RelayFlow::endGrant() {
  auto& placement = dependencies_.placement;
  if (attempt_->neverSent) {
    placement.returnGrant(attempt_->grant, attempt_->outcome);
    return;
  }
  const auto said = attempt_->answer ? attempt_->answer->rateLimit : clients::RateLimitNotice{};
  placement.reportEnded(attempt_->grant, attempt_->outcome, attempt_->watch.observed(), said);
}

void RelayFlow::onHead(clients::RelayedAnswer answer) {
  endWait();
  armSilence();
  auto& record = *attempt_->decision.replica;
  record.health().onBytesReceived(dependencies_.clock.now());
  if (arrival_.prompt && answer.version && !answer.otherInstance)
    record.recordVersion(arrival_.prompt->model, *answer.version);
  learnNotices(answer);
  endProbe(!notRun(answer));
  if (!notRun(answer)) {
    ++runs_;
    dependencies_.placement.reportStarted(attempt_->grant, answer.rateLimit);
  }
  if (!headDelivered_) kept_.clear();
  attempt_->answer = std::move(answer);
}

void RelayFlow::learnNotices(const clients::RelayedAnswer& answer) {
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  if (answer.leaving) {
    routing::recordLeaving(record, dependencies_.log,
                           {"answer", answer.status, arrival_.request->id});
  }
  routing::recordRateLimit(record, dependencies_.log, {answer.rateLimit, attempt_->sentAt, now},
                           {"answer", answer.status, arrival_.request->id});
  if (answer.status != kServiceUnavailable || (answer.rest.count() == 0 && !answer.restUnreadable))
    return;
  if (answer.rest > base::Duration::zero()) record.notices().startBackOff(now + answer.rest);
  dependencies_.log.write(
      base::Event::kReplicaRests,
      {{"replica", record.facts().instance},
       {"request", arrival_.request->id},
       {"rest_ms", millisecondsText(answer.rest)},
       {"rests_for_ms", millisecondsText(record.notices().backOffUntil() - now)},
       {"why", answer.restUnreadable ? "a time that it asked for cannot be read" : ""}});
}

void RelayFlow::onBody(std::string_view bytes) {
  const auto now = dependencies_.clock.now();
  auto& attempt = *attempt_;
  attempt.decision.replica->health().onBytesReceived(now);
  armSilence();
  const auto& answer = *attempt.answer;
  if (notRun(answer)) {
    if (kept_.size() < options_.wholeAnswerBytes) kept_ += bytes;
    return;
  }
  const bool stream = streaming() && successful(answer.status);
  // A failure in answer to a resumed stream is no part of it.
  if (resumable() && headDelivered_ && !stream) return;
  if (stream && !attempt.bodySeen) {
    learnHolder();
    attempt.decision.replica->prefillSpeed().learn(attempt.unread, now - attempt.sentAt);
    attempt.decision.replica->recordWait(now - attempt.sentAt);
  }
  if (stream) attempt.watch.onPiece(now);
  attempt.bodySeen = true;
  if (stream && resumable()) {
    const std::string whole = events_.feed(bytes);
    if (!whole.empty()) deliver(whole);
    return;
  }
  if (stream || headDelivered_) {
    deliver(bytes);
    return;
  }
  kept_ += bytes;
  if (kept_.size() > options_.wholeAnswerBytes) deliver(std::exchange(kept_, {}));
}

void RelayFlow::learnHolder() {
  if (!arrival_.prompt || attempt_->decision.cacheSalt.empty()) return;
  const auto& decision = attempt_->decision;
  dependencies_.holders.addChain(base::engineIdOf(decision.replica->facts().instance),
                                 decision.scope, arrival_.prompt->chain);
  tellHome(decision);
}

void RelayFlow::beginAnswer(std::optional<std::uint64_t> length) {
  headDelivered_ = true;
  status_ = attempt_->answer->status;
  timeToFirstByte_ = dependencies_.clock.now() - arrival_.arrivedAt;
  clients::RelayedAnswer head = *attempt_->answer;
  head.length = length;
  caller_->begin(head);
}

void RelayFlow::deliver(std::string_view bytes) {
  // A resumed stream may have another length than its first attempt announced.
  if (!headDelivered_) beginAnswer(resumable() ? std::nullopt : attempt_->answer->length);
  caller_->write(bytes);
}

void RelayFlow::onEnd() {
  const auto self = shared_from_this();
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  const auto answer = *attempt_->answer;
  if (notRun(answer)) {
    onNotRun(answer);
    return;
  }
  if (answer.status >= kInternalError) {
    attempt_->outcome = routing::PlacementOutcome::kFailed;
    record.health().onFailure(now, dependencies_.replicas.failureRateOfOthers(record));
    if (!headDelivered_ && takeRetry(Loss::kMayHaveRun).empty()) {
      logLoss(RetryCause::kFailed, "the replica answered " + std::to_string(answer.status), {});
      goElsewhere(RetryCause::kFailed);
      return;
    }
  } else {
    attempt_->outcome = routing::PlacementOutcome::kServed;
    record.health().onSuccess(now);
  }
  if (headDelivered_ && !successful(answer.status)) {
    cut("a resumed stream was answered " + std::to_string(answer.status));
    return;
  }
  if (events_.hasUnfinished()) {
    dependencies_.replicaEnds.onRequestInterrupted(attempt_->decision.replica, fingerprint_);
    onAttemptLost(RetryCause::kLost, "the stream ended inside an event");
    return;
  }
  if (answer.status < kInternalError) dependencies_.quarantine.onServed(fingerprint_);
  finishWhole();
}

void RelayFlow::finishWhole() {
  if (!headDelivered_) {
    const bool stream = streaming() && successful(attempt_->answer->status);
    beginAnswer(stream ? std::nullopt : std::optional<std::uint64_t>{kept_.size()});
    caller_->write(kept_);
  }
  caller_->end();
  if (arrival_.prompt && successful(status_)) {
    const auto began = arrival_.arrivedAt + timeToFirstByte_;
    dependencies_.requestDurations.onEnd(assignment_.service->name, expectedOutputTokens(),
                                         dependencies_.clock.now() - began);
  }
  finish(status_, base::ResultCode::kOk, false);
}

void RelayFlow::onFailure(clients::DispatchError error) {
  const auto self = shared_from_this();
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  if (error.failure == clients::DispatchFailure::kNotSent) {
    attempt_->neverSent = true;
    // What was not sent because the replica wants no more says nothing of its health.
    if (stillWanted()) {
      attempt_->outcome = routing::PlacementOutcome::kUnreachable;
      record.health().onUnreachable(now);
    }
    if (retryElsewhere(RetryCause::kNeverArrived, error.reason.detail, Loss::kNeverArrived)) return;
    if (headDelivered_) {
      cut(error.reason.detail);
    } else {
      refuse(base::ResultCode::kNoBackEnd, error.reason.detail, kRetryAfterRefusals);
    }
    return;
  }
  record.health().onFailure(now, dependencies_.replicas.failureRateOfOthers(record));
  attempt_->outcome = routing::PlacementOutcome::kFailed;
  const bool refusedBefore = attempt_->answer && attempt_->answer->notExecuted;
  if (refusedBefore) {
    onNotRun(*attempt_->answer);
    return;
  }
  dependencies_.replicaEnds.onRequestInterrupted(attempt_->decision.replica, fingerprint_);
  onAttemptLost(RetryCause::kLost, error.reason.detail);
}

}  // namespace covewing::request
