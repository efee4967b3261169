// One complete node: from a committed template to a streamed response, pauses and planned stops.
#include <boost/test/unit_test.hpp>

#include "node/node_fixture.h"

namespace covewing::node {

using base::Event;
using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(NodeTest, NodeFixture)

BOOST_AUTO_TEST_CASE(ServesATenantFromTheTableService) {
  startAndSettle();
  BOOST_TEST(node->ready());
  const auto active = complete();
  BOOST_REQUIRE(engines.streams.streams.size() == 1);
  BOOST_TEST(engines.streams.last().request.identity.weightsVersion == 3U);
  engines.streams.last().chunk(0);
  engines.streams.last().end(1);
  BOOST_TEST(sink.ended.has_value());
  BOOST_TEST(log.has(Event::kNodeReady));
}

BOOST_AUTO_TEST_CASE(EngineThatRefusesBecauseItLeavesGetsNoMoreWork) {
  startAndSettle();
  const auto first = complete();
  const base::EngineId leaving = engines.streams.last().engine.id;
  engines.streams.last().fail(clients::DispatchFailure::kRefusedNotRun,
                              ResultCode::kBackEndLeaving);
  time.advance(milliseconds(50));
  BOOST_REQUIRE(engines.streams.streams.size() == 2);
  BOOST_TEST(node->fleet().find(leaving)->leaving);
  const auto second = complete();
  BOOST_REQUIRE(engines.streams.streams.size() == 3);
  BOOST_TEST((engines.streams.last().engine.id != leaving));
}

BOOST_AUTO_TEST_CASE(RetiredDuringAPauseIsRefusedOnWake) {
  startAndSettle();
  putTenant("{}", true);
  time.pause(seconds(30));
  const auto active = complete();
  time.advance(seconds(2));
  BOOST_TEST(log.has(Event::kNodeWokeFromPause));
  BOOST_TEST(engines.streams.streams.empty());
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kTenantRetired));
}

BOOST_AUTO_TEST_CASE(StaleAfterAPauseFollowsTheTemplate) {
  startAndSettle();
  table.defaultBehaviour = request::FakeTable::Behaviour::kUnavailable;
  time.pause(seconds(30));
  const auto active = complete();
  time.advance(seconds(4));
  BOOST_TEST(engines.streams.streams.empty());
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kConfigurationStale));
}

BOOST_AUTO_TEST_CASE(PlannedStopFinishesStreams) {
  startAndSettle();
  const auto active = complete();
  bool drained = false;
  node->drain(seconds(10), [&drained] { drained = true; });
  BOOST_TEST(!node->ready());
  time.advance(seconds(1));
  BOOST_TEST(!drained);
  engines.streams.last().chunk(0);
  engines.streams.last().end(1);
  time.settle();
  BOOST_TEST(drained);
  BOOST_TEST(sink.ended.has_value());
}

BOOST_AUTO_TEST_CASE(PlannedStopIsBounded) {
  startAndSettle();
  const auto active = complete();
  bool drained = false;
  node->drain(milliseconds(500), [&drained] { drained = true; });
  time.advance(seconds(1));
  BOOST_TEST(drained);
  BOOST_REQUIRE(sink.refused.has_value());
  BOOST_TEST((sink.refused->reason.code == ResultCode::kNodeDraining));
}

BOOST_AUTO_TEST_CASE(IdleNodeStopsAtOnce) {
  startAndSettle();
  bool drained = false;
  node->drain(seconds(60), [&drained] { drained = true; });
  time.advance(seconds(1));
  BOOST_TEST(drained);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
