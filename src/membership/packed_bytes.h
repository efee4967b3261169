/// \file
/// Packed encoding of short repeated fields inside a message: variable-length integers, fixed
/// 64-bit words and length-prefixed texts. Used where a message carries hundreds of small entries.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace covewing::membership {

class PackedWriter {
 public:
  /// Seven bits a byte, least significant first: one byte below 128.
  void variable(std::uint64_t value);
  /// Eight bytes, little-endian.
  void fixed64(std::uint64_t value);
  void fixed32(std::uint32_t value);
  void byte(std::uint8_t value) { bytes_.push_back(static_cast<char>(value)); }
  void text(std::string_view value);

  std::size_t size() const { return bytes_.size(); }
  const std::string& bytes() const { return bytes_; }
  std::string take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// Reads in the order written. After the first missing byte it has failed and returns zeros.
class PackedReader {
 public:
  explicit PackedReader(std::string_view bytes) : rest_(bytes) {}

  bool ok() const { return ok_; }
  /// Whether another entry follows; false once failed.
  bool more() const { return ok_ && !rest_.empty(); }
  std::uint64_t variable();
  std::uint64_t fixed64();
  std::uint32_t fixed32();
  std::uint8_t byte();
  /// Valid as long as the bytes read from.
  std::string_view text();

 private:
  std::string_view take(std::size_t count);

  std::string_view rest_;
  bool ok_ = true;
};

}  // namespace covewing::membership
