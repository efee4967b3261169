#include "live/planned_stop.h"

#include <algorithm>
#include <utility>

namespace covewing::live {

namespace {

/// Time from the start of the stop until new requests are refused: by then, a client that polls the
/// readiness every second has polled it twice.
constexpr base::Duration kNoticeTime = std::chrono::milliseconds(2600);
/// The process ends this long before the end of the grace period.
constexpr base::Duration kGraceMargin = std::chrono::milliseconds(350);
/// Time before the end of the process at which all open requests are ended with a response, so that
/// it is written and read.
constexpr base::Duration kLastResponseTime = std::chrono::milliseconds(250);
constexpr base::Duration kStepInterval = std::chrono::milliseconds(50);
/// Time for which a node that has stopped accepting connections reads and refuses what has arrived.
constexpr base::Duration kCloseTime = std::chrono::milliseconds(100);

}  // namespace

base::TimePoint PlannedStop::endsAt() const { return begunAt_ + grace_ - kGraceMargin; }
base::TimePoint PlannedStop::lastResponsesAt() const { return endsAt() - kLastResponseTime; }

std::size_t PlannedStop::openRequests() const {
  return environment_.service.openRequests() + environment_.peerRelay.open();
}

std::size_t PlannedStop::cutWork() const {
  const auto connections = environment_.callerServer.connectionsCutByExit() +
                           environment_.relayServer.connectionsCutByExit();
  return std::max(openRequests(), connections);
}

std::size_t PlannedStop::openWork() const {
  const auto connections = environment_.callerServer.unfinishedConnections() +
                           environment_.relayServer.unfinishedConnections();
  return std::max(openRequests(), connections);
}

void PlannedStop::begin(std::function<void()> ended) {
  if (std::exchange(begun_, true)) return;
  ended_ = std::move(ended);
  begunAt_ = environment_.clock.now();
  environment_.log.write(base::Event::kNodeDraining, {{"open", std::to_string(openWork())}});
  environment_.service.stopBy(lastResponsesAt());
  environment_.callerServer.announceClose();
  environment_.relayServer.announceClose();
  step();
}

void PlannedStop::step() {
  const auto now = environment_.clock.now();
  const bool overdue = lastResponsesGiven_ && now >= endsAt();
  const bool noticed = now - begunAt_ >= kNoticeTime;
  if (noticed) turnCallersAway();
  if (!lastResponsesGiven_ && now >= lastResponsesAt()) giveLastResponses();
  const bool idle = openWork() == 0;
  if (noticed && idle && !closingSince_) {
    // What waits in the listen queues and sockets is read and refused before the process ends.
    closingSince_ = now;
    environment_.callerServer.stopAcceptingAndCloseIdle();
    environment_.relayServer.stopAcceptingAndCloseIdle();
  }
  const bool closed = closingSince_ && idle && now - *closingSince_ >= kCloseTime;
  if (overdue || closed) {
    endProcess();
    return;
  }
  environment_.timers.schedule(kStepInterval, [this] { step(); });
}

void PlannedStop::turnCallersAway() {
  environment_.service.refuseNewRequests();
  environment_.peerRelay.refuseNewRequests();
  environment_.callerServer.closeIdleConnections();
  environment_.relayServer.closeIdleConnections();
}

void PlannedStop::giveLastResponses() {
  lastResponsesGiven_ = true;
  environment_.service.endRequests();
  environment_.peerRelay.endRequests();
}

void PlannedStop::endProcess() {
  environment_.log.write(base::Event::kNodeStopped, {{"open", std::to_string(cutWork())}});
  environment_.callerServer.closeForExit();
  environment_.relayServer.closeForExit();
  ended_();
}

}  // namespace covewing::live
