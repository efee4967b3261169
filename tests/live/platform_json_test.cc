#include "live/platform_json.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "live/engine_json.h"
#include "live/sse_parser.h"

namespace covewing::live {

BOOST_AUTO_TEST_SUITE(PlatformJsonTest)

BOOST_AUTO_TEST_CASE(ReportWithEventsInOrder) {
  // "AQAAAAAAAAA=" encodes the 64-bit word 1, "AgAAAAAAAAA=" the word 2.
  const auto report = engineReportFromJson(R"({"incarnation": 9, "role": "standby", "leaving": true,
    "weights": [{"model": "m", "version": 3, "adapters": ["a"]}], "fencing_token": 4,
    "last_order": "o", "load": {"running": 1, "waiting": [0, 1, 2, 3],
    "queued_prefill_tokens": [4, 5, 6, 7], "cached_blocks": 8, "capacity_blocks": 9},
    "first_sequence": 10, "next_sequence": 12, "stored": "AQAAAAAAAAA=",
    "evicted": "AgAAAAAAAAA=", "exported": "", "order": "es"})");
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->incarnation == 9U);
  BOOST_TEST((report->role == clients::EngineRole::kStandby));
  BOOST_TEST(report->leaving);
  BOOST_TEST(report->load.waiting[3] == 3U);
  BOOST_TEST(report->load.queuedPrefillTokens[0] == 4U);
  BOOST_REQUIRE(report->events.size() == 2U);
  BOOST_TEST((report->events[0].kind == clients::CacheEventKind::kEvicted));
  BOOST_TEST(report->events[0].block.value == 2U);
  BOOST_TEST(report->events[1].block.value == 1U);
}

BOOST_AUTO_TEST_CASE(InvalidReportsAreRejectedEntirely) {
  for (const auto* text :
       {"", "[]", R"({"incarnation": -1})", R"({"stored": "AQ=="})",
        R"({"stored": "AQAAAAAAAAA=", "order": "e"})", R"({"stored": "", "order": "s"})",
        R"({"stored": "AQAAAAAAAAA=", "evicted": "AQAAAAAAAAA=", "order": "s"})",
        R"({"load": {"waiting": [1], "queued_prefill_tokens": [0, 0, 0, 0]}})"}) {
    BOOST_TEST(!engineReportFromJson(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(RequestKeepsBinaryPrompts) {
  clients::EngineRequest request;
  request.identity.tenantSalt = 255;
  request.prompt = std::make_shared<const std::string>("\xff");
  const auto binary = nlohmann::json::parse(engineRequestToJson(request));
  BOOST_TEST(binary["prompt_base64"] == "/w==");
  BOOST_TEST(binary["tenant_salt"] == "00000000000000ff");
  request.prompt = std::make_shared<const std::string>("text");
  BOOST_TEST(nlohmann::json::parse(engineRequestToJson(request))["prompt"] == "text");
}

BOOST_AUTO_TEST_CASE(StreamEvents) {
  const auto chunk = streamEventFromJson(R"({"position": 3, "text": "x"})");
  BOOST_TEST(std::get<clients::StreamChunk>(chunk.value()).position == 3U);
  const auto end =
      streamEventFromJson(R"({"end": {"output_tokens": 4, "finish_reason": "length"}})");
  BOOST_TEST(std::get<clients::StreamEnd>(end.value()).finishReason == "length");
  BOOST_TEST(!streamEventFromJson(R"({"text": "x"})").has_value());
  BOOST_TEST(!streamEventFromJson(R"({"end": 5})").has_value());
}

BOOST_AUTO_TEST_CASE(ErrorBodiesDecideTheOutcome) {
  using clients::DispatchFailure;
  const auto notRun = errorFromJson(R"({"code": 407, "detail": "d", "outcome": "not-run"})",
                                    base::ResultCode::kBackEndRefused);
  BOOST_TEST((notRun.failure == DispatchFailure::kRefusedNotRun));
  BOOST_TEST((notRun.reason.code == base::ResultCode::kIdentityMismatch));
  for (const auto* text : {"", "busy", R"({"code": 407})", R"({"outcome": 3})"}) {
    const auto unknown = errorFromJson(text, base::ResultCode::kBackEndRefused);
    BOOST_TEST((unknown.failure == DispatchFailure::kOutcomeUnknown), text);
  }
}

BOOST_AUTO_TEST_CASE(TableReplies) {
  const auto reply =
      tableReplyFromJson(R"({"revision": 5, "rows": [{"key": "k", "value": "v", "revision": 4}]})");
  BOOST_TEST(reply.value().rows.at(0).value == "v");
  BOOST_TEST(!tableReplyFromJson(R"({"rows": 3})").has_value());
}

BOOST_AUTO_TEST_CASE(Machines) {
  const auto machines = machinesFromJson(R"({"machines": [{"name": "pairings-1",
    "kind": "application", "state": "leaving", "endpoint": "10.0.0.1:80", "zone": "a",
    "region": "r", "application": "pairings"}]})");
  BOOST_REQUIRE(machines.has_value());
  BOOST_TEST((machines->front().kind == clients::MachineKind::kApplication));
  BOOST_TEST((machines->front().state == clients::MachineState::kLeaving));
  BOOST_TEST(!machinesFromJson(R"({"machines": [{"endpoint": "host:80"}]})").has_value());
}

BOOST_AUTO_TEST_CASE(SseEventsSplitAcrossChunks) {
  SseParser parser;
  parser.feed(": comment\r\ndata: on");
  BOOST_TEST(!parser.next().has_value());
  parser.feed("e\r\n\r\nevent: x\ndata:two\ndata: lines\n\n");
  BOOST_TEST(parser.next().value() == "one");
  BOOST_TEST(parser.next().value() == "two\nlines");
  BOOST_TEST(!parser.next().has_value());
  parser.feed(std::string(SseParser::kMaximumEventBytes + 1, 'x'));
  BOOST_TEST(!parser.next().has_value());
  BOOST_TEST(parser.failed());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
