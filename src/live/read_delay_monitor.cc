#include "live/read_delay_monitor.h"

#include <algorithm>
#include <string>

namespace covewing::live {

void ReadDelayMonitor::record(base::Duration delay) {
  if (delay <= kLate) return;
  ++late_;
  longest_ = std::max(longest_, delay);
  const auto now = clock_.now();
  if (now < nextReportAt_) return;
  log_.write(base::Event::kReadingLate, {{"requests", std::to_string(late_)},
                                         {"longest_ms", base::millisecondsText(longest_)}});
  nextReportAt_ = now + kReportInterval;
  late_ = 0;
  longest_ = {};
}

}  // namespace covewing::live
