/// \file
/// Limits how many admitted requests may wait for their first token at a time on this node. Works
/// like a congestion window: it grows by one per round while first tokens arrive within their
/// target, and shrinks by a factor when they do not. Less urgent classes may use only a part of it.
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

  /// A request stopped waiting after `wait`, with or without a first token. `waiting` is the number
  /// of requests that were waiting at that time.
  void onWaited(base::Duration wait, base::Duration target, std::uint32_t waiting,
                base::TimePoint now);
  /// Whether one more request of the class may wait in addition to `waiting` others.
  bool admits(base::PriorityClass priority, std::uint32_t waiting) const;
  double size() const { return size_; }

 private:
  WindowOptions options_;
  double size_;
  base::TimePoint shrunkAt_;
};

}  // namespace covewing::admission
