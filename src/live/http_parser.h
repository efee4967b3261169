/// \file
/// Parsers of HTTP/1.1 messages as the server and the client use them. Internal to both.
///
/// They check what Beast's parser leaves to its users, so that no message can make a handler throw
/// or be taken for another one than its sender meant: memory is reserved for bytes that have
/// arrived, never for an announced length; names and values of fields are bounded by what Beast can
/// store; statuses, transfer codings and continued lines are checked once, for all readers.
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

/// Maximum size in bytes of the name and of the value of a field. Beast stores the size of either,
/// and two bytes more, in 16 bits, and throws where that does not suffice.
inline constexpr std::size_t kMaximumFieldBytes = std::numeric_limits<std::uint16_t>::max() - 2;

/// Lowest and highest status of a response (RFC 9110, section 15).
inline constexpr unsigned kMinimumStatus = 100;
inline constexpr unsigned kMaximumStatus = 599;

/// A message's body, as far as it has arrived. Beast's own string body reserves the announced
/// length.
struct ReceivedBody {
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {  // NOLINT(readability-identifier-naming): name set by Beast
   public:
    template <bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*head*/, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& announcedLength,
              boost::beast::error_code& error) {
      announcedLength_ = announcedLength.value_or(0);
      error = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (auto next = boost::asio::buffer_sequence_begin(buffers);
           next != boost::asio::buffer_sequence_end(buffers); ++next) {
        const boost::asio::const_buffer part(*next);
        reserve(body_.size() + part.size());
        body_.append(static_cast<const char*>(part.data()), part.size());
        bytes += part.size();
      }
      return bytes;
    }
    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    /// Makes room for `bytes`: at most twice what has arrived, and no more than was announced.
    void reserve(std::size_t bytes) {
      if (bytes <= body_.capacity()) return;
      auto capacity = std::max(bytes, 2 * body_.capacity());
      if (announcedLength_ >= bytes)
        capacity = static_cast<std::size_t>(std::min<std::uint64_t>(capacity, announcedLength_));
      body_.reserve(capacity);
    }

    value_type& body_;
    /// 0 if unknown.
    std::uint64_t announcedLength_ = 0;
  };
};

/// Parses one message. Fields of a trailer are checked and dropped: nothing may depend on whether
/// they arrived together with the head.
///
/// Errors beyond those of Beast: `header_limit` for a field of the head that cannot be stored,
/// `bad_value` for one of the trailer, `bad_status`, `bad_transfer_encoding` for any coding other
/// than chunks alone, and `bad_obs_fold` for a field that goes on in the next line.
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
    if (awaitsChunk_ && bytes.size() < kMinimumChunkBytes) {
      error = boost::beast::http::error::need_more;
      return 0;
    }
    input_ = bytes;
    const auto used = this->put(bytes, error);
    input_ = {};
    awaitsChunk_ = this->is_header_done() && used < bytes.size() &&
                   error == boost::beast::http::error::need_more;
    // Beast goes on behind a head that was refused if more bytes are there.
    if (headError_) error = headError_;
    return used;
  }

 private:
  void on_field_impl(boost::beast::http::field name, boost::beast::string_view nameText,
                     boost::beast::string_view value, boost::beast::error_code& error) override {
    if (nameText.size() > kMaximumFieldBytes || value.size() > kMaximumFieldBytes) {
      error = inTrailer_ ? boost::beast::http::error::bad_value
                         : boost::beast::http::error::header_limit;
      return;
    }
    if (isContinued(value)) {
      error = boost::beast::http::error::bad_obs_fold;
      return;
    }
    if (inTrailer_) return;
    if (name == boost::beast::http::field::transfer_encoding &&
        !boost::beast::iequals(value, "chunked")) {
      error = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    this->get().insert(name, nameText, value);
  }

  void on_header_impl(boost::beast::error_code& error) override {
    inTrailer_ = true;
    error = {};
    if constexpr (!isRequest) {
      const auto status = this->get().result_int();
      if (status < kMinimumStatus || status > kMaximumStatus)
        headError_ = boost::beast::http::error::bad_status;
      error = headError_;
    }
  }

  /// Whether the value was continued in a further line (obs-fold in RFC 9112): Beast joins the
  /// lines in memory of its own, while other values point into the input.
  bool isContinued(boost::beast::string_view value) const {
    if (value.empty()) return false;
    const auto* begin = static_cast<const char*>(input_.data());
    const std::less<const char*> before;
    return before(value.data(), begin) || !before(value.data(), begin + input_.size());
  }

  /// Length of the shortest rest of a message in chunks: "0", and two ends of lines.
  static constexpr std::size_t kMinimumChunkBytes = 5;

  /// The bytes that are being parsed.
  boost::asio::const_buffer input_;
  boost::beast::error_code headError_;
  /// A part of the line before a chunk is left. Beast ends the process by an assertion if it is
  /// given less than the shortest rest of a message once it has seen that the chunk is the last
  /// one.
  bool awaitsChunk_ = false;
  /// Fields that follow belong to the trailer.
  bool inTrailer_ = false;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace covewing::live
