// RelayFlow: handles the response of an attempt, passes it on to the caller, and records what it
// shows about the replica.
#include <algorithm>
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"
#include "routing/answer_notices.h"

namespace covewing::request {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kMultipleChoices = 300;
constexpr unsigned kInternalError = 500;

/// Minimum wait for the first byte of a response before a repeatable request is retried on another
/// replica.
constexpr base::Duration kMinimumFirstByteTimeout = std::chrono::milliseconds(250);
/// Minimum time without data in the middle of a stream after which the stream counts as broken.
constexpr base::Duration kMinimumStreamTimeout = std::chrono::milliseconds(1200);
/// Minimum time without data after which a replica is told to stop a run, which cannot be taken
/// back. A sound replica may pause for more than a second.
constexpr base::Duration kMinimumRunTimeout = std::chrono::milliseconds(1600);

/// Time from the head of a response for which its replica has just begun to write it.
constexpr base::Duration kBegunFor = std::chrono::seconds(1);

constexpr std::string_view kAnswersAgain = "the replica answers again";

bool successful(unsigned status) { return status >= kOk && status < kMultipleChoices; }

}  // namespace

void RelayFlow::armReceiveTimeout() {
  dependencies_.timers.cancel(receiveTimer_);
  if (!assignment_.route->repeatable() || paused_) return;
  const auto& route = *assignment_.route;
  const auto minimum = runEndRequired() ? kMinimumRunTimeout : kMinimumFirstByteTimeout;
  auto wait = std::max(minimum, std::chrono::duration_cast<base::Duration>(
                                    route.targetLatency * options_.receiveTimeoutShare));
  wait += 2 * attempt_->expectedPrefillTime;
  if (attempt_->headReceived) wait = std::max({wait, kMinimumStreamTimeout, 2 * route.gapTarget});
  receiveTimer_ = dependencies_.timers.schedule(wait, [this] { onReceiveTimeout(); });
}

void RelayFlow::armStartDeadline() {
  dependencies_.timers.cancel(startDeadlineTimer_);
  const auto& before = attempt_->decision.startDeadline;
  if (!before) return;
  const auto left = std::max(*before - dependencies_.clock.now(), base::Duration::zero());
  startDeadlineTimer_ = dependencies_.timers.schedule(left, [this] { onStartDeadline(); });
}

bool RelayFlow::mayStillStart() const {
  if (ended_ || !attempt_ || attempt_->bodyReceived) return false;
  return !attempt_->response || !wasNotRun(*attempt_->response);
}

void RelayFlow::onWeightsChanged() {
  if (!mayStillStart() || !incoming_.prompt) return;
  const auto self = shared_from_this();
  // At the time of the dispatch the deadline may have been unknown, or later than it is now.
  auto& decision = attempt_->decision;
  decision.startDeadline =
      dependencies_.replicaSelector.startDeadline(incoming_.prompt->model, decision.version);
  // If the deadline has passed already, the timer fires in the next turn of the event loop. So
  // responses that have arrived in the meantime are processed first, and no request is retried
  // inside the call that changed the deadline.
  armStartDeadline();
}

void RelayFlow::endResponseWait() {
  if (!attempt_ || attempt_->headReceived) return;
  attempt_->headReceived = true;
  auto& record = *attempt_->decision.replica;
  record.removePendingPrefill(attempt_->prefillTokens);
  record.health().onWaitEnded(dependencies_.clock.now(), attempt_->expectedPrefillTime);
}

void RelayFlow::endProbe(bool accepted) {
  if (!attempt_ || !std::exchange(attempt_->isProbe, false)) return;
  attempt_->decision.replica->notices().endProbe(accepted);
}

bool RelayFlow::stillWanted() const {
  return writer_->callerConnected() && replicaAccepts() && !dispatchRefusal();
}

bool RelayFlow::replicaAccepts() const {
  const auto& record = *attempt_->decision.replica;
  return record.inService() && !record.notices().backingOff(dependencies_.clock.now()) &&
         withinRateLimit(record, attempt_->grant);
}

void RelayFlow::reportOutcome() {
  auto& placement = dependencies_.placement;
  if (attempt_->notSent) {
    placement.returnGrant(attempt_->grant, attempt_->outcome);
    return;
  }
  const auto& response = attempt_->response;
  placement.reportEnded(attempt_->grant, attempt_->outcome, attempt_->watch.observed(),
                        response ? response->rateLimit : clients::RateLimitNotice{},
                        response ? response->refusalLimit : clients::RateLimitNotice{});
}

