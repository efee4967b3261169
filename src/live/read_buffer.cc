#include "live/read_buffer.h"

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace covewing::live {

boost::asio::mutable_buffer ReadBuffer::beginRead(std::size_t maximumBytes) {
  if (reading_) throw std::logic_error("a read into this buffer is outstanding");
  rewindIfEmpty();
  reserve(maximumBytes);
  reading_ = true;
  return {storage_.get() + end_, maximumBytes};
}

void ReadBuffer::endRead(std::size_t bytes) {
  reading_ = false;
  end_ += std::min(bytes, capacity_ - end_);
}

void ReadBuffer::consume(std::size_t bytes) {
  begin_ += std::min(bytes, size());
  rewindIfEmpty();
}

void ReadBuffer::releaseUnused() {
  if (reading_ || size() > 0) return;
  storage_.reset();
  capacity_ = 0;
  begin_ = 0;
  end_ = 0;
}

void ReadBuffer::reserve(std::size_t maximumBytes) {
  if (capacity_ - end_ >= maximumBytes) return;
  const auto kept = size();
  if (capacity_ - kept >= maximumBytes) {
    std::memmove(storage_.get(), storage_.get() + begin_, kept);
  } else {
    const auto capacity = kept + maximumBytes;
    auto storage = std::make_unique_for_overwrite<char[]>(capacity);
    std::copy_n(storage_.get() + begin_, kept, storage.get());
    storage_ = std::move(storage);
    capacity_ = capacity;
  }
  begin_ = 0;
  end_ = kept;
}

void ReadBuffer::rewindIfEmpty() {
  if (reading_ || size() > 0) return;
  begin_ = 0;
  end_ = 0;
}

}  // namespace covewing::live
