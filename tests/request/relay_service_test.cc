// What a node takes up, and what it refuses for its configuration's sake.
#include "request/relay_service.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(RelayServiceTest, RelayFixture)

BOOST_AUTO_TEST_CASE(WithoutConfigurationEverythingIsRefusedAsNotRun) {
  tables.current = nullptr;
  auto& caller = request("safe");
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST((caller.refusal->retryAfter > milliseconds(0)));
  BOOST_TEST(caller.refusal->closeConnection);
}

BOOST_AUTO_TEST_CASE(UnknownRouteAndUnknownKeyAreToldApart) {
  BOOST_TEST(request("nothing").refusal->status == 404U);
  BOOST_TEST(request("safe", "wrong").refusal->status == 401U);
}

BOOST_AUTO_TEST_CASE(KeysAreRefusedOnceTheConfigurationWasConfirmedTooLongAgo) {
  time.pause(seconds(5));
  auto& caller = request("safe");
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST(client.sent.empty());
  tables.confirmed = time.now();
  request("safe");
  BOOST_TEST(client.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ConfirmationIsCheckedAgainBeforeEachAttempt) {
  tables.confirmed = time.now() - milliseconds(4500);
  auto& caller = request("safe");
  BOOST_TEST(client.sent.size() == 1U);
  time.pause(seconds(1));
  client.last().breakOff();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.refusal->status == 503U);
}

BOOST_AUTO_TEST_CASE(PublicRoutesNeedNeitherKeyNorConfirmation) {
  auto open = contents();
  open.routes[0].isPublic = true;
  useTable(open);
  time.pause(seconds(60));
  request("safe", "");
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(client.last().terms.tenant.empty());
}

BOOST_AUTO_TEST_CASE(StoppingNodeRefusesNewRequestsAndFinishesOpenOnes) {
  auto& before = request("unsafe");
  service.refuseNew();
  auto& after = request("unsafe");
  BOOST_TEST(after.refusal->status == 503U);
  BOOST_TEST(after.refusal->closeConnection);
  BOOST_TEST((after.refusal->retryAfter > milliseconds(0)));
  client.last().answer(200, "done");
  BOOST_TEST(before.ended);
}

BOOST_AUTO_TEST_CASE(SplitRouteGivesEachServiceItsShare) {
  auto split = contents();
  split.routes[0].split = {{"app", 90}, {"llm", 10}};
  useTable(split);
  std::map<std::string, int> sentTo;
  for (int count = 0; count < 200; ++count) {
    request("safe");
    ++sentTo[replicas.find(client.last().terms.expectedInstance)->facts().service];
    client.last().answer(200, "");
  }
  BOOST_TEST(sentTo["app"] == 180);
  BOOST_TEST(sentTo["llm"] == 20);
}

BOOST_AUTO_TEST_CASE(TenantsPriorityGoesBeforeTheRoutes) {
  request("unsafe");
  BOOST_TEST(client.last().terms.priority.value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
