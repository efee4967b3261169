/// \file
/// MessagePack encoding of internal messages, without exposing the library to decision code.
///
/// Every message is one array whose first element is its type number; fields follow in fixed order.
/// A reader of a newer message may leave extra trailing fields unread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace covewing::base {

/// Appends values to a byte string in MessagePack form.
class Writer {
 public:
  Writer();
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  /// Opens an array of `size` elements; exactly that many values must follow.
  Writer& array(std::uint32_t size);
  Writer& unsignedInteger(std::uint64_t value);
  Writer& signedInteger(std::int64_t value);
  Writer& boolean(bool value);
  Writer& real(double value);
  Writer& text(std::string_view value);
  /// Raw bytes, for packed arrays of fixed-size values.
  Writer& binary(std::string_view value);

  /// The bytes written so far; the writer is empty afterwards.
  std::string take();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Reads values back in the order written. The first wrong type, excess nesting or missing element
/// makes the reader failed; from then on every call returns a zero value, so a decoder checks `ok`
/// once.
class Reader {
 public:
  /// Parses `bytes` whole; they must outlive the reader.
  explicit Reader(std::string_view bytes);
  ~Reader();
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  bool ok() const;
  /// Enters an array and returns its size. Leave it with `endArray`, which skips elements not read.
  std::uint32_t beginArray();
  void endArray();
  /// Whether the array that was entered has elements that were not read: what a message of an
  /// earlier build lacks takes its default.
  bool more() const;
  /// Whether the next element of that array is an unsigned integer, as fields of a known extension
  /// begin; a field of a later build may be of any type.
  bool nextIsUnsignedInteger() const;
  std::uint64_t unsignedInteger();
  std::int64_t signedInteger();
  bool boolean();
  double real();
  std::string_view text();
  std::string_view binary();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace covewing::base
