#include "request/relay_flow.h"

#include <algorithm>
#include <utility>

#include "request/relay_flow_internal.h"
#include "request/request_fingerprint.h"

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

/// The deepest shared part of the prompt, as a number that is equal on all nodes.
std::string sharedPart(const RelayArrival& arrival) {
  if (!arrival.prompt) return {};
  const auto part = arrival.prompt->chain.deepestShared();
  return part ? std::to_string(*part) : std::string{};
}

base::RequestFingerprint fingerprintOf(const RelayArrival& arrival,
                                       const RelayAssignment& assignment) {
  return request::fingerprintOf(*arrival.request, assignment.tenant == nullptr
                                                      ? std::string_view{}
                                                      : assignment.tenant->name);
}

}  // namespace

RelayFlow::RelayFlow(RelayDependencies dependencies, const RelayOptions& options,
                     RelayArrival arrival, RelayAssignment assignment,
                     std::unique_ptr<RelayCaller> caller, Hooks hooks)
    : dependencies_(dependencies),
      options_(options),
      arrival_(std::move(arrival)),
      assignment_(std::move(assignment)),
      fingerprint_(fingerprintOf(arrival_, assignment_)),
      caller_(std::move(caller)),
      hooks_(std::move(hooks)),
      allowance_(dependencies_.quotas, assignment_.demand) {}

RelayFlow::~RelayFlow() {
  dependencies_.timers.cancel(deadlineTimer_);
  dependencies_.timers.cancel(holdTimer_);
  dependencies_.timers.cancel(silenceTimer_);
  dependencies_.timers.cancel(beginTimer_);
  if (attempt_) endAttempt();
  allowance_.end(runs_);
}

void RelayFlow::start() {
  if (!mayBeSent()) return;
  const auto& route = *assignment_.route;
  const auto now = dependencies_.clock.now();
  const auto limit = std::min(route.timeout, arrival_.deadline.value_or(route.timeout));
  deadline_ = arrival_.arrivedAt + limit;
  const auto patience = route.firstEventPatience;
  const auto held = patience.count() == 0 ? limit : std::min(limit, patience);
  holdUntil_ =
      arrival_.arrivedAt + std::chrono::duration_cast<base::Duration>(held * options_.holdShare);
  dependencies_.retries.onRequest(assignment_.service->name, now);
  if (runsLong())
    dependencies_.runTimes.onLongRun(assignment_.service->name, expectedOutput(), now);
  deadlineTimer_ = dependencies_.timers.schedule(deadline_ - now, [this] { onDeadline(); });
  caller_->onPressure([this](bool high) {
    paused_ = high;
    if (call_) call_->setPaused(high);
  });
  allowance_.ask([weak = weak_from_this()](const admission::QuotaVerdict& verdict) {
    const auto flow = weak.lock();
    if (flow && !flow->over_) flow->onAllowance(verdict);
  });
}

void RelayFlow::onAllowance(const admission::QuotaVerdict& verdict) {
  if (verdict.outcome == admission::QuotaOutcome::kGranted) {
    if (verdict.scarce)
      holdUntil_ = std::min(holdUntil_, dependencies_.clock.now() + options_.holdAtLimit);
    choose();
    return;
  }
  const bool rateLimited = verdict.outcome == admission::QuotaOutcome::kRateLimited;
  refuse(rateLimited ? base::ResultCode::kRateLimited : base::ResultCode::kConcurrencyLimited,
         describeRefusal(*assignment_.demand, verdict), verdict.retryAfter);
}

std::uint32_t RelayFlow::wantedTokens() const {
  if (!arrival_.prompt) return 0;
  return arrival_.prompt->promptTokens + arrival_.prompt->mostOutputTokens;
}

std::uint32_t RelayFlow::promptTokens() const {
  return arrival_.prompt ? arrival_.prompt->promptTokens : 0;
}

