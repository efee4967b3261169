#include "membership/packed_bytes.h"

namespace covewing::membership {

namespace {
constexpr std::uint64_t kLowBits = 0x7f;
constexpr std::uint8_t kMoreFollows = 0x80;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kBitsPerGroup = 7;
constexpr unsigned kLastShift = 63;
}  // namespace

void PackedWriter::variable(std::uint64_t value) {
  while (value > kLowBits) {
    byte(static_cast<std::uint8_t>(value & kLowBits) | kMoreFollows);
    value >>= kBitsPerGroup;
  }
  byte(static_cast<std::uint8_t>(value));
}

void PackedWriter::fixed64(std::uint64_t value) {
  for (unsigned index = 0; index < sizeof(value); ++index)
    byte(static_cast<std::uint8_t>(value >> (index * kBitsPerByte)));
}

void PackedWriter::fixed32(std::uint32_t value) {
  for (unsigned index = 0; index < sizeof(value); ++index)
    byte(static_cast<std::uint8_t>(value >> (index * kBitsPerByte)));
}

void PackedWriter::text(std::string_view value) {
  variable(value.size());
  bytes_.append(value);
}

std::string_view PackedReader::take(std::size_t count) {
  if (!ok_ || rest_.size() < count) {
    ok_ = false;
    return {};
  }
  const std::string_view taken = rest_.substr(0, count);
  rest_.remove_prefix(count);
  return taken;
}

std::uint8_t PackedReader::byte() {
  const std::string_view taken = take(1);
  return ok_ ? static_cast<std::uint8_t>(taken.front()) : 0;
}

std::uint64_t PackedReader::variable() {
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift <= kLastShift; shift += kBitsPerGroup) {
    const std::uint8_t next = byte();
    value |= (next & kLowBits) << shift;
    if ((next & kMoreFollows) == 0) return ok_ ? value : 0;
  }
  ok_ = false;
  return 0;
}

std::uint64_t PackedReader::fixed64() {
  const std::string_view taken = take(sizeof(std::uint64_t));
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < taken.size(); ++index)
    value |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(taken[index]))
             << (index * kBitsPerByte);
  return value;
}

std::uint32_t PackedReader::fixed32() {
  const std::string_view taken = take(sizeof(std::uint32_t));
  std::uint32_t value = 0;
  for (std::size_t index = 0; index < taken.size(); ++index)
    value |= static_cast<std::uint32_t>(static_cast<std::uint8_t>(taken[index]))
             << (index * kBitsPerByte);
  return value;
}

std::string_view PackedReader::text() {
  const std::uint64_t length = variable();
  return take(static_cast<std::size_t>(length));
}

}  // namespace covewing::membership
