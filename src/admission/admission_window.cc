#include "admission/admission_window.h"

#include <algorithm>

namespace covewing::admission {

using base::Duration;
using base::TimePoint;

void AdmissionWindow::onWaited(Duration wait, Duration target, std::uint32_t waiting,
                               TimePoint now) {
  if (wait > target) {
    // Requests admitted before the last reduction carry no information about the reduced window.
    if (now - wait < shrunkAt_) return;
    size_ = std::max(options_.minimum, size_ * options_.shrinkFactor);
    shrunkAt_ = now;
    return;
  }
  // A window that is not fully used is not tested by the requests that it admits.
  if (2.0 * waiting < size_) return;
  size_ = std::min(options_.maximum, size_ + 1.0 / size_);
}

bool AdmissionWindow::admits(base::PriorityClass priority, std::uint32_t waiting) const {
  const double share = options_.classShare.at(static_cast<std::size_t>(priority));
  return waiting < std::max(1.0, size_ * share);
}

}  // namespace covewing::admission
