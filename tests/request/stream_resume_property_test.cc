// Property: whatever engines do in whatever order, the caller's stream is gapless, ends once, and
// every claim about the outcome is true.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "request/fakes.h"

namespace covewing::request {

namespace {

using base::ResultCode;
using clients::DispatchFailure;

/// Length of the whole answer in the model.
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
  kLostThenHeard,
};
constexpr std::uint8_t kStepCount = 14;

/// Drives one request and remembers what really happened.
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
        // The engine did take the request and may have run it, though it was never heard of.
        if (open && !paused) noteRan();
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
        noteRan();
        if (next < kAnswerTokens) stream.chunk(next);
        return;
      case Step::kOldChunk:
        if (next == 0) return;
        noteRan();
        return stream.chunk(next - 1);
      case Step::kSkippedChunk:
        noteRan();
        return stream.chunk(next + 1);
      case Step::kEnd:
        noteRan();
        return stream.end(kAnswerTokens);
      case Step::kShortEnd:
        noteRan();
        return stream.end(static_cast<std::uint32_t>(next) + 1);
      case Step::kLostThenHeard:
        noteRan();
        stream.fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
        // Its client had more of it in hand.
        stream.chunk(next);
        return stream.end(kAnswerTokens);
      case Step::kNotSent:
        return stream.fail(DispatchFailure::kNotSent, ResultCode::kBackEndUnreachable);
      case Step::kRefused:
        return stream.fail(DispatchFailure::kRefusedNotRun, ResultCode::kBackEndRefused);
      default:
        noteRan();
        return stream.fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
    }
  }

  void noteRan() {
    ran = true;
    if (notRepeatable()) mayResend = false;
  }
  bool notRepeatable() const { return marked; }
  void waitFor(base::Duration span) { time.advance(span); }

  void check() const {
    RC_ASSERT(sink.gapless());
    RC_ASSERT(sink.callsAfterFinal == 0U);
    if (sink.ended.has_value()) RC_ASSERT(sink.chunks.size() == sink.ended->outputTokens);
    if (sink.refused.has_value() && sink.refused->outcome == Outcome::kNotRun) RC_ASSERT(!ran);
    std::size_t running = 0;
    for (const auto& stream : engines.streams) running += stream->cancelled ? 0U : 1U;
    RC_ASSERT(running <= 1U);
  }

  std::unique_ptr<ActiveRequest> active;
  bool marked = false;
  bool ran = false;
  bool mayResend = true;
  bool paused = false;
};

void runModel(bool repeatable, const std::vector<std::uint8_t>& steps) {
  StreamModel model(repeatable);
  model.marked = !repeatable;
  for (const std::uint8_t step : steps) model.apply(static_cast<Step>(step % kStepCount));
  model.active->setPaused(false);
  // An engine that still has the request may run it, though it is never heard of. After the final
  // answer nobody has it.
  if (!model.sink.final()) model.noteRan();
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

// Four attempts that were never sent: refused as not run, which the model then took for a run.
BOOST_AUTO_TEST_CASE(RequestThatNeverLeftIsRefusedAsNotRun) {
  const auto notSent = static_cast<std::uint8_t>(Step::kNotSent);
  const auto waitShort = static_cast<std::uint8_t>(Step::kWaitShort);
  const std::vector<std::uint8_t> steps{notSent, waitShort, notSent, waitShort,
                                        notSent, waitShort, notSent};
  for (const bool repeatable : {true, false}) BOOST_CHECK_NO_THROW(runModel(repeatable, steps));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
