#include "quarantine/quarantine_messages.h"

#include <algorithm>
#include <iterator>

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
/// Further fields of messages about parts of prompts; the first is kPromptParts.
constexpr std::uint32_t kCrashReportPartFields = 4;
constexpr std::uint32_t kSuspectedPartFields = 4;
constexpr std::uint32_t kServedPartFields = 1;
constexpr std::uint32_t kEntryPartFields = 4;
constexpr std::uint64_t kPromptParts = 1;
/// Further fields behind those: kFurtherParts and the parts.
constexpr std::uint32_t kFurtherPartsFields = 2;
constexpr std::uint64_t kFurtherParts = 2;
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

void writeFurtherParts(base::Writer& writer, const base::RequestFeatures& parts) {
  writer.unsignedInteger(kFurtherParts);
  write(writer, parts);
}

std::vector<std::uint64_t> readValues(base::Reader& reader) {
  std::vector<std::uint64_t> values;
  const auto count = std::min(reader.beginArray(), kMaximumIdentifiers);
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index)
    values.push_back(reader.unsignedInteger());
  reader.endArray();
  return values;
}

base::RequestFeatures readFeatures(base::Reader& reader, base::FeatureKind kind) {
  base::RequestFeatures features;
  for (const auto value : readValues(reader)) features.push_back({value, kind});
  return features;
}

std::vector<base::EngineId> readReplicas(base::Reader& reader) {
  std::vector<base::EngineId> replicas;
  for (const auto value : readValues(reader)) replicas.push_back({value});
  return replicas;
}

bool isPart(base::RequestFeature feature) { return feature.kind == base::FeatureKind::kPromptPart; }

base::RequestFeatures featuresOf(const base::RequestFeatures& features, base::FeatureKind kind) {
  base::RequestFeatures chosen;
  std::ranges::copy_if(features, std::back_inserter(chosen),
                       [kind](const auto& feature) { return feature.kind == kind; });
  return chosen;
}

/// Whether the message goes on with fields about parts of prompts; enters them.
bool continuesWithParts(base::Reader& reader) {
  return reader.nextIsUnsignedInteger() && reader.unsignedInteger() == kPromptParts;
}

std::uint64_t milliseconds(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, duration / std::chrono::milliseconds(1)));
}

base::Duration durationOf(std::uint64_t milliseconds) {
  // Far beyond the lifetime of any table service, and safe in arithmetic.
  constexpr std::uint64_t kLatestMilliseconds = 1ULL << 48U;
  return std::chrono::milliseconds(std::min(milliseconds, kLatestMilliseconds));
}

base::Duration readTime(base::Reader& reader) { return durationOf(reader.unsignedInteger()); }

/// Earlier builds do not write this field.
base::RequestFeatures readFurtherParts(base::Reader& reader) {
  const bool present = reader.nextIsUnsignedInteger() && reader.unsignedInteger() == kFurtherParts;
  return present ? readFeatures(reader, base::FeatureKind::kPromptPart) : base::RequestFeatures{};
}

CrashReport readCrashReport(base::Reader& reader) {
  CrashReport message;
  message.replica.value = reader.unsignedInteger();
  message.runs = readFeatures(reader, base::FeatureKind::kRequest);
  if (!continuesWithParts(reader)) return message;
  const auto parts = readFeatures(reader, base::FeatureKind::kPromptPart);
  message.runs.insert(message.runs.end(), parts.begin(), parts.end());
  message.begun = readFeatures(reader, base::FeatureKind::kPromptPart);
  message.age = readTime(reader);
  if (parts.empty()) {
    message.begun.clear();
    message.age = {};
  }
  return message;
}

RequestSuspected readSuspected(base::Reader& reader) {
  RequestSuspected message;
  message.feature.value = reader.unsignedInteger();
  message.replicas = readReplicas(reader);
  message.announcedAt = readTime(reader);
  if (!continuesWithParts(reader)) return message;
  message.feature.kind = base::FeatureKind::kPromptPart;
  message.replicas = readReplicas(reader);
  for (const auto age : readValues(reader)) message.ages.push_back(durationOf(age));
  message.begun = readReplicas(reader);
  message.furtherParts = readFurtherParts(reader);
  return message;
}