std::uint32_t RelayFlow::expectedOutput() const {
  return arrival_.prompt ? arrival_.prompt->expectedOutput() : 0;
}

bool RelayFlow::runsLong() const {
  // Where much of the prompt is shared, what is cached counts for more.
  if (!arrival_.prompt || arrival_.prompt->chain.sharedTokens() > expectedOutput()) return false;
  return dependencies_.runTimes.isLong(assignment_.service->name, expectedOutput());
}

routing::ReplicaQuery RelayFlow::query() const {
  routing::ReplicaQuery query;
  query.service = assignment_.service->name;
  query.excluded = excluded_;
  query.excluded.insert(query.excluded.end(), passedOver_.begin(), passedOver_.end());
  if (assignment_.service->engine) query.engine = &*assignment_.service->engine;
  if (!arrival_.prompt) return query;
  query.model = arrival_.prompt->model;
  query.chain = &arrival_.prompt->chain;
  query.tokens = wantedTokens();
  query.acceptableWait = std::chrono::duration_cast<base::Duration>(
      assignment_.route->targetLatency * options_.queueShare);
  query.longRun = runsLong();
  if (query.longRun && query.engine != nullptr) {
    query.longRunReplicas = dependencies_.runTimes.replicasForLongRuns(
        query.service, query.engine->slots, hooks_.nodes(), dependencies_.clock.now());
  }
  if (assignment_.tenant != nullptr && assignment_.tenant->isolated)
    query.isolatedTenant = assignment_.tenant->name;
  return query;
}

std::optional<RelayRefusal> RelayFlow::obstacle() const {
  auto refusal = quarantineRefusal();
  if (!refusal) refusal = hooks_.check(arrival_);
  const bool promises = refusal && promisesNotRun(refusal->status);
  if (!promises || runs_ == 0) return refusal;
  // An attempt has run. Callers told otherwise may take a change for not made.
  constexpr auto kCode = base::ResultCode::kBackEndLost;
  return RelayRefusal{{kCode, refusal->reason.detail}, base::describe(kCode).httpStatus, {}, false};
}

std::optional<RelayRefusal> RelayFlow::quarantineRefusal() const {
  const auto quarantined = dependencies_.quarantine.find(fingerprint_);
  if (!quarantined) return std::nullopt;
  constexpr auto kCode = base::ResultCode::kRequestQuarantined;
  return RelayRefusal{
      {kCode, std::to_string(quarantined->crashes) + " replicas ended under runs of this request"},
      base::describe(kCode).httpStatus,
      quarantined->remaining,
      false};
}

bool RelayFlow::mayBeSent() {
  const auto refusal = obstacle();
  if (!refusal) return true;
  if (headDelivered_) {
    cut("the request may no longer be sent: " + refusal->reason.detail);
  } else {
    refuse(*refusal);
  }
  return false;
}

void RelayFlow::choose() {
  if (over_ || !mayBeSent()) return;
  const auto now = dependencies_.clock.now();
  auto decision = dependencies_.choice.choose(query(), hooks_.nodes(), now);
  if (shouldLookUp(decision)) {
    lookUp(decision.scope);
  } else if (!decision.order.empty() && now >= askAgainAt_) {
    askHomes(decision);
  } else {
    decideAlone(std::move(decision));
  }
}

void RelayFlow::decideAlone(routing::ReplicaDecision decision) {
  if (!decision.replica) {
    const bool passedOver = !passedOver_.empty();
    passedOver_.clear();
    hold(decision.reason, passedOver ? options_.holdForRoom : options_.holdInterval);
    return;
  }
  const auto candidate = dependencies_.choice.candidateOf(query(), decision.replica, promptTokens(),
                                                          decision.heldTokens());
  const auto grant = dependencies_.placement.take(candidate);
  dispatch(std::move(decision), grant);
}

