/// \file
/// Incremental parser of server-sent events, as far as engines use them: `data:` lines, an empty
/// line ends an event; comments and other fields are skipped.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace covewing::live {

class SseParser {
 public:
  /// Largest event accepted, in bytes.
  static constexpr std::size_t kMaximumEventBytes = 1U << 20U;

  void feed(std::string_view bytes) { buffer_ += bytes; }
  /// The data of the next whole event; empty when more bytes are needed.
  std::optional<std::string> next();
  /// An event exceeded the limit; nothing more is parsed.
  bool failed() const { return failed_; }

 private:
  /// Takes one line without its end; empty when there is none yet.
  std::optional<std::string_view> takeLine();

  std::string buffer_;
  std::size_t consumed_ = 0;
  std::string data_;
  bool hasData_ = false;
  bool failed_ = false;
};

}  // namespace covewing::live
