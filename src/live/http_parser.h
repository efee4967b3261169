/// \file
/// Parsers of HTTP/1.1 messages as the server and the client use them. Internal to both.
///
/// Memory is reserved for bytes that have arrived, never for an announced length.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>

namespace covewing::live {

/// A message's body, as far as it has arrived. Beast's own string body reserves the announced
/// length.
struct ReceivedBody {
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*head*/, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*announcedLength*/,
              boost::beast::error_code& error) {
      error = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (auto next = boost::asio::buffer_sequence_begin(buffers);
           next != boost::asio::buffer_sequence_end(buffers); ++next) {
        const boost::asio::const_buffer part(*next);
        body_.append(static_cast<const char*>(part.data()), part.size());
        bytes += part.size();
      }
      return bytes;
    }
    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

/// Parses one message.
template <bool isRequest>
class MessageParser final : public boost::beast::http::parser<isRequest, ReceivedBody> {
 public:
  /// `headerBytes` and `bodyBytes` are the maximum sizes of the header section and the body.
  MessageParser(std::size_t headerBytes, std::uint64_t bodyBytes) {
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(headerBytes, std::numeric_limits<std::uint32_t>::max())));
    this->body_limit(bodyBytes);
  }

  /// As Beast's `put`: parses some of the bytes and returns how many were used.
  std::size_t putBytes(boost::asio::const_buffer bytes, boost::beast::error_code& error) {
    return this->put(bytes, error);
  }
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace covewing::live
