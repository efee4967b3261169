/// \file
/// Bytes that were received on a connection and are still to be parsed, and the memory into which
/// the next ones are read. Internal to the HTTP server and client.
///
/// While a read is outstanding, the operating system may write into the memory that it was given,
/// at any time until the read's handler has run. So that memory is neither moved nor released until
/// then, whatever is consumed or asked for in the meantime.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <memory>

namespace covewing::live {

class ReadBuffer {
 public:
  /// Whether a read is outstanding.
  bool reading() const { return reading_; }
  /// Memory for one read of up to `maximumBytes`. No read may be outstanding.
  boost::asio::mutable_buffer beginRead(std::size_t maximumBytes);
  /// The read has ended with `bytes` bytes, which follow those received before.
  void endRead(std::size_t bytes);

  /// Number of bytes that are still to be parsed.
  std::size_t size() const { return end_ - begin_; }
  /// Memory that the buffer takes, in bytes.
  std::size_t capacity() const { return capacity_; }
  boost::asio::const_buffer data() const { return {storage_.get() + begin_, size()}; }
  /// Removes bytes that were parsed, the oldest first.
  void consume(std::size_t bytes);
  /// Gives the memory back if it holds no bytes and no read is outstanding.
  void releaseUnused();

 private:
  /// Makes room for `maximumBytes` more bytes.
  void reserve(std::size_t maximumBytes);
  /// Lets an empty buffer start at the beginning of its memory again.
  void rewindIfEmpty();

  /// Not initialized beyond `end_`.
  std::unique_ptr<char[]> storage_;
  std::size_t capacity_ = 0;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  bool reading_ = false;
};

}  // namespace covewing::live
