// Encoding and decoding of the messages and entries of the quarantine.
#include "quarantine/quarantine_messages.h"

#include <boost/test/unit_test.hpp>

namespace covewing::quarantine {

BOOST_AUTO_TEST_SUITE(QuarantineMessagesTest)

BOOST_AUTO_TEST_CASE(MessagesSurviveEncoding) {
  const auto ended = decodeQuarantineMessage(encode(CrashReport{{7}, {{1}, {2}}}));
  BOOST_REQUIRE(ended.has_value());
  const auto& runs = std::get<CrashReport>(*ended);
  BOOST_TEST(runs.replica.value == 7U);
  BOOST_TEST((runs.runs == base::RequestFeatures{{1}, {2}}));
  const auto served = decodeQuarantineMessage(encode(RequestServed{{3}}));
  BOOST_REQUIRE(served.has_value());
  BOOST_TEST(std::get<RequestServed>(*served).feature.value == 3U);
  const auto suspected =
      decodeQuarantineMessage(encode(RequestSuspected{{4}, {{5}, {6}}, std::chrono::seconds(9)}));
  BOOST_REQUIRE(suspected.has_value());
  const auto& suspicion = std::get<RequestSuspected>(*suspected);
  BOOST_TEST(suspicion.feature.value == 4U);
  BOOST_TEST((suspicion.replicas == std::vector<base::EngineId>{{5}, {6}}));
  BOOST_TEST((suspicion.announcedAt == std::chrono::seconds(9)));
}

BOOST_AUTO_TEST_CASE(EntrySurvivesEncoding) {
  const QuarantineEntry entry{{5}, 3, std::chrono::milliseconds(1234), true};
  const auto decoded = decodeQuarantineEntry(encode(entry));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->feature == entry.feature));
  BOOST_TEST(decoded->crashes == 3U);
  BOOST_TEST((decoded->decidedAt == entry.decidedAt));
  BOOST_TEST(decoded->lifted);
  BOOST_TEST(decoded->version() == entry.version());
}

BOOST_AUTO_TEST_CASE(LiftedEntryIsLaterThanTheVerdictOfTheSameTime) {
  QuarantineEntry entry{{5}, 3, std::chrono::milliseconds(1234), false};
  const auto verdict = entry.version();
  entry.lifted = true;
  BOOST_TEST(entry.version() > verdict);
}

BOOST_AUTO_TEST_CASE(MalformedBytesAreRejected) {
  for (const std::string bytes : {"", "x", "\x93\x01\x02", "\x93\x09\x01\x90", "\x91\x01"}) {
    BOOST_TEST(!decodeQuarantineMessage(bytes).has_value());
    BOOST_TEST(!decodeQuarantineEntry(bytes).has_value());
  }
  auto truncated = encode(CrashReport{{7}, {{1}, {2}}});
  truncated.pop_back();
  BOOST_TEST(!decodeQuarantineMessage(truncated).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::quarantine
