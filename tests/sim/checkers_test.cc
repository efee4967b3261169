#include "sim/checkers.h"

#include <boost/test/unit_test.hpp>

#include "emulator/expected_answer.h"

namespace covewing::sim {
namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kPrompt = 77;
constexpr std::uint32_t kTokens = 5;
const base::EngineId kEngine = base::engineIdOf("engine-1");

base::TimePoint at(base::Duration time) { return base::TimePoint(time); }

CallRecord callOf(std::string id) {
  CallRecord call;
  call.tenant = "tenant";
  call.requestId = {std::move(id)};
  call.model = "m";
  call.submittedAt = at(seconds(1));
  call.endedAt = at(seconds(2));
  call.ending = CallEnding::kComplete;
  return call;
}

/// A completion with its whole answer.
CallRecord completeStream() {
  auto call = callOf("r1");
  call.promptHash = kPrompt;
  call.maximumTokens = kTokens;
  for (std::uint64_t position = 0; position < kTokens; ++position) {
    call.chunks.push_back({position, emulator::expectedToken(kPrompt, position)});
  }
  call.end.outputTokens = kTokens;
  return call;
}

EngineExecution executionOf(std::string id) {
  EngineExecution execution;
  execution.record.engine = kEngine;
  execution.record.incarnation = 2;
  execution.record.requestId = {std::move(id)};
  execution.record.identity = {11, "m", "", 3};
  execution.acceptedAt = at(seconds(1));
  execution.startedAt = at(seconds(1));
  return execution;
}

ReplicaExecution replicaExecutionOf(std::string id) {
  ReplicaExecution execution;
  execution.execution.requestId = {std::move(id)};
  execution.at = at(seconds(1));
  return execution;
}

/// A history with one good completion, and the tenant's salt.
History goodHistory() {
  History history;
  history.nodes = {"node-0"};
  history.calls.push_back(completeStream());
  history.executions.push_back(executionOf("r1"));
  history.committed.push_back({"tenant", 1, "initial", false, 100, 11, at({})});
  history.endedAt = at(seconds(300));
  return history;
}

bool violates(const History& history, Promise promise) {
  for (const auto& violation : checkAll(history, Bounds{})) {
    if (violation.promise == promise) return true;
  }
  return false;
}

BOOST_AUTO_TEST_SUITE(CheckersTest)

BOOST_AUTO_TEST_CASE(goodHistoryHasNoViolation) {
  BOOST_TEST(checkAll(goodHistory(), Bounds{}).empty());
}

BOOST_AUTO_TEST_CASE(sameKeyRunTwiceThroughTwoNodesIsCaught) {
  auto history = goodHistory();
  for (const auto* id : {"a", "b"}) {
    auto call = callOf(id);
    call.proxied = true;
    call.notRepeatable = true;
    call.idempotencyKey = "key";
    call.ending = CallEnding::kNodeLost;
    history.calls.push_back(call);
    BOOST_TEST(!violates(history, Promise::kAtMostOnce));
    history.replicaExecutions.push_back(replicaExecutionOf(id));
  }
  BOOST_TEST(violates(history, Promise::kAtMostOnce));
  history.calls.back().tenant = "another";
  BOOST_TEST(!violates(history, Promise::kAtMostOnce));
}

BOOST_AUTO_TEST_CASE(notRepeatableCallWithoutKeySentTwiceIsCaught) {
  auto history = goodHistory();
  history.calls.back().notRepeatable = true;
  history.executions.push_back(executionOf("r1"));
  BOOST_TEST(violates(history, Promise::kAtMostOnce));
}

BOOST_AUTO_TEST_CASE(falseNotRunIsCaught) {
  auto history = goodHistory();
  auto call = callOf("r2");
  call.ending = CallEnding::kRefused;
  call.refusal.outcome = request::Outcome::kNotRun;
  history.calls.push_back(call);
  BOOST_TEST(!violates(history, Promise::kNotRun));
  history.executions.push_back(executionOf("r2"));
  history.executions.back().startedAt.reset();
  BOOST_TEST(!violates(history, Promise::kNotRun));
  history.executions.back().startedAt = at(seconds(1));
  BOOST_TEST(violates(history, Promise::kNotRun));
}

BOOST_AUTO_TEST_CASE(gapRepetitionOrderAndForeignTextAreCaught) {
  const auto broken = [](const std::function<void(CallRecord&)>& change) {
    auto history = goodHistory();
    change(history.calls.back());
    return violates(history, Promise::kStreams);
  };
  BOOST_TEST(broken([](CallRecord& call) { call.chunks.erase(call.chunks.begin() + 2); }));
  BOOST_TEST(broken([](CallRecord& call) { call.chunks.push_back(call.chunks.back()); }));
  BOOST_TEST(broken([](CallRecord& call) { std::swap(call.chunks[1], call.chunks[2]); }));
  BOOST_TEST(broken([](CallRecord& call) { call.chunks[1].text = "other"; }));
  BOOST_TEST(broken([](CallRecord& call) { call.chunks.pop_back(); }));
  BOOST_TEST(broken([](CallRecord& call) { call.callsAfterEnd = 1; }));
  BOOST_TEST(broken([](CallRecord& call) {
    call.ending = CallEnding::kRefused;
    call.refusal.outcome = request::Outcome::kNotRun;
  }));
}

BOOST_AUTO_TEST_CASE(incompleteStreamThatSaysSoIsNoViolation) {
  auto history = goodHistory();
  history.calls.back().chunks.pop_back();
  history.calls.back().ending = CallEnding::kRefused;
  history.calls.back().refusal.outcome = request::Outcome::kUnknown;
  BOOST_TEST(checkAll(history, Bounds{}).empty());
}

BOOST_AUTO_TEST_CASE(anotherCallsAnswerIsCaught) {
  auto history = goodHistory();
  auto call = callOf("r2");
  call.proxied = true;
  call.target = "/x?n=2";
  call.answeredRequestId = {"r2"};
  call.answerBody = "{\"target\":\"/x?n=2\"}";
  history.calls.push_back(call);
  BOOST_TEST(checkAll(history, Bounds{}).empty());
  history.calls.back().answerBody = "{\"target\":\"/x?n=3\"}";
  BOOST_TEST(violates(history, Promise::kOwnAnswer));
  history.calls.back().answerBody = call.answerBody;
  history.calls.back().answeredRequestId = {"r3"};
  BOOST_TEST(violates(history, Promise::kOwnAnswer));
}

BOOST_AUTO_TEST_CASE(reuseUnderAnotherIdentityIsCaught) {
  const auto with = [](const std::function<void(EngineExecution&)>& change) {
    auto history = goodHistory();
    auto& execution = history.executions.back();
    execution.localBlocks = 4;
    execution.provenances = {{execution.record.identity, kEngine, 2}};
    change(execution);
    return violates(history, Promise::kCacheIdentity);
  };
  BOOST_TEST(!with([](EngineExecution&) {}));
  BOOST_TEST(with([](EngineExecution& e) { e.provenances[0].identity.tenantSalt = 12; }));
  BOOST_TEST(with([](EngineExecution& e) { e.provenances[0].identity.weightsVersion = 2; }));
  BOOST_TEST(with([](EngineExecution& e) { e.provenances[0].identity.adapter = "x"; }));
  BOOST_TEST(with([](EngineExecution& e) { e.provenances[0].incarnation = 1; }));
  BOOST_TEST(with([](EngineExecution& e) { e.record.requestedIncarnation = 1; }));
  BOOST_TEST(with([](EngineExecution& e) {
    e.record.identity.tenantSalt = 99;
    e.provenances[0].identity.tenantSalt = 99;
  }));
  // Through the store of kept KV cache, blocks outlive the process that computed them.
  BOOST_TEST(!with([](EngineExecution& e) {
    e.provenances[0].incarnation = 1;
    e.importedBlocks = 1;
  }));
}

BOOST_AUTO_TEST_CASE(revisionThatFallsIsCaught) {
  auto history = goodHistory();
  history.configurations = {{0, 1, at(seconds(1)), 5}, {0, 2, at(seconds(2)), 3}};
  BOOST_TEST(!violates(history, Promise::kConfiguration));
  history.configurations.push_back({0, 2, at(seconds(3)), 2});
  BOOST_TEST(violates(history, Promise::kConfiguration));
}

BOOST_AUTO_TEST_CASE(templateThatRevertsOrWasNeverCommittedIsCaught) {
  auto history = goodHistory();
  history.committed.push_back({"tenant", 4, "op", false, 200, 11, at(seconds(1))});
  history.templates = {{0, 1, at(seconds(1)), "tenant", 1, false, 100},
                       {0, 1, at(seconds(2)), "tenant", 4, false, 200}};
  BOOST_TEST(!violates(history, Promise::kConfiguration));
  auto reverted = history;
  reverted.templates.push_back({0, 1, at(seconds(3)), "tenant", 1, false, 100});
  BOOST_TEST(violates(reverted, Promise::kConfiguration));
  auto foreign = history;
  foreign.templates.back().mark = 100;
  BOOST_TEST(violates(foreign, Promise::kConfiguration));
}

OperatorCall operatorCall(const char* id, OperatorCallStatus status, base::Revision expected,
                          base::Revision version, base::Duration from, base::Duration to) {
  OperatorCall call;
  call.name = "tenant";
  call.kind = OperatorCallKind::kChange;
  call.expectedVersion = expected;
  call.operationId = id;
  call.invokedAt = at(from);
  call.returnedAt = at(to);
  call.status = status;
  call.version = version;
  return call;
}

BOOST_AUTO_TEST_CASE(acceptedTemplateThatANodeLacksIsCaught) {
  auto history = goodHistory();
  history.committed.push_back({"tenant", 4, "op", false, 200, 11, at(seconds(10))});
  history.operatorCalls = {
      operatorCall("op", OperatorCallStatus::kAccepted, 1, 4, seconds(9), seconds(10))};
  history.nodeEvents = {{0, 1, NodeEventKind::kReady, at(seconds(1)), 0}};
  history.templates = {{0, 1, at(seconds(12)), "tenant", 4, false, 200}};
  BOOST_TEST(!violates(history, Promise::kConfiguration));
  history.templates.back().at = at(seconds(18));
  BOOST_TEST(violates(history, Promise::kConfiguration));
  // A fault in between moves the bound.
  history.faults = {{"zone-cut", "zone", at(seconds(10)), at(seconds(12))}};
  BOOST_TEST(!violates(history, Promise::kConfiguration));
}

BOOST_AUTO_TEST_CASE(retiredTenantServedIsCaught) {
  auto history = goodHistory();
  history.committed.push_back({"tenant", 4, "op", true, 100, 11, at(seconds(1))});
  history.calls.back().submittedAt = at(seconds(7));
  BOOST_TEST(!violates(history, Promise::kConfiguration));
  history.calls.back().submittedAt = at(seconds(9));
  BOOST_TEST(violates(history, Promise::kConfiguration));
}

BOOST_AUTO_TEST_CASE(twoAcceptedChangesOfOneVersionAreCaught) {
  auto history = goodHistory();
  history.committed.push_back({"tenant", 4, "a", false, 1, 11, at(seconds(2))});
  history.committed.push_back({"tenant", 5, "b", false, 2, 11, at(seconds(3))});
  history.operatorCalls = {
      operatorCall("a", OperatorCallStatus::kAccepted, 1, 4, seconds(1), seconds(2)),
      operatorCall("b", OperatorCallStatus::kAccepted, 4, 5, seconds(2), seconds(3))};
  BOOST_TEST(!violates(history, Promise::kTemplateChanges));
  history.operatorCalls.back().expectedVersion = 1;
  BOOST_TEST(violates(history, Promise::kTemplateChanges));
}

BOOST_AUTO_TEST_CASE(conflictWithAVersionOfLaterIsCaught) {
  auto history = goodHistory();
  history.committed.push_back({"tenant", 4, "a", false, 1, 11, at(seconds(6))});
  history.operatorCalls = {
      operatorCall("a", OperatorCallStatus::kAccepted, 1, 4, seconds(5), seconds(6)),
      operatorCall("b", OperatorCallStatus::kConflict, 1, 4, seconds(7), seconds(8))};
  BOOST_TEST(!violates(history, Promise::kTemplateChanges));
  history.operatorCalls.back().invokedAt = at(seconds(1));
  history.operatorCalls.back().returnedAt = at(seconds(2));
  BOOST_TEST(violates(history, Promise::kTemplateChanges));
}

BOOST_AUTO_TEST_CASE(changeToldNotDoneThatWasCommittedIsCaught) {
  auto history = goodHistory();
  history.committed.push_back({"tenant", 4, "a", false, 1, 11, at(seconds(2))});
  history.operatorCalls = {
      operatorCall("a", OperatorCallStatus::kUnknown, 1, 0, seconds(1), seconds(2))};
  BOOST_TEST(!violates(history, Promise::kTemplateChanges));
  history.operatorCalls.back().status = OperatorCallStatus::kNotDone;
  BOOST_TEST(violates(history, Promise::kTemplateChanges));
}

BOOST_AUTO_TEST_CASE(repeatedCallAfterALostAnswerIsOneChange) {
  auto history = goodHistory();
  history.committed.push_back({"tenant", 4, "a", false, 1, 11, at(seconds(2))});
  auto lost = operatorCall("a", OperatorCallStatus::kUnknown, 1, 0, seconds(1), seconds(2));
  lost.returnedAt.reset();
  // Another operator saw the change before the repetition was answered.
  history.operatorCalls = {
      lost, operatorCall("b", OperatorCallStatus::kConflict, 1, 4, seconds(3), seconds(4)),
      operatorCall("a", OperatorCallStatus::kAccepted, 1, 4, seconds(5), seconds(6))};
  BOOST_TEST(!violates(history, Promise::kTemplateChanges));
}

BOOST_AUTO_TEST_CASE(workAfterLeavingIsCaught) {
  auto history = goodHistory();
  history.leaves = {{kEngine, "engine-1", at(seconds(10))}};
  history.engineRefusals = {{kEngine, {"r9"}, at(seconds(14))}};
  BOOST_TEST(!violates(history, Promise::kDrain));
  history.engineRefusals.push_back({kEngine, {"r10"}, at(milliseconds(15500))});
  BOOST_TEST(violates(history, Promise::kDrain));
}

BOOST_AUTO_TEST_CASE(plannedStopThatCutsACallIsCaught) {
  auto history = goodHistory();
  history.nodeEvents = {{0, 1, NodeEventKind::kDrained, at(seconds(10)), 0}};
  BOOST_TEST(!violates(history, Promise::kPlannedStop));
  history.nodeEvents.back().openCalls = 1;
  BOOST_TEST(violates(history, Promise::kPlannedStop));
}

BOOST_AUTO_TEST_CASE(orderUnderAnOlderTokenIsCaught) {
  auto history = goodHistory();
  OrderRecord order;
  order.engine = kEngine;
  order.order.fencingToken = 7;
  order.reply.status = clients::OrderStatus::kAccepted;
  history.orders.push_back(order);
  order.order.fencingToken = 6;
  order.reply.status = clients::OrderStatus::kFencedOff;
  history.orders.push_back(order);
  BOOST_TEST(!violates(history, Promise::kOrders));
  history.orders.back().reply.status = clients::OrderStatus::kAccepted;
  BOOST_TEST(violates(history, Promise::kOrders));
}

BOOST_AUTO_TEST_CASE(moreLoadsThanSlotsIsCaught) {
  auto history = goodHistory();
  history.loadSlots = 3;
  history.peakLoads = 3;
  BOOST_TEST(!violates(history, Promise::kOrders));
  history.peakLoads = 4;
  BOOST_TEST(violates(history, Promise::kOrders));
}

BOOST_AUTO_TEST_CASE(restartThatDoesNotServeIsCaught) {
  auto history = goodHistory();
  history.nodeEvents = {{0, 1, NodeEventKind::kStarted, at(seconds(10)), 0},
                        {0, 1, NodeEventKind::kReady, at(seconds(12)), 0}};
  BOOST_TEST(!violates(history, Promise::kRestart));
  history.nodeEvents.back().at = at(seconds(17));
  BOOST_TEST(violates(history, Promise::kRestart));
}

BOOST_AUTO_TEST_CASE(restartBesideAReadyNeighbourIsHeldToTheShorterBound) {
  auto history = goodHistory();
  history.nodes = {"node-0", "node-1"};
  history.nodeZones = {"zone", "zone"};
  history.nodeEvents = {{1, 1, NodeEventKind::kReady, at(seconds(1)), 0},
                        {0, 2, NodeEventKind::kStarted, at(seconds(10)), 0},
                        {0, 2, NodeEventKind::kReady, at(seconds(14)), 0}};
  // Stores that are down are no excuse then.
  history.faults = {{"table-down", "table", at(seconds(9)), at(seconds(15))}};
  BOOST_TEST(violates(history, Promise::kRestart));
  history.nodeZones = {"zone", "other"};
  BOOST_TEST(!violates(history, Promise::kRestart));
}

BOOST_AUTO_TEST_CASE(wrongRefusalsAreCaught) {
  auto history = goodHistory();
  auto call = callOf("r2");
  call.ending = CallEnding::kRefused;
  call.refusal.outcome = request::Outcome::kNotRun;
  call.refusal.reason.code = base::ResultCode::kTenantRetired;
  history.calls.push_back(call);
  BOOST_TEST(violates(history, Promise::kConfiguration));
  history.calls.back().refusal.reason.code = base::ResultCode::kUnknownTenant;
  BOOST_TEST(!violates(history, Promise::kConfiguration));
  history.calls.back().submittedAt = at(seconds(20));
  history.calls.back().endedAt = at(seconds(21));
  BOOST_TEST(violates(history, Promise::kConfiguration));
}

BOOST_AUTO_TEST_CASE(callWithoutAnswerIsCaught) {
  auto history = goodHistory();
  history.calls.back().ending = CallEnding::kOpen;
  BOOST_TEST(violates(history, Promise::kAnswered));
  history.endedAt = at(seconds(30));
  BOOST_TEST(!violates(history, Promise::kAnswered));
}

BOOST_AUTO_TEST_CASE(digestDependsOnTheRecords) {
  auto history = goodHistory();
  const auto before = digestOf(history);
  BOOST_TEST(before == digestOf(goodHistory()));
  history.calls.back().chunks.back().text = "x";
  BOOST_TEST(before != digestOf(history));
}

BOOST_AUTO_TEST_SUITE_END()
}  // namespace
}  // namespace covewing::sim