void RelayFlow::onHead(clients::RelayedAnswer response) {
  if (replacement_) keepAttempt(kAnswersAgain);
  endResponseWait();
  attempt_->headAt = dependencies_.clock.now();
  armReceiveTimeout();
  auto& record = *attempt_->decision.replica;
  record.health().onBytesReceived(dependencies_.clock.now());
  if (incoming_.prompt && response.version && !response.otherInstance)
    record.recordVersion(incoming_.prompt->model, *response.version);
  routing::recordAnswerNotices(record, dependencies_.log, response,
                               {attempt_->sentAt, *attempt_->headAt}, incoming_.request->id);
  endProbe(!wasNotRun(response));
  if (!wasNotRun(response)) {
    ++executions_;
    dependencies_.placement.reportStarted(attempt_->grant, response.rateLimit,
                                          response.refusalLimit);
  }
  if (!headDelivered_) bufferedBody_.clear();
  attempt_->response = std::move(response);
  if (!headDelivered_ || bodyKind() != ResponseBody::Kind::kPlain)
    body_.begin(*attempt_->response, bodyKind(), bodyStart());
}

void RelayFlow::onBody(std::string_view bytes) {
  if (replacement_) keepAttempt(kAnswersAgain);
  const auto now = dependencies_.clock.now();
  auto& attempt = *attempt_;
  attempt.decision.replica->health().onBytesReceived(now);
  armReceiveTimeout();
  const auto& response = *attempt.response;
  if (wasNotRun(response)) {
    if (bufferedBody_.size() < options_.maximumBufferedBytes) bufferedBody_ += bytes;
    return;
  }
  const bool stream = streaming() && successful(response.status);
  if (unfitForContinuation() || promisesUnproven(response)) return;
  if (stream && !attempt.bodyReceived) {
    recordReplicaAsHolder();
    attempt.decision.replica->prefillSpeed().record(attempt.prefillTokens, now - attempt.sentAt);
    attempt.decision.replica->recordWait(now - attempt.sentAt);
  }
  if (stream) attempt.watch.onChunk(now);
  attempt.bodyReceived = true;
  if (stream || headDelivered_) {
    const auto ready = body_.take(bytes);
    if (!ready.empty()) deliver(ready);
    return;
  }
  bufferedBody_ += bytes;
  if (bufferedBody_.size() > options_.maximumBufferedBytes)
    deliver(std::exchange(bufferedBody_, {}));
}

void RelayFlow::recordReplicaAsHolder() {
  if (!incoming_.prompt || attempt_->decision.cacheSalt.empty()) return;
  const auto& decision = attempt_->decision;
  dependencies_.holders.addChain(base::engineIdOf(decision.replica->facts().instance),
                                 decision.scope, incoming_.prompt->chain);
  publishHolder(decision);
}

void RelayFlow::beginResponse(std::optional<std::uint64_t> length) {
  headDelivered_ = true;
  if (body_.hasEvents()) {
    softwareVersion_ = attempt_->decision.replica->facts().softwareVersion;
    storeStreamOrigin();
  }
  status_ = attempt_->response->status;
  timeToFirstByte_ = dependencies_.clock.now() - incoming_.arrivedAt;
  clients::RelayedAnswer head = *attempt_->response;
  head.length = length;
  writer_->begin(head);
}

ResponseBody::Kind RelayFlow::bodyKind() const {
  const auto& response = *attempt_->response;
  if (!streaming() || !successful(response.status) || wasNotRun(response))
    return ResponseBody::Kind::kPlain;
  return resumable() ? ResponseBody::Kind::kResumableStream : ResponseBody::Kind::kStream;
}

ResponseBody::Start RelayFlow::bodyStart() const {
  if (attempt_->continuesStream) return ResponseBody::Start::kWithinAnswer;
  return incoming_.lastEventId.empty() ? ResponseBody::Start::kFirstEvent
                                       : ResponseBody::Start::kAfterEvent;
}

bool RelayFlow::promisesUnproven(const clients::RelayedAnswer& response) const {
  return promisesNotRun(response.status) && !wasNotRun(response) && !repeatable();
}

bool RelayFlow::unfitForContinuation() const {
  return attempt_->continuesStream &&
         (!successful(attempt_->response->status) || !body_.hasEvents());
}

void RelayFlow::deliver(std::string_view bytes) {
  // A stream that breaks off inside an event may have the length that was announced, and a
  // continued one may have another.
  if (!headDelivered_) beginResponse(body_.hasEvents() ? std::nullopt : attempt_->response->length);
  writer_->write(bytes);
}

