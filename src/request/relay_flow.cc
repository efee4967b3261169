#include "request/relay_flow.h"

#include <algorithm>
#include <utility>

#include "request/relay_flow_internal.h"
#include "request/request_fingerprint.h"

namespace covewing::request {

namespace {

base::RequestFingerprint fingerprintOf(const IncomingRequest& incoming,
                                       const RelayAssignment& assignment) {
  return request::fingerprintOf(*incoming.request, assignment.tenant == nullptr
                                                       ? std::string_view{}
                                                       : assignment.tenant->name);
}

RelayRefusal refusalOfRequest(const quarantine::QuarantineStatus& status) {
  constexpr auto kCode = base::ResultCode::kRequestQuarantined;
  return {{kCode, std::to_string(status.crashes) + " replicas ended under runs of this request"},
          base::describe(kCode).httpStatus,
          status.remaining,
          false};
}

/// `position` counts from 1; `part` is the identifier as in the log of dispatches.
RelayRefusal refusalOfPart(const quarantine::QuarantineStatus& status, std::size_t position,
                           std::uint64_t part) {
  constexpr auto kCode = base::ResultCode::kPromptPartQuarantined;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(status.remaining).count();
  return {{kCode, std::to_string(status.crashes) + " replicas ended under runs with part " +
                      std::to_string(position) + " of the prompt (" + std::to_string(part) +
                      "); it is refused for " + std::to_string(seconds) + " s"},
          base::describe(kCode).httpStatus,
          status.remaining,
          false};
}

}  // namespace

RelayFlow::RelayFlow(RelayDependencies dependencies, const RelayOptions& options,
                     IncomingRequest incoming, RelayAssignment assignment,
                     std::unique_ptr<ResponseWriter> writer, Hooks hooks)
    : dependencies_(dependencies),
      options_(options),
      incoming_(std::move(incoming)),
      assignment_(std::move(assignment)),
      fingerprint_(fingerprintOf(incoming_, assignment_)),
      features_(findFeatures()),
      writer_(std::move(writer)),
      hooks_(std::move(hooks)),
      allowance_(dependencies_.quotas, assignment_.demand) {}

RelayFlow::~RelayFlow() {
  dependencies_.timers.cancel(deadlineTimer_);
  dependencies_.timers.cancel(holdTimer_);
  dependencies_.timers.cancel(receiveTimer_);
  dependencies_.timers.cancel(startDeadlineTimer_);
  dependencies_.timers.cancel(linkTimer_);
  dependencies_.timers.cancel(latestDispatchTimer_);
  dependencies_.timers.cancel(runEndTimer_);
  dependencies_.placement.cancel(placementTicket_);
  if (attempt_) endAttempt();
  allowance_.end(executions_);
}

void RelayFlow::start() {
  if (!verifyDispatchAllowed()) return;
  const auto& route = *assignment_.route;
  const auto now = dependencies_.clock.now();
  const auto limit = std::min(route.timeout, incoming_.deadline.value_or(route.timeout));
  deadline_ = incoming_.arrivedAt + limit;
  const auto firstEventWait = route.firstEventPatience;
  const auto usableTime = firstEventWait.count() == 0 ? limit : std::min(limit, firstEventWait);
  holdUntil_ = incoming_.arrivedAt +
               std::chrono::duration_cast<base::Duration>(usableTime * options_.holdShare);
  hardStartDeadline_ = incoming_.arrivedAt + usableTime;
  if (now >= holdUntil_) {
    // Requests that arrive meanwhile would be read even later if this one was served.
    refuse(base::ResultCode::kNodeOverloaded,
           "the request lay unread for " + millisecondsText(incoming_.readDelay) + " ms",
           options_.retryAfterNoReplica);
    return;
  }
  if (hooks_.lastResponsesAt) applyNodeStop();
  if (tooLateForNode()) {
    refuseBecauseNodeStops();
    return;
  }
  if (!resumesStream()) countRequest();
  deadlineTimer_ = dependencies_.timers.schedule(deadline_ - now, [this] { onDeadline(); });
  writer_->onPressure([this](bool high) { onPressure(high); });
  allowance_.acquire([weak = weak_from_this()](const admission::QuotaVerdict& verdict) {
    const auto flow = weak.lock();
    if (flow && !flow->ended_) flow->onAllowance(verdict);
  });
}

void RelayFlow::onPressure(bool high) {
  paused_ = high;
  if (call_) call_->setPaused(high);
  if (!attempt_) return;
  attempt_->watch.onReadingPaused();
  // While nothing is read, silence is not the replica's.
  if (replacement_) keepAttempt("the caller reads slowly");
  armReceiveTimeout();
}

void RelayFlow::countRequest() {
  const auto now = dependencies_.clock.now();
  const auto& service = assignment_.service->name;
  dependencies_.retries.onRequest(service, now);
  if (isLongRunning())
    dependencies_.requestDurations.onLongRun(service, expectedOutputTokens(), now);
}

void RelayFlow::onAllowance(const admission::QuotaVerdict& verdict) {
  if (verdict.outcome == admission::QuotaOutcome::kGranted) {
    if (verdict.nearLimit) {
      holdUntil_ = std::min(holdUntil_, dependencies_.clock.now() + options_.holdNearQuota);
      hardStartDeadline_ = std::min(hardStartDeadline_, holdUntil_);
    }
    if (resumesStream()) {
      findStreamOrigin();
    } else {
      choose();
    }
    return;
  }
  const bool rateLimited = verdict.outcome == admission::QuotaOutcome::kRateLimited;
  refuse(rateLimited ? base::ResultCode::kRateLimited : base::ResultCode::kConcurrencyLimited,
         describeRefusal(*assignment_.demand, verdict), verdict.retryAfter);
}

const config::Route* RelayFlow::routeInForce() const {
  return hooks_.tableInForce()->findRoute(incoming_.host, incoming_.path);
}

bool RelayFlow::repeatable() const {
  const auto* inForce = routeInForce();
  // A route that was removed says nothing about the requests that it has let in.
  return assignment_.route->repeatable() && (inForce == nullptr || inForce->repeatable());
}

std::uint32_t RelayFlow::mostRuns() const {
  if (!repeatable()) return 1;
  const auto attempts = assignment_.route->attempts;
  const auto* inForce = routeInForce();
  return inForce == nullptr ? attempts : std::min(attempts, inForce->attempts);
}

std::uint32_t RelayFlow::maximumTotalTokens() const {
  if (!incoming_.prompt) return 0;
  return incoming_.prompt->promptTokens + incoming_.prompt->maximumOutputTokens;
}

std::uint32_t RelayFlow::promptTokens() const {
  return incoming_.prompt ? incoming_.prompt->promptTokens : 0;
}

std::uint32_t RelayFlow::expectedOutputTokens() const {
  return incoming_.prompt ? incoming_.prompt->expectedOutputTokens() : 0;
}

bool RelayFlow::isLongRunning() const {
  // If much of the prompt is shared, cache hits matter more than separating long-running requests.
  if (!incoming_.prompt || incoming_.prompt->chain.sharedTokens() > expectedOutputTokens())
    return false;
  return dependencies_.requestDurations.isLong(assignment_.service->name, expectedOutputTokens());
}

routing::ReplicaQuery RelayFlow::query() const {
  routing::ReplicaQuery query;
  query.service = assignment_.service->name;
  query.excluded = excluded_;
  query.excluded.insert(query.excluded.end(), skippedReplicas_.begin(), skippedReplicas_.end());
  query.softwareVersion = softwareVersion_;
  query.needsKnownVersion = resumable();
  if (assignment_.service->engine) query.engine = &*assignment_.service->engine;
  if (!incoming_.prompt) return query;
  query.model = incoming_.prompt->model;
  query.chain = &incoming_.prompt->chain;
  query.tokens = maximumTotalTokens();
  query.acceptableWait = assignment_.route->targetLatency;
  query.longRun = isLongRunning();
  if (query.longRun && query.engine != nullptr) {
    query.longRunReplicas = dependencies_.requestDurations.replicasForLongRuns(
        query.service, query.engine->slots, hooks_.nodes(), dependencies_.clock.now());
  }
  query.cachePartition = cachePartition();
  return query;
}

std::string RelayFlow::cachePartition() const {
  const auto table = hooks_.tableInForce();
  if (assignment_.tenant == nullptr) return table->sharedCachePartition();
  // Whoever was isolated when the request arrived, or is now, stays apart.
  const auto* inForce = table->findTenantByName(assignment_.tenant->name);
  const bool isolated = assignment_.tenant->isolated || (inForce != nullptr && inForce->isolated);
  return isolated ? config::isolatedCachePartition(assignment_.tenant->name)
                  : table->sharedCachePartition();
}

std::uint32_t RelayFlow::urgency() const {
  const auto* tenant = assignment_.tenant;
  return tenant != nullptr ? tenant->priority.value_or(assignment_.route->priority)
                           : assignment_.route->priority;
}

std::string RelayFlow::tenantName() const {
  return assignment_.tenant == nullptr ? std::string{} : assignment_.tenant->name;
}

std::optional<RelayRefusal> RelayFlow::dispatchRefusal() const {
  if (executions_ > 0 && !repeatable()) {
    constexpr auto kCode = base::ResultCode::kBackEndLost;
    return RelayRefusal{{kCode, "the configuration in force does not allow another run"},
                        base::describe(kCode).httpStatus,
                        {},
                        false};
  }
  auto refusal = quarantineRefusal();
  if (!refusal) refusal = hooks_.check(incoming_);
  const bool promises = refusal && promisesNotRun(refusal->status);
  if (!promises || executions_ == 0) return refusal;
  // An attempt may have been executed. If the refusal promised otherwise, the caller could conclude
  // that a change was not made.
  constexpr auto kCode = base::ResultCode::kBackEndLost;
  return RelayRefusal{{kCode, refusal->reason.detail}, base::describe(kCode).httpStatus, {}, false};
}

std::optional<RelayRefusal> RelayFlow::quarantineRefusal() const {
  for (std::size_t index = 0; index < features_.size(); ++index) {
    const auto quarantined = dependencies_.quarantine.find(features_[index]);
    if (!quarantined) continue;
    if (index == 0) return refusalOfRequest(*quarantined);
    return refusalOfPart(*quarantined, index, incoming_.prompt->chain.parts()[index - 1].id);
  }
  return std::nullopt;
}

std::string RelayFlow::quarantinedPart() const {
  const auto found = std::ranges::find_if(features_, [this](const auto& feature) {
    return feature.kind == base::FeatureKind::kPromptPart && dependencies_.quarantine.find(feature);
  });
  return found == features_.end() ? std::string{} : base::toString(*found);
}

base::RequestFeatures RelayFlow::findFeatures() const {
  base::RequestFeatures features{base::featureOf(fingerprint_)};
  if (!incoming_.prompt) return features;
  const auto parts = partFeaturesOf(incoming_.prompt->chain, assignment_.service->name);
  features.insert(features.end(), parts.begin(), parts.end());
  return features;
}

bool RelayFlow::verifyDispatchAllowed() {
  const auto refusal = dispatchRefusal();
  if (!refusal) return true;
  if (replacement_) {
    keepAttempt(refusal->reason.detail);
  } else if (headDelivered_) {
    abortStream("the request may no longer be sent: " + refusal->reason.detail);
  } else {
    refuse(*refusal);
  }
  return false;
}

bool RelayFlow::seeksReplica() const {
  if (!attempt_) return true;
  return replacement_ && replacement_->searching && !replacement_->accepted;
}

void RelayFlow::choose() {
  // A reply for a search that has ended may arrive while the attempt goes on.
  if (ended_ || !seeksReplica() || !verifyDispatchAllowed()) return;
  if (tooLateForNode()) {
    refuseBecauseNodeStops();
    return;
  }
  const auto now = dependencies_.clock.now();
  auto decision = dependencies_.replicaSelector.choose(query(), hooks_.nodes(), now);
  if (decision.softwareVersionGone) {
    refuseWithoutSoftwareVersion();
  } else if (shouldLookUpHolders(decision)) {
    lookUpHolders(decision.scope);
  } else if (!decision.preferenceOrder.empty() && now >= nextPlacementAt_) {
    requestPlacement(decision);
  } else {
    decideLocally(std::move(decision));
  }
}

void RelayFlow::decideLocally(routing::ReplicaDecision decision) {
  if (!decision.replica) {
    if (decision.backOffEnds && skippedReplicas_.empty() && !anyTriedReplicaAccepts()) {
      waitForBackOff(*decision.backOffEnds, decision.reason);
      return;
    }
    const bool skipped = !skippedReplicas_.empty();
    skippedReplicas_.clear();
    hold(decision.reason, skipped ? options_.placementRetryInterval : options_.holdRetryInterval);
    return;
  }
  const auto candidate = dependencies_.replicaSelector.candidateOf(
      query(), decision.replica, promptTokens(), decision.heldTokens());
  const auto grant =
      dependencies_.placement.dispatchUngranted(candidate, assignment_.route->gapTarget);
  dispatch(std::move(decision), grant);
}

void RelayFlow::hold(std::string_view why, base::Duration interval) {
  const auto now = dependencies_.clock.now();
  const bool overdue = now >= holdUntil_;
  if (overdue && replacement_) {
    keepAttempt(why);
    return;
  }
  if (!overdue || !excluded_.empty()) {
    // At the end of the hold time, a replica that failed once is better than none.
    if (overdue) excluded_.clear();
    holdTimer_ = dependencies_.timers.schedule(interval, [this] { choose(); });
    return;
  }
  refuseUnplaced(why, options_.retryAfterNoReplica);
}

bool RelayFlow::anyTriedReplicaAccepts() const {
  const auto now = dependencies_.clock.now();
  return std::ranges::any_of(excluded_, [&](const auto& instance) {
    const auto record = dependencies_.replicas.find(instance);
    return record != nullptr && record->acceptsRequests(now);
  });
}

void RelayFlow::waitForBackOff(base::TimePoint end, std::string_view why) {
  const auto left = end - dependencies_.clock.now();
  // The caller cannot start a stream over once it has begun, so such a stream waits up to its
  // deadline.
  const auto latest = headDelivered_ ? deadline_ : holdUntil_;
  if (end > std::min(latest, latestDispatch_.value_or(latest))) {
    refuseUnplaced(why, left);
    return;
  }
  waitingForBackOff_ = true;
  holdTimer_ = dependencies_.timers.schedule(left, [this] {
    waitingForBackOff_ = false;
    // The back-off of the replicas that were tried has ended as well.
    excluded_.clear();
    if (replacement_) excluded_.push_back(attempt_->decision.replica->facts().instance);
    choose();
  });
}

void RelayFlow::refuseUnplaced(std::string_view why, base::Duration retryAfter) {
  if (replacement_) {
    keepAttempt(why);
  } else if (headDelivered_) {
    abortStream(why);
  } else if (executions_ > 0) {
    refuse(base::ResultCode::kBackEndLost, std::string{why}, {});
  } else if (latestDispatch_) {
    constexpr auto kCode = base::ResultCode::kNodeDraining;
    refuse(RelayRefusal{{kCode, std::string{why}},
                        base::describe(kCode).httpStatus,
                        options_.retryAfterNodeStops,
                        true});
  } else {
    refuse(base::ResultCode::kNoBackEnd, std::string{why}, retryAfter);
  }
}

}  // namespace covewing::request
