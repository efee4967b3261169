#include "quarantine/quarantine_messages.h"

#include <algorithm>

#include "base/codec.h"

namespace covewing::quarantine {

namespace {

constexpr std::uint64_t kCrashReportType = 1;
constexpr std::uint64_t kSuspectedType = 2;
constexpr std::uint64_t kServedType = 3;
constexpr std::uint64_t kEntryType = 4;
constexpr std::uint32_t kCrashReportFields = 3;
constexpr std::uint32_t kSuspectedFields = 4;
constexpr std::uint32_t kServedFields = 2;
constexpr std::uint32_t kEntryFields = 5;
/// Maximum number of identifiers in one message: no replica runs more requests of one node
/// concurrently.
constexpr std::uint32_t kMaximumIdentifiers = 1024;

template <class Identifier>
void write(base::Writer& writer, const std::vector<Identifier>& identifiers) {
  const auto count = std::min<std::size_t>(identifiers.size(), kMaximumIdentifiers);
  writer.array(static_cast<std::uint32_t>(count));
  for (std::size_t index = 0; index < count; ++index)
    writer.unsignedInteger(identifiers[index].value);
}

template <class Identifier>
std::vector<Identifier> read(base::Reader& reader) {
  std::vector<Identifier> identifiers;
  const auto count = std::min(reader.beginArray(), kMaximumIdentifiers);
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index)
    identifiers.push_back({reader.unsignedInteger()});
  reader.endArray();
  return identifiers;
}

std::uint64_t milliseconds(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, duration / std::chrono::milliseconds(1)));
}

base::Duration readTime(base::Reader& reader) {
  // Far beyond the lifetime of any table service, and safe in arithmetic.
  constexpr std::uint64_t kLatestMilliseconds = 1ULL << 48U;
  return std::chrono::milliseconds(std::min(reader.unsignedInteger(), kLatestMilliseconds));
}

CrashReport readCrashReport(base::Reader& reader) {
  CrashReport message;
  message.replica.value = reader.unsignedInteger();
  message.runs = read<base::RequestFeature>(reader);
  return message;
}

RequestSuspected readSuspected(base::Reader& reader) {
  RequestSuspected message;
  message.feature.value = reader.unsignedInteger();
  message.replicas = read<base::EngineId>(reader);
  message.announcedAt = readTime(reader);
  return message;
}

QuarantineEntry readEntry(base::Reader& reader) {
  QuarantineEntry entry;
  entry.feature.value = reader.unsignedInteger();
  entry.crashes = reader.unsignedInteger();
  entry.decidedAt = readTime(reader);
  entry.lifted = reader.boolean();
  return entry;
}

std::optional<QuarantineMessage> readMessage(base::Reader& reader) {
  const auto fields = reader.beginArray();
  const auto type = reader.unsignedInteger();
  if (type == kCrashReportType && fields >= kCrashReportFields) return readCrashReport(reader);
  if (type == kSuspectedType && fields >= kSuspectedFields) return readSuspected(reader);
  if (type == kServedType && fields >= kServedFields)
    return RequestServed{{reader.unsignedInteger()}};
  if (type == kEntryType && fields >= kEntryFields) return readEntry(reader);
  return std::nullopt;
}

}  // namespace

std::string encode(const CrashReport& message) {
  base::Writer writer;
  writer.array(kCrashReportFields)
      .unsignedInteger(kCrashReportType)
      .unsignedInteger(message.replica.value);
  write(writer, message.runs);
  return writer.take();
}

std::string encode(const RequestSuspected& message) {
  base::Writer writer;
  writer.array(kSuspectedFields)
      .unsignedInteger(kSuspectedType)
      .unsignedInteger(message.feature.value);
  write(writer, message.replicas);
  writer.unsignedInteger(milliseconds(message.announcedAt));
  return writer.take();
}

std::string encode(const RequestServed& message) {
  base::Writer writer;
  writer.array(kServedFields).unsignedInteger(kServedType).unsignedInteger(message.feature.value);
  return writer.take();
}

std::string encode(const QuarantineEntry& entry) {
  base::Writer writer;
  writer.array(kEntryFields)
      .unsignedInteger(kEntryType)
      .unsignedInteger(entry.feature.value)
      .unsignedInteger(entry.crashes)
      .unsignedInteger(milliseconds(entry.decidedAt))
      .boolean(entry.lifted);
  return writer.take();
}

std::optional<QuarantineMessage> decodeQuarantineMessage(std::string_view payload) {
  base::Reader reader(payload);
  auto message = readMessage(reader);
  return reader.ok() ? std::move(message) : std::nullopt;
}

std::optional<QuarantineEntry> decodeQuarantineEntry(std::string_view value) {
  const auto message = decodeQuarantineMessage(value);
  const auto* entry = message ? std::get_if<QuarantineEntry>(&*message) : nullptr;
  return entry == nullptr ? std::nullopt : std::optional(*entry);
}

std::uint64_t QuarantineEntry::version() const {
  return 2 * milliseconds(decidedAt) + (lifted ? 1 : 0);
}

std::string suspectKeyOf(base::RequestFeature feature) {
  return std::string{kSuspectKeyPrefix} + base::toString(feature);
}

std::string keyOf(base::RequestFeature feature) {
  return std::string{kQuarantineKeyPrefix} + base::toString(feature);
}

}  // namespace covewing::quarantine
