// Requests whose prompts share a part that makes replicas crash.
#include <boost/test/unit_test.hpp>

#include "request/relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;

namespace {

struct PartFixture : RelayFixture {
  PartFixture() { promptText = "aa:1000,bad:300,own:10"; }
  static base::RequestFeature part(const std::string& id) {
    return partFeaturesOf(*prefix::PartChain::parse(id + ":1,own:1"), "llm").front();
  }
  /// Reports, as other nodes would, that replicas ended just after they had begun responses under
  /// different prompts with the part.
  void crashReplicas(const std::string& id, std::size_t count) {
    for (std::size_t crash = 0; crash < count; ++crash) {
      ++replicasEnded;
      quarantine.onReplicaCrash({replicasEnded}, {{{{5000 + replicasEnded}, part(id)}, true}});
      time.advance(milliseconds(301));
    }
  }
};

std::string idOf(std::string_view part) { return std::to_string(prefix::partIdOf(part)); }

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PromptPartQuarantineTest, PartFixture)

// Without the parts before the deepest shared one, the log does not show which part the interrupted
// requests had in common.
BOOST_AUTO_TEST_CASE(DispatchesAreLoggedWithAllSharedParts) {
  promptText = "aa:1000,bb:300,cc:200,own:10";
  request("once");
  BOOST_TEST(loggedValues(base::Event::kRelayDispatched, "parts").back() ==
             idOf("aa") + ' ' + idOf("bb") + ' ' + idOf("cc"));
  BOOST_TEST(loggedValues(base::Event::kRelayDispatched, "part").back() == idOf("cc"));
  request("unsafe");
  BOOST_TEST(loggedValues(base::Event::kRelayDispatched, "parts").back().empty());
}

// Guards against attempts whose responses had just begun not being told from others.
BOOST_AUTO_TEST_CASE(LostAttemptsAreLoggedWithTheTimeSinceTheirHead) {
  request("once");
  client.last().head(200);
  time.advance(milliseconds(130));
  client.last().breakConnection();
  BOOST_TEST(loggedValues(base::Event::kRelayAttemptFailed, "begun_ms").back() == "130");
  request("once");
  time.advance(milliseconds(130));
  client.last().breakConnection();
  BOOST_TEST(loggedValues(base::Event::kRelayAttemptFailed, "begun_ms").back().empty());
}

// Guards against prompts with the part reaching further replicas, each of which would end.
BOOST_AUTO_TEST_CASE(PromptWithAQuarantinedPartIsRefusedAsNotRunWhileOthersAreServed) {
  crashReplicas("bad", 3);
  const auto& refused = request("once");
  BOOST_TEST(client.sent.empty());
  BOOST_REQUIRE(refused.refusal.has_value());
  BOOST_TEST(refused.refusal->status == 503U);
  BOOST_TEST((refused.refusal->reason.code == base::ResultCode::kPromptPartQuarantined));
  BOOST_TEST((refused.refusal->retryAfter > std::chrono::minutes(9)));
  BOOST_TEST(refused.refusal->reason.detail.starts_with(
      "3 replicas ended under runs with part 2 of the prompt (" + idOf("bad") + ")"));
  promptText = "aa:1000,cc:300,own:10";
  const auto& served = request("once");
  client.last().respond(200, "data: x\n\n");
  BOOST_TEST(served.ended);
  // The last part belongs to the request itself.
  promptText = "aa:1000,bad:10";
  request("once");
  BOOST_TEST(client.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(InterruptionIsReportedWithThePartsAndWhetherTheResponseHadBegun) {
  std::vector<routing::LostRequests> ended;
  replicaCrashDetector.setListener(
      [&](const routing::LostRequests& lost) { ended.push_back(lost); });
  for (const bool late : {false, true}) {
    request("once");
    reachability.ended.insert(client.last().replica);
    client.last().head(200);
    time.advance(milliseconds(late ? 1001 : 400));
    client.last().breakConnection();
    time.advance(std::chrono::seconds(1));
  }
  BOOST_REQUIRE(ended.size() == 2U);
  BOOST_TEST(ended[0].requests.front().begun);
  BOOST_TEST(!ended[1].requests.front().begun);
  BOOST_REQUIRE(ended[0].requests.front().features.size() == 3U);
  BOOST_TEST((ended[0].requests.front().features[2] == part("bad")));
}

// A replica may turn a request down before it looks at the prompt.
BOOST_AUTO_TEST_CASE(OnlyASuccessfulResponseClearsAPart) {
  crashReplicas("bad", 2);
  request("once");
  client.last().respond(404, "no");
  crashReplicas("bad", 1);
  BOOST_TEST((request("once").refusal->reason.code == base::ResultCode::kPromptPartQuarantined));
  crashReplicas("aa", 2);
  promptText = "aa:1000,own:10";
  request("once");
  client.last().respond(200, "data: x\n\n");
  crashReplicas("aa", 1);
  request("once");
  BOOST_TEST(client.last().open);
}

// The connection to a replica takes a while. Guards against requests leaving after the verdict that
// was passed in the meantime, and against the replica being blamed.
BOOST_AUTO_TEST_CASE(RequestIsNotSentOnAConnectionThatIsReadyAfterTheVerdict) {
  const auto& caller = request("once");
  BOOST_TEST(client.last().handler->stillWanted());
  crashReplicas("bad", 3);
  BOOST_TEST(!client.last().handler->stillWanted());
  client.last().refuseConnection();
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kPromptPartQuarantined));
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST(client.sent.size() == 1U);
  for (const auto& [instance, record] : replicas.all())
    BOOST_TEST(record->acceptsRequests(time.now()));
}

BOOST_AUTO_TEST_CASE(HeldRequestIsRefusedOnceAPartIsQuarantined) {
  for (const char* name : {"m1", "m2", "m3"}) replicas.onRemoved(name);
  const auto& caller = request("once");
  BOOST_TEST(caller.open());
  crashReplicas("bad", 3);
  time.advance(milliseconds(60));
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kPromptPartQuarantined));
  BOOST_TEST(client.sent.empty());
}

// A stream that broke off is not continued at another replica; its caller has received a part of
// it, so that the refusal cannot be told.
BOOST_AUTO_TEST_CASE(StreamIsNotContinuedOnceAPartIsQuarantined) {
  const auto& caller = request("resumable");
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: x\n\n");
  crashReplicas("bad", 3);
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(caller.aborted);
}

// A repeatable request whose first attempt failed may have run: the refusal must not deny that.
BOOST_AUTO_TEST_CASE(RetriedRequestIsNotReportedAsNotRunOnceAPartIsQuarantined) {
  crashReplicas("bad", 2);
  const auto& caller = request("resumable");
  crashReplicas("bad", 1);
  client.last().breakConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 502U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
