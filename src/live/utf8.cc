#include "live/utf8.h"

#include <cstdint>

namespace covewing::live {

namespace {

constexpr unsigned kContinuationMask = 0xC0;
constexpr unsigned kContinuationMark = 0x80;
constexpr unsigned kContinuationBits = 6;
constexpr std::uint32_t kMaximumCodePoint = 0x10FFFF;
constexpr std::uint32_t kFirstSurrogate = 0xD800;
constexpr std::uint32_t kLastSurrogate = 0xDFFF;

/// Properties of a UTF-8 sequence that its first byte determines.
struct LeadByte {
  unsigned continuationBytes;
  std::uint32_t bits;
  /// Smallest code point that needs a sequence of this length.
  std::uint32_t minimumCodePoint;
};

constexpr LeadByte kInvalidLeadByte{0, 0, UINT32_MAX};

constexpr LeadByte parseLeadByte(unsigned char byte) {
  if (byte < 0x80) return {0, byte, 0};
  if (byte >= 0xC0 && byte < 0xE0) return {1, byte & 0x1FU, 0x80};
  if (byte >= 0xE0 && byte < 0xF0) return {2, byte & 0x0FU, 0x800};
  if (byte >= 0xF0 && byte < 0xF8) return {3, byte & 0x07U, 0x10000};
  return kInvalidLeadByte;
}

}  // namespace

bool isValidUtf8(std::string_view text) {
  for (std::size_t index = 0; index < text.size();) {
    const LeadByte lead = parseLeadByte(static_cast<unsigned char>(text[index++]));
    if (text.size() - index < lead.continuationBytes) return false;
    std::uint32_t codePoint = lead.bits;
    for (unsigned count = 0; count < lead.continuationBytes; ++count) {
      const auto byte = static_cast<unsigned char>(text[index++]);
      if ((byte & kContinuationMask) != kContinuationMark) return false;
      codePoint = codePoint << kContinuationBits | (byte & ~kContinuationMask);
    }
    const bool surrogate = codePoint >= kFirstSurrogate && codePoint <= kLastSurrogate;
    if (codePoint < lead.minimumCodePoint || codePoint > kMaximumCodePoint || surrogate)
      return false;
  }
  return true;
}

}  // namespace covewing::live
