// Property test: for any sequence of engine events, the caller's stream has no gaps and ends
// exactly once, and the reported outcome is correct.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "request/fakes.h"

namespace covewing::request {

namespace {

using base::ResultCode;
using clients::DispatchFailure;

/// Number of tokens of the complete response in the model.
constexpr std::uint32_t kAnswerTokens = 6;

enum class Step : std::uint8_t {
  kAccept,
  kNextChunk,
  kOldChunk,
  kSkippedChunk,
  kEnd,
  kShortEnd,
  kNotSent,
  kRefused,
  kLost,
  kWaitShort,
  kWaitLong,
  kPause,
  kUnpause,
  kLostThenMoreData,
};
constexpr std::uint8_t kStepCount = 14;

/// Drives one request and records whether it was really executed.
struct StreamModel : RequestFixture {
  explicit StreamModel(bool repeatable) {
    configuration.tenant->retry.maximumAttempts = 4;
    active = complete(!repeatable);
  }

  void apply(Step step) {
    const std::size_t streamsBefore = engines.streams.size();
    perform(step);
    time.settle();
    for (std::size_t index = streamsBefore; index < engines.streams.size(); ++index) {
      RC_ASSERT(engines.streams[index]->request.nextPosition == sink.chunks.size());
      RC_ASSERT(mayResend);
    }
    check();
  }

  void perform(Step step) {
    FakeStream& stream = engines.last();
    const bool open = !stream.cancelled && !sink.final();
    switch (step) {
      case Step::kWaitShort:
        return waitFor(std::chrono::milliseconds(20));
      case Step::kWaitLong:
        // The engine did receive the request and may have executed it, although it sent nothing.
        if (open && !paused) recordRun();
        return waitFor(std::chrono::seconds(11));
      case Step::kPause:
      case Step::kUnpause:
        paused = step == Step::kPause;
        return active->setPaused(paused);
      default:
        if (open) performOnStream(step, stream);
    }
  }

  void performOnStream(Step step, const FakeStream& stream) {
    const std::uint64_t next = sink.chunks.size();
    switch (step) {
      case Step::kAccept:
        return stream.accept();
      case Step::kNextChunk:
        recordRun();
        if (next < kAnswerTokens) stream.chunk(next);
        return;
      case Step::kOldChunk:
        if (next == 0) return;
        recordRun();
        return stream.chunk(next - 1);
      case Step::kSkippedChunk:
        recordRun();
        return stream.chunk(next + 1);
      case Step::kEnd:
        recordRun();
        return stream.end(kAnswerTokens);
      case Step::kShortEnd:
        recordRun();
        return stream.end(static_cast<std::uint32_t>(next) + 1);
      case Step::kLostThenMoreData:
        recordRun();
        stream.fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
        // The engine client had already received more of the stream.
        stream.chunk(next);
        return stream.end(kAnswerTokens);
      case Step::kNotSent:
        return stream.fail(DispatchFailure::kNotSent, ResultCode::kBackEndUnreachable);
      case Step::kRefused:
        return stream.fail(DispatchFailure::kRefusedNotRun, ResultCode::kBackEndRefused);
      default:
        recordRun();
        return stream.fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
    }
  }

  void recordRun() {
    ran = true;
    if (notRepeatable()) mayResend = false;
  }
  bool notRepeatable() const { return markedNotRepeatable; }
  void waitFor(base::Duration span) { time.advance(span); }

  void check() const {
    RC_ASSERT(sink.gapless());
    RC_ASSERT(sink.callsAfterEnd == 0U);
    if (sink.ended.has_value()) RC_ASSERT(sink.chunks.size() == sink.ended->outputTokens);
    if (sink.refused.has_value() && sink.refused->outcome == Outcome::kNotRun) RC_ASSERT(!ran);
    std::size_t running = 0;
    for (const auto& stream : engines.streams) running += stream->cancelled ? 0U : 1U;
    RC_ASSERT(running <= 1U);
  }

  std::unique_ptr<ActiveRequest> active;
  bool markedNotRepeatable = false;
  bool ran = false;
  bool mayResend = true;
  bool paused = false;
};

void runModel(bool repeatable, const std::vector<std::uint8_t>& steps) {
  StreamModel model(repeatable);
  model.markedNotRepeatable = !repeatable;
  for (const std::uint8_t step : steps) model.apply(static_cast<Step>(step % kStepCount));
  model.active->setPaused(false);
  // An engine that still has the request may execute it, even if it sends nothing. After the final
  // response no engine has it.
  if (!model.sink.final()) model.recordRun();
  model.time.advance(std::chrono::minutes(2));
  model.check();
  RC_ASSERT(model.sink.final());
  RC_ASSERT(model.manager.openRequests() == 0U);
  RC_ASSERT(model.admission.ticketsHeld == 0U);
  RC_ASSERT(model.policy.dispatched == model.policy.finished);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(StreamResumePropertyTest)

RC_BOOST_PROP(RepeatableStream, (const std::vector<std::uint8_t>& steps)) { runModel(true, steps); }

RC_BOOST_PROP(NotRepeatableStream, (const std::vector<std::uint8_t>& steps)) {
  runModel(false, steps);
}

// Guards the model itself: after four attempts that were never sent, the request is refused as not
// run. The model used to count it as executed.
BOOST_AUTO_TEST_CASE(RequestThatWasNeverSentIsRefusedAsNotRun) {
  const auto notSent = static_cast<std::uint8_t>(Step::kNotSent);
  const auto waitShort = static_cast<std::uint8_t>(Step::kWaitShort);
  const std::vector<std::uint8_t> steps{notSent, waitShort, notSent, waitShort,
                                        notSent, waitShort, notSent};
  for (const bool repeatable : {true, false}) BOOST_CHECK_NO_THROW(runModel(repeatable, steps));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
