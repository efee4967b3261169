// Tests where events of a stream end, for all line ends and however the bytes are split.
#include "request/event_scanner.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace covewing::request {

namespace {

EventScanner scannerAfter(std::string_view bytes) {
  EventScanner scanner;
  scanner.feed(bytes);
  return scanner;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EventScannerTest)

BOOST_AUTO_TEST_CASE(EventEndsWithAnEmptyLineWhateverTheLineEnds) {
  for (const std::string_view whole :
       {"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r",
        "id: 1\r\ndata: a\n\r\n", "\xEF\xBB\xBFid: 1\ndata: a\n\n", ": comment\nid: 1\ndata\n\n",
        "id: 1\ndata: a\n\n: comment\n", "id: 1\ndata: a\n\n\n\n"}) {
    BOOST_TEST_CONTEXT(whole) {
      EventScanner scanner;
      BOOST_TEST(scanner.feed(whole) == whole.size());
      BOOST_TEST(!scanner.insideEvent());
      BOOST_TEST(scanner.events() == 1U);
      BOOST_TEST(scanner.lastEventId() == "1");
    }
  }
}

// Guards against a broken event that passes for a whole one, such as one without its empty line.
BOOST_AUTO_TEST_CASE(StreamMayEndAtNoOtherByteOfAnEvent) {
  for (const std::string_view whole : {"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r",
                                       "id: 1\rdata: a\r\r", "\xEF\xBB\xBFid: 1\n\n"}) {
    for (std::size_t length = 1; length < whole.size(); ++length) {
      const bool afterMark = whole.substr(0, length) == "\xEF\xBB\xBF";
      BOOST_TEST_CONTEXT(whole.substr(0, length))
      BOOST_TEST(scannerAfter(whole.substr(0, length)).insideEvent() == !afterMark);
    }
  }
}

BOOST_AUTO_TEST_CASE(SecondByteOfALineEndBelongsToTheEventBeforeIt) {
  EventScanner scanner;
  BOOST_TEST(scanner.feed("data: a\r\n\r") == 10U);
  BOOST_TEST(!scanner.insideEvent());
  BOOST_TEST(scanner.feed("\ndata: b") == 1U);
  BOOST_TEST(scanner.insideEvent());
  BOOST_TEST(scanner.events() == 1U);
}

BOOST_AUTO_TEST_CASE(IdentifierIsThatOfTheLastCompleteEvent) {
  auto scanner = scannerAfter("id: 7\ndata: a\n\ndata: b\n\nid: 8\ndata");
  BOOST_TEST(scanner.lastEventId() == "7");
  scanner.restart();
  BOOST_TEST(!scanner.insideEvent());
  BOOST_TEST(scanner.lastEventId() == "7");
  scanner.feed("\xEF\xBB\xBFid:9\ndata: c\n\n");
  BOOST_TEST(scanner.lastEventId() == "9");
}

BOOST_AUTO_TEST_CASE(EventLargerThanAnyLineThatIsKeptStillEnds) {
  EventScanner scanner;
  const std::string large(EventScanner::kMaximumIdLineBytes * 10, 'x');
  scanner.feed("id: 1\ndata: " + large);
  BOOST_TEST(scanner.insideEvent());
  scanner.feed(large + "\n\n");
  BOOST_TEST(!scanner.insideEvent());
  BOOST_TEST(scanner.lastEventId() == "1");
}

RC_BOOST_PROP(ResultIsIndependentOfHowTheBytesAreSplit, ()) {
  // Few different bytes, so that line ends, comments and marks meet often.
  const auto stream = *rc::gen::container<std::string>(
      rc::gen::element('\n', '\r', ':', 'i', 'd', '1', '\xEF', '\xBB', '\xBF'));
  EventScanner whole;
  const auto end = whole.feed(stream);
  EventScanner split;
  std::size_t splitEnd = 0;
  for (std::size_t index = 0; index < stream.size(); ++index) {
    if (split.feed(std::string_view{stream}.substr(index, 1)) > 0) splitEnd = index + 1;
  }
  RC_ASSERT(splitEnd == end);
  RC_ASSERT(split.insideEvent() == whole.insideEvent());
  RC_ASSERT(split.events() == whole.events());
  RC_ASSERT(split.lastEventId() == whole.lastEventId());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
