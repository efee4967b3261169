// Tests the flow of a completion request: checks, attempts, resumed streams, refusals and their
// outcomes.
#include <boost/test/unit_test.hpp>

#include "request/fakes.h"

namespace covewing::request {

using base::ResultCode;
using clients::DispatchFailure;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(CompletionFlowTest, RequestFixture)

BOOST_AUTO_TEST_CASE(CompleteResponseReachesTheCaller) {
  const auto active = complete();
  BOOST_REQUIRE(engines.streams.size() == 1);
  const clients::EngineRequest& sent = engines.last().request;
  BOOST_TEST(sent.identity.weightsVersion == 7U);
  BOOST_TEST(sent.incarnation == 1U);
  BOOST_TEST(sent.requestId.value == active->id().value);
  engines.last().accept();
  engines.last().chunk(0);
  engines.last().chunk(1);
  engines.last().end(2);
  BOOST_TEST(sink.chunks.size() == 2U);
  BOOST_TEST(sink.ended.has_value());
  BOOST_TEST(manager.openRequests() == 0U);
  time.settle();
  BOOST_TEST(admission.ticketsHeld == 0U);
  BOOST_TEST(policy.finished == 1U);
}

BOOST_AUTO_TEST_CASE(SinkIsNotCalledInsideTheSubmittingCall) {
  configuration.copyAvailable = false;
  CompletionRequest request;
  const auto active = manager.complete(std::move(request), sink);
  BOOST_TEST(!sink.final());
  time.settle();
  BOOST_TEST(sink.refused.has_value());
}

BOOST_AUTO_TEST_CASE(RefusalByAnEngineIsRetriedOnAnother) {
  const auto active = complete();
  engines.last().fail(DispatchFailure::kRefusedNotRun, ResultCode::kBackEndRefused);
  time.advance(milliseconds(50));
  BOOST_REQUIRE(engines.streams.size() == 2);
  BOOST_TEST(engines.last().engine.name == "engine-b");
  BOOST_TEST(engines.last().request.attempt == 2U);
  engines.last().chunk(0);
  engines.last().end(1);
  BOOST_TEST(sink.ended.has_value());
}

BOOST_AUTO_TEST_CASE(NotRunIsReportedOnlyWhenEveryAttemptProvesIt) {
  const auto active = complete();
  for (int attempt = 0; attempt < 3; ++attempt) {
    engines.last().fail(DispatchFailure::kNotSent, ResultCode::kBackEndUnreachable);
    time.advance(milliseconds(100));
  }
  BOOST_TEST(engines.streams.size() == 3U);
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->outcome == Outcome::kNotRun));
  BOOST_TEST((sink.refused->retryAfter > base::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(OneUnknownAttemptMakesTheOutcomeUnknown) {
  const auto active = complete();
  engines.last().fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  time.advance(milliseconds(100));
  for (int attempt = 0; attempt < 2; ++attempt) {
    engines.last().fail(DispatchFailure::kRefusedNotRun, ResultCode::kBackEndRefused);
    time.advance(milliseconds(100));
  }
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(NotRepeatableIsNeverRetriedAfterAnUnknownOutcome) {
  const auto active = complete(true);
  engines.last().fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  time.advance(seconds(20));
  BOOST_TEST(engines.streams.size() == 1U);
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->outcome == Outcome::kUnknown));
  BOOST_TEST((sink.refused->reason.code == ResultCode::kBackEndLost));
}

BOOST_AUTO_TEST_CASE(NotRepeatableMayBeRetriedAfterAProvenRefusal) {
  const auto active = complete(true);
  engines.last().fail(DispatchFailure::kRefusedNotRun, ResultCode::kBackEndRefused);
  time.advance(milliseconds(50));
  BOOST_TEST(engines.streams.size() == 2U);
}

BOOST_AUTO_TEST_CASE(NotRepeatableStreamIsNotResumed) {
  const auto active = complete(true);
  engines.last().chunk(0);
  engines.last().fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  time.advance(seconds(1));
  BOOST_TEST(engines.streams.size() == 1U);
  BOOST_TEST(sink.refused.has_value());
}

BOOST_AUTO_TEST_CASE(BrokenStreamResumesAtTheNextPosition) {
  const auto active = complete();
  FakeStream& first = engines.last();
  first.chunk(0);
  first.chunk(1);
  first.fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  time.advance(milliseconds(50));
  BOOST_REQUIRE(engines.streams.size() == 2);
  const clients::EngineRequest& resumed = engines.last().request;
  BOOST_TEST(resumed.nextPosition == 2U);
  BOOST_TEST(resumed.generated == "t0 t1 ");
  BOOST_TEST(resumed.identity.weightsVersion == 7U);
  engines.last().chunk(1);
  engines.last().chunk(2);
  engines.last().end(3);
  BOOST_TEST(sink.chunks.size() == 3U);
  BOOST_TEST(sink.gapless());
  BOOST_TEST(sink.ended.has_value());
}

BOOST_AUTO_TEST_CASE(GapIsNeverPassedOn) {
  const auto active = complete();
  engines.last().chunk(0);
  engines.last().chunk(2);
  BOOST_TEST(sink.chunks.size() == 1U);
  time.advance(milliseconds(50));
  BOOST_REQUIRE(engines.streams.size() == 2);
  BOOST_TEST(engines.streams.front()->cancelled);
  BOOST_TEST(engines.last().request.nextPosition == 1U);
}

BOOST_AUTO_TEST_CASE(EndMarkerThatCountsMissingChunksIsABrokenStream) {
  configuration.tenant->retry.maximumAttempts = 1;
  const auto active = complete();
  engines.last().chunk(0);
  engines.last().end(2);
  BOOST_TEST(!sink.ended.has_value());
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kStreamBroken));
  BOOST_TEST((sink.refused->outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(TemplateMayForbidResume) {
  configuration.tenant->retry.resumeStreams = false;
  const auto active = complete();
  engines.last().chunk(0);
  engines.last().fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  BOOST_TEST(sink.refused.has_value());
}

BOOST_AUTO_TEST_CASE(EventsOfAnAbandonedEngineAreIgnored) {
  const auto active = complete();
  const std::shared_ptr<FakeStream> first = engines.streams.front();
  first->fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  first->chunk(0);
  first->end(1);
  BOOST_TEST(sink.chunks.empty());
  BOOST_TEST(!sink.final());
}

BOOST_AUTO_TEST_CASE(EngineThatDoesNotAcceptTheRequestIsAbandoned) {
  const auto active = complete();
  time.advance(milliseconds(1100));
  BOOST_TEST(engines.streams.size() == 2U);
  BOOST_TEST(backEnds.failed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RequestStaysInTheQueueOfALiveEngine) {
  const auto active = complete();
  engines.last().accept();
  time.advance(seconds(9));
  BOOST_TEST(engines.streams.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LostEngineIsAbandonedAtOnce) {
  const auto active = complete();
  engines.last().accept();
  time.advance(seconds(1));
  fleet.states[0].unreachable = true;
  time.advance(milliseconds(300));
  BOOST_REQUIRE(engines.streams.size() == 2);
  engines.last().chunk(0);
  fleet.states[1].incarnation = 2;
  time.advance(milliseconds(300));
  BOOST_REQUIRE(engines.streams.size() == 3);
  BOOST_TEST(engines.last().request.nextPosition == 1U);
}

BOOST_AUTO_TEST_CASE(EngineInAZoneThatIsCutOffIsAbandoned) {
  fleet.states[0].zone = "hall-b";
  const auto active = complete();
  engines.last().chunk(0);
  zones.cutOffZones.insert("hall-b");
  time.advance(milliseconds(300));
  BOOST_REQUIRE(engines.streams.size() == 2);
  BOOST_TEST(engines.last().request.nextPosition == 1U);
}

BOOST_AUTO_TEST_CASE(TimeoutBetweenChunksResumesOnAnotherEngine) {
  const auto active = complete();
  engines.last().chunk(0);
  time.advance(milliseconds(10100));
  BOOST_REQUIRE(engines.streams.size() == 2);
  BOOST_TEST(engines.last().request.nextPosition == 1U);
}

BOOST_AUTO_TEST_CASE(SlowCallerDoesNotCountAsEngineTimeout) {
  const auto active = complete();
  engines.last().chunk(0);
  active->setPaused(true);
  BOOST_TEST(engines.last().paused);
  time.advance(seconds(60));
  BOOST_TEST(engines.streams.size() == 1U);
  active->setPaused(false);
  engines.last().chunk(1);
  BOOST_TEST(sink.chunks.size() == 2U);
}

BOOST_AUTO_TEST_CASE(DeadlineIsReportedAtOnceWithTheCorrectOutcome) {
  configuration.tenant->deadline = milliseconds(500);
  const auto active = complete();
  time.advance(milliseconds(494));
  BOOST_TEST(!sink.final());
  time.advance(milliseconds(2));
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kBackEndTimeout));
  BOOST_TEST((sink.refused->outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(DeadlineBeforeAnyDispatchIsNotRun) {
  configuration.tenant->deadline = milliseconds(500);
  admission.hold = true;
  const auto active = complete();
  time.advance(milliseconds(500));
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->outcome == Outcome::kNotRun));
  BOOST_TEST(engines.streams.empty());
}

BOOST_AUTO_TEST_CASE(RetryBudgetOfTheNodeLimitsRetries) {
  admission.retries = 0;
  const auto active = complete();
  engines.last().fail(DispatchFailure::kNotSent, ResultCode::kBackEndUnreachable);
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kRetryBudgetExhausted));
  BOOST_TEST((sink.refused->outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(AdmissionRefusalCarriesItsRetryAfter) {
  admission.verdict = {false, {ResultCode::kShed, "overload"}, seconds(4), {}};
  const auto active = complete();
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->retryAfter == seconds(4)));
  BOOST_TEST((sink.refused->outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(TemplateRetiredWhileHeldIsRefused) {
  admission.hold = true;
  const auto active = complete();
  configuration.tenant->retired = true;
  admission.releaseHeld();
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kTenantRetired));
  BOOST_TEST(engines.streams.empty());
}

BOOST_AUTO_TEST_CASE(NoEngineWaitsNoLongerThanTheHoldTime) {
  configuration.tenant->holdTime = milliseconds(100);
  for (engine_routing::EngineState& state : fleet.states) state.unreachable = true;
  const auto active = complete();
  time.advance(milliseconds(60));
  BOOST_TEST(!sink.final());
  time.advance(milliseconds(60));
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kNoBackEnd));
  BOOST_TEST((sink.refused->outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(VersionThatBecomesKnownDuringTheWaitIsUsed) {
  configuration.tenant->holdTime = seconds(1);
  fleet.newest = 0;
  for (engine_routing::EngineState& state : fleet.states) state.unreachable = true;
  const auto active = complete();
  time.advance(milliseconds(60));
  BOOST_TEST(engines.streams.empty());
  fleet.newest = 7;
  for (engine_routing::EngineState& state : fleet.states) state.unreachable = false;
  time.advance(milliseconds(60));
  BOOST_REQUIRE(engines.streams.size() == 1U);
  BOOST_TEST(engines.streams.front()->request.identity.weightsVersion == 7U);
}

BOOST_AUTO_TEST_CASE(CallersDisconnectCancelsTheEngine) {
  auto active = complete();
  const std::shared_ptr<FakeStream> stream = engines.streams.front();
  active.reset();
  time.settle();
  BOOST_TEST(stream->cancelled);
  BOOST_TEST(manager.openRequests() == 0U);
  BOOST_TEST(admission.ticketsHeld == 0U);
  BOOST_TEST(!sink.final());
}

BOOST_AUTO_TEST_CASE(CallerMayLeaveFromInsideAChunk) {
  auto active = complete();
  sink.onChunkCallback = [&active] { active.reset(); };
  engines.last().chunk(0);
  engines.last().chunk(1);
  BOOST_TEST(sink.chunks.size() == 1U);
  time.settle();
  BOOST_TEST(engines.last().cancelled);
}

BOOST_AUTO_TEST_CASE(DrainingNodeRefusesNewAndFinishesOld) {
  const auto active = complete();
  manager.startDraining();
  RecordingSink late;
  CompletionRequest request;
  request.bearerKey = "key";
  const auto refused = manager.complete(std::move(request), late);
  time.settle();
  BOOST_REQUIRE(late.refused.has_value());
  BOOST_TEST((late.refused->reason.code == ResultCode::kNodeDraining));
  BOOST_TEST((late.refused->retryAfter > base::Duration::zero()));
  engines.last().chunk(0);
  engines.last().end(1);
  BOOST_TEST(sink.ended.has_value());
}

BOOST_AUTO_TEST_CASE(TimeoutOfThePlannedStopGivesAFinalError) {
  const auto active = complete();
  engines.last().chunk(0);
  manager.failOpenRequests({ResultCode::kNodeDraining, "bound"});
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->outcome == Outcome::kUnknown));
  BOOST_TEST(manager.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(UnknownKeyIsNotFinalWhileTheConfigurationIsUnconfirmed) {
  configuration.confirmed = false;
  CompletionRequest request;
  request.bearerKey = "accepted-a-moment-ago";
  const auto active = manager.complete(std::move(request), sink);
  time.settle();
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kConfigurationStale));
  BOOST_TEST((sink.refused->outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(WaitsForTheConfigurationCheckAfterAPause) {
  configuration.checking = true;
  configuration.tenant->whenStale = config::StaleChoice::kRefuse;
  configuration.confirmed = false;
  const auto active = complete();
  BOOST_TEST(!sink.final());
  configuration.checking = false;
  configuration.confirmed = true;
  time.advance(milliseconds(10));
  BOOST_TEST(engines.streams.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TenantRetiredDuringAPauseIsRefusedAfterTheCheck) {
  configuration.checking = true;
  const auto active = complete();
  configuration.tenant->retired = true;
  configuration.checking = false;
  time.advance(milliseconds(10));
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kTenantRetired));
}

BOOST_AUTO_TEST_CASE(TraceRecordsTheRequest) {
  const auto active = complete();
  engines.last().fail(DispatchFailure::kNotSent, ResultCode::kBackEndUnreachable);
  time.advance(milliseconds(50));
  engines.last().chunk(0);
  engines.last().end(1);
  const RequestTrace& trace = *traces.traces.back();
  BOOST_TEST(trace.tenant == "judges");
  BOOST_REQUIRE(trace.attempts.size() == 2);
  BOOST_TEST((trace.attempts.front().failure == DispatchFailure::kNotSent));
  BOOST_TEST(trace.attempts.back().chunks == 1U);
  BOOST_TEST(trace.attempts.back().cachedTokens == 4U);
  BOOST_TEST(trace.decisions.size() == 2U);
  BOOST_TEST((trace.progress == RequestProgress::kAnswered));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
