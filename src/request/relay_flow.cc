#include "request/relay_flow.h"

#include <algorithm>
#include <utility>

#include "request/relay_flow_internal.h"
#include "request/request_fingerprint.h"

namespace covewing::request {

namespace {

base::RequestFingerprint fingerprintOf(const IncomingRequest& arrival,
                                       const RelayAssignment& assignment) {
  return request::fingerprintOf(*arrival.request, assignment.tenant == nullptr
                                                      ? std::string_view{}
                                                      : assignment.tenant->name);
}

}  // namespace

RelayFlow::RelayFlow(RelayDependencies dependencies, const RelayOptions& options,
                     IncomingRequest arrival, RelayAssignment assignment,
                     std::unique_ptr<ResponseWriter> caller, Hooks hooks)
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
  dependencies_.placement.cancel(placementTicket_);
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
  usefulUntil_ = arrival_.arrivedAt + held;
  dependencies_.retries.onRequest(assignment_.service->name, now);
  if (runsLong())
    dependencies_.requestDurations.onLongRun(assignment_.service->name, expectedOutputTokens(),
                                             now);
  deadlineTimer_ = dependencies_.timers.schedule(deadline_ - now, [this] { onDeadline(); });
  caller_->onPressure([this](bool high) {
    paused_ = high;
    if (attempt_) attempt_->watch.onReadingPaused();
    if (call_) call_->setPaused(high);
  });
  allowance_.ask([weak = weak_from_this()](const admission::QuotaVerdict& verdict) {
    const auto flow = weak.lock();
    if (flow && !flow->over_) flow->onAllowance(verdict);
  });
}

void RelayFlow::onAllowance(const admission::QuotaVerdict& verdict) {
  if (verdict.outcome == admission::QuotaOutcome::kGranted) {
    if (verdict.nearLimit) {
      holdUntil_ = std::min(holdUntil_, dependencies_.clock.now() + options_.holdAtLimit);
      usefulUntil_ = std::min(usefulUntil_, holdUntil_);
    }
    choose();
    return;
  }
  const bool rateLimited = verdict.outcome == admission::QuotaOutcome::kRateLimited;
  refuse(rateLimited ? base::ResultCode::kRateLimited : base::ResultCode::kConcurrencyLimited,
         describeRefusal(*assignment_.demand, verdict), verdict.retryAfter);
}

std::uint32_t RelayFlow::wantedTokens() const {
  if (!arrival_.prompt) return 0;
  return arrival_.prompt->promptTokens + arrival_.prompt->maximumOutputTokens;
}

std::uint32_t RelayFlow::promptTokens() const {
  return arrival_.prompt ? arrival_.prompt->promptTokens : 0;
}

std::uint32_t RelayFlow::expectedOutputTokens() const {
  return arrival_.prompt ? arrival_.prompt->expectedOutputTokens() : 0;
}

bool RelayFlow::runsLong() const {
  // Where much of the prompt is shared, what is cached counts for more.
  if (!arrival_.prompt || arrival_.prompt->chain.sharedTokens() > expectedOutputTokens())
    return false;
  return dependencies_.requestDurations.isLong(assignment_.service->name, expectedOutputTokens());
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
  query.acceptableWait = assignment_.route->targetLatency;
  query.longRun = runsLong();
  if (query.longRun && query.engine != nullptr) {
    query.longRunReplicas = dependencies_.requestDurations.replicasForLongRuns(
        query.service, query.engine->slots, hooks_.nodes(), dependencies_.clock.now());
  }
  if (assignment_.tenant != nullptr && assignment_.tenant->isolated)
    query.isolatedTenant = assignment_.tenant->name;
  return query;
}

std::uint32_t RelayFlow::urgency() const {
  const auto* tenant = assignment_.tenant;
  return tenant != nullptr ? tenant->priority.value_or(assignment_.route->priority)
                           : assignment_.route->priority;
}

std::string RelayFlow::tenantName() const {
  return assignment_.tenant == nullptr ? std::string{} : assignment_.tenant->name;
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
  } else if (!decision.preferenceOrder.empty() && now >= askAgainAt_) {
    askHomes(decision);
  } else {
    decideAlone(std::move(decision));
  }
}

void RelayFlow::decideAlone(routing::ReplicaDecision decision) {
  if (!decision.replica) {
    if (decision.backOffEnds && passedOver_.empty() && !triedOneTakesRequests()) {
      waitForRest(*decision.backOffEnds, decision.reason);
      return;
    }
    const bool passedOver = !passedOver_.empty();
    passedOver_.clear();
    hold(decision.reason, passedOver ? options_.askAgainAfter : options_.holdInterval);
    return;
  }
  const auto candidate = dependencies_.choice.candidateOf(query(), decision.replica, promptTokens(),
                                                          decision.heldTokens());
  const auto grant =
      dependencies_.placement.dispatchUngranted(candidate, assignment_.route->gapTarget);
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
  refuseUnplaced(why, options_.retryAfterNoReplica);
}

bool RelayFlow::triedOneTakesRequests() const {
  const auto now = dependencies_.clock.now();
  return std::ranges::any_of(excluded_, [&](const auto& instance) {
    const auto record = dependencies_.replicas.find(instance);
    return record != nullptr && record->acceptsRequests(now);
  });
}

void RelayFlow::waitForRest(base::TimePoint end, std::string_view why) {
  const auto left = end - dependencies_.clock.now();
  // A stream that has begun is not begun anew by its caller: it waits for as long as it may last.
  if (end > (headDelivered_ ? deadline_ : holdUntil_)) {
    refuseUnplaced(why, left);
    return;
  }
  holdTimer_ = dependencies_.timers.schedule(left, [this] {
    // Those that were tried have rested as well.
    excluded_.clear();
    choose();
  });
}

void RelayFlow::refuseUnplaced(std::string_view why, base::Duration retryAfter) {
  if (headDelivered_) {
    cut(why);
  } else if (runs_ > 0) {
    refuse(base::ResultCode::kBackEndLost, std::string{why}, {});
  } else {
    refuse(base::ResultCode::kNoBackEnd, std::string{why}, retryAfter);
  }
}

}  // namespace covewing::request
