// Whatever is received as a request or a response, in one piece or byte by byte, is parsed or
// refused alike, and never throws: heads, chunks and trailers, within a raised limit of the head.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "live/http_parser.h"

namespace covewing::live {

namespace {

constexpr std::size_t kRaisedHeaderBytes = 256U << 10U;

struct Parsed {
  bool failed = false;
  bool done = false;
  std::string body;
};

template <bool isRequest>
Parsed parse(std::string_view text, std::size_t pieceBytes) {
  MessageParser<isRequest> parser(kRaisedHeaderBytes, std::numeric_limits<std::uint64_t>::max());
  std::size_t parsed = 0;
  std::size_t end = 0;
  while (end < text.size() && !parser.is_done()) {
    end = std::min(end + pieceBytes, text.size());
    std::size_t used = 1;
    while (used > 0 && parsed < end && !parser.is_done()) {
      boost::beast::error_code error;
      used = parser.putBytes({text.data() + parsed, end - parsed}, error);
      parsed += used;
      if (error && error != boost::beast::http::error::need_more) return {true, false, {}};
    }
  }
  auto& body = parser.get().body();
  if (body.size() > text.size() || body.capacity() > 2 * text.size() + 64) std::abort();
  return {false, parser.is_done(), std::move(body)};
}

template <bool isRequest>
void parseBothWays(std::string_view text) {
  const auto whole = parse<isRequest>(text, text.size());
  const auto pieces = parse<isRequest>(text, 1);
  // A message that is done in one way is the same in the other.
  if (whole.done != pieces.done || (whole.done && whole.body != pieces.body)) std::abort();
}

/// The input as it is, and as what follows a proper start line: heads, chunked bodies, trailers.
template <bool isRequest>
void parseAll(std::string_view text, std::string_view startLine) {
  const std::string start{startLine};
  const std::string input{text};
  parseBothWays<isRequest>(text);
  parseBothWays<isRequest>(start + input);
  parseBothWays<isRequest>(start + "Transfer-Encoding: chunked\r\n\r\n" + input);
  parseBothWays<isRequest>(start + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + input);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (text.empty()) return 0;
  parseAll<true>(text, "POST / HTTP/1.1\r\nHost: x\r\n");
  parseAll<false>(text, "HTTP/1.1 200 OK\r\n");
  return 0;
}

}  // namespace covewing::live
