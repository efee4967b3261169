// What follows from an attempt that did not give the answer: another one, or the end.
#include <algorithm>
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

namespace {
constexpr std::string_view kRetryBudgetUsedUp = "retry budget used up";
}  // namespace

void RelayFlow::onSilence() {
  if (over_ || !attempt_ || othersAreRateLimited()) return;
  const auto self = shared_from_this();
  const bool counted = attempt_->answer.has_value();
  if (!counted) ++runs_;
  if (!takeRetry(Loss::kMayHaveRun).empty()) {
    // Waiting on is better than giving up.
    if (!counted) --runs_;
    return;
  }
  auto& record = *attempt_->decision.replica;
  attempt_->outcome = routing::PlacementOutcome::kFailed;
  record.health().onFailure(dependencies_.clock.now(),
                            dependencies_.replicas.failureRateOfOthers(record));
  logLoss(RetryCause::kSilent, "the replica is silent", {});
  goElsewhere(RetryCause::kSilent);
}

bool RelayFlow::othersAreRateLimited() {
  auto others = query();
  others.excluded.push_back(attempt_->decision.replica->facts().instance);
  return dependencies_.choice.allRateLimited(others, dependencies_.clock.now());
}

void RelayFlow::onNotBegun() {
  if (!mayStillBegin()) return;
  logWithdrawal();
  onAttemptLost(RetryCause::kWeightsOutOfDate,
                "the version of the weights is out of date and the request has not begun");
}

void RelayFlow::logWithdrawal() {
  const auto now = dependencies_.clock.now();
  const auto& decision = attempt_->decision;
  dependencies_.log.write(base::Event::kRelayWithdrawn,
                          {{"request", arrival_.request->id},
                           {"route", assignment_.route->name},
                           {"replica", decision.replica->facts().instance},
                           {"attempt", std::to_string(dispatches_)},
                           {"model", arrival_.prompt->model},
                           {"weights", std::to_string(decision.version)},
                           {"after_ms", millisecondsText(now - attempt_->sentAt)},
                           {"late_ms", millisecondsText(now - *decision.startDeadline)},
                           {"head_seen", attempt_->headSeen ? "yes" : "no"},
                           {"left_ms", millisecondsText(timeLeft())}});
}

void RelayFlow::learnFromRefusal(const clients::RelayedAnswer& answer) {
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  if (answer.otherInstance) {
    record.setTerminated();
    return;
  }
  if (answer.status == kMisdirected) {
    const auto known = arrival_.prompt ? record.versionOf(arrival_.prompt->model) : 0;
    if (known == attempt_->decision.version) record.markVersionUncertain(now + options_.doubtFor);
    return;
  }
  attempt_->outcome = routing::PlacementOutcome::kRefused;
  // A replica that says for how long it wants rest is well: to eject it would keep others from it.
  if (answer.status == kServiceUnavailable && answer.rest > base::Duration::zero()) return;
  record.setAtCapacity(now + std::max(options_.fullFor, answer.rest));
  // Nor is one ill that says how much it takes.
  if (answer.rateLimit.limited()) return;
  record.health().onFailure(now, dependencies_.replicas.failureRateOfOthers(record));
}

void RelayFlow::onNotRun(const clients::RelayedAnswer& answer) {
  const auto self = shared_from_this();
  const clients::RelayedAnswer refusal = answer;
  learnFromRefusal(refusal);
  ++refusals_;
  if (refusal.status == kBadRequest && !headDelivered_) {
    finishWhole();
    return;
  }
  if (retryElsewhere(RetryCause::kRefused,
                     "the replica refused with " + std::to_string(refusal.status), Loss::kNotRun)) {
    return;
  }
  if (headDelivered_) {
    cut("no replica took the stream up");
  } else if (runs_ > 0) {
    refuse(base::ResultCode::kBackEndLost, "the replicas refused another attempt", {});
  } else {
    refuse(base::ResultCode::kBackEndRefused,
           "the replicas refused with " + std::to_string(refusal.status), kRetryAfterRefusals);
  }
}

void RelayFlow::onAttemptLost(RetryCause cause, std::string_view why) {
  const auto self = shared_from_this();
  if (!attempt_->answer) ++runs_;
  if (retryElsewhere(cause, why, Loss::kMayHaveRun)) return;
  if (headDelivered_) {
    cut(why);
  } else {
    refuse(base::ResultCode::kBackEndLost, std::string{why}, {});
  }
}

std::string_view RelayFlow::takeRetry(Loss loss) {
  const auto& route = *assignment_.route;
  const bool plainStarted = headDelivered_ && !resumable();
  if (plainStarted || (loss == Loss::kMayHaveRun && !route.repeatable())) return "not repeatable";
  const bool mayRunAgain = runs_ == 0 || (route.repeatable() && runs_ < route.attempts);
  if (!mayRunAgain || refusals_ > options_.mostRefusals) return "attempts used up";
  if (timeLeft() < kLeastTimeForAttempt) return "no time left";
  if (loss == Loss::kNeverArrived) {
    if (retry_) retry_->onNotDelivered();
    return {};
  }
  auto reserved =
      dependencies_.retries.reserve(assignment_.service->name, dependencies_.clock.now());
  if (!reserved) return kRetryBudgetUsedUp;
  retry_ = std::move(reserved);
  return {};
}

bool RelayFlow::countRetry(const routing::PlacementGrant& grant) {
  // It may have waited for a replica, while the requests that allowed it left the window.
  if (!retry_ || retry_->send(dependencies_.clock.now())) return true;
  dependencies_.placement.returnGrant(grant);
  refuseUnplaced(kRetryBudgetUsedUp, kRetryAfterRefusals);
  return false;
}

void RelayFlow::logLoss(RetryCause cause, std::string_view why, std::string_view obstacle) {
  const auto& service = assignment_.service->name;
  const auto use = dependencies_.retries.use(service, dependencies_.clock.now());
  dependencies_.log.write(
      obstacle.empty() ? base::Event::kRequestRetried : base::Event::kRelayAttemptFailed,
      {{"request", arrival_.request->id},
       {"replica", attempt_->decision.replica->facts().instance},
       {"attempt", std::to_string(dispatches_)},
       {"after_ms", millisecondsText(dependencies_.clock.now() - attempt_->sentAt)},
       {"service", service},
       {"cause", std::string{toString(cause)}},
       {"why", std::string{why}},
       {"retries_sent", std::to_string(use.sent)},
       {"retries_reserved", std::to_string(use.reserved)},
       {"retries_allowed", std::to_string(static_cast<std::uint32_t>(use.allowed))},
       {"runs", std::to_string(runs_)},
       {"last_event", events_.lastEventId()},
       {"left_ms", millisecondsText(timeLeft())},
       {"not_retried", std::string{obstacle}}});
}

bool RelayFlow::retryElsewhere(RetryCause cause, std::string_view why, Loss loss) {
  const auto obstacle = takeRetry(loss);
  logLoss(cause, why, obstacle);
  if (!obstacle.empty()) {
    endAttempt();
    return false;
  }
  goElsewhere(cause);
  return true;
}

void RelayFlow::goElsewhere(RetryCause cause) {
  retryCause_ = cause;
  excluded_.push_back(attempt_->decision.replica->facts().instance);
  endAttempt();
  events_.dropUnfinished();
  if (!headDelivered_) kept_.clear();
  choose();
}

}  // namespace covewing::request
