// Polling of replicas before they are changed.
#include "coordination/replica_survey.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

#include "support/virtual_time.h"

namespace covewing::coordination {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct SurveyFixture : clients::WeightsClient {
  SurveyFixture() { time.advance(seconds(100)); }

  void onNotices(NoticeListener /*listener*/) override {}
  void order(const clients::ReplicaTarget& /*replica*/, clients::WeightsOrder /*order*/,
             std::function<void(clients::WeightsOrderStatus)> /*callback*/) override {}
  void report(const clients::ReplicaTarget& replica, const std::string& /*model*/,
              std::function<void(std::optional<clients::WeightsReport>)> callback) override {
    polled.push_back(replica.instance());
    const bool unresponsive = replica.instance() == unresponsiveInstance;
    time.schedule(unresponsive ? milliseconds(800) : milliseconds(2), [callback, unresponsive] {
      if (unresponsive) return callback(std::nullopt);
      callback(clients::WeightsReport{false, 3, 1, 0, 1});
    });
  }
  void pollFor(base::Duration duration) {
    for (const auto end = time.now() + duration; time.now() < end;) {
      survey.poll("m", candidates);
      time.advance(milliseconds(50));
    }
  }
  void add(std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
      routing::Replica facts;
      facts.instance = "r" + std::to_string(number);
      candidates.push_back(std::make_shared<routing::ReplicaRecord>(facts));
    }
  }

  test_support::VirtualTime time;
  std::vector<std::string> polled;
  std::string unresponsiveInstance;
  std::vector<routing::ReplicaRecordPtr> candidates;
  ReplicaSurvey survey{{}, time, *this};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaSurveyTest, SurveyFixture)

BOOST_AUTO_TEST_CASE(ReplicasArePolledInBatchesAndInTurn) {
  add(18);
  pollFor(milliseconds(250));
  BOOST_TEST(polled.size() == 6U);
  pollFor(milliseconds(500));
  BOOST_TEST(polled.size() == 18U);
  for (const auto& record : candidates)
    BOOST_TEST((survey.requestCount(record->facts().instance) == 4U));
}

BOOST_AUTO_TEST_CASE(OldReportIsIgnored) {
  add(1);
  pollFor(milliseconds(100));
  BOOST_TEST(survey.requestCount("r0").has_value());
  time.advance(seconds(2));
  BOOST_TEST(!survey.requestCount("r0").has_value());
  BOOST_TEST(!survey.requestCount("other").has_value());
}

BOOST_AUTO_TEST_CASE(ReplicaIsUnresponsiveUntilItResponds) {
  add(2);
  unresponsiveInstance = "r0";
  pollFor(milliseconds(600));
  BOOST_TEST(survey.unresponsive("r0"));
  BOOST_TEST(!survey.unresponsive("r1"));
  unresponsiveInstance.clear();
  pollFor(milliseconds(800));
  BOOST_TEST(!survey.unresponsive("r0"));
}

BOOST_AUTO_TEST_CASE(ReplicaWithARateLimitIsNotPolled) {
  add(2);
  candidates.front()->notices().rateLimit().update(
      {clients::RateLimitNotice::of(1), time.now(), time.now()});
  pollFor(seconds(2));
  BOOST_TEST(std::ranges::count(polled, "r0") == 0);
  BOOST_TEST(!survey.unresponsive("r0"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
