#include "request/event_splitter.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace covewing::request {

BOOST_AUTO_TEST_SUITE(EventSplitterTest)

BOOST_AUTO_TEST_CASE(IncompleteEventIsRetained) {
  EventSplitter splitter;
  BOOST_TEST(splitter.feed("id: 7\ndata: a\n").empty());
  BOOST_TEST(splitter.hasIncomplete());
  BOOST_TEST(splitter.feed("\nid: 8\n") == "id: 7\ndata: a\n\n");
  BOOST_TEST(splitter.lastEventId() == "7");
  splitter.discardIncomplete();
  BOOST_TEST(splitter.feed("id: 8\r\ndata: b\r\n\r\n") == "id: 8\r\ndata: b\r\n\r\n");
  BOOST_TEST(splitter.lastEventId() == "8");
}

BOOST_AUTO_TEST_CASE(OversizedEventFails) {
  EventSplitter splitter;
  splitter.feed(std::string(EventSplitter::kMaximumEventBytes + 1, 'x'));
  BOOST_TEST(splitter.failed());
}

RC_BOOST_PROP(ResultIsIndependentOfHowTheBytesAreSplit, (std::vector<std::string> payloads)) {
  std::string stream;
  for (std::size_t index = 0; index < payloads.size(); ++index) {
    std::string line = payloads[index];
    std::erase_if(line, [](char letter) { return letter == '\n' || letter == '\r'; });
    stream += "id: " + std::to_string(index) + "\ndata: " + line + "\n\n";
  }
  EventSplitter splitter;
  std::string out;
  std::string_view remaining = stream;
  while (!remaining.empty()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, remaining.size() + 1);
    out += splitter.feed(remaining.substr(0, size));
    remaining.remove_prefix(size);
  }
  RC_ASSERT(out == stream);
  RC_ASSERT(!splitter.hasIncomplete());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
