// Tests which part of a body may be passed on, however its bytes are split, and what is retained.
#include "request/response_body.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace covewing::request {

namespace {

using Kind = ResponseBody::Kind;

ResponseBody bodyOf(Kind kind) {
  ResponseBody body;
  clients::RelayedAnswer head;
  head.status = 200;
  head.framing = clients::BodyFraming::kChunks;
  body.begin(head, kind, ResponseBody::Start::kFirstEvent);
  return body;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ResponseBodyTest)

BOOST_AUTO_TEST_CASE(IncompleteEventIsRetained) {
  auto body = bodyOf(Kind::kResumableStream);
  BOOST_TEST(body.take("id: 7\ndata: a\n").empty());
  BOOST_TEST(body.insideEvent());
  BOOST_TEST(!body.whyIncomplete().empty());
  BOOST_TEST(body.take("\nid: 8\n") == "id: 7\ndata: a\n\n");
  BOOST_TEST(body.lastEventId() == "7");
  body.discardIncomplete();
  BOOST_TEST(!body.insideEvent());
  BOOST_TEST(body.take("id: 8\r\ndata: b\r\n\r\n") == "id: 8\r\ndata: b\r\n\r\n");
  BOOST_TEST(body.lastEventId() == "8");
}

BOOST_AUTO_TEST_CASE(OversizedEventIsNotRetainedAndItsStreamNotContinued) {
  auto body = bodyOf(Kind::kResumableStream);
  const std::string large(ResponseBody::kMaximumRetainedBytes + 1, 'x');
  BOOST_TEST(body.canContinue());
  BOOST_TEST((body.take(large) == large));
  BOOST_TEST(!body.canContinue());
  BOOST_TEST(body.take("\n\nid: 2") == "\n\n");
  BOOST_TEST(body.canContinue());
}

RC_BOOST_PROP(ResultIsIndependentOfHowTheBytesAreSplit, (std::vector<std::string> payloads)) {
  std::string stream;
  for (std::size_t index = 0; index < payloads.size(); ++index) {
    std::string line = payloads[index];
    std::erase_if(line, [](char letter) { return letter == '\n' || letter == '\r'; });
    stream += "id: " + std::to_string(index) + "\ndata: " + line + "\n\n";
  }
  const auto kind = *rc::gen::element(Kind::kPlain, Kind::kStream, Kind::kResumableStream);
  auto body = bodyOf(kind);
  std::string out;
  std::string_view remaining = stream;
  while (!remaining.empty()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, remaining.size() + 1);
    out += body.take(remaining.substr(0, size));
    remaining.remove_prefix(size);
  }
  RC_ASSERT(out == stream);
  RC_ASSERT(!body.insideEvent());
  RC_ASSERT(body.whyIncomplete().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
