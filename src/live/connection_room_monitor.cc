#include "live/connection_room_monitor.h"

#include <string>

namespace covewing::live {

void ConnectionRoomMonitor::onAcceptDelay(std::string_view listener, const AcceptDelay& delay) {
  const auto now = clock_.now();
  if (now < nextDelayReportAt_) return;
  nextDelayReportAt_ = now + kReportInterval;
  log_.write(base::Event::kAcceptDelayed, {{"listener", std::string{listener}},
                                           {"why", delay.why},
                                           {"open", std::to_string(delay.openConnections)},
                                           {"maximum", std::to_string(delay.maximum)}});
}

void ConnectionRoomMonitor::onClosedForRoom(std::size_t open) {
  ++closed_;
  const auto now = clock_.now();
  if (now < nextCloseReportAt_) return;
  nextCloseReportAt_ = now + kReportInterval;
  log_.write(
      base::Event::kIdleConnectionsClosed,
      {{"closed", std::to_string(closed_ - reportedClosed_)}, {"open", std::to_string(open)}});
  reportedClosed_ = closed_;
}

}  // namespace covewing::live
