// Tests which requests have the same fingerprint.
#include "request/request_fingerprint.h"

#include <boost/test/unit_test.hpp>

namespace covewing::request {

namespace {

clients::RelayedRequest sample() { return {"id", "POST", "/path?query", {}, "body"}; }

}  // namespace

BOOST_AUTO_TEST_SUITE(RequestFingerprintTest)

BOOST_AUTO_TEST_CASE(IdentifierAndHeadersDoNotCount) {
  auto again = sample();
  again.id = "other";
  again.headers = {{"Deadline", "12"}};
  BOOST_TEST((fingerprintOf(sample(), "tenant") == fingerprintOf(again, "tenant")));
}

BOOST_AUTO_TEST_CASE(PathTenantAndBodyCount) {
  const auto usual = fingerprintOf(sample(), "tenant");
  BOOST_TEST((usual != fingerprintOf(sample(), "other")));
  auto changed = sample();
  changed.body = "other";
  BOOST_TEST((usual != fingerprintOf(changed, "tenant")));
  changed = sample();
  changed.target = "/path?other";
  BOOST_TEST((usual != fingerprintOf(changed, "tenant")));
  // Moving text from one field to the next changes the fingerprint.
  auto shifted = sample();
  shifted.target = "/path?querytenant";
  BOOST_TEST((usual != fingerprintOf(shifted, "")));
}

BOOST_AUTO_TEST_CASE(TextHasSixteenDigits) {
  BOOST_TEST(toString(base::RequestFingerprint{255}) == "00000000000000ff");
}

BOOST_AUTO_TEST_CASE(EachSharedPartIsAFeatureOfItsService) {
  const auto chain = *prefix::PartChain::parse("aa:10,bb:20,own:5");
  const auto features = partFeaturesOf(chain, "llm");
  BOOST_REQUIRE(features.size() == 2U);
  BOOST_TEST((features[0] != features[1]));
  BOOST_TEST((features[0].kind == base::FeatureKind::kPromptPart));
  BOOST_TEST((partFeaturesOf(chain, "other")[0] != features[0]));
  const auto deeper = partFeaturesOf(*prefix::PartChain::parse("bb:20,aa:10,cc:1,own:5"), "llm");
  BOOST_TEST((deeper[0] == features[1]));
  BOOST_TEST((deeper[1] == features[0]));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
