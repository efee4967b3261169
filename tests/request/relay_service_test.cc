// Tests which requests a node accepts, and which it refuses because of its configuration.
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

BOOST_AUTO_TEST_CASE(UnknownRouteAndUnknownKeyHaveDifferentStatus) {
  BOOST_TEST(request("nothing").refusal->status == 404U);
  BOOST_TEST(request("safe", "wrong").refusal->status == 401U);
}

BOOST_AUTO_TEST_CASE(KeysAreRefusedWhenTheConfirmationHasExpired) {
  time.pause(seconds(5));
  auto& caller = request("safe");
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST(client.sent.empty());
  tables.confirmed = time.now();
  request("safe");
  BOOST_TEST(client.sent.size() == 1U);
}

// Guards against a refusal of the second attempt with 503, which promises "not run", although the
// first attempt was executed.
BOOST_AUTO_TEST_CASE(ConfirmationIsCheckedAgainBeforeEachAttempt) {
  tables.confirmed = time.now() - milliseconds(4500);
  auto& caller = request("safe");
  BOOST_TEST(client.sent.size() == 1U);
  time.pause(seconds(1));
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.refusal->status == 502U);
  BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kBackEndLost));
}

BOOST_AUTO_TEST_CASE(ConfirmationThatExpiredBeforeAnyRunIsRefusedAsNotRun) {
  tables.confirmed = time.now() - milliseconds(4500);
  auto& caller = request("safe");
  time.pause(seconds(1));
  client.last().refuseNotExecuted();
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
  service.refuseNewRequests();
  auto& after = request("unsafe");
  BOOST_TEST(after.refusal->status == 503U);
  BOOST_TEST(after.refusal->closeConnection);
  BOOST_TEST((after.refusal->retryAfter > milliseconds(0)));
  client.last().respond(200, "done");
  BOOST_TEST(before.ended);
}

BOOST_AUTO_TEST_CASE(SplitRouteGivesEachServiceItsShare) {
  auto split = contents();
  split.routes[0].split = {{"app", 90}, {"llm", 10}};
  useTable(split);
  std::map<std::string, int> sentTo;
  for (int count = 0; count < 200; ++count) {
    request("safe");
    ++sentTo[replicas.find(client.last().terms.replica.instance())->facts().service];
    client.last().respond(200, "");
  }
  BOOST_TEST(sentTo["app"] == 180);
  BOOST_TEST(sentTo["llm"] == 20);
}

BOOST_AUTO_TEST_CASE(TenantPriorityTakesPrecedenceOverThatOfTheRoute) {
  request("unsafe");
  BOOST_TEST(client.last().terms.priority.value() == 1U);
}

BOOST_AUTO_TEST_CASE(RequestsBeyondTheTenantLimitAreRefusedWithACorrectRetryAfter) {
  limitTenant(10, 2);
  std::size_t refused = 0;
  for (int count = 0; count < 100; ++count) {
    auto& caller = request("safe");
    if (!caller.refusal) continue;
    ++refused;
    BOOST_TEST(caller.refusal->status == 429U);
    BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kRateLimited));
    BOOST_TEST((caller.refusal->retryAfter > milliseconds(0)));
  }
  BOOST_TEST(refused > 90U);
  BOOST_TEST(client.sent.size() == 100 - refused);
  time.advance(views.back()->refusal->retryAfter);
  BOOST_TEST(!request("safe").refusal.has_value());
}

BOOST_AUTO_TEST_CASE(RequestsThatWereNotSentTakeNoQuota) {
  limitTenant(1, 8);
  const auto limited = tables.current;
  auto withoutReplicas = contents();
  withoutReplicas.version = limited->version() + 1;
  withoutReplicas.tenants[0].rate = limited->findTenantByKey("key")->rate;
  withoutReplicas.services[0].name = "empty";
  withoutReplicas.routes[0].split = {{"empty", 1}};
  useTable(withoutReplicas);
  // The bucket holds two tokens.
  for (int round = 0; round < 5; ++round) {
    request("safe");
    const auto first = flow;
    BOOST_TEST(!request("safe").refusal.has_value());
    const auto second = flow;
    BOOST_TEST(request("safe").refusal->status == 429U);
    first.lock()->onCallerDisconnected();
    second.lock()->onCallerDisconnected();
    time.advance(milliseconds(600));
  }
}

BOOST_AUTO_TEST_CASE(RequestsOfATenantCloseToItsLimitAreNotHeldForLong) {
  limitTenant(1, 8);
  auto withoutReplicas = contents();
  withoutReplicas.version = 9;
  withoutReplicas.tenants[0].rate = tables.current->findTenantByKey("key")->rate;
  withoutReplicas.services[0].name = "empty";
  withoutReplicas.routes[0].split = {{"empty", 1}};
  useTable(withoutReplicas);
  auto& first = request("safe");
  auto& last = request("safe");
  time.advance(milliseconds(330));
  BOOST_TEST(first.open());
  BOOST_TEST(last.refusal->status == 503U);
  BOOST_TEST((last.refusal->retryAfter > milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(RepeatedAttemptsCountAgainstTheLimit) {
  limitTenant(1, 8);
  request("safe");
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 2U);
  client.last().respond(200, "done");
  // Each of the two attempts took one of the two tokens in the bucket.
  BOOST_TEST(request("safe").refusal->status == 429U);
}

BOOST_AUTO_TEST_CASE(TokensAreCountedWhereTheLimitCountsTokens) {
  limitTenant(1'000, 1'000, true);
  auto& large = request("once");
  BOOST_TEST(!large.refusal.has_value());
  client.last().respond(200, "id: 1\n\n");
  // A prompt of 1,200 tokens and a response of up to 20 tokens overdrew the bucket of 800 tokens.
  const auto& refused = request("safe").refusal;
  BOOST_TEST(refused->status == 429U);
  BOOST_TEST(base::toSeconds(refused->retryAfter) == (1220 - 800 + 7) / 1025.0,
             boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(RequestIsDroppedIfItsCallerDisconnectsWhileQuotaIsAcquired) {
  members.add("elsewhere");
  limitTenant(1'000, 1'000, false);
  // One of the tenants has its home at the other node, which does not respond.
  for (const char* name : {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"}) {
    renameTenant(name);
    request("safe");
    if (client.sent.size() < requests) break;
  }
  BOOST_REQUIRE(client.sent.size() == requests - 1);
  flow.lock()->onCallerDisconnected();
  BOOST_TEST(service.openRequests() == requests - 1);
  time.advance(seconds(2));
  BOOST_TEST(client.sent.size() == requests - 1);
}

BOOST_AUTO_TEST_CASE(UnresponsiveHomeOfTheLimitDelaysARequestOnlyBriefly) {
  members.add("elsewhere");
  limitTenant(1'000, 1'000, false);
  for (const char* name : {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"}) {
    renameTenant(name);
    request("safe");
    if (client.sent.size() < requests) break;
  }
  BOOST_REQUIRE(client.sent.size() == requests - 1);
  time.advance(milliseconds(130));
  BOOST_TEST(client.sent.size() == requests);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
