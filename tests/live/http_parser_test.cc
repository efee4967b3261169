// Tests the parsers of the HTTP server and client apart from both: no message may make them throw,
// since nothing below them would catch that in these tests.
#include "live/http_parser.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

namespace covewing::live {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t kRaisedHeaderBytes = 256U << 10U;
constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();

/// Feeds the text to a parser in pieces of `pieceBytes`; returns the error, if any.
template <class Parser>
boost::beast::error_code feed(Parser& parser, const std::string& text, std::size_t pieceBytes) {
  boost::beast::error_code error;
  std::size_t parsed = 0;
  for (std::size_t end = std::min(pieceBytes, text.size()); !parser.is_done();
       end = std::min(end + pieceBytes, text.size())) {
    std::size_t used = 1;
    while (used > 0 && parsed < end && !parser.is_done()) {
      used = parser.putBytes(boost::asio::buffer(text.data() + parsed, end - parsed), error);
      parsed += used;
      if (error && error != http::error::need_more) return error;
    }
    if (end == text.size()) break;
  }
  return error == http::error::need_more ? boost::beast::error_code{} : error;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpParserTest)

// Guards against memory that is reserved for a length that was only announced: a replica or caller
// would take all memory of a node, or make it throw, with a few bytes.
BOOST_AUTO_TEST_CASE(NothingIsReservedForAnAnnouncedLength) {
  constexpr std::size_t kSmall = 1024;
  for (const std::string length :
       {"3000000000", "1000000000000", "9123456789012345", "9223372036854775807"}) {
    ResponseParser response(kRaisedHeaderBytes, kUnbounded);
    const auto fields = "Content-Length: " + length + "\r\n\r\nran";
    BOOST_TEST(!feed(response, "HTTP/1.1 200 OK\r\n" + fields, kSmall));
    BOOST_TEST(response.get().body() == "ran");
    BOOST_TEST(response.get().body().capacity() < kSmall);
    RequestParser request(kRaisedHeaderBytes, kUnbounded);
    BOOST_TEST(!feed(request, "POST / HTTP/1.1\r\nHost: x\r\n" + fields, kSmall));
    BOOST_TEST(request.get().body() == "ran");
    BOOST_TEST(request.get().body().capacity() < kSmall);
  }
  for (const std::string size : {"7fffffffffffffff", "ffffffffffffffff"}) {
    ResponseParser chunked(kRaisedHeaderBytes, kUnbounded);
    feed(chunked, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\nran", 7);
    BOOST_TEST(chunked.get().body().capacity() < kSmall);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
