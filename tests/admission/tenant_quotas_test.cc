// Tenant limits across several nodes: steady state, and the bounds while a home node is
// unreachable.
#include "admission/tenant_quotas.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "admission/fake_cluster.h"
#include "admission/tenant_home.h"

namespace covewing::admission {

using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::size_t admittedOf(const std::vector<Call>& calls) {
  return static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(), [](const Call& one) { return one.admitted(); }));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TenantQuotasTest)

BOOST_AUTO_TEST_CASE(ConcurrencyHoldsOverAllNodesTogether) {
  constexpr std::size_t kNodes = 5;
  constexpr std::uint32_t kLimit = 12;
  FakeCluster cluster(kNodes);
  const auto tenant = tenantNamed("large");
  tenant->limits.concurrency = kLimit;
  std::vector<Call> calls;
  for (std::size_t round = 0; round < 20; ++round) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      calls.push_back(call(cluster.service(node), tenant));
    }
    cluster.time().advance(milliseconds(10));
  }
  BOOST_TEST(admittedOf(calls) == kLimit);
  for (const Call& one : calls) {
    BOOST_TEST(one.answered());
    if (!one.admitted()) {
      BOOST_TEST((one.code() == ResultCode::kConcurrencyLimited));
    }
  }
  // Renewed over several lease times, the slots stay in use.
  cluster.time().advance(seconds(10));
  const Call late = call(cluster.service(0), tenant);
  cluster.time().advance(milliseconds(20));
  BOOST_TEST(!late.admitted());
}

BOOST_AUTO_TEST_CASE(EndedRequestsFreeTheirSlotsForOtherNodes) {
  FakeCluster cluster(3);
  const auto tenant = tenantNamed("small");
  tenant->limits.concurrency = 2;
  std::vector<Call> calls;
  calls.push_back(call(cluster.service(0), tenant));
  calls.push_back(call(cluster.service(0), tenant));
  cluster.time().advance(milliseconds(10));
  BOOST_TEST(admittedOf(calls) == 2U);
  calls.clear();
  cluster.time().advance(milliseconds(10));
  calls.push_back(call(cluster.service(1), tenant));
  calls.push_back(call(cluster.service(2), tenant));
  cluster.time().advance(milliseconds(10));
  BOOST_TEST(admittedOf(calls) == 2U);
}

BOOST_AUTO_TEST_CASE(TheRateHoldsOverAllNodesTogether) {
  constexpr std::size_t kNodes = 5;
  FakeCluster cluster(kNodes);
  const auto tenant = tenantNamed("large");
  tenant->limits.requestsPerSecond = 50;
  tenant->limits.burst = 10;
  std::size_t admitted = 0;
  constexpr int kSeconds = 10;
  for (int step = 0; step < kSeconds * 100; ++step) {
    std::vector<Call> calls;
    for (std::size_t node = 0; node < kNodes; ++node) {
      calls.push_back(call(cluster.service(node), tenant));
    }
    cluster.time().advance(milliseconds(10));
    admitted += admittedOf(calls);
  }
  BOOST_TEST(admitted <= 10U + 50U * kSeconds);
  // Leases that expire unused may waste a little, but not much.
  BOOST_TEST(admitted >= 45U * kSeconds);
}

// A grant counts from the time of its request: after the end of the lease the home node may have
// granted the same amount again.
BOOST_AUTO_TEST_CASE(GrantReadAfterItsLeaseExpiredInASuspensionIsNotUsed) {
  FakeCluster cluster(2);
  const auto tenant = tenantNamed("large");
  tenant->limits.requestsPerSecond = 50;
  tenant->limits.burst = 10;
  tenant->deadline = seconds(60);
  tenant->holdTime = seconds(60);
  std::vector<Call> calls;
  for (std::size_t node = 0; node < 2; ++node) calls.push_back(call(cluster.service(node), tenant));
  // The request has reached the home node, and the reply is in flight.
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(admittedOf(calls) == 1U);
  cluster.time().pause(seconds(10));
  cluster.time().advance({});
  BOOST_TEST(admittedOf(calls) == 1U);
  // A new lease is requested for the waiting request.
  cluster.time().advance(milliseconds(100));
  BOOST_TEST(admittedOf(calls) == 2U);
}

BOOST_AUTO_TEST_CASE(SlotsReadAfterTheirLeaseExpiredInASuspensionAreRequestedAgain) {
  FakeCluster cluster(2);
  const auto tenant = tenantNamed("large");
  tenant->limits.concurrency = 4;
  tenant->deadline = seconds(60);
  tenant->holdTime = seconds(60);
  std::vector<Call> calls;
  for (std::size_t node = 0; node < 2; ++node) calls.push_back(call(cluster.service(node), tenant));
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(admittedOf(calls) == 1U);
  cluster.time().pause(seconds(10));
  cluster.time().advance(milliseconds(100));
  BOOST_TEST(admittedOf(calls) == 2U);
}

