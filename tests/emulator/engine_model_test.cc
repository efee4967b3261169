#include "emulator/engine_model.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "emulator/cache_census.h"
#include "emulator/execution_log.h"
#include "emulator/expected_answer.h"
#include "emulator/observer_digest.h"
#include "emulator/observer_list.h"
#include "emulator/virtual_time.h"
#include "prefix/prompt.h"

using namespace std::chrono_literals;

namespace covewing::emulator {
namespace {

using base::Duration;
using base::PriorityClass;
using base::ResultCode;
using clients::DispatchFailure;
using clients::EngineRequest;

constexpr std::uint32_t kBlockTokens = prefix::kTokensPerBlock;

/// Keeps what one stream got and when.
class StreamRecorder final : public clients::EngineStreamHandler {
 public:
  explicit StreamRecorder(const base::Clock& clock) : clock_(clock) {}
  void onAccepted() override { accepted = true; }
  void onChunk(clients::StreamChunk chunk) override {
    if (!firstChunkAt) firstChunkAt = clock_.now();
    if (!positions.empty()) BOOST_TEST(chunk.position == positions.back() + 1);
    positions.push_back(chunk.position);
    text += chunk.text;
    if (whenChunk) whenChunk();
  }
  void onEnd(clients::StreamEnd streamEnd) override { end = std::move(streamEnd); }
  void onError(clients::DispatchError streamError) override { error = std::move(streamError); }

  bool accepted = false;
  std::optional<base::TimePoint> firstChunkAt;
  std::vector<std::uint64_t> positions;
  std::string text;
  std::optional<clients::StreamEnd> end;
  std::optional<clients::DispatchError> error;
  std::function<void()> whenChunk;

 private:
  const base::Clock& clock_;
};

class ProvenanceRecorder final : public ExecutionObserver {
 public:
  void onStarted(const ExecutionRecord& record, const ExecutionReuse& reuse) override {
    for (const BlockProvenance& provenance : reuse.provenances) {
      if (provenance.identity != record.identity) ++identityMismatches;
      if (provenance.imported) continue;
      if (provenance.incarnation != record.incarnation) ++incarnationMismatches;
    }
    if (hasReuseMismatch(record, reuse)) ++mismatches;
  }
  void onOrder(base::EngineId /*engine*/, const clients::EngineOrder& /*order*/,
               const clients::OrderReply& reply) override {
    if (reply.status == clients::OrderStatus::kAccepted) ++ordersTaken;
  }
  int identityMismatches = 0;
  int incarnationMismatches = 0;
  /// Executions that hasReuseMismatch finds.
  int mismatches = 0;
  int ordersTaken = 0;
};

EngineModelOptions engineOptions() {
  EngineModelOptions options;
  options.name = "rules-01";
  options.weights = {{"rules", 1, {"vi"}}};
  return options;
}

std::string promptOf(std::size_t blocks, char fill) {
  return std::string(blocks * prefix::kBytesPerBlock, fill);
}

struct Fixture : TestWorld {
  ProvenanceRecorder provenances;
  CacheCensus census;
  ObserverDigest digest;
  ObserverList observers;
  WeightStoreModel weightStore{WeightStoreOptions{}, time, time};
  KeptCacheStoreModel keptStore{KeptCacheStoreOptions{}, time};
  EngineSurroundings surroundings{&weightStore, &keptStore, &observers};
  int requests = 0;

  Fixture() {
    observers.add(provenances);
    observers.add(census);
    observers.add(digest);
  }

  EngineModel makeEngine(const EngineModelOptions& options) {
    return EngineModel(options, surroundings, time, time, random);
  }

  EngineRequest request(std::string prompt, std::uint32_t maximumTokens = 8) {
    EngineRequest made;
    made.requestId.value = "request-" + std::to_string(++requests);
    made.identity = {11, "rules", "", 1};
    made.prompt = std::make_shared<const std::string>(std::move(prompt));
    made.maximumTokens = maximumTokens;
    return made;
  }

