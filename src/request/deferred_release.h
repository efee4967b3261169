/// \file
/// Destroys objects from a timer, so that an object is not destroyed while one of its own callbacks
/// is running.
#pragma once

#include <memory>
#include <vector>

#include "base/time.h"
#include "request/one_shot_timer.h"

namespace covewing::request {

/// Owns objects that are waiting to be destroyed.
class DeferredRelease {
 public:
  explicit DeferredRelease(base::TimerService& timers) : timer_(timers) {}

  /// Takes ownership of the object and destroys it from a timer.
  void add(std::shared_ptr<void> object) {
    objects_.push_back(std::move(object));
    if (!timer_.running()) timer_.start(base::Duration::zero(), [this] { releaseAll(); });
  }

 private:
  void releaseAll() {
    std::vector<std::shared_ptr<void>> objects;
    objects.swap(objects_);
  }

  std::vector<std::shared_ptr<void>> objects_;
  OneShotTimer timer_;
};

}  // namespace covewing::request