BOOST_AUTO_TEST_CASE(ARefusalReportsWhenTheNextTokenIsAvailable) {
  FakeCluster cluster(1);
  const auto tenant = tenantNamed("slow");
  tenant->limits.requestsPerSecond = 0.1;
  std::vector<Call> calls;
  calls.push_back(call(cluster.service(0), tenant));
  calls.push_back(call(cluster.service(0), tenant));
  cluster.time().advance(milliseconds(10));
  BOOST_TEST(calls[0].admitted());
  BOOST_TEST((calls[1].code() == ResultCode::kRateLimited));
  const auto retryAfter = calls[1].verdicts->front().retryAfter;
  BOOST_TEST((retryAfter > seconds(7) && retryAfter < seconds(13)));
}

BOOST_AUTO_TEST_CASE(WithoutItsHomeANodeAdmitsOnlyItsShare) {
  constexpr std::size_t kNodes = 4;
  constexpr std::uint32_t kLimit = 8;
  FakeCluster cluster(kNodes);
  const auto tenant = tenantNamed("large");
  tenant->limits.concurrency = kLimit;
  for (std::size_t node = 0; node < kNodes; ++node) cluster.setPartitioned(node, true);
  std::vector<Call> calls;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      calls.push_back(call(cluster.service(node), tenant));
    }
    cluster.time().advance(milliseconds(100));
  }
  const std::size_t admitted = admittedOf(calls);
  // The home node itself leases up to the whole limit; the others use their local shares.
  BOOST_TEST(admitted >= kLimit);
  BOOST_TEST(admitted <= 2 * kLimit);
  for (const Call& one : calls) BOOST_TEST(one.answered());
}

BOOST_AUTO_TEST_CASE(WaitForAnUnreachableHomeIsShort) {
  FakeCluster cluster(2);
  const auto tenant = tenantNamed("large");
  tenant->limits.concurrency = 8;
  cluster.setPartitioned(0, true);
  cluster.setPartitioned(1, true);
  const Call first = call(cluster.service(0), tenant);
  const Call second = call(cluster.service(1), tenant);
  cluster.time().advance(milliseconds(125));
  BOOST_TEST(first.admitted());
  BOOST_TEST(second.admitted());
}

BOOST_AUTO_TEST_CASE(SteadyDemandIsServedFromLeasesWithFewMessages) {
  constexpr std::size_t kNodes = 3;
  FakeCluster cluster(kNodes);
  const auto tenant = tenantNamed("large");
  tenant->limits.requestsPerSecond = 1000;
  tenant->limits.burst = 500;
  constexpr std::size_t kRequests = 3000;
  std::size_t admitted = 0;
  for (std::size_t request = 0; request < kRequests; ++request) {
    const Call one = call(cluster.service(request % kNodes), tenant);
    cluster.time().advance(milliseconds(5));
    if (one.admitted()) ++admitted;
  }
  BOOST_TEST(admitted == kRequests);
  BOOST_TEST_MESSAGE("messages a request: " << static_cast<double>(cluster.messages()) / kRequests);
  BOOST_TEST(cluster.messages() < kRequests / 5);
}

RC_BOOST_PROP(NeverMoreThanTheLimitIsLeased, (const std::vector<std::uint16_t>& steps)) {
  constexpr std::size_t kNodes = 4;
  constexpr std::uint32_t kLimit = 3;
  FakeCluster cluster(kNodes);
  const auto tenant = tenantNamed("small");
  tenant->limits.concurrency = kLimit;
  std::vector<Call> calls;
  for (const std::uint16_t step : steps) {
    if (step % 3 == 0 && !calls.empty()) {
      calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(step % calls.size()));
    } else {
      calls.push_back(call(cluster.service(step % kNodes), tenant));
    }
    cluster.time().advance(milliseconds(step % 64));
    std::size_t running = 0;
    for (std::size_t node = 0; node < kNodes; ++node) running += cluster.service(node).running();
    RC_ASSERT(running <= kLimit);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(QuotaMessagesTest)

RC_BOOST_PROP(LeaseRequestSurvivesEncoding,
              (std::uint64_t tenant, std::uint32_t held, std::uint32_t wanted, bool wantsReply)) {
  QuotaLeaseRequest leaseRequest;
  leaseRequest.tenant.value = tenant;
  leaseRequest.revision = 7;
  leaseRequest.limits.ratePerSecond = 12.5;
  leaseRequest.limits.burst = 4;
  leaseRequest.limits.concurrency = 9;
  leaseRequest.sequence = 11;
  leaseRequest.tokensWanted = wanted;
  leaseRequest.slotsHeld = held;
  leaseRequest.slotsWanted = wanted;
  leaseRequest.replyWanted = wantsReply;
  const auto decoded = decodeQuotaMessage(encode(leaseRequest));
  RC_ASSERT(decoded.has_value());
  const auto& got = std::get<QuotaLeaseRequest>(*decoded);
  RC_ASSERT(got.tenant == leaseRequest.tenant);
  RC_ASSERT(got.limits.ratePerSecond == 12.5);
  RC_ASSERT(got.limits.concurrency == 9U);
  RC_ASSERT(got.tokensWanted == wanted);
  RC_ASSERT(got.slotsHeld == held);
  RC_ASSERT(got.slotsWanted == wanted);
  RC_ASSERT(got.replyWanted == wantsReply);
}

RC_BOOST_PROP(ArbitraryBytesAreRejectedOrDecoded, (const std::string& bytes)) {
  decodeQuotaMessage(bytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
