// RelayFlow: what becomes of a request while its node stops as planned.
#include <algorithm>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

namespace {
constexpr std::string_view kNodeStops = "this node stops before it could be answered";
}  // namespace

void RelayFlow::onNodeStopping(base::TimePoint lastResponsesAt) {
  if (ended_) return;
  const auto self = shared_from_this();
  hooks_.lastResponsesAt = lastResponsesAt;
  applyNodeStop();
  // A request that waits in the queue of a home node, or for the end of a back-off, does so by its
  // former deadlines.
  const bool inQueue = placementTicket_ != 0;
  if (!inQueue && !waitingForBackOff_) return;
  dependencies_.placement.cancel(std::exchange(placementTicket_, 0));
  dependencies_.timers.cancel(holdTimer_);
  waitingForBackOff_ = false;
  choose();
}

void RelayFlow::applyNodeStop() {
  const auto usual = dependencies_.requestDurations.usualAnswerTime(assignment_.service->name);
  latestDispatch_ = *hooks_.lastResponsesAt - usual;
  holdUntil_ = std::min(holdUntil_, *latestDispatch_);
  hardStartDeadline_ = std::min(hardStartDeadline_, *latestDispatch_);
  const auto left = std::max(*latestDispatch_ - dependencies_.clock.now(), base::Duration::zero());
  dependencies_.timers.cancel(latestDispatchTimer_);
  latestDispatchTimer_ = dependencies_.timers.schedule(left, [this] {
    const bool waiting = !attempt_ || replacement_;
    if (!ended_ && waiting) refuseBecauseNodeStops();
  });
}

bool RelayFlow::tooLateForNode() const {
  return latestDispatch_ && dependencies_.clock.now() >= *latestDispatch_;
}

void RelayFlow::refuseBecauseNodeStops() {
  const auto self = shared_from_this();
  refuseUnplaced(kNodeStops, options_.retryAfterNodeStops);
}

bool RelayFlow::provablyNotRun() const {
  if (executions_ > 0) return false;
  if (!attempt_) return true;
  if (attempt_->response) return wasNotRun(*attempt_->response);
  return call_ && !call_->mayHaveBeenSent();
}

void RelayFlow::onNodeEnding() {
  if (ended_) return;
  const auto self = shared_from_this();
  if (headDelivered_) {
    abortStream("this node ends");
    return;
  }
  const auto code =
      provablyNotRun() ? base::ResultCode::kNodeDraining : base::ResultCode::kBackEndTimeout;
  const auto retryAfter = provablyNotRun() ? options_.retryAfterNodeStops : base::Duration::zero();
  refuse(RelayRefusal{
      {code, std::string{kNodeStops}}, base::describe(code).httpStatus, retryAfter, true});
}

}  // namespace covewing::request
