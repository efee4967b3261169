/// \file
/// A deadline that is moved often and expires rarely, such as that of a connection: moving it to a
/// later time needs no timer operation. Time for which the machine is suspended counts
/// (live/boot_clock.h).
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "base/time.h"

namespace covewing::live {

class LazyDeadline {
 public:
  /// `expired` is called when a deadline expires, but not after this object is destroyed.
  LazyDeadline(const boost::asio::any_io_executor& executor, std::function<void()> expired);
  ~LazyDeadline();
  LazyDeadline(const LazyDeadline&) = delete;
  LazyDeadline& operator=(const LazyDeadline&) = delete;

  /// Replaces the deadline with one that expires `delay` from now.
  void set(base::Duration delay);
  /// Removes the deadline.
  void clear();
  /// How much later than due the callback that is running was called.
  base::Duration lateness() const;
  /// Removes the deadline and stops the timer.
  void stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace covewing::live
