/// \file
/// Incremental parser of server-sent events, limited to the part that engines use: an event
/// consists of `data:` lines and ends with an empty line; comments and other fields are skipped.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace covewing::live {

class SseParser {
 public:
  /// Maximum size of an event in bytes.
  static constexpr std::size_t kMaximumEventBytes = 1U << 20U;

  void feed(std::string_view bytes) { buffer_ += bytes; }
  /// Returns the data of the next complete event; empty if more bytes are needed.
  std::optional<std::string> next();
  /// Whether an event exceeded the limit; nothing more is parsed then.
  bool failed() const { return failed_; }

 private:
  /// Consumes one line, returned without its line ending; empty if there is none yet.
  std::optional<std::string_view> takeLine();

  std::string buffer_;
  std::size_t consumed_ = 0;
  std::string data_;
  bool hasData_ = false;
  bool failed_ = false;
};

}  // namespace covewing::live