void RelayFlow::hold(std::string_view why, base::Duration interval) {
  const auto now = dependencies_.clock.now();
  const bool overdue = now >= holdUntil_;
  if (!overdue || !excluded_.empty()) {
    // In the end, what failed once is better than nothing.
    if (overdue) excluded_.clear();
    holdTimer_ = dependencies_.timers.schedule(interval, [this] { choose(); });
    return;
  }
  if (headDelivered_) {
    cut(why);
  } else if (runs_ > 0) {
    refuse(base::ResultCode::kBackEndLost, std::string{why}, {});
  } else {
    refuse(base::ResultCode::kNoBackEnd, std::string{why}, options_.retryAfterNoReplica);
  }
}

clients::DispatchTerms RelayFlow::termsFor(const routing::ReplicaDecision& decision) const {
  clients::DispatchTerms terms;
  terms.expectedInstance = decision.replica->facts().instance;
  if (decision.version > 0) terms.expectedVersion = decision.version;
  terms.timeLeft = timeLeft();
  terms.priority = assignment_.route->priority;
  if (assignment_.tenant != nullptr) {
    terms.tenant = assignment_.tenant->name;
    if (assignment_.tenant->priority) terms.priority = assignment_.tenant->priority;
  }
  terms.cacheSalt = decision.cacheSalt;
  if (decision.fetchFrom) terms.fetchFrom = decision.fetchFrom->endpoint;
  terms.saveTo = decision.saveTo;
  terms.lastEventId = events_.lastEventId().empty() ? arrival_.lastEventId : events_.lastEventId();
  return terms;
}

void RelayFlow::dispatch(routing::ReplicaDecision decision, const routing::PlacementGrant& grant) {
  const auto now = dependencies_.clock.now();
  if (timeLeft() < kLeastTimeForAttempt) {
    dependencies_.placement.ended(grant, routing::PlacementOutcome::kWithdrawn);
    onDeadline();
    return;
  }
  auto& record = *decision.replica;
  const auto terms = termsFor(decision);
  const std::uint32_t wanted = wantedTokens();
  const std::uint32_t tokens = wanted - std::min(wanted, decision.matchedTokens);
  record.onDispatched(tokens);
  const std::uint32_t prompt = promptTokens();
  const std::uint32_t unread = prompt - std::min(prompt, decision.heldTokens());
  record.onReadingBegun(unread);
  const auto work = record.readSpeed().time(unread);
  record.health().onDispatched(now, work);
  ++dispatches_;
  allowance_.onDispatch(runs_);
  countTokens(decision);
  dependencies_.log.write(
      base::Event::kRelayDispatched,
      {{"request", arrival_.request->id},
       {"fingerprint", base::toString(fingerprint_)},
       {"route", assignment_.route->name},
       {"tenant", terms.tenant},
       {"counted", std::to_string(assignment_.demand ? assignment_.demand->tokens : 0)},
       {"replica", record.facts().instance},
       {"attempt", std::to_string(dispatches_)},
       {"configuration", std::to_string(assignment_.table->version())},
       {"weights", std::to_string(decision.version)},
       {"salt", decision.cacheSalt},
       {"rank", std::to_string(decision.rank)},
       {"candidates", std::to_string(decision.candidates)},
       {"home", base::toString(grant.home)},
       {"homes_asked", std::to_string(decision.homesAsked)},
       {"wait_ms", millisecondsText(decision.expectedWait)},
       {"in_flight", std::to_string(record.inFlight())},
       {"part", sharedPart(arrival_)},
       {"shared", std::to_string(arrival_.prompt ? arrival_.prompt->chain.sharedTokens() : 0)},
       {"cached", std::to_string(decision.matchedTokens)},
       {"fetch", decision.fetchFrom ? decision.fetchFrom->name : ""},
       {"fetch_tokens", std::to_string(decision.fetchFrom ? decision.fetchFrom->tokens : 0)},
       {"save", decision.saveTo ? base::toString(*decision.saveTo) : ""},
       {"left_ms", millisecondsText(terms.timeLeft)}});
  const auto endpoint = record.facts().endpoint;
  attempt_ =
      Attempt{std::move(decision), now, tokens, unread, work, false, false, std::nullopt, grant};
  armSilence();
  armBegin();
  call_ = dependencies_.client.start(endpoint, arrival_.request, terms, *this);
  if (paused_) call_->setPaused(true);
}