RequestServed readServed(base::Reader& reader) {
  RequestServed message;
  message.feature.value = reader.unsignedInteger();
  if (!continuesWithParts(reader)) return message;
  message.feature.kind = base::FeatureKind::kPromptPart;
  message.furtherParts = readFurtherParts(reader);
  return message;
}

QuarantineEntry readEntry(base::Reader& reader) {
  QuarantineEntry entry;
  entry.feature.value = reader.unsignedInteger();
  entry.crashes = reader.unsignedInteger();
  entry.decidedAt = readTime(reader);
  entry.lifted = reader.boolean();
  if (!continuesWithParts(reader)) return entry;
  entry.feature.kind = base::FeatureKind::kPromptPart;
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
  if (type == kServedType && fields >= kServedFields) return readServed(reader);
  if (type == kEntryType && fields >= kEntryFields) return readEntry(reader);
  return std::nullopt;
}

}  // namespace

std::string encode(const CrashReport& message) {
  const auto requests = featuresOf(message.runs, base::FeatureKind::kRequest);
  const auto parts = featuresOf(message.runs, base::FeatureKind::kPromptPart);
  base::Writer writer;
  writer.array(kCrashReportFields + (parts.empty() ? 0 : kCrashReportPartFields))
      .unsignedInteger(kCrashReportType)
      .unsignedInteger(message.replica.value);
  write(writer, requests);
  if (parts.empty()) return writer.take();
  writer.unsignedInteger(kPromptParts);
  write(writer, parts);
  write(writer, message.begun);
  writer.unsignedInteger(milliseconds(message.age));
  return writer.take();
}

std::string encode(const RequestSuspected& message) {
  const bool part = isPart(message.feature);
  base::Writer writer;
  const bool further = part && !message.furtherParts.empty();
  writer
      .array(kSuspectedFields + (part ? kSuspectedPartFields : 0) +
             (further ? kFurtherPartsFields : 0))
      .unsignedInteger(kSuspectedType)
      .unsignedInteger(message.feature.value);
  write(writer, part ? std::vector<base::EngineId>{} : message.replicas);
  writer.unsignedInteger(milliseconds(message.announcedAt));
  if (!part) return writer.take();
  writer.unsignedInteger(kPromptParts);
  write(writer, message.replicas);
  const auto ages = std::min<std::size_t>(message.ages.size(), kMaximumIdentifiers);
  writer.array(static_cast<std::uint32_t>(ages));
  for (std::size_t index = 0; index < ages; ++index)
    writer.unsignedInteger(milliseconds(message.ages[index]));
  write(writer, message.begun);
  if (further) writeFurtherParts(writer, message.furtherParts);
  return writer.take();
}

std::string encode(const RequestServed& message) {
  const bool part = isPart(message.feature);
  base::Writer writer;
  const bool further = part && !message.furtherParts.empty();
  writer.array(kServedFields + (part ? kServedPartFields : 0) + (further ? kFurtherPartsFields : 0))
      .unsignedInteger(kServedType)
      .unsignedInteger(message.feature.value);
  if (part) writer.unsignedInteger(kPromptParts);
  if (further) writeFurtherParts(writer, message.furtherParts);
  return writer.take();
}

std::string encode(const QuarantineEntry& entry) {
  const bool part = isPart(entry.feature);
  base::Writer writer;
  writer.array(kEntryFields + (part ? kEntryPartFields : 0))
      .unsignedInteger(kEntryType)
      .unsignedInteger(entry.feature.value)
      .unsignedInteger(part ? 0 : entry.crashes)
      .unsignedInteger(part ? 0 : milliseconds(entry.decidedAt))
      .boolean(part || entry.lifted);
  if (!part) return writer.take();
  writer.unsignedInteger(kPromptParts)
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
