// Responses: header sections and chunks are formatted by Beast and queued on the connection.
#include <boost/beast/http/chunk_encode.hpp>

#include "live/body_framing.h"
#include "live/http_client.h"
#include "live/http_connection.h"
#include "live/http_head.h"

namespace covewing::live {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Status line and headers of a response to `request`. A connection that is kept announces its idle
/// time, unless that is zero. The identifier of the request is echoed
/// unless `headers` contains one.
http::response<http::empty_body> responseHead(const HttpRequest& request, unsigned status,
                                              const std::vector<HeaderField>& headers, bool http11,
                                              bool keepAlive, std::chrono::seconds idleTime) {
  http::response<http::empty_body> message;
  message.result(status);
  message.version(http11 ? kHttp11 : kHttp10);
  for (const auto& field : headers) message.insert(field.name, field.value);
  const auto requestId = request.header(kRequestIdHeader);
  if (!requestId.empty() && findHeader(headers, kRequestIdHeader).empty())
    message.set(std::string{kRequestIdHeader}, std::string{requestId});
  message.keep_alive(keepAlive);
  if (keepAlive && idleTime.count() > 0)
    message.set(http::field::keep_alive, "timeout=" + std::to_string(idleTime.count()));
  return message;
}

}  // namespace

Exchange::Exchange(std::shared_ptr<Connection> connection, HttpRequest request, bool chunkedAllowed,
                   Arrival arrival)
    : connection_(std::move(connection)),
      request_(std::move(request)),
      chunkedAllowed_(chunkedAllowed),
      arrival_(arrival) {}

Exchange::~Exchange() {
  if (!finished()) finish()->close();
}

base::Endpoint Exchange::peer() const {
  return connection_ ? connection_->peer() : base::Endpoint{};
}

bool Exchange::keepAlive() const { return connection_->keepAlive() && !closeAfterResponse_; }

std::shared_ptr<Connection> Exchange::finish() {
  pressureListener_ = nullptr;
  disconnectListener_ = nullptr;
  return std::exchange(connection_, nullptr);
}

void Exchange::respond(HttpResponse response) {
  if (finished() || streaming_) return;
  if (connection_->shouldLeave()) closeAfterResponse();
  const bool reusable = keepAlive();
  auto head = responseHead(request_, response.status, response.headers, chunkedAllowed_, reusable,
                           connection_->announceIdleTime());
  const bool withoutBody = bodyForbidden(response.status);
  if (!withoutBody) head.content_length(response.body.size());
  auto text = headText(head);
  if (!withoutBody && request_.method != "HEAD") text += response.body;
  const auto connection = finish();
  connection->send(std::move(text));
  connection->onResponseComplete(reusable);
}

void Exchange::beginStream(unsigned status, const std::vector<HeaderField>& headers,
                           std::optional<std::uint64_t> length) {
  if (finished() || streaming_) return;
  streaming_ = true;
  if (connection_->shouldLeave()) closeAfterResponse();
  const bool framed = chunkedAllowed_ || length.has_value();
  auto head = responseHead(request_, status, headers, chunkedAllowed_, framed && keepAlive(),
                           connection_->announceIdleTime());
  if (bodyForbidden(status)) {
    remainingBytes_ = 0;
  } else if (length) {
    remainingBytes_ = request_.method == "HEAD" ? 0 : *length;
    head.content_length(*length);
  } else if (chunkedAllowed_) {
    head.chunked(true);
  }
  if (!bodyForbidden(status) && !framed) connection_->resetOnClose();
  connection_->send(headText(head));
}

void Exchange::write(std::string_view bytes) {
  if (finished() || !streaming_ || bytes.empty()) return;
  if (remainingBytes_) {
    const auto accepted = bytes.substr(0, *remainingBytes_);
    *remainingBytes_ -= accepted.size();
    if (!accepted.empty()) connection_->send(std::string{accepted});
    return;
  }
  if (!chunkedAllowed_) {
    connection_->send(std::string{bytes});
    return;
  }
  connection_->send(beast::buffers_to_string(
      http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size()))));
}

void Exchange::end() {
  if (finished() || !streaming_) return;
  if (remainingBytes_ && *remainingBytes_ > 0) {
    abort();
    return;
  }
  const bool reusable = (chunkedAllowed_ || remainingBytes_) && keepAlive();
  const bool chunked = chunkedAllowed_ && !remainingBytes_;
  const auto connection = finish();
  if (chunked) connection->send(beast::buffers_to_string(http::make_chunk_last()));
  connection->onResponseComplete(reusable);
}

void Exchange::abort() {
  if (!finished()) finish()->close();
}

std::size_t Exchange::bufferedBytes() const {
  return connection_ ? connection_->bufferedBytes() : 0;
}

void Exchange::onPressure(std::function<void(bool)> listener) {
  if (!finished()) pressureListener_ = std::move(listener);
}

bool Exchange::peerConnected() const { return connection_ && connection_->peerConnected(); }

void Exchange::onDisconnect(std::function<void()> listener) {
  if (!finished()) disconnectListener_ = std::move(listener);
}

void Exchange::onPeerDisconnected() {
  const auto listener = std::exchange(disconnectListener_, nullptr);
  finish();
  if (listener) listener();
}

void Exchange::onBufferPressure(bool high) {
  // Copied, because the listener may finish the exchange.
  const auto listener = pressureListener_;
  if (listener) listener(high);
}

}  // namespace covewing::live
