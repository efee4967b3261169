/// \file
/// Serializes header sections of HTTP messages with Beast. Internal to the HTTP server and client.
#pragma once

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <string>
#include <vector>

#include "live/http_message.h"

namespace covewing::live {

inline constexpr unsigned kHttp10 = 10;
inline constexpr unsigned kHttp11 = 11;

/// Text of the header section of a message, including the empty line at its end.
template <bool isRequest>
std::string headText(boost::beast::http::message<isRequest, boost::beast::http::empty_body>& head) {
  boost::beast::http::serializer<isRequest, boost::beast::http::empty_body> serializer(head);
  serializer.split(true);
  std::string text;
  boost::beast::error_code error;
  while (!serializer.is_header_done() && !error) {
    serializer.next(error, [&](boost::beast::error_code& /*error*/, const auto& buffers) {
      text += boost::beast::buffers_to_string(buffers);
      serializer.consume(boost::beast::buffer_bytes(buffers));
    });
  }
  return text;
}

inline std::vector<HeaderField> copyHeaders(const boost::beast::http::fields& fields) {
  std::vector<HeaderField> headers;
  for (const auto& field : fields) {
    headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
  }
  return headers;
}

}  // namespace covewing::live