void RelayFlow::countTokens(const routing::ReplicaDecision& decision) {
  if (!arrival_.prompt) return;
  cachedTokens_ += decision.matchedTokens;
  fetchedTokens_ += decision.heldTokens() - decision.matchedTokens;
  readTokens_ += unreadSharedTokens(decision);
}

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
  const auto& before = attempt_->decision.beginBefore;
  if (!before) return;
  const auto left = std::max(*before - attempt_->sentAt, base::Duration::zero());
  beginTimer_ = dependencies_.timers.schedule(left, [this] { onNotBegun(); });
}

void RelayFlow::endWait() {
  if (!attempt_ || attempt_->headSeen) return;
  attempt_->headSeen = true;
  auto& record = *attempt_->decision.replica;
  record.onReadingEnded(attempt_->unread);
  record.health().onWaitEnded(dependencies_.clock.now(), attempt_->work);
}

void RelayFlow::endGrant() { dependencies_.placement.ended(attempt_->grant, attempt_->outcome); }

void RelayFlow::onHead(clients::RelayedAnswer answer) {
  endWait();
  armSilence();
  auto& record = *attempt_->decision.replica;
  record.health().onHeard(dependencies_.clock.now());
  if (arrival_.prompt && answer.version && !answer.otherInstance)
    record.learnVersion(arrival_.prompt->model, *answer.version);
  if (!notRun(answer)) {
    ++runs_;
    dependencies_.placement.begun(attempt_->grant);
  }
  if (!headDelivered_) kept_.clear();
  attempt_->answer = std::move(answer);
}

void RelayFlow::onBody(std::string_view bytes) {
  const auto now = dependencies_.clock.now();
  auto& attempt = *attempt_;
  attempt.decision.replica->health().onHeard(now);
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
    attempt.decision.replica->readSpeed().learn(attempt.unread, now - attempt.sentAt);
    attempt.decision.replica->learnWait(now - attempt.sentAt);
  }
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
  dependencies_.holders.learnChain(base::engineIdOf(decision.replica->facts().instance),
                                   decision.scope, arrival_.prompt->chain);
  tellHome(decision);
}

void RelayFlow::beginAnswer(std::optional<std::uint64_t> length) {
  headDelivered_ = true;
  status_ = attempt_->answer->status;
  firstByteAfter_ = dependencies_.clock.now() - arrival_.arrivedAt;
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
      logLoss("the replica answered " + std::to_string(answer.status), {});
      goElsewhere();
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
    dependencies_.replicaEnds.onRunLost(attempt_->decision.replica, fingerprint_);
    onAttemptLost("the stream ended inside an event");
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
    const auto began = arrival_.arrivedAt + firstByteAfter_;
    dependencies_.runTimes.onEnd(assignment_.service->name, expectedOutput(),
                                 dependencies_.clock.now() - began);
  }
  finish(status_, base::ResultCode::kOk, false);
}

