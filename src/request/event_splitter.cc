#include "request/event_splitter.h"

namespace covewing::request {

namespace {

constexpr std::string_view kIdField = "id:";

/// Removes the first line from `text` and returns it, including its line end. Returns an empty view
/// if the line is incomplete.
std::string_view takeLine(std::string_view& text) {
  const auto end = text.find('\n');
  if (end == std::string_view::npos) return {};
  const auto line = text.substr(0, end + 1);
  text.remove_prefix(end + 1);
  return line;
}

std::string_view withoutLineEnd(std::string_view line) {
  line.remove_suffix(1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

}  // namespace

std::size_t EventSplitter::firstEventLength(std::string_view text) {
  std::size_t length = 0;
  for (auto line = takeLine(text); !line.empty(); line = takeLine(text)) {
    length += line.size();
    if (withoutLineEnd(line).empty()) return length;
  }
  return 0;
}

void EventSplitter::recordEventId(std::string_view event) {
  for (auto line = takeLine(event); !line.empty(); line = takeLine(event)) {
    auto content = withoutLineEnd(line);
    if (!content.starts_with(kIdField)) continue;
    content.remove_prefix(kIdField.size());
    if (content.starts_with(' ')) content.remove_prefix(1);
    lastEventId_ = content;
  }
}

std::string EventSplitter::feed(std::string_view bytes) {
  if (failed_) return {};
  pending_ += bytes;
  std::string completeEvents;
  std::size_t consumed = 0;
  const std::string_view input = pending_;
  for (auto length = firstEventLength(input); length > 0;
       length = firstEventLength(input.substr(consumed))) {
    const auto event = input.substr(consumed, length);
    recordEventId(event);
    completeEvents += event;
    consumed += length;
  }
  pending_.erase(0, consumed);
  failed_ = pending_.size() > kMaximumEventBytes;
  return completeEvents;
}

}  // namespace covewing::request
