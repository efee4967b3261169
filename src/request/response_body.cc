#include "request/response_body.h"

#include <utility>

namespace covewing::request {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kEventStreamType = "text/event-stream";

/// Whether the headers allow the body to be a stream of events. Without a type it is taken for one,
/// since that is what the route announces.
bool mayHaveEvents(const clients::RelayedAnswer& head) {
  const auto encoding = clients::findHeader(head.headers, "Content-Encoding");
  if (!encoding.empty() && !clients::equalHeaderNames(encoding, "identity")) return false;
  auto type = clients::findHeader(head.headers, "Content-Type");
  type = type.substr(0, type.find(';'));
  while (type.ends_with(' ')) type.remove_suffix(1);
  return type.empty() || clients::equalHeaderNames(type, kEventStreamType);
}

}  // namespace

void ResponseBody::begin(const clients::RelayedAnswer& head, Kind kind, Start start) {
  kind_ = mayHaveEvents(head) ? kind : Kind::kPlain;
  framing_ = head.framing;
  start_ = start;
  atStart_ = true;
  discardIncomplete();
}

void ResponseBody::discardIncomplete() {
  scanner_.restart();
  retained_.clear();
}

std::string_view ResponseBody::take(std::string_view bytes) {
  if (kind_ == Kind::kPlain) return bytes;
  const auto complete = scanner_.feed(bytes);
  if (kind_ == Kind::kStream) return bytes;
  ready_.clear();
  if (complete > 0) {
    ready_ = std::exchange(retained_, {});
    ready_ += bytes.substr(0, complete);
    bytes.remove_prefix(complete);
    passedPartOfEvent_ = false;
  }
  retained_ += bytes;
  if (passedPartOfEvent_ || retained_.size() > kMaximumRetainedBytes) {
    passedPartOfEvent_ = !retained_.empty();
    ready_ += std::exchange(retained_, {});
  }
  dropByteOrderMark();
  return ready_;
}

void ResponseBody::dropByteOrderMark() {
  if (ready_.empty() || !std::exchange(atStart_, false)) return;
  if (start_ == Start::kWithinAnswer && ready_.starts_with(kByteOrderMark))
    ready_.erase(0, kByteOrderMark.size());
}

std::string_view ResponseBody::whyIncomplete() const {
  if (!hasEvents()) return {};
  if (scanner_.insideEvent()) return "the stream ended inside an event";
  // A replica that ends right after the headers leaves such a body behind.
  const bool mayBeEmpty = start_ != Start::kFirstEvent;
  if (framing_ == clients::BodyFraming::kConnectionEnd && scanner_.events() == 0 && !mayBeEmpty)
    return "the connection ended before any event";
  return {};
}

}  // namespace covewing::request