void RelayFlow::onFailure(clients::DispatchError error) {
  const auto self = shared_from_this();
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  if (error.failure == clients::DispatchFailure::kNotSent) {
    attempt_->outcome = routing::PlacementOutcome::kUnreachable;
    record.health().onUnreachable(now);
    if (retryElsewhere(error.reason.detail, Loss::kNeverArrived)) return;
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
  dependencies_.replicaEnds.onRunLost(attempt_->decision.replica, fingerprint_);
  onAttemptLost(error.reason.detail);
}

void RelayFlow::endAttempt() {
  if (!attempt_) return;
  endWait();
  endGrant();
  dependencies_.timers.cancel(silenceTimer_);
  dependencies_.timers.cancel(beginTimer_);
  attempt_->decision.replica->onFinished(attempt_->tokens);
  attempt_.reset();
  call_.reset();
}

void RelayFlow::onDeadline() {
  if (over_) return;
  const auto self = shared_from_this();
  if (headDelivered_) {
    cut("the time of the request is up");
  } else if (attempt_ || runs_ > 0) {
    refuse(base::ResultCode::kBackEndTimeout, "the time of the request is up", {});
  } else {
    refuse(base::ResultCode::kDeadlineUnreachable, "no replica in time",
           options_.retryAfterNoReplica);
  }
}

void RelayFlow::onCallerGone() {
  if (over_) return;
  finish(status_, base::ResultCode::kOk, true);
}

void RelayFlow::refuse(base::ResultCode code, std::string detail, base::Duration retryAfter) {
  refuse(
      RelayRefusal{{code, std::move(detail)}, base::describe(code).httpStatus, retryAfter, false});
}

void RelayFlow::refuse(const RelayRefusal& refusal) {
  dependencies_.log.write(base::Event::kRequestRefused,
                          {{"request", arrival_.request->id},
                           {"route", assignment_.route->name},
                           {"fingerprint", base::toString(fingerprint_)},
                           {"code", std::to_string(static_cast<unsigned>(refusal.reason.code))},
                           {"status", std::to_string(refusal.status)},
                           {"why", refusal.reason.detail},
                           {"runs", std::to_string(runs_)},
                           {"dispatches", std::to_string(dispatches_)},
                           {"retry_after_ms", millisecondsText(refusal.retryAfter)}});
  endAttempt();
  caller_->refuse(refusal);
  finish(refusal.status, refusal.reason.code, false);
}

void RelayFlow::cut(std::string_view why) {
  dependencies_.log.write(base::Event::kStreamBroken, {{"request", arrival_.request->id},
                                                       {"route", assignment_.route->name},
                                                       {"why", std::string{why}},
                                                       {"runs", std::to_string(runs_)},
                                                       {"last_event", events_.lastEventId()}});
  endAttempt();
  caller_->cut();
  finish(status_, base::ResultCode::kStreamBroken, false);
}

void RelayFlow::finish(unsigned status, base::ResultCode code, bool callerGone) {
  if (over_) return;
  const auto self = shared_from_this();
  over_ = true;
  // An attempt under way may run to its end though its connection closes.
  const bool running = attempt_ && !(attempt_->answer && notRun(*attempt_->answer));
  endAttempt();
  allowance_.end(runs_ + (running ? 1 : 0));
  dependencies_.timers.cancel(deadlineTimer_);
  dependencies_.timers.cancel(holdTimer_);
  const auto now = dependencies_.clock.now();
  const RelayOutcome outcome{
      status,
      code,
      dispatches_,
      firstByteAfter_,
      now - arrival_.arrivedAt,
      callerGone,
      cachedTokens_,
      fetchedTokens_,
      readTokens_,
      assignment_.tenant == nullptr ? std::nullopt : assignment_.tenant->priority};
  dependencies_.log.write(
      callerGone ? base::Event::kCallerDisconnected : base::Event::kRelayFinished,
      {{"request", arrival_.request->id},
       {"route", assignment_.route->name},
       {"status", std::to_string(status)},
       {"code", std::to_string(static_cast<unsigned>(code))},
       {"attempts", std::to_string(dispatches_)},
       {"first_byte_ms", millisecondsText(firstByteAfter_)},
       {"total_ms", millisecondsText(outcome.duration)}});
  dependencies_.observer.onRelayed(*assignment_.route, outcome);
  caller_.reset();
  hooks_.finished(*this);
}

}  // namespace covewing::request
