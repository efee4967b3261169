#include "quarantine/quarantine_messages.h"

#include <algorithm>

#include "base/codec.h"

namespace covewing::quarantine {

namespace {

constexpr std::uint64_t kEndedType = 1;
constexpr std::uint64_t kServedType = 2;
constexpr std::uint32_t kEndedFields = 3;
constexpr std::uint32_t kServedFields = 2;
constexpr std::uint32_t kEntryFields = 4;
/// Fingerprints in one message: no replica runs more requests of one node at once.
constexpr std::uint32_t kMostFingerprints = 1024;

void write(base::Writer& writer, const Fingerprints& fingerprints) {
  const auto count = std::min<std::size_t>(fingerprints.size(), kMostFingerprints);
  writer.array(static_cast<std::uint32_t>(count));
  for (std::size_t index = 0; index < count; ++index)
    writer.unsignedInteger(fingerprints[index].value);
}

Fingerprints read(base::Reader& reader) {
  Fingerprints fingerprints;
  const auto count = std::min(reader.beginArray(), kMostFingerprints);
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index)
    fingerprints.push_back({reader.unsignedInteger()});
  reader.endArray();
  return fingerprints;
}

std::uint64_t milliseconds(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, duration / std::chrono::milliseconds(1)));
}

}  // namespace

std::string encode(const RunsEnded& message) {
  base::Writer writer;
  writer.array(kEndedFields).unsignedInteger(kEndedType).unsignedInteger(message.replica.value);
  write(writer, message.runs);
  return writer.take();
}

std::string encode(const RequestsServed& message) {
  base::Writer writer;
  writer.array(kServedFields).unsignedInteger(kServedType);
  write(writer, message.requests);
  return writer.take();
}

std::optional<QuarantineMessage> decodeQuarantineMessage(std::string_view payload) {
  base::Reader reader(payload);
  const auto fields = reader.beginArray();
  const auto type = reader.unsignedInteger();
  if (!reader.ok()) return std::nullopt;
  std::optional<QuarantineMessage> message;
  if (type == kEndedType && fields >= kEndedFields) {
    RunsEnded ended;
    ended.replica.value = reader.unsignedInteger();
    ended.runs = read(reader);
    message = std::move(ended);
  } else if (type == kServedType && fields >= kServedFields) {
    message = RequestsServed{read(reader)};
  }
  return reader.ok() ? message : std::nullopt;
}

std::uint64_t QuarantineEntry::version() const {
  return 2 * milliseconds(decidedAt) + (lifted ? 1 : 0);
}

std::string keyOf(base::RequestFingerprint request) {
  return std::string{kQuarantineKeyPrefix} + base::toString(request);
}

std::string encode(const QuarantineEntry& entry) {
  base::Writer writer;
  writer.array(kEntryFields)
      .unsignedInteger(entry.request.value)
      .unsignedInteger(entry.crashes)
      .unsignedInteger(milliseconds(entry.decidedAt))
      .boolean(entry.lifted);
  return writer.take();
}

std::optional<QuarantineEntry> decodeQuarantineEntry(std::string_view value) {
  // Far beyond the life of any table service, and safe to reckon with.
  constexpr std::uint64_t kLatestMilliseconds = 1ULL << 48U;
  base::Reader reader(value);
  if (reader.beginArray() < kEntryFields) return std::nullopt;
  QuarantineEntry entry;
  entry.request.value = reader.unsignedInteger();
  entry.crashes = reader.unsignedInteger();
  const auto decidedAt = reader.unsignedInteger();
  entry.lifted = reader.boolean();
  if (!reader.ok() || decidedAt > kLatestMilliseconds) return std::nullopt;
  entry.decidedAt = std::chrono::milliseconds(decidedAt);
  return entry;
}

}  // namespace covewing::quarantine