void RelayFlow::onEnd() {
  const auto self = shared_from_this();
  if (replacement_) keepAttempt(kAnswersAgain);
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  const auto response = *attempt_->response;
  if (wasNotRun(response)) {
    onNotRun(response);
    return;
  }
  if (const auto why = body_.whyIncomplete(); !why.empty() && !unfitForContinuation()) {
    onBrokenOff(why);
    return;
  }
  if (response.otherInstance) record.setTerminated();
  if (response.status >= kInternalError || response.status == kMisdirected) {
    attempt_->outcome = routing::PlacementOutcome::kFailed;
    record.health().onFailure(now, dependencies_.replicas.failureRateOfOthers(record));
    if (!headDelivered_ && reserveRetry(FailureKind::kMayHaveRun).empty()) {
      logAttemptFailure(RetryCause::kFailed,
                        "the replica responded with status " + std::to_string(response.status), {},
                        evidenceOf(response));
      startRetry(RetryCause::kFailed);
      return;
    }
  } else {
    attempt_->outcome = routing::PlacementOutcome::kServed;
    record.health().onSuccess(now);
  }
  if (unfitForContinuation()) {
    abortStream("the continued stream was answered with status " + std::to_string(response.status) +
                (body_.hasEvents() ? "" : " and without events"));
    return;
  }
  if (promisesUnproven(response)) {
    refuse(base::ResultCode::kBackEndRefusalUnproven,
           "the replica answered with status " + std::to_string(response.status), {});
    return;
  }
  reportServed(response.status);
  if (successful(response.status))
    dependencies_.requestDurations.onAnswered(assignment_.service->name, now - attempt_->sentAt);
  finishComplete();
}

void RelayFlow::reportServed(unsigned status) {
  if (successful(status)) {
    dependencies_.quarantine.onServed(features_);
  } else if (status < kInternalError) {
    // A request may be turned down before its prompt is looked at.
    dependencies_.quarantine.onServed({base::featureOf(fingerprint_)});
  }
}

void RelayFlow::finishComplete() {
  if (!headDelivered_) {
    beginResponse(body_.hasEvents() ? std::nullopt
                                    : std::optional<std::uint64_t>{bufferedBody_.size()});
    writer_->write(bufferedBody_);
  }
  writer_->end();
  if (incoming_.prompt && successful(status_)) {
    const auto began = incoming_.arrivedAt + timeToFirstByte_;
    dependencies_.requestDurations.onEnd(assignment_.service->name, expectedOutputTokens(),
                                         dependencies_.clock.now() - began);
  }
  finish(status_, base::ResultCode::kOk, false);
}

void RelayFlow::recordInterruption(clients::FailurePoint point) {
  // A replica that was told to stop has not failed where it ends the connection.
  if (attempt_->withdrawnAt) return;
  recordAttemptFailure(point);
  reportInterruption(point);
}

void RelayFlow::reportInterruption(clients::FailurePoint point) {
  if (point != clients::FailurePoint::kBackEnd) return;
  const auto& headAt = attempt_->headAt;
  const bool begun = headAt && dependencies_.clock.now() - *headAt <= kBegunFor;
  dependencies_.replicaCrashDetector.onRequestInterrupted(attempt_->decision.replica,
                                                          {features_, begun});
}

void RelayFlow::onFailure(clients::DispatchError error) {
  const auto self = shared_from_this();
  if (replacement_) {
    onReplacedAttemptFailed(error);
    return;
  }
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  if (error.failure == clients::DispatchFailure::kNotSent) {
    attempt_->notSent = true;
    if (!writer_->callerConnected()) {
      onCallerDisconnected();
      return;
    }
    // The request may have been forbidden while the connection was made.
    if (!verifyDispatchAllowed()) return;
    // If the request was not sent because the replica is no longer eligible, this says nothing
    // about its health.
    const bool eligible = replicaAccepts();
    const bool passedOn = attempt_->relay.has_value();
    if (eligible && reroute(error)) return;
    const bool relayFailed = passedOn && error.point == clients::FailurePoint::kRelay;
    if (eligible && !relayFailed) {
      attempt_->outcome = routing::PlacementOutcome::kUnreachable;
      record.health().onUnreachable(now);
    }
    if (retryOnAnotherReplica(RetryCause::kNeverArrived, error.reason.detail,
                              FailureKind::kNeverArrived, evidenceOf(error, passedOn)))
      return;
    refuseUnplaced(error.reason.detail, kRetryAfterRefusals);
    return;
  }
  const bool refusedBefore = attempt_->response && wasNotRun(*attempt_->response);
  if (refusedBefore) {
    recordAttemptFailure(error.point);
    onNotRun(*attempt_->response);
    return;
  }
  recordInterruption(error.point);
  onAttemptLost(RetryCause::kLost, error.reason, evidenceOf(error, attempt_->relay.has_value()));
}

}  // namespace covewing::request
