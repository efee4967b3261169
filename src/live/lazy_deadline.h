/// \file
/// A deadline that is moved often and expires rarely, such as a connection's: moving it later costs
/// no timer operation. It counts the time that the machine is suspended (live/boot_clock.h).
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "base/time.h"

namespace covewing::live {

class LazyDeadline {
 public:
  /// `expired` runs when a deadline passes; not after this object is destroyed.
  LazyDeadline(const boost::asio::any_io_executor& executor, std::function<void()> expired);
  ~LazyDeadline();
  LazyDeadline(const LazyDeadline&) = delete;
  LazyDeadline& operator=(const LazyDeadline&) = delete;

  /// Replaces the deadline by one `delay` from now.
  void set(base::Duration delay);
  /// Removes the deadline.
  void clear();
  /// Removes the deadline and stops the timer.
  void stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace covewing::live
