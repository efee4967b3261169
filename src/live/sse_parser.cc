#include "live/sse_parser.h"

#include <utility>

namespace covewing::live {

namespace {
constexpr std::string_view kDataField = "data:";
}

std::optional<std::string_view> SseParser::takeLine() {
  const auto end = buffer_.find('\n', consumed_);
  if (end == std::string::npos) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    failed_ = buffer_.size() > kMaximumEventBytes;
    return std::nullopt;
  }
  auto line = std::string_view{buffer_}.substr(consumed_, end - consumed_);
  consumed_ = end + 1;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

std::optional<std::string> SseParser::next() {
  while (!failed_) {
    const auto line = takeLine();
    if (!line) return std::nullopt;
    if (line->empty()) {
      if (!hasData_) continue;
      hasData_ = false;
      return std::exchange(data_, {});
    }
    if (!line->starts_with(kDataField)) continue;
    auto value = line->substr(kDataField.size());
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (hasData_) data_ += '\n';
    data_ += value;
    hasData_ = true;
    failed_ = data_.size() > kMaximumEventBytes;
  }
  return std::nullopt;
}

}  // namespace covewing::live
