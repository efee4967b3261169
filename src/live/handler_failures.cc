#include "live/handler_failures.h"

namespace covewing::live {

namespace {

constexpr std::string_view kLoopSource = "event loop";

}  // namespace

boost::asio::execution_context::id HandlerFailures::id;

void HandlerFailures::report(std::string_view source, std::string_view what) noexcept {
  try {
    if (listener_) listener_(source, what);
  } catch (...) {  // NOLINT(bugprone-empty-catch): the report itself cannot be made.
  }
}

void HandlerFailures::reportCurrentException(std::string_view source) noexcept {
  try {
    throw;
  } catch (const std::exception& exception) {
    report(source, exception.what());
  } catch (...) {
    report(source, "an exception of an unknown type");
  }
}

HandlerFailureLog::HandlerFailureLog(boost::asio::execution_context& context, base::EventLog& log)
    : failures_(HandlerFailures::of(context)) {
  failures_.setListener([&log](std::string_view source, std::string_view what) {
    log.write(base::Event::kHandlerFailed,
              {{"source", std::string{source}}, {"what", std::string{what}}});
  });
}

HandlerFailureLog::~HandlerFailureLog() { failures_.setListener(nullptr); }

LoopEnd runEventLoop(boost::asio::io_context& context, const std::function<void()>& stop) {
  bool stopping = false;
  for (;;) {
    try {
      context.run();
      return LoopEnd::kStopped;
    } catch (...) {
      HandlerFailures::of(context).reportCurrentException(kLoopSource);
    }
    if (stopping) return LoopEnd::kFailed;
    stopping = true;
    runHandler(context, kLoopSource, stop, [&context] { context.stop(); });
  }
}

}  // namespace covewing::live
