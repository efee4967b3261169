// Execution of orders by lease holders, with the emulator's engines and weight store.
#include <boost/test/unit_test.hpp>

#include "coordination/order_request.h"
#include "coordination_world.h"

namespace covewing::coordination {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kLoadSlots = 2;

OrderRequest swapRequest(base::WeightsVersion version) {
  OrderRequest request;
  request.type = OrderType::kSwap;
  request.model = "rules";
  request.version = version;
  return request;
}

OrderRequest loadRequest(std::uint32_t count, base::WeightsVersion version) {
  OrderRequest request;
  request.type = OrderType::kLoad;
  request.model = "rules";
  request.version = version;
  request.count = count;
  return request;
}

struct Fleet : World {
  explicit Fleet(std::size_t engineCount) {
    addNodes();
    addEngines(engineCount);
    start();
    run(seconds(5));
    BOOST_REQUIRE(!holder().empty());
  }
};

std::size_t stepsIn(const Order& order, StepState state) {
  return static_cast<std::size_t>(std::ranges::count_if(
      order.steps, [state](const OrderStep& step) { return step.state == state; }));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OrderExecutionTest)

BOOST_AUTO_TEST_CASE(LoadsWithinTheSlots) {
  Fleet fleet(8);
  const std::string id = fleet.createOrder(fleet.nonHolder(), loadRequest(8, 2));
  BOOST_TEST(fleet.runUntilFinished(id));
  BOOST_TEST((fleet.order(id).state == OrderState::kDone));
  BOOST_TEST(fleet.engines.enginesWith(2) == 8U);
  BOOST_TEST(fleet.engines.weightStore.peakLoads() == kLoadSlots);
}

BOOST_AUTO_TEST_CASE(LoadPrefersEnginesThatHaveTheModel) {
  Fleet fleet(3);
  for (const char* name : {"a", "b", "c"}) {
    fleet.engines.add(name, std::string("zone-") + name, {{"prices", 1, {}}});
  }
  const std::string id = fleet.createOrder(fleet.nonHolder(), loadRequest(2, 2));
  for (const OrderStep& step : fleet.order(id).steps) {
    BOOST_TEST(step.engine.starts_with("rules-"));
  }
}

BOOST_AUTO_TEST_CASE(TwoOrdersShareTheSlots) {
  Fleet fleet(8);
  OrderRequest first = loadRequest(4, 2);
  first.operationId = "first";
  OrderRequest second = loadRequest(1, 2);
  second.count.reset();
  second.engines = {"rules-6", "rules-7", "rules-5"};
  second.operationId = "second";
  const std::string firstId = fleet.createOrder(fleet.nonHolder(), first);
  const std::string secondId = fleet.createOrder(fleet.holderNode(), second);
  BOOST_TEST(fleet.runUntilFinished(firstId));
  BOOST_TEST(fleet.runUntilFinished(secondId));
  BOOST_TEST((fleet.order(secondId).state == OrderState::kDone));
  BOOST_TEST(fleet.engines.weightStore.peakLoads() == kLoadSlots);
}

BOOST_AUTO_TEST_CASE(SwapKeepsCapacityAndEndsOnTheNewVersion) {
  Fleet fleet(6);
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  std::size_t lowestServing = 6;
  bool oldUnloadedEarly = false;
  BOOST_TEST(fleet.runUntilFinished(id, [&] {
    lowestServing = std::min(lowestServing, 6 - fleet.engines.weightStore.activeLoads());
    oldUnloadedEarly =
        oldUnloadedEarly || (fleet.engines.enginesWith(1) < 6 && fleet.engines.enginesWith(2) < 6);
  }));
  const Order order = fleet.order(id);
  BOOST_TEST((order.state == OrderState::kDone));
  BOOST_TEST(stepsIn(order, StepState::kDone) == 6U);
  BOOST_TEST(fleet.engines.enginesWith(2) == 6U);
  BOOST_TEST(fleet.engines.enginesWith(1) == 0U);
  BOOST_TEST(lowestServing >= 4U);
  BOOST_TEST(!oldUnloadedEarly);
}

BOOST_AUTO_TEST_CASE(SwapKeepsTheAdapters) {
  Fleet fleet(1);
  fleet.engines.add("rules-x", "zone-2", {{"rules", 1, {"rules-vn"}}});
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  BOOST_TEST(fleet.runUntilFinished(id));
  const auto& weights = fleet.engines.at("rules-x").weights();
  BOOST_REQUIRE(weights.size() == 1U);
  BOOST_TEST(weights[0].version == 2U);
  BOOST_TEST(weights[0].adapters == std::vector<std::string>{"rules-vn"});
}

BOOST_AUTO_TEST_CASE(MinimumServingLimitsTheLoads) {
  Fleet fleet(4);
  OrderRequest request = swapRequest(2);
  request.minimumServing = 3;
  const std::string id = fleet.createOrder(fleet.nonHolder(), request);
  BOOST_TEST(fleet.runUntilFinished(id));
  BOOST_TEST((fleet.order(id).state == OrderState::kDone));
  BOOST_TEST(fleet.engines.weightStore.peakLoads() == 1U);
}

BOOST_AUTO_TEST_CASE(TheFirstEngineIsTheCanary) {
  Fleet fleet(5);
  fleet.engines.weightStore.setSpeed(0);
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  fleet.run(seconds(20));
  BOOST_TEST(fleet.engines.weightStore.activeLoads() == 1U);
  BOOST_TEST(stepsIn(fleet.order(id), StepState::kWaiting) == 4U);
}

BOOST_AUTO_TEST_CASE(FailingSwapUnloadsTheNewVersion) {
  Fleet fleet(3);
  // This engine has no memory left for another version of weights.
  fleet.engines.add("rules-x", "zone-1", {{"other", 1, {}}, {"rules", 1, {}}});
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  BOOST_TEST(fleet.runUntilFinished(id));
  const Order order = fleet.order(id);
  BOOST_TEST((order.state == OrderState::kFailed));
  BOOST_TEST(order.detail.find("rules-x") != std::string::npos);
  BOOST_TEST(fleet.engines.enginesWith(2) == 0U);
  BOOST_TEST(fleet.engines.enginesWith(1) == 4U);
}

BOOST_AUTO_TEST_CASE(CancelledSwapUnloadsTheNewVersion) {
  Fleet fleet(6);
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  BOOST_TEST(fleet.runUntil(seconds(30), [&] { return fleet.engines.enginesWith(2) >= 2; }));
  std::optional<OrderCallResult> cancelled;
  fleet.nonHolder().coordinator.orders().cancel(
      id, [&](const OrderCallResult& answer) { cancelled = answer; });
  BOOST_TEST(fleet.runUntilFinished(id));
  BOOST_TEST((cancelled->status == OrderCallStatus::kOk));
  BOOST_TEST((fleet.order(id).state == OrderState::kCancelled));
  BOOST_TEST(fleet.engines.enginesWith(2) == 0U);
  BOOST_TEST(fleet.engines.enginesWith(1) == 6U);
}

BOOST_AUTO_TEST_CASE(NextHolderFinishesAfterACrash) {
  Fleet fleet(8);
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  BOOST_TEST(fleet.runUntil(seconds(30), [&] { return fleet.engines.enginesWith(2) >= 3; }));
  const std::string former = fleet.holder();
  fleet.crash(former);
  BOOST_TEST(fleet.runUntilFinished(id));
  const Order order = fleet.order(id);
  BOOST_TEST((order.state == OrderState::kDone));
  BOOST_TEST(order.token == 2U);
  BOOST_TEST(fleet.engines.enginesWith(2) == 8U);
  BOOST_TEST(fleet.engines.enginesWith(1) == 0U);
  BOOST_TEST(fleet.engines.weightStore.peakLoads() <= kLoadSlots);
}

BOOST_AUTO_TEST_CASE(OrderFinishesAfterRepeatedHolderCrashes) {
  Fleet fleet(10);
  fleet.engines.weightStore.setSpeed(0.1);
  const std::string id = fleet.createOrder(fleet.nonHolder(), loadRequest(10, 2));
  for (const std::size_t loaded : {2, 5}) {
    BOOST_TEST(fleet.runUntil(minutes(2), [&] { return fleet.engines.enginesWith(2) >= loaded; }));
    BOOST_TEST(fleet.runUntil(minutes(1), [&] { return !fleet.holder().empty(); }));
    fleet.crash(fleet.holder());
  }
  BOOST_TEST(fleet.runUntilFinished(id));
  BOOST_TEST(fleet.engines.enginesWith(2) == 10U);
  BOOST_TEST(fleet.engines.weightStore.peakLoads() <= kLoadSlots);
}

BOOST_AUTO_TEST_CASE(PausedHoldersLateOrderIsFencedOff) {
  Fleet fleet(6);
  fleet.engines.weightStore.setSpeed(0.05);
  TestNode& former = fleet.holderNode();
  // The engine order of the former holder is in transit while its lease expires.
  former.engines.delayNextOrderBy = seconds(30);
  const std::string id = fleet.createOrder(fleet.nonHolder(), loadRequest(6, 2));
  BOOST_TEST(fleet.runUntil(seconds(5),
                            [&] { return stepsIn(fleet.order(id), StepState::kLoading) > 0; }));
  fleet.run(milliseconds(700));
  former.time.pause();
  fleet.run(seconds(40));
  BOOST_TEST(fleet.engines.fencedOff == 1U);
  former.time.resume();
  BOOST_TEST(fleet.runUntilFinished(id));
  BOOST_TEST((fleet.order(id).state == OrderState::kDone));
  BOOST_TEST(fleet.engines.weightStore.peakLoads() <= kLoadSlots);
}

BOOST_AUTO_TEST_CASE(PausedHolderCannotWriteWhenItResumes) {
  Fleet fleet(8);
  fleet.engines.weightStore.setSpeed(0.2);
  const std::string id = fleet.createOrder(fleet.nonHolder(), loadRequest(8, 2));
  fleet.run(seconds(2));
  TestNode& former = fleet.holderNode();
  for (int pause = 0; pause < 3; ++pause) {
    former.time.pause();
    fleet.run(seconds(9));
    former.time.resume();
    fleet.run(seconds(2));
    BOOST_TEST(!former.coordinator.leaseStatus().held);
  }
  BOOST_TEST(fleet.runUntilFinished(id));
  BOOST_TEST(fleet.engines.enginesWith(2) == 8U);
  BOOST_TEST(fleet.engines.weightStore.peakLoads() <= kLoadSlots);
}

BOOST_AUTO_TEST_CASE(DelayedWriteOfAFormerHolderTakesNoSlot) {
  Fleet fleet(3);
  fleet.engines.weightStore.setSpeed(0.02);
  emulator::EngineModel& engine = fleet.engines.at("rules-0");
  engine.pause();
  OrderRequest first = loadRequest(1, 2);
  first.count.reset();
  first.engines = {"rules-0"};
  first.operationId = "first";
  const std::string firstId = fleet.createOrder(fleet.nonHolder(), first);
  fleet.run(seconds(3));
  // The write that takes a slot for the first order is in transit when its writer crashes.
  fleet.holderNode().table.delayNextOrderWriteBy = seconds(20);
  engine.resume();
  fleet.run(seconds(2));
  engine.pause();
  fleet.crash(fleet.holder());
  // The next holder cannot start the first order and gives both slots to the second.
  OrderRequest second = loadRequest(1, 2);
  second.count.reset();
  second.engines = {"rules-1", "rules-2"};
  second.operationId = "second";
  const std::string secondId = fleet.createOrder(*fleet.nodes.begin()->second, second);
  fleet.run(seconds(22));
  BOOST_TEST(stepsIn(fleet.order(secondId), StepState::kLoading) == 2U);
  BOOST_TEST(stepsIn(fleet.order(firstId), StepState::kLoading) == 0U);
}

BOOST_AUTO_TEST_CASE(ClockJumpOfACandidateIsFencedOff) {
  Fleet fleet(4);
  fleet.engines.weightStore.setSpeed(0.05);
  const std::string former = fleet.holder();
  const std::string id = fleet.createOrder(fleet.nonHolder(), loadRequest(4, 2));
  fleet.run(seconds(2));
  // The clocks of the candidates jump ahead: one of them takes over while the holder still
  // considers its lease valid.
  for (auto& [name, node] : fleet.nodes) {
    if (name != former) node->time.jump(std::chrono::hours(1));
  }
  const bool finished = fleet.runUntil(minutes(5), [&] { return isFinal(fleet.order(id).state); });
  BOOST_TEST(finished);
  BOOST_TEST(fleet.engines.enginesWith(2) == 4U);
  BOOST_TEST(fleet.engines.weightStore.peakLoads() <= kLoadSlots);
}

BOOST_AUTO_TEST_CASE(LostRepliesOfTheTableKeepSlotsAndSteps) {
  Fleet fleet(8);
  fleet.table.conditions().setAnswerLoss(0.4);
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  BOOST_TEST(fleet.runUntilFinished(id));
  BOOST_TEST((fleet.order(id).state == OrderState::kDone));
  BOOST_TEST(fleet.engines.weightStore.peakLoads() <= kLoadSlots);
  BOOST_TEST(fleet.engines.enginesWith(2) == 8U);
  BOOST_TEST(fleet.table.conditions().answersLost() > 5U);
}

BOOST_AUTO_TEST_CASE(EngineCrashDuringItsLoadIsLoadedAgain) {
  Fleet fleet(4);
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  BOOST_TEST(fleet.runUntil(seconds(30), [&] { return fleet.engines.enginesWith(2) >= 2; }));
  for (const char* name : {"rules-0", "rules-1", "rules-2", "rules-3"}) {
    fleet.engines.at(name).crash();
    fleet.run(milliseconds(300));
    fleet.engines.at(name).restart();
  }
  BOOST_TEST(fleet.runUntilFinished(id));
  BOOST_TEST((fleet.order(id).state == OrderState::kDone));
  BOOST_TEST(fleet.engines.enginesWith(2) == 4U);
  BOOST_TEST(fleet.engines.enginesWith(1) == 0U);
}

BOOST_AUTO_TEST_CASE(CrashedEngineIsSkipped) {
  Fleet fleet(4);
  const std::string id = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  fleet.engines.at("rules-2").crash();
  BOOST_TEST(fleet.runUntilFinished(id));
  const Order order = fleet.order(id);
  BOOST_TEST((order.state == OrderState::kDone));
  BOOST_TEST(stepsIn(order, StepState::kSkipped) == 1U);
  BOOST_TEST(fleet.engines.enginesWith(2) == 3U);
}

BOOST_AUTO_TEST_CASE(DrainingHolderHandsItsOrdersOver) {
  Fleet fleet(8);
  const std::string id = fleet.createOrder(fleet.nonHolder(), loadRequest(8, 2));
  BOOST_TEST(fleet.runUntil(seconds(30), [&] { return fleet.engines.enginesWith(2) >= 2; }));
  fleet.holderNode().coordinator.drain([] {});
  // Well below the time that the expiry of the lease would take.
  BOOST_TEST(fleet.runUntil(seconds(6), [&] { return fleet.engines.enginesWith(2) == 8; }));
}

BOOST_AUTO_TEST_CASE(RoleChangeKeepsOneServing) {
  Fleet fleet(3);
  OrderRequest request;
  request.type = OrderType::kRole;
  request.role = clients::EngineRole::kStandby;
  request.engines = {"rules-0", "rules-1", "rules-2"};
  const std::string id = fleet.createOrder(fleet.nonHolder(), request);
  fleet.run(seconds(20));
  const Order order = fleet.order(id);
  BOOST_TEST(stepsIn(order, StepState::kDone) == 2U);
  BOOST_TEST(stepsIn(order, StepState::kWaiting) == 1U);
}

BOOST_AUTO_TEST_CASE(CreatingIsIdempotentAcrossNodesAndLostReplies) {
  Fleet fleet(2);
  fleet.table.conditions().loseNextAnswers(1);
  const std::string first = fleet.createOrder(fleet.nonHolder(), swapRequest(2));
  const std::string second = fleet.createOrder(fleet.holderNode(), swapRequest(2));
  BOOST_TEST(first == second);
  BOOST_TEST(fleet.table.scanNow(orderPrefix(kRegion), 0, 10).rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(NumberOfFinishedOrdersIsBounded) {
  Fleet fleet(1);
  for (int index = 0; index < 70; ++index) {
    OrderRequest request = loadRequest(1, 1);
    request.count.reset();
    request.engines = {"rules-0"};
    request.operationId = "operation-" + std::to_string(index);
    BOOST_TEST(fleet.runUntilFinished(fleet.createOrder(fleet.nonHolder(), request)));
  }
  fleet.run(seconds(15));
  BOOST_TEST(fleet.table.scanNow(orderPrefix(kRegion), 0, 200).rows.size() == 64U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
