// Encoding and decoding of the messages and entries of the quarantine.
#include "quarantine/quarantine_messages.h"

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include "base/peer_transport.h"

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

BOOST_AUTO_TEST_CASE(MessagesAboutPartsSurviveEncoding) {
  const base::RequestFeature part{9, base::FeatureKind::kPromptPart};
  const auto report = std::get<CrashReport>(*decodeQuarantineMessage(
      encode(CrashReport{{7}, {{1}, part}, {part}, std::chrono::seconds(3)})));
  BOOST_TEST((report.runs == base::RequestFeatures{{1}, part}));
  BOOST_TEST((report.begun == base::RequestFeatures{part}));
  BOOST_TEST((report.age == std::chrono::seconds(3)));
  const RequestSuspected sent{
      part, {{5}, {6}}, std::chrono::seconds(9), {std::chrono::seconds(2), {}}, {{6}}};
  const auto suspected = std::get<RequestSuspected>(*decodeQuarantineMessage(encode(sent)));
  BOOST_TEST((suspected.feature == part));
  BOOST_TEST((suspected.replicas == sent.replicas));
  BOOST_TEST((suspected.ages == sent.ages));
  BOOST_TEST((suspected.begun == sent.begun));
  const auto served =
      std::get<RequestServed>(*decodeQuarantineMessage(encode(RequestServed{part})));
  BOOST_TEST((served.feature == part));
  const QuarantineEntry entry{part, 3, std::chrono::milliseconds(1234), false};
  const auto decoded = decodeQuarantineEntry(encode(entry));
  BOOST_TEST((decoded->feature == part));
  BOOST_TEST(decoded->crashes == 3U);
  BOOST_TEST(decoded->version() == entry.version());
  BOOST_TEST(keyOf(part) == "quarantine/part-0000000000000009");
}

// A build that knows requests only reads the first fields. Guards against it refusing requests, or
// writing rows, because of a part of a prompt whose value it takes for a fingerprint.
BOOST_AUTO_TEST_CASE(FirstFieldsOfMessagesAboutPartsSayNothing) {
  const base::RequestFeature part{9, base::FeatureKind::kPromptPart};
  // A field that such a build does not know, in place of those about parts.
  const auto firstFields = [](std::string payload, std::size_t fields) {
    const auto handle = msgpack::unpack(payload.data(), payload.size());
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(static_cast<std::uint32_t>(fields));
    for (std::size_t field = 0; field < fields; ++field)
      packer.pack(handle.get().via.array.ptr[field]);
    return *decodeQuarantineMessage({buffer.data(), buffer.size()});
  };
  const auto report = firstFields(encode(CrashReport{{7}, {part}, {part}}), 3);
  BOOST_TEST(std::get<CrashReport>(report).runs.empty());
  const auto suspected =
      firstFields(encode(RequestSuspected{part, {{5}, {6}}, std::chrono::seconds(9)}), 4);
  BOOST_TEST(std::get<RequestSuspected>(suspected).replicas.empty());
  const auto entry = firstFields(encode(QuarantineEntry{part, 3, std::chrono::hours(9), false}), 5);
  BOOST_TEST(std::get<QuarantineEntry>(entry).lifted);
  BOOST_TEST((std::get<QuarantineEntry>(entry).decidedAt == base::Duration::zero()));
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

BOOST_AUTO_TEST_CASE(FurtherPartsSurviveEncodingAndFitIntoADatagram) {
  const base::RequestFeature part{~0ULL, base::FeatureKind::kPromptPart};
  const base::RequestFeatures further(kMaximumFurtherParts, part);
  RequestSuspected suspected{part, {}, std::chrono::hours(1'000'000)};
  for (int crash = 0; crash < 8; ++crash) {
    suspected.replicas.push_back({~0ULL});
    suspected.ages.push_back(std::chrono::minutes(10));
    suspected.begun.push_back({~0ULL});
  }
  suspected.furtherParts = further;
  const auto payload = encode(suspected);
  BOOST_TEST(payload.size() <= base::PeerTransport::kDatagramLimit);
  const auto read = std::get<RequestSuspected>(*decodeQuarantineMessage(payload));
  BOOST_TEST((read.furtherParts == further));
  BOOST_TEST((read.begun == suspected.begun));
  const auto served =
      std::get<RequestServed>(*decodeQuarantineMessage(encode(RequestServed{part, further})));
  BOOST_TEST((served.furtherParts == further));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::quarantine
