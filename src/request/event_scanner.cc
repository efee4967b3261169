#include "request/event_scanner.h"

#include <algorithm>
#include <utility>

namespace covewing::request {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kIdField = "id:";
constexpr char kCommentStart = ':';

}  // namespace

std::size_t EventScanner::skipByteOrderMark(std::string_view bytes) {
  std::size_t skipped = 0;
  while (atStart_ && skipped < bytes.size()) {
    if (bytes[skipped] != kByteOrderMark[markBytes_]) {
      // What looked like a byte order mark is the beginning of the first line.
      atStart_ = false;
      onLineBytes(kByteOrderMark.substr(0, markBytes_));
      break;
    }
    ++skipped;
    ++markBytes_;
    atStart_ = markBytes_ < kByteOrderMark.size();
  }
  return skipped;
}

void EventScanner::onLineBytes(std::string_view bytes) {
  lineBytes_ += bytes.size();
  if (line_.size() < kMaximumIdLineBytes) line_ += bytes.substr(0, kMaximumIdLineBytes);
}

void EventScanner::onLineEnd() {
  if (lineBytes_ == 0) {
    if (eventOpen_) ++events_;
    if (!currentId_.empty()) lastEventId_ = std::exchange(currentId_, {});
    eventOpen_ = false;
    return;
  }
  const std::string_view line = line_;
  if (line.front() != kCommentStart) eventOpen_ = true;
  if (line.starts_with(kIdField) && lineBytes_ <= kMaximumIdLineBytes) {
    auto id = line.substr(kIdField.size());
    if (id.starts_with(' ')) id.remove_prefix(1);
    currentId_ = id;
  }
  line_.clear();
  lineBytes_ = 0;
}

std::size_t EventScanner::feed(std::string_view bytes) {
  std::size_t index = skipByteOrderMark(bytes);
  std::size_t end = insideEvent() ? 0 : index;
  while (index < bytes.size()) {
    const auto lineEnd = std::min(bytes.find_first_of(kLineEnds, index), bytes.size());
    if (lineEnd > index) {
      onLineBytes(bytes.substr(index, lineEnd - index));
      afterCarriageReturn_ = false;
    }
    if (lineEnd == bytes.size()) break;
    const bool secondOfLineEnd = bytes[lineEnd] == '\n' && afterCarriageReturn_;
    afterCarriageReturn_ = bytes[lineEnd] == '\r';
    if (!secondOfLineEnd) onLineEnd();
    index = lineEnd + 1;
    if (!eventOpen_) end = index;
  }
  return end;
}

bool EventScanner::insideEvent() const {
  const bool insideMark = atStart_ && markBytes_ > 0;
  return eventOpen_ || lineBytes_ > 0 || insideMark;
}

void EventScanner::restart() {
  auto lastEventId = std::move(lastEventId_);
  *this = {};
  lastEventId_ = std::move(lastEventId);
}

}  // namespace covewing::request
