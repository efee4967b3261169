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

boost::beast::error_code responseError(const std::string& text,
                                       std::size_t pieceBytes = 1U << 20U) {
  ResponseParser parser(kRaisedHeaderBytes, kUnbounded);
  return feed(parser, text, pieceBytes);
}

boost::beast::error_code requestError(const std::string& text, std::size_t pieceBytes = 1U << 20U) {
  RequestParser parser(kRaisedHeaderBytes, kUnbounded);
  return feed(parser, text, pieceBytes);
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

// Guards against a field that the library cannot store: it throws, inside a raised limit of the
// header section or in a trailer, and the node would end.
BOOST_AUTO_TEST_CASE(FieldBeyondWhatTheLibraryStoresIsAnError) {
  const std::string response = "HTTP/1.1 200 OK\r\n";
  const std::string request = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nran\r\n0\r\n";
  for (const std::size_t bytes : {65'534U, 65'535U, 65'536U, 70'000U, 131'072U}) {
    for (const auto& field :
         {"a: " + std::string(bytes, 'v') + "\r\n\r\n", std::string(bytes, 'n') + ": v\r\n\r\n"}) {
      for (const std::size_t piece : {std::size_t{4096}, std::size_t{1U << 20U}}) {
        BOOST_TEST((responseError(response + field, piece) == http::error::header_limit));
        BOOST_TEST((requestError(request + field, piece) == http::error::header_limit));
        BOOST_TEST((responseError(response + chunks + field, piece) == http::error::bad_value));
        BOOST_TEST((requestError(request + chunks + field, piece) == http::error::bad_value));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(LargestFieldsAreRead) {
  const auto field = std::string(kMaximumFieldBytes, 'n') +
                     ": v\r\na: " + std::string(kMaximumFieldBytes, 'v') + "\r\n\r\n";
  RequestParser parser(kRaisedHeaderBytes, kUnbounded);
  BOOST_TEST(!feed(parser, "GET / HTTP/1.1\r\nHost: x\r\n" + field, 4096));
  BOOST_TEST(parser.is_done());
  BOOST_TEST(parser.get()["a"].size() == kMaximumFieldBytes);
}

// Guards against targets, methods and reasons that are longer than a field may be.
BOOST_AUTO_TEST_CASE(LongStartLineIsRead) {
  const std::string text(70'000, 't');
  RequestParser target(kRaisedHeaderBytes, kUnbounded);
  BOOST_TEST(!feed(target, "GET /" + text + " HTTP/1.1\r\nHost: x\r\n\r\n", 4096));
  BOOST_TEST(target.get().target().size() == text.size() + 1);
  RequestParser method(kRaisedHeaderBytes, kUnbounded);
  BOOST_TEST(!feed(method, text + " / HTTP/1.1\r\nHost: x\r\n\r\n", 4096));
  BOOST_TEST(method.get().method_string().size() == text.size());
  ResponseParser reason(kRaisedHeaderBytes, kUnbounded);
  BOOST_TEST(!feed(reason, "HTTP/1.1 200 " + text + "\r\nContent-Length: 0\r\n\r\n", 4096));
  BOOST_TEST(reason.is_done());
}

// Guards against an assertion of the library, which would end the process, where the last chunk
// comes in pieces or is given to the parser again without more bytes.
BOOST_AUTO_TEST_CASE(LastChunkIsParsedInWhateverPiecesItComes) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string body :
       {"0\r\n\r\n", "1\r\nx\r\n0\r\n\r\n", "0\r\nX: 1\r\n\r\n", "0;x=y\r\n\r\n"}) {
    const auto text = head + body;
    for (std::size_t cut = head.size(); cut < text.size(); ++cut) {
      ResponseParser parser(kRaisedHeaderBytes, kUnbounded);
      std::size_t parsed = 0;
      for (const auto end : {cut, cut, cut + 1, cut + 1, text.size()}) {
        boost::beast::error_code error;
        std::size_t used = 1;
        while (used > 0 && parsed < end && !parser.is_done()) {
          used = parser.putBytes(boost::asio::buffer(text.data() + parsed, end - parsed), error);
          parsed += used;
        }
        BOOST_TEST((!error || error == http::error::need_more));
      }
      BOOST_TEST(parser.is_done());
    }
  }
}

// Guards against fields of a trailer that are taken for fields of the head, by which a response or
// request would mean something else if it arrives in one piece.
BOOST_AUTO_TEST_CASE(TrailerIsNoPartOfTheHead) {
  const std::string text =
      "Transfer-Encoding: chunked\r\n\r\n3\r\nran\r\n0\r\nX-Late: 1\r\nServer-Leaving: 1\r\n\r\n";
  for (const std::size_t piece : {std::size_t{1}, std::size_t{1000}}) {
    ResponseParser response(kRaisedHeaderBytes, kUnbounded);
    BOOST_TEST(!feed(response, "HTTP/1.1 200 OK\r\n" + text, piece));
    BOOST_TEST(response.is_done());
    BOOST_TEST(response.get().count("X-Late") == 0U);
    RequestParser request(kRaisedHeaderBytes, kUnbounded);
    BOOST_TEST(!feed(request, "POST / HTTP/1.1\r\nHost: x\r\n" + text, piece));
    BOOST_TEST(request.is_done());
    BOOST_TEST(request.get().count("Server-Leaving") == 0U);
  }
}

// Guards against a status that is none of HTTP's being passed on as an answer.
BOOST_AUTO_TEST_CASE(StatusOutsideOfThoseOfHttpIsAnError) {
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    for (const std::string rest :
         {"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbody", "\r\nbody",
          "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
      for (const std::size_t piece : {std::size_t{1}, std::size_t{1000}}) {
        BOOST_TEST((responseError("HTTP/1.1 " + status + " X\r\n" + rest, piece) ==
                    http::error::bad_status));
      }
    }
  }
  for (const std::string status : {"100", "200", "299", "404", "500", "599"})
    BOOST_TEST(!responseError("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"));
}

// Guards against a body whose transfer coding is dropped, so that the coded bytes are passed on as
// if they were the body.
BOOST_AUTO_TEST_CASE(TransferCodingOtherThanChunksIsAnError) {
  for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
                                   "identity", "x", "", "chunked;q=1", "\"chunked\""}) {
    const auto fields = "Transfer-Encoding: " + coding + "\r\n\r\n3\r\nran\r\n0\r\n\r\n";
    BOOST_TEST_CONTEXT(coding) {
      BOOST_TEST(
          (responseError("HTTP/1.1 200 OK\r\n" + fields) == http::error::bad_transfer_encoding));
      BOOST_TEST((requestError("POST / HTTP/1.1\r\nHost: x\r\n" + fields) ==
                  http::error::bad_transfer_encoding));
    }
  }
  for (const std::string coding : {"chunked", "Chunked", "CHUNKED", " chunked "})
    BOOST_TEST(!responseError("HTTP/1.1 200 OK\r\nTransfer-Encoding:" + coding +
                              "\r\n\r\n3\r\nran\r\n0\r\n\r\n"));
}

// Guards against a field that differs from the one that was sent, because a line that begins with a
// blank was joined to it.
BOOST_AUTO_TEST_CASE(ContinuedFieldIsAnError) {
  const std::string fields = "X-Signature: one\r\n two\r\nContent-Length: 0\r\n\r\n";
  for (const std::size_t piece : {std::size_t{1}, std::size_t{1000}}) {
    BOOST_TEST((responseError("HTTP/1.1 200 OK\r\n" + fields, piece) == http::error::bad_obs_fold));
    BOOST_TEST((requestError("GET / HTTP/1.1\r\nHost: x\r\n" + fields, piece) ==
                http::error::bad_obs_fold));
  }
  BOOST_TEST(responseError("HTTP/1.1 200 OK\r\n X: y\r\nContent-Length: 0\r\n\r\n").failed());
}

// Guards against names and lines that are no field, and framing that can be read in two ways.
BOOST_AUTO_TEST_CASE(HeadThatIsNoHeadIsAnError) {
  for (const std::string_view field :
       {"X Y: 1", "X\tY: 1", "X : 1", "X\x01: 1", "X\x7f: 1", "X\xc3\xa9: 1", "X(Y: 1", "no colon",
        ": empty", "X: a\x01z", "X: a\rz", "Content-Length: +3",
        "Content-Length: 1\r\nContent-Length: 2", "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3"}) {
    BOOST_TEST_CONTEXT(field) {
      BOOST_TEST(
          responseError("HTTP/1.1 200 OK\r\n" + std::string{field} + "\r\n\r\nran").failed());
    }
  }
  const std::string nul("X\0Y: 1", 6);
  BOOST_TEST(responseError("HTTP/1.1 200 OK\r\n" + nul + "\r\n\r\n").failed());
  BOOST_TEST(responseError("HTTP/2.0 200 OK\r\n\r\n").failed());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
