#include "emulator/fleet_model.h"

#include <boost/test/unit_test.hpp>

#include "emulator/expected_answer.h"
#include "emulator/observer_digest.h"
#include "emulator/virtual_time.h"

using namespace std::chrono_literals;

namespace covewing::emulator {

namespace {

class SilentStream final : public clients::EngineStreamHandler {
 public:
  void onAccepted() override {}
  void onChunk(clients::StreamChunk /*chunk*/) override { ++chunks; }
  void onEnd(clients::StreamEnd /*end*/) override { ended = true; }
  void onError(clients::DispatchError /*error*/) override {}
  int chunks = 0;
  bool ended = false;
};

std::uint64_t digestOfRun(std::uint64_t seed, bool withTableCalls) {
  VirtualTime time;
  FleetModel fleet(marketsFleet(), seed, time, time);
  ObserverDigest digest;
  fleet.addObserver(digest);
  std::vector<SilentStream> streams(fleet.engineCount());
  for (std::size_t index = 0; index < fleet.engineCount(); ++index) {
    clients::EngineRequest request;
    request.requestId.value = "q" + std::to_string(index);
    request.identity = {1, "stallholder", "", 1};
    request.prompt = std::make_shared<const std::string>(6400, 'n');
    request.maximumTokens = 5;
    fleet.engine(index).submit(std::move(request), streams[index]);
    if (withTableCalls) fleet.table().read({"a"}, [](const auto& /*reply*/) {});
    fleet.application(index % 3).faults().refuse = 0.5;
    fleet.application(index % 3).call({}, [](const auto& /*result*/) {});
    time.run(10ms);
  }
  time.run(10s);
  return digest.value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FleetModelSuite)

BOOST_AUTO_TEST_CASE(placesMachinesOnZonesInTurn) {
  VirtualTime time;
  FleetModel fleet(tournamentsFleet(), 1, time, time);
  BOOST_TEST(fleet.engineCount() == 20U);
  BOOST_TEST(fleet.applicationCount() == 3U);
  BOOST_TEST(fleet.machines().size() == 24U);
  BOOST_TEST(fleet.findPlace("rules-05")->zone == "vn-south-b");
  BOOST_TEST(fleet.findPlace("pairings-03")->zone == "vn-south-c");
  BOOST_TEST(fleet.findEngine("rules-20")->name() == "rules-20");
  BOOST_TEST(fleet.findEngine("rules-21") == nullptr);
}

BOOST_AUTO_TEST_CASE(drawsOfOneModelDoNotShiftAnother) {
  BOOST_TEST(digestOfRun(1, false) == digestOfRun(1, false));
  BOOST_TEST(digestOfRun(1, false) == digestOfRun(1, true));
  BOOST_TEST(digestOfRun(1, false) != digestOfRun(2, false));
}

BOOST_AUTO_TEST_CASE(speedsUpEveryDuration) {
  const FleetOptions normal = tournamentsFleet();
  const FleetOptions fast = spedUp(normal, 10.0);
  BOOST_TEST(fast.engine.step.speed == 10.0);
  BOOST_TEST((fast.weightStore.loadTime == 50ms));
  BOOST_TEST((fast.machineList.lag * 10 == normal.machineList.lag));
  BOOST_TEST(fast.table.rateLimit == normal.table.rateLimit * 10);
  BOOST_TEST(fast.engine.capacityBlocks == normal.engine.capacityBlocks);
}

BOOST_AUTO_TEST_CASE(expectedAnswersDifferByPromptAndPosition) {
  BOOST_TEST(expectedToken(1, 0) != expectedToken(1, 1));
  BOOST_TEST(expectedToken(1, 0) != expectedToken(2, 0));
  BOOST_TEST(expectedText(1, 2, 4) == expectedToken(1, 2) + expectedToken(1, 3));
  BOOST_TEST(expectedLength(5, 10) == 10U);
  BOOST_TEST(expectedLength(5, 0) >= 256U);
  BOOST_TEST(expectedLength(5, 5000) == expectedLength(5, 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::emulator
