/// \file
/// What happens when a handler of an event loop throws.
///
/// Bytes from outside must not make a handler throw: parsers check them, and reserve memory only
/// for what has arrived. This is the net below that, for faults that remain and for memory that
/// cannot be had. `runHandler` ends only what the handler served: its connection, or one message.
/// An exception that leaves the handlers, such as one of a timer, is caught by `runEventLoop`: what
/// the handler would have done next, such as scheduling its next run, is missing from then on, so
/// the node stops in an orderly way and a new process starts from a clean state.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

#include "base/event_log.h"

namespace covewing::live {

/// Passes on what handlers of one io_context threw. A service of the context, so that each part
/// that runs handlers there finds it.
class HandlerFailures final : public boost::asio::execution_context::service {
 public:
  /// `source` names the kind of handler, `what` the exception.
  using Listener = std::function<void(std::string_view source, std::string_view what)>;

  static boost::asio::execution_context::id id;  // NOLINT(readability-identifier-naming): by Asio

  explicit HandlerFailures(boost::asio::execution_context& context) : service(context) {}

  static HandlerFailures& of(boost::asio::execution_context& context) {
    return boost::asio::use_service<HandlerFailures>(context);
  }

  void setListener(Listener listener) { listener_ = std::move(listener); }
  /// Tells the listener. Never throws.
  void report(std::string_view source, std::string_view what) noexcept;
  /// As `report`, for the exception that is being handled.
  void reportCurrentException(std::string_view source) noexcept;

 private:
  void shutdown() override { listener_ = nullptr; }

  Listener listener_;
};

/// Runs `step`. If that throws, reports the exception and runs `recover`, which ends what the step
/// served. An exception of `recover` is passed on.
template <class Step, class Recovery>
void runHandler(boost::asio::execution_context& context, std::string_view source, Step&& step,
                Recovery&& recover) {
  try {
    step();
    return;
  } catch (...) {
    HandlerFailures::of(context).reportCurrentException(source);
  }
  recover();
}

/// Logs the failures of a context's handlers, as long as this object lives.
class HandlerFailureLog {
 public:
  /// Both must outlive this object.
  HandlerFailureLog(boost::asio::execution_context& context, base::EventLog& log);
  ~HandlerFailureLog();
  HandlerFailureLog(const HandlerFailureLog&) = delete;
  HandlerFailureLog& operator=(const HandlerFailureLog&) = delete;

 private:
  HandlerFailures& failures_;
};

/// How an event loop ended.
enum class LoopEnd {
  kStopped,
  /// A second exception left a handler while the node was stopping.
  kFailed,
};

/// Runs the event loop until it is stopped. After an exception that leaves a handler, reports it,
/// calls `stop`, which begins a planned stop, and goes on.
LoopEnd runEventLoop(boost::asio::io_context& context, const std::function<void()>& stop);

}  // namespace covewing::live
