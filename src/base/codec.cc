#include "base/codec.h"

#include <algorithm>
#include <msgpack.hpp>
#include <vector>

namespace covewing::base {

struct Writer::Impl {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer{buffer};
};

Writer::Writer() : impl_(std::make_unique<Impl>()) {}
Writer::~Writer() = default;

Writer& Writer::array(std::uint32_t size) {
  impl_->packer.pack_array(size);
  return *this;
}
Writer& Writer::unsignedInteger(std::uint64_t value) {
  impl_->packer.pack_uint64(value);
  return *this;
}
Writer& Writer::signedInteger(std::int64_t value) {
  impl_->packer.pack_int64(value);
  return *this;
}
Writer& Writer::boolean(bool value) {
  value ? impl_->packer.pack_true() : impl_->packer.pack_false();
  return *this;
}
Writer& Writer::real(double value) {
  impl_->packer.pack_double(value);
  return *this;
}
Writer& Writer::text(std::string_view value) {
  impl_->packer.pack_str(static_cast<std::uint32_t>(value.size()));
  impl_->packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
  return *this;
}
Writer& Writer::binary(std::string_view value) {
  impl_->packer.pack_bin(static_cast<std::uint32_t>(value.size()));
  impl_->packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
  return *this;
}

std::string Writer::take() {
  std::string bytes(impl_->buffer.data(), impl_->buffer.size());
  impl_->buffer.clear();
  return bytes;
}

namespace {
constexpr std::size_t kMaximumElements = 1U << 20U;
constexpr std::size_t kMaximumBytes = 64U << 20U;
constexpr std::size_t kMaximumDepth = 16;

bool referenceBuffer(msgpack::type::object_type /*type*/, std::size_t /*length*/, void* /*data*/) {
  return true;
}
}  // namespace

struct Reader::Impl {
  struct Level {
    const msgpack::object* next;
    const msgpack::object* end;
  };

  msgpack::object_handle handle;
  std::vector<Level> levels;
  bool ok = false;

  /// Type of the next element; NIL when there is none.
  msgpack::type::object_type nextType() const {
    if (!ok || levels.empty() || levels.back().next == levels.back().end) return msgpack::type::NIL;
    return levels.back().next->type;
  }

  const msgpack::object* take(msgpack::type::object_type type) {
    if (!ok || levels.empty() || levels.back().next == levels.back().end ||
        levels.back().next->type != type) {
      ok = false;
      return nullptr;
    }
    return levels.back().next++;
  }
};

Reader::Reader(std::string_view bytes) : impl_(std::make_unique<Impl>()) {
  // Each element takes a byte at least, and the library reserves memory for the announced number.
  const auto maximumElements = std::min(kMaximumElements, bytes.size());
  const msgpack::unpack_limit limit(maximumElements, 0, kMaximumBytes, kMaximumBytes, 0,
                                    kMaximumDepth);
  try {
    std::size_t offset = 0;
    impl_->handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, referenceBuffer, nullptr, limit);
    impl_->ok = offset == bytes.size();
  } catch (const std::exception&) {
    impl_->ok = false;
    return;
  }
  const msgpack::object& root = impl_->handle.get();
  impl_->levels.push_back({&root, &root + 1});
}
Reader::~Reader() = default;

bool Reader::ok() const { return impl_->ok; }

std::uint32_t Reader::beginArray() {
  const auto* object = impl_->take(msgpack::type::ARRAY);
  if (object == nullptr) return 0;
  const auto& array = object->via.array;
  impl_->levels.push_back({array.ptr, array.ptr + array.size});
  return array.size;
}

void Reader::endArray() {
  if (impl_->ok && impl_->levels.size() > 1) impl_->levels.pop_back();
}

bool Reader::more() const {
  return impl_->ok && !impl_->levels.empty() &&
         impl_->levels.back().next != impl_->levels.back().end;
}

bool Reader::nextIsUnsignedInteger() const {
  return impl_->nextType() == msgpack::type::POSITIVE_INTEGER;
}

std::uint64_t Reader::unsignedInteger() {
  const auto* object = impl_->take(msgpack::type::POSITIVE_INTEGER);
  return object == nullptr ? 0 : object->via.u64;
}

std::int64_t Reader::signedInteger() {
  if (impl_->nextType() == msgpack::type::POSITIVE_INTEGER)
    return static_cast<std::int64_t>(unsignedInteger());
  const auto* object = impl_->take(msgpack::type::NEGATIVE_INTEGER);
  return object == nullptr ? 0 : object->via.i64;
}

bool Reader::boolean() {
  const auto* object = impl_->take(msgpack::type::BOOLEAN);
  return object != nullptr && object->via.boolean;
}

double Reader::real() {
  // The library packs a whole number as an integer, whatever its C++ type.
  switch (impl_->nextType()) {
    case msgpack::type::POSITIVE_INTEGER:
      return static_cast<double>(unsignedInteger());
    case msgpack::type::NEGATIVE_INTEGER:
      return static_cast<double>(signedInteger());
    default:
      const auto* object = impl_->take(msgpack::type::FLOAT64);
      return object == nullptr ? 0 : object->via.f64;
  }
}

std::string_view Reader::text() {
  const auto* object = impl_->take(msgpack::type::STR);
  return object == nullptr ? std::string_view{}
                           : std::string_view{object->via.str.ptr, object->via.str.size};
}

std::string_view Reader::binary() {
  const auto* object = impl_->take(msgpack::type::BIN);
  return object == nullptr ? std::string_view{}
                           : std::string_view{object->via.bin.ptr, object->via.bin.size};
}

}  // namespace covewing::base
