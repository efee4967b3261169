// RelayFlow: ends a request that is complete, refused or aborted, or whose caller disconnected.
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

void RelayFlow::endAttempt() {
  if (!attempt_) return;
  endResponseWait();
  endProbe(false);
  reportOutcome();
  lastStream_ = attempt_->watch.observed();
  dependencies_.timers.cancel(receiveTimer_);
  dependencies_.timers.cancel(startDeadlineTimer_);
  dependencies_.timers.cancel(linkTimer_);
  if (attempt_->relay) dependencies_.relayPeers.onEnded(attempt_->relay->id);
  attempt_->decision.replica->onFinished(attempt_->tokens);
  attempt_.reset();
  dropReplacement();
  call_.reset();
}

void RelayFlow::onDeadline() {
  if (ended_) return;
  const auto self = shared_from_this();
  if (headDelivered_) {
    abortStream("the time of the request is up");
  } else if (attempt_ || executions_ > 0) {
    refuse(base::ResultCode::kBackEndTimeout, "the time of the request is up", {});
  } else {
    refuse(base::ResultCode::kDeadlineUnreachable, "no replica in time",
           options_.retryAfterNoReplica);
  }
}

void RelayFlow::onCallerDisconnected() {
  if (ended_) return;
  finish(status_, base::ResultCode::kOk, true);
}

void RelayFlow::refuse(base::ResultCode code, std::string detail, base::Duration retryAfter) {
  refuse(
      RelayRefusal{{code, std::move(detail)}, base::describe(code).httpStatus, retryAfter, false});
}

void RelayFlow::refuse(const RelayRefusal& refusal) {
  dependencies_.log.write(
      base::Event::kRequestRefused,
      {{"request", incoming_.request->id},
       {"route", assignment_.route->name},
       {"fingerprint", base::toString(fingerprint_)},
       {"part", quarantinedPart()},
       {"code", std::to_string(static_cast<unsigned>(refusal.reason.code))},
       {"status", std::to_string(refusal.status)},
       {"why", refusal.reason.detail},
       {"runs", std::to_string(executions_)},
       {"dispatches", std::to_string(dispatches_)},
       {"tenant", tenantName()},
       {"urgency", std::to_string(urgency())},
       {"waited_ms", millisecondsText(dependencies_.clock.now() - incoming_.arrivedAt)},
       {"queued", std::to_string(queuedAtHome_)},
       {"candidates", routing::describe(lastCandidates_)},
       {"retry_after_ms", millisecondsText(refusal.retryAfter)}});
  endAttempt();
  writer_->refuse(refusal);
  finish(refusal.status, refusal.reason.code, false);
}

void RelayFlow::abortStream(std::string_view why) {
  dependencies_.log.write(base::Event::kStreamBroken,
                          {{"request", incoming_.request->id},
                           {"route", assignment_.route->name},
                           {"why", std::string{why}},
                           {"cause", retryCause_ ? std::string{toString(*retryCause_)} : ""},
                           {"attempts", std::to_string(dispatches_)},
                           {"runs", std::to_string(executions_)},
                           {"tenant", tenantName()},
                           {"urgency", std::to_string(urgency())},
                           {"replica", lastReplica_},
                           {"last_event", body_.lastEventId()}});
  endAttempt();
  writer_->abort();
  finish(status_, base::ResultCode::kStreamBroken, false);
}

RelayOutcome RelayFlow::outcomeOf(unsigned status, base::ResultCode code,
                                  bool callerDisconnected) const {
  RelayOutcome outcome;
  outcome.status = status;
  outcome.code = code;
  outcome.attempts = dispatches_;
  outcome.service = assignment_.service->name;
  outcome.retries = retries_;
  outcome.timeToFirstByte = timeToFirstByte_;
  outcome.duration = dependencies_.clock.now() - incoming_.arrivedAt;
  outcome.callerDisconnected = callerDisconnected;
  outcome.cachedTokens = cachedTokens_;
  outcome.fetchedTokens = fetchedTokens_;
  outcome.prefillTokens = prefillTokens_;
  if (assignment_.tenant != nullptr) outcome.tenantPriority = assignment_.tenant->priority;
  if (code == base::ResultCode::kPromptPartQuarantined) outcome.quarantinedPart = quarantinedPart();
  return outcome;
}

void RelayFlow::finish(unsigned status, base::ResultCode code, bool callerDisconnected) {
  if (ended_) return;
  const auto self = shared_from_this();
  ended_ = true;
  // An attempt in flight may still be executed to its end although its connection is closed.
  const bool running = attempt_ && !(attempt_->response && wasNotRun(*attempt_->response));
  dependencies_.placement.cancel(placementTicket_);
  const auto dispatched =
      attempt_ ? millisecondsText(dependencies_.clock.now() - attempt_->sentAt) : std::string{};
  const auto unacknowledged = call_ ? call_->unacknowledgedBytes() : std::nullopt;
  endAttempt();
  allowance_.end(executions_ + (running ? 1 : 0));
  dependencies_.timers.cancel(deadlineTimer_);
  dependencies_.timers.cancel(holdTimer_);
  dependencies_.timers.cancel(latestDispatchTimer_);
  const auto outcome = outcomeOf(status, code, callerDisconnected);
  dependencies_.log.write(
      callerDisconnected ? base::Event::kCallerDisconnected : base::Event::kRelayFinished,
      {{"request", incoming_.request->id},
       {"route", assignment_.route->name},
       {"status", std::to_string(status)},
       {"code", std::to_string(static_cast<unsigned>(code))},
       {"attempts", std::to_string(dispatches_)},
       {"tenant", tenantName()},
       {"urgency", std::to_string(urgency())},
       {"replica", lastReplica_},
       {"held_ms", millisecondsText(heldFor_)},
       {"dispatched_ms", dispatched},
       {"unacknowledged", unacknowledged ? std::to_string(*unacknowledged) : std::string{}},
       {"framing", executions_ > 0 ? std::string{clients::toString(body_.framing())} : ""},
       {"ended_in_event", body_.insideEvent() ? "yes" : "no"},
       {"first_byte_ms", millisecondsText(timeToFirstByte_)},
       {"longest_pause_ms", millisecondsText(lastStream_.longestPause)},
       {"target_ms", millisecondsText(assignment_.route->targetLatency)},
       {"pause_target_ms", millisecondsText(assignment_.route->gapTarget)},
       {"total_ms", millisecondsText(outcome.duration)}});
  dependencies_.observer.onRelayFinished(*assignment_.route, outcome);
  writer_.reset();
  hooks_.finished(*this);
}

}  // namespace covewing::request
