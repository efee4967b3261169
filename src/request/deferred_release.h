/// \file
/// Destroys objects a moment later, outside of the callback that they are in the middle of.
#pragma once

#include <memory>
#include <vector>

#include "base/time.h"
#include "request/one_shot_timer.h"

namespace covewing::request {

/// Owner of objects that await destruction.
class DeferredRelease {
 public:
  explicit DeferredRelease(base::TimerService& timers) : timer_(timers) {}

  /// Takes the object over and destroys it from a timer.
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
