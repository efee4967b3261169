/// \file
/// How many admitted requests may wait for their first token at a time on this node: grows by one a
/// round while first tokens come within their target, and shrinks by a share when they do not, as a
/// congestion window does. Less urgent classes may use less of it.
#pragma once

#include <array>
#include <cstdint>

#include "admission/admission_options.h"
#include "base/priority.h"
#include "base/time.h"

namespace covewing::admission {

class AdmissionWindow {
 public:
  explicit AdmissionWindow(const WindowOptions& options)
      : options_(options), size_(options.initial) {}

  /// A request came to its end of waiting: with its first token, or without one, after `wait`.
  void onWaited(base::Duration wait, base::Duration target, std::uint32_t waiting,
                base::TimePoint now);
  /// Whether one more request of the class may wait beside `waiting` others.
  bool admits(base::PriorityClass priority, std::uint32_t waiting) const;
  double size() const { return size_; }

 private:
  WindowOptions options_;
  double size_;
  base::TimePoint shrunkAt_;
};

}  // namespace covewing::admission