  /// Runs one request to its end.
  StreamRecorder complete(EngineModel& engine, EngineRequest made) {
    StreamRecorder stream(time);
    engine.submit(std::move(made), stream);
    time.run(10s);
    return stream;
  }
};

clients::EngineReport reportOf(EngineModel& engine, std::uint64_t from = 0) {
  std::optional<clients::EngineReport> answer;
  engine.report(from, [&](auto report) { answer = std::move(report); });
  BOOST_REQUIRE(answer.has_value());
  return *answer;
}

clients::OrderReply give(EngineModel& engine, clients::EngineOrder order) {
  std::optional<clients::OrderReply> answer;
  engine.order(std::move(order), [&](auto reply) { answer = std::move(reply); });
  BOOST_REQUIRE(answer.has_value());
  return *answer;
}

clients::EngineOrder loadOrder(std::string id, base::FencingToken token,
                               base::WeightsVersion version) {
  return {std::move(id), token, clients::OrderKind::kLoadWeights, {"rules", version, {}}, {}};
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EngineModelSuite, Fixture)

BOOST_AUTO_TEST_CASE(answersWholeAndInOrder) {
  EngineModel engine = makeEngine(engineOptions());
  const std::string prompt = promptOf(4, 'a') + "tail";
  const StreamRecorder stream = complete(engine, request(prompt, 20));
  BOOST_TEST(stream.accepted);
  BOOST_REQUIRE(stream.end.has_value());
  BOOST_TEST(stream.text == expectedText(promptHash(prompt), 0, 20));
  BOOST_TEST(stream.end->outputTokens == 20U);
  BOOST_TEST(stream.end->promptTokens == 4 * kBlockTokens + 1);
  BOOST_TEST(stream.end->cachedTokens == 0U);
  BOOST_TEST(stream.end->finishReason == "length");
  BOOST_TEST(engine.isIdle());
}

BOOST_AUTO_TEST_CASE(firstTokenTakesPrefillTime) {
  const EngineModelOptions options = engineOptions();
  EngineModel engine = makeEngine(options);
  const std::size_t blocks = 2 * options.prefillTokensPerStep / kBlockTokens;
  const StreamRecorder stream = complete(engine, request(promptOf(blocks, 'a')));
  const Duration expected =
      2 * options.step.base + options.step.perPrefillToken * (2 * options.prefillTokensPerStep);
  BOOST_REQUIRE(stream.firstChunkAt.has_value());
  BOOST_TEST((*stream.firstChunkAt - base::TimePoint{}).count() == expected.count());
}

BOOST_AUTO_TEST_CASE(cachedTokensTakeNoPrefillTime) {
  const EngineModelOptions options = engineOptions();
  EngineModel engine = makeEngine(options);
  complete(engine, request(promptOf(64, 'a')));
  const base::TimePoint submittedAt = time.now();
  const StreamRecorder again = complete(engine, request(promptOf(64, 'a') + promptOf(2, 'b')));
  const Duration expected = options.step.base + options.step.perPrefillToken * (2 * kBlockTokens);
  BOOST_TEST((again.firstChunkAt.value() - submittedAt).count() == expected.count());
}

BOOST_AUTO_TEST_CASE(speedDividesTheTimeOfSteps) {
  EngineModelOptions options = engineOptions();
  options.step.speed = 100.0;
  EngineModel engine = makeEngine(options);
  const StreamRecorder stream = complete(engine, request(promptOf(10, 'a')));
  // (8 ms + 160 tokens of 90 us) / 100.
  BOOST_TEST((stream.firstChunkAt.value() - base::TimePoint{}).count() == 224);
}

BOOST_AUTO_TEST_CASE(reusesCachedPrefixOfTheSameIdentityOnly) {
  EngineModel engine = makeEngine(engineOptions());
  complete(engine, request(promptOf(8, 'a')));
  const StreamRecorder again = complete(engine, request(promptOf(8, 'a') + promptOf(2, 'b')));
  BOOST_TEST(again.end.value().cachedTokens == 8 * kBlockTokens);
  EngineRequest otherTenant = request(promptOf(8, 'a'));
  otherTenant.identity.tenantSalt = 12;
  BOOST_TEST(complete(engine, otherTenant).end.value().cachedTokens == 0U);
  EngineRequest adapter = request(promptOf(8, 'a'));
  adapter.identity.adapter = "vi";
  BOOST_TEST(complete(engine, adapter).end.value().cachedTokens == 0U);
  BOOST_TEST(provenances.identityMismatches == 0);
  BOOST_TEST(census.totals().reusedTokens == 8U * kBlockTokens);
}

BOOST_AUTO_TEST_CASE(reportsReuseAcrossTenantsWhenSaltIsIgnored) {
  EngineModelOptions options = engineOptions();
  options.safeguards.separateTenants = false;
  EngineModel engine = makeEngine(options);
  complete(engine, request(promptOf(8, 'a')));
  EngineRequest otherTenant = request(promptOf(8, 'a'));
  otherTenant.identity.tenantSalt = 12;
  BOOST_TEST(complete(engine, otherTenant).end.value().cachedTokens == 8 * kBlockTokens);
  BOOST_TEST(provenances.identityMismatches == 1);
  BOOST_TEST(provenances.mismatches == 1);
}

BOOST_AUTO_TEST_CASE(evictsLeastRecentlyUsedAndNeverPinned) {
  EngineModelOptions options = engineOptions();
  options.capacityBlocks = 24;
  EngineModel engine = makeEngine(options);
  complete(engine, request(promptOf(10, 'a')));
  complete(engine, request(promptOf(10, 'b')));
  complete(engine, request(promptOf(10, 'a')));  // 'b' is the older one now
  complete(engine, request(promptOf(10, 'c')));
  BOOST_TEST(complete(engine, request(promptOf(10, 'a'))).end.value().cachedTokens ==
             10 * kBlockTokens);
  BOOST_TEST(complete(engine, request(promptOf(10, 'b'))).end.value().cachedTokens <
             10 * kBlockTokens);
  BOOST_TEST(engine.cache().cachedBlocks() <= 24U);
  // Two running requests fill the memory; a third waits for the first to end.
  StreamRecorder first(time);
  StreamRecorder second(time);
  StreamRecorder third(time);
  engine.submit(request(promptOf(10, 'd'), 32), first);
  engine.submit(request(promptOf(9, 'e'), 32), second);
  engine.submit(request(promptOf(10, 'f'), 32), third);
  time.run(100ms);
  BOOST_TEST(engine.currentLoad().running == 2U);
  time.run(10s);
  BOOST_TEST(first.text == expectedText(promptHash(promptOf(10, 'd')), 0, 32));
  BOOST_TEST(second.end.has_value());
  BOOST_TEST(third.end.has_value());
}

BOOST_AUTO_TEST_CASE(servesUrgentRequestsFirst) {
  EngineModelOptions options = engineOptions();
  options.maximumRunning = 1;
  EngineModel engine = makeEngine(options);
  StreamRecorder running(time);
  StreamRecorder background(time);
  StreamRecorder urgent(time);
  engine.submit(request(promptOf(4, 'a')), running);
  EngineRequest late = request(promptOf(4, 'b'));
  late.priority = PriorityClass::kBackground;
  engine.submit(late, background);
  EngineRequest early = request(promptOf(4, 'c'));
  early.priority = PriorityClass::kUrgent;
  engine.submit(early, urgent);
  time.run(10s);
  BOOST_TEST((urgent.firstChunkAt.value() < background.firstChunkAt.value()));
  BOOST_TEST((running.firstChunkAt.value() < urgent.firstChunkAt.value()));
}

BOOST_AUTO_TEST_CASE(nothingOvertakesAnUrgentRequestThatWaitsForMemory) {
  EngineModelOptions options = engineOptions();
  options.capacityBlocks = 26;
  EngineModel engine = makeEngine(options);
  StreamRecorder running(time);
  StreamRecorder urgent(time);
  StreamRecorder background(time);
  engine.submit(request(promptOf(16, 'a'), 100), running);
  EngineRequest large = request(promptOf(16, 'b'), 8);
  large.priority = PriorityClass::kUrgent;
  engine.submit(large, urgent);
  EngineRequest small = request(promptOf(1, 'c'), 8);
  small.priority = PriorityClass::kBackground;
  engine.submit(small, background);
  time.run(60s);
  BOOST_TEST((urgent.firstChunkAt.value() <= background.firstChunkAt.value()));
  BOOST_TEST((running.firstChunkAt.value() < urgent.firstChunkAt.value()));
}

BOOST_AUTO_TEST_CASE(requestsShareThePrefillBudgetOfAStep) {
  const EngineModelOptions options = engineOptions();
  EngineModel engine = makeEngine(options);
  const std::size_t blocksPerStep = options.prefillTokensPerStep / kBlockTokens;
  std::deque<StreamRecorder> streams;
  for (char fill = 'a'; fill < 'e'; ++fill) {
    streams.emplace_back(time);
    engine.submit(request(promptOf(blocksPerStep * 3 / 4, fill)), streams.back());
  }
  time.run(60s);
  // The first prompt starts alone; the other three, of three quarters of the budget each, need
  // three steps more.
  const Duration least =
      4 * options.step.base + options.step.perPrefillToken * (3 * options.prefillTokensPerStep);
  const Duration last = streams.back().firstChunkAt.value() - base::TimePoint{};
  BOOST_TEST((last >= least));
  BOOST_TEST((last < least + options.step.base));
}

BOOST_AUTO_TEST_CASE(prefillBudgetGoesToTheMostUrgentFirst) {
  const EngineModelOptions options = engineOptions();
  EngineModel engine = makeEngine(options);
  const std::size_t blocksPerStep = options.prefillTokensPerStep / kBlockTokens;
  StreamRecorder background(time);
  StreamRecorder urgent(time);
  EngineRequest large = request(promptOf(20 * blocksPerStep, 'a'), 8);
  large.priority = PriorityClass::kBackground;
  engine.submit(large, background);
  time.run(10ms);
  EngineRequest small = request(promptOf(4, 'b'), 8);
  small.priority = PriorityClass::kUrgent;
  const base::TimePoint submittedAt = time.now();
  engine.submit(small, urgent);
  time.run(60s);
  // The step under way and the next one, each at its longest.
  const Duration step =
      options.step.base + options.step.perPrefillToken * options.prefillTokensPerStep;
  BOOST_TEST((urgent.firstChunkAt.value() - submittedAt <= 2 * step));
  BOOST_TEST((background.firstChunkAt.value() > urgent.firstChunkAt.value()));
}

BOOST_AUTO_TEST_CASE(resumesBehindTheDeliveredText) {
  EngineModel engine = makeEngine(engineOptions());
  const std::string prompt = promptOf(4, 'a');
  EngineRequest resumed = request(prompt, 20);
  resumed.generated = expectedText(promptHash(prompt), 0, 7);
  resumed.nextPosition = 7;
  const StreamRecorder stream = complete(engine, resumed);
  BOOST_TEST(stream.positions.front() == 7U);
  BOOST_TEST(stream.text == expectedText(promptHash(prompt), 7, 20));
  // Only the end marker was missing.
  EngineRequest ended = request(prompt, 20);
  ended.generated = expectedText(promptHash(prompt), 0, 20);
  ended.nextPosition = 20;
  const StreamRecorder marker = complete(engine, ended);
  BOOST_TEST(marker.positions.empty());
  BOOST_TEST(marker.end.has_value());
}

BOOST_AUTO_TEST_CASE(cancelStopsWorkAndFreesMemory) {
  EngineModel engine = makeEngine(engineOptions());
  StreamRecorder stream(time);
  const ExecutionId execution = engine.submit(request(promptOf(4, 'a'), 200), stream);
  time.run(200ms);
  const std::size_t received = stream.positions.size();
  BOOST_TEST(received > 0U);
  engine.cancel(execution);
  engine.cancel(execution);
  time.run(10s);
  BOOST_TEST(stream.positions.size() == received);
  BOOST_TEST(!stream.end.has_value());
  BOOST_TEST(engine.isIdle());
  BOOST_TEST(engine.cache().reservedBlocks() == 0U);
}

BOOST_AUTO_TEST_CASE(handlerMayCancelOtherStreamsDuringAStep) {
  EngineModel engine = makeEngine(engineOptions());
  StreamRecorder first(time);
  StreamRecorder second(time);
  ExecutionId other = 0;
  first.whenChunk = [&] { engine.cancel(other); };
  engine.submit(request(promptOf(2, 'a'), 10), first);
  other = engine.submit(request(promptOf(2, 'b'), 10), second);
  time.run(10s);
  BOOST_TEST(first.end.has_value());
  BOOST_TEST(second.positions.empty());
  BOOST_TEST(engine.isIdle());
  BOOST_TEST(engine.cache().reservedBlocks() == 0U);
}

BOOST_AUTO_TEST_CASE(handlerMayCancelItsOwnStreamAtItsLastToken) {
  EngineModel engine = makeEngine(engineOptions());
  StreamRecorder stream(time);
  ExecutionId execution = 0;
  stream.whenChunk = [&] {
    if (stream.positions.back() == 9) engine.cancel(execution);
  };
  execution = engine.submit(request(promptOf(2, 'a'), 10), stream);
  time.run(10s);
  BOOST_TEST(stream.positions.size() == 10U);
  BOOST_TEST(!stream.end.has_value());
  BOOST_TEST(engine.isIdle());
  BOOST_TEST(complete(engine, request(promptOf(2, 'a'), 10)).end.has_value());
}

BOOST_AUTO_TEST_CASE(refusesOtherIdentitiesAsNotRun) {
  EngineModel engine = makeEngine(engineOptions());
  std::vector<EngineRequest> wrong(4, request(promptOf(2, 'a')));
  wrong[0].identity.weightsVersion = 2;
  wrong[1].identity.adapter = "cs";
  wrong[2].identity.model = "other";
  wrong[3].incarnation = 9;
  for (const EngineRequest& each : wrong) {
    const StreamRecorder stream = complete(engine, each);
    BOOST_REQUIRE(stream.error.has_value());
    BOOST_TEST((stream.error->failure == DispatchFailure::kRefusedNotRun));
    BOOST_TEST((stream.error->reason.code == ResultCode::kIdentityMismatch));
    BOOST_TEST(!stream.accepted);
  }
  EngineRequest right = request(promptOf(2, 'a'));
  right.incarnation = 1;
  BOOST_TEST(complete(engine, right).end.has_value());
}

BOOST_AUTO_TEST_CASE(refusesWhatNeverFitsAndWhatOverflowsTheQueue) {
  EngineModelOptions options = engineOptions();
  options.capacityBlocks = 16;
  options.maximumWaiting = 2;
  options.maximumRunning = 1;
  EngineModel engine = makeEngine(options);
  BOOST_TEST((complete(engine, request(promptOf(17, 'a'))).error.value().reason.code ==
              ResultCode::kInvalidField));
  std::deque<StreamRecorder> streams;
  for (int count = 0; count < 4; ++count) {
    streams.emplace_back(time);
    engine.submit(request(promptOf(2, 'b')), streams.back());
  }
  BOOST_TEST(streams[2].accepted);
  BOOST_TEST((streams[3].error.value().failure == DispatchFailure::kRefusedNotRun));
  time.run(10s);
  BOOST_TEST(streams[2].end.has_value());
}

BOOST_AUTO_TEST_CASE(crashBreaksStreamsAndEmptiesTheCache) {
  EngineModel engine = makeEngine(engineOptions());
  complete(engine, request(promptOf(8, 'a')));
  StreamRecorder running(time);
  engine.submit(request(promptOf(8, 'b'), 200), running);
  time.run(100ms);
  engine.crash();
  BOOST_TEST((running.error.value().failure == DispatchFailure::kOutcomeUnknown));
  BOOST_TEST(engine.cache().cachedBlocks() == 0U);
  BOOST_TEST(census.distinctBlocks() == 0U);
  StreamRecorder refused(time);
  engine.submit(request(promptOf(2, 'c')), refused);
  BOOST_TEST((refused.error.value().failure == DispatchFailure::kNotSent));
  engine.restart();
  time.run(2s);
  BOOST_TEST(engine.incarnation() == 2U);
  const StreamRecorder after = complete(engine, request(promptOf(8, 'a')));
  BOOST_TEST(after.end.value().cachedTokens == 0U);
  BOOST_TEST(reportOf(engine).incarnation == 2U);
  BOOST_TEST(provenances.incarnationMismatches == 0);
}

BOOST_AUTO_TEST_CASE(handlerMayCrashTheEngineDuringAStep) {
  EngineModel engine = makeEngine(engineOptions());
  StreamRecorder first(time);
  StreamRecorder second(time);
  first.whenChunk = [&] { engine.crash(); };
  engine.submit(request(promptOf(2, 'a'), 10), first);
  engine.submit(request(promptOf(2, 'b'), 10), second);
  time.run(10s);
  BOOST_TEST(first.positions.size() == 1U);
  BOOST_TEST(second.positions.empty());
  BOOST_TEST((second.error.value().failure == DispatchFailure::kOutcomeUnknown));
  engine.restart();
  time.run(2s);
  BOOST_TEST(complete(engine, request(promptOf(2, 'b'), 10)).end.has_value());
}

BOOST_AUTO_TEST_CASE(crashWhileWeightsAreReloadedLosesNoWeights) {
  EngineModel engine = makeEngine(engineOptions());
  give(engine, loadOrder("load", 1, 2));
  time.run(1s);
  engine.restart();
  time.run(100ms);
  BOOST_TEST(engine.weights().empty());
  engine.restart();
  time.run(2s);
  BOOST_TEST(engine.weights().size() == 2U);
  BOOST_TEST(engine.incarnation() == 3U);
}

BOOST_AUTO_TEST_CASE(crashForgetsCallsAndCacheEvents) {
  EngineModel engine = makeEngine(engineOptions());
  complete(engine, request(promptOf(8, 'a')));
  BOOST_TEST(reportOf(engine).nextSequence == 8U);
  engine.pause();
  bool answered = false;
  engine.report(0, [&](const auto& /*report*/) { answered = true; });
  engine.crash();
  engine.restart();
  engine.pause();
  engine.resume();
  time.run(2s);
  BOOST_TEST(!answered);
  BOOST_TEST(reportOf(engine).nextSequence == 0U);
  // A number of the earlier run reads the new run from its start.
  complete(engine, request(promptOf(2, 'b')));
  BOOST_TEST(reportOf(engine, 8).firstSequence == 0U);
  BOOST_TEST(reportOf(engine, 8).events.size() == 2U);
}

BOOST_AUTO_TEST_CASE(reportsReuseOfAnEarlierIncarnationWhenTheCacheSurvives) {
  EngineModelOptions options = engineOptions();
  options.safeguards.crashLosesCache = false;
  EngineModel engine = makeEngine(options);
  complete(engine, request(promptOf(8, 'a')));
  engine.crash();
  engine.restart();
  time.run(2s);
  complete(engine, request(promptOf(8, 'a')));
  BOOST_TEST(provenances.incarnationMismatches == 1);
  BOOST_TEST(provenances.mismatches == 1);
}

BOOST_AUTO_TEST_CASE(leavingEngineFinishesWhatItAccepted) {
  EngineModel engine = makeEngine(engineOptions());
  StreamRecorder running(time);
  engine.submit(request(promptOf(4, 'a'), 50), running);
  time.run(20ms);
  engine.leave();
  StreamRecorder late(time);
  engine.submit(request(promptOf(4, 'a')), late);
  time.run(10s);
  BOOST_TEST(running.end.has_value());
  BOOST_TEST((late.error.value().failure == DispatchFailure::kRefusedNotRun));
  BOOST_TEST(reportOf(engine).leaving);
}

BOOST_AUTO_TEST_CASE(pausedEngineAnswersLater) {
  EngineModel engine = makeEngine(engineOptions());
  StreamRecorder running(time);
  StreamRecorder queued(time);
  engine.submit(request(promptOf(4, 'a'), 50), running);
  time.run(200ms);
  const std::size_t received = running.positions.size();
  engine.pause();
  const ExecutionId abandoned = engine.submit(request(promptOf(4, 'c')), running);
  engine.cancel(abandoned);
  engine.submit(request(promptOf(4, 'b')), queued);
  bool reported = false;
  engine.report(0, [&](const auto& /*report*/) { reported = true; });
  time.run(5s);
  BOOST_TEST(running.positions.size() == received);
  BOOST_TEST(!queued.accepted);
  BOOST_TEST(!reported);
  engine.resume();
  time.run(5s);
  BOOST_TEST(reported);
  BOOST_TEST(running.end.has_value());
  BOOST_TEST(queued.end.has_value());
}

BOOST_AUTO_TEST_CASE(importsAndExportsKeptBlocks) {
  EngineModelOptions other = engineOptions();
  other.name = "rules-02";
  EngineModel engine = makeEngine(engineOptions());
  EngineModel second = makeEngine(other);
  EngineRequest exporting = request(promptOf(64, 'a'));
  exporting.exportBlocks = 48;
  complete(engine, exporting);
  BOOST_TEST(keptStore.heldBlocks() == 48U);
  const base::TimePoint start = time.now();
  EngineRequest importing = request(promptOf(64, 'a'));
  importing.importBlocks = 64;
  const StreamRecorder stream = complete(second, importing);
  BOOST_TEST(stream.end.value().cachedTokens == 48 * kBlockTokens);
  BOOST_TEST(census.totals().importedTokens == 48U * kBlockTokens);
  const KeptCacheStoreOptions store;
  BOOST_TEST(((stream.firstChunkAt.value() - start) > store.latency + store.perBlock * 48));
  BOOST_TEST(provenances.identityMismatches == 0);
  // Another tenant finds nothing in the store.
  EngineRequest foreign = request(promptOf(64, 'a'));
  foreign.importBlocks = 64;
  foreign.identity.tenantSalt = 12;
  BOOST_TEST(complete(second, foreign).end.value().cachedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(countsWorkThatAnotherEngineHadCached) {
  EngineModelOptions other = engineOptions();
  other.name = "rules-02";
  EngineModel engine = makeEngine(engineOptions());
  EngineModel second = makeEngine(other);
  complete(engine, request(promptOf(8, 'a')));
  BOOST_TEST(census.totals().recomputedThoughCachedElsewhere == 0U);
  complete(second, request(promptOf(8, 'a') + promptOf(1, 'b')));
  BOOST_TEST(census.totals().recomputedThoughCachedElsewhere == 8U * kBlockTokens);
}

BOOST_AUTO_TEST_CASE(publishesCacheEventsLateAndInOrder) {
  EngineModel engine = makeEngine(engineOptions());
  StreamRecorder stream(time);
  engine.submit(request(promptOf(4, 'a')), stream);
  time.run(150ms);
  BOOST_TEST(engine.cache().cachedBlocks() == 4U);
  BOOST_TEST(reportOf(engine).events.empty());
  time.run(1s);
  const auto report = reportOf(engine);
  BOOST_REQUIRE(report.events.size() == 4U);
  BOOST_TEST(report.firstSequence == 0U);
  BOOST_TEST(report.nextSequence == 4U);
  const auto chain = prefix::blockChain({11, "rules", "", 1}, promptOf(4, 'a'));
  for (std::size_t index = 0; index < chain.size(); ++index) {
    BOOST_TEST((report.events[index].block == chain[index]));
  }
  BOOST_TEST(reportOf(engine, 4).events.empty());
  BOOST_TEST(reportOf(engine, 4).firstSequence == 4U);
}

BOOST_AUTO_TEST_CASE(lostCacheEventsShowAsSkippedSequenceNumbers) {
  EngineModelOptions options = engineOptions();
  options.cacheEvents.lossRate = 0.3;
  options.cacheEvents.lossBurst = 5;
  EngineModel engine = makeEngine(options);
  for (char fill = 'a'; fill <= 'j'; ++fill) complete(engine, request(promptOf(50, fill)));
  std::uint64_t from = 0;
  std::uint64_t received = 0;
  std::uint64_t skipped = 0;
  while (true) {
    const auto report = reportOf(engine, from);
    skipped += report.firstSequence - from;
    received += report.events.size();
    BOOST_TEST(report.nextSequence == report.firstSequence + report.events.size());
    if (report.nextSequence == from) break;
    from = report.nextSequence;
  }
  BOOST_TEST(received + skipped == 500U);
  BOOST_TEST(skipped > 75U);
  BOOST_TEST(skipped < 225U);
}

BOOST_AUTO_TEST_CASE(snapshotHoldsTheWholeCache) {
  EngineModel engine = makeEngine(engineOptions());
  complete(engine, request(promptOf(6, 'a')));
  std::optional<clients::EngineReport> snapshot;
  engine.snapshot([&](auto report) { snapshot = std::move(report); });
  BOOST_REQUIRE(snapshot.has_value());
  BOOST_TEST(snapshot->events.size() == 6U);
  BOOST_TEST(reportOf(engine, snapshot->nextSequence).firstSequence == snapshot->nextSequence);
}

BOOST_AUTO_TEST_CASE(loadReportsLag) {
  const EngineModelOptions options = engineOptions();
  EngineModel engine = makeEngine(options);
  StreamRecorder stream(time);
  engine.submit(request(promptOf(4, 'a'), 200), stream);
  time.run(options.loadReportPeriod + 10ms);
  BOOST_TEST(reportOf(engine).load.running == 0U);
  time.run(options.loadReportPeriod);
  BOOST_TEST(reportOf(engine).load.running == 1U);
  time.run(60s);
  BOOST_TEST(reportOf(engine).load.running == 0U);
  BOOST_TEST(time.pendingTimers() == 0U);
}

BOOST_AUTO_TEST_CASE(ordersAreFencedAndRepeatable) {
  EngineModel engine = makeEngine(engineOptions());
  BOOST_TEST((give(engine, loadOrder("one", 5, 2)).status == clients::OrderStatus::kAccepted));
  BOOST_TEST(engine.weights().size() == 1U);
  time.run(600ms);
  BOOST_TEST(engine.weights().size() == 2U);
  BOOST_TEST(reportOf(engine).lastOrder == "one");
  BOOST_TEST((give(engine, loadOrder("one", 5, 2)).status == clients::OrderStatus::kAccepted));
  BOOST_TEST(provenances.ordersTaken == 1);
  const auto fenced = give(engine, loadOrder("two", 4, 3));
  BOOST_TEST((fenced.status == clients::OrderStatus::kFencedOff));
  BOOST_TEST(fenced.fencingToken == 5U);
  BOOST_TEST((give(engine, loadOrder("three", 6, 3)).status == clients::OrderStatus::kInvalid));
  engine.crash();
  engine.restart();
  BOOST_TEST(engine.weights().empty());
  time.run(2s);
  BOOST_TEST(engine.weights().size() == 2U);
  BOOST_TEST((give(engine, loadOrder("four", 4, 3)).status == clients::OrderStatus::kFencedOff));
}

BOOST_AUTO_TEST_CASE(loadingWeightsStallsStepsWithoutBreakingStreams) {
  EngineModel engine = makeEngine(engineOptions());
  StreamRecorder running(time);
  engine.submit(request(promptOf(4, 'a'), 200), running);
  time.run(200ms);
  give(engine, loadOrder("load", 1, 2));
  time.run(50ms);
  const std::size_t received = running.positions.size();
  time.run(400ms);
  BOOST_TEST(running.positions.size() == received);
  time.run(60s);
  BOOST_TEST(running.positions.size() == 200U);
  BOOST_TEST(running.end.has_value());
}

BOOST_AUTO_TEST_CASE(unloadWaitsForRunningRequestsAndDropsTheirBlocks) {
  EngineModel engine = makeEngine(engineOptions());
  give(engine, loadOrder("load", 1, 2));
  time.run(1s);
  complete(engine, request(promptOf(8, 'a')));
  StreamRecorder running(time);
  engine.submit(request(promptOf(8, 'a'), 100), running);
  time.run(100ms);
  clients::EngineOrder unload = loadOrder("unload", 1, 1);
  unload.kind = clients::OrderKind::kUnloadWeights;
  give(engine, unload);
  StreamRecorder late(time);
  engine.submit(request(promptOf(8, 'a')), late);
  BOOST_TEST((late.error.value().reason.code == ResultCode::kIdentityMismatch));
  BOOST_TEST(reportOf(engine).lastOrder == "load");
  time.run(10s);
  BOOST_TEST(running.end.has_value());
  BOOST_TEST(reportOf(engine).lastOrder == "unload");
  BOOST_TEST(engine.cache().cachedBlocks() == 0U);
  EngineRequest newer = request(promptOf(8, 'a'));
  newer.identity.weightsVersion = 2;
  BOOST_TEST(complete(engine, newer).end.value().cachedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(standbyEngineRefusesRequests) {
  EngineModel engine = makeEngine(engineOptions());
  clients::EngineOrder order{
      "role", 1, clients::OrderKind::kChangeRole, {}, clients::EngineRole::kStandby};
  give(engine, order);
  BOOST_TEST((complete(engine, request(promptOf(2, 'a'))).error.value().failure ==
              DispatchFailure::kRefusedNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A busy stretch with crash, pause and event loss; its digest.
std::uint64_t busyRun(std::uint64_t seed) {
  Fixture world;
  world.random = base::SeededRandom(seed);
  EngineModelOptions options = engineOptions();
  options.capacityBlocks = 256;
  options.cacheEvents.lossRate = 0.1;
  EngineModel engine = world.makeEngine(options);
  std::deque<StreamRecorder> streams;
  for (int count = 0; count < 200; ++count) {
    streams.emplace_back(world.time);
    const auto fill = static_cast<char>('a' + world.random.below(6));
    const std::size_t blocks = 1 + world.random.below(60);
    EngineRequest made = world.request(promptOf(blocks, fill), 16);
    made.priority = static_cast<PriorityClass>(world.random.below(base::kPriorityClassCount));
    const ExecutionId execution = engine.submit(std::move(made), streams.back());
    world.time.run(Duration{static_cast<Duration::rep>(world.random.below(60'000))});
    if (count % 20 == 7) engine.cancel(execution);
    if (count == 80) engine.pause();
    if (count == 90) engine.resume();
    if (count == 120) engine.crash();
    if (count == 125) engine.restart();
  }
  world.time.run(60s);
  BOOST_TEST(engine.isIdle());
  BOOST_TEST(engine.cache().reservedBlocks() == 0U);
  BOOST_TEST(world.provenances.identityMismatches == 0);
  BOOST_TEST(world.digest.events() > 2000U);
  return world.digest.value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EngineModelRepeatabilitySuite)

BOOST_AUTO_TEST_CASE(equalSeedsGiveEqualRuns) {
  BOOST_TEST(busyRun(1) == busyRun(1));
  BOOST_TEST(busyRun(1) != busyRun(2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::emulator
