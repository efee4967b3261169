/// \file
/// Order between timers and input after the event loop was late, because the process stood still or
/// got too little processor time.
///
/// Then timers are due and input waits to be read at the same moment. A timer that decided first
/// would act as if nothing had arrived: close the connection of a request, give up an attempt whose
/// answer is there, suspect a node whose reply is there. So timers that run late run after the
/// input that waits.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "live/boot_clock.h"

namespace covewing::live {

/// A timer that runs later than this after it was due is late.
inline constexpr base::Duration kTimerLateness = std::chrono::milliseconds(10);
/// Maximum time for which a late timer waits for handlers of input. Connections look at their own
/// sockets beyond it.
inline constexpr base::Duration kMaximumInputTime = std::chrono::milliseconds(100);
/// After timers have waited for input, they do not wait again for this many times as long: the loop
/// of an overloaded node is late all the time, and its timers must not be starved.
inline constexpr int kPauseBetweenWaits = 9;

/// Calls `expired` for a timer that was due at `due`: at once if it is not late or timers have
/// waited for input just before, otherwise after the handlers of the input that waits have run. To
/// be called as the only act of a handler, since the other handlers run inside this call.
void runExpired(boost::asio::io_context& context, BootClock::time_point due,
                std::function<void()> expired);

}  // namespace covewing::live
