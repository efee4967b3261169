#include "config/configuration_message.h"

#include "base/codec.h"
#include "membership/packed_bytes.h"

namespace covewing::config {

namespace {

using membership::PackedReader;
using membership::PackedWriter;

/// Type numbers on the wire; never reused.
enum class MessageType : std::uint8_t {
  kRowPush = 1,
  kPageRequest = 2,
  kPageReply = 3,
  kDigestProbe = 4,
  kBucketDigests = 5,
  kBucketRows = 6,
  kRowsWanted = 7,
};

/// Bits of a page reply's flags.
constexpr std::uint64_t kBusyBit = 1;
constexpr std::uint64_t kLastBit = 2;
constexpr std::uint64_t kLoadedBit = 4;
constexpr std::uint64_t kConfirmedBit = 8;

base::Writer& open(base::Writer& writer, MessageType type, std::uint32_t fields) {
  return writer.array(fields + 1).unsignedInteger(static_cast<std::uint64_t>(type));
}

std::string packSummaries(const std::vector<RowSummary>& rows) {
  PackedWriter writer;
  for (const RowSummary& row : rows) {
    writer.fixed64(row.nameHash);
    writer.variable(row.revision);
  }
  return writer.take();
}

std::vector<RowSummary> unpackSummaries(std::string_view bytes) {
  std::vector<RowSummary> rows;
  PackedReader reader(bytes);
  while (reader.more()) {
    const RowSummary row{reader.fixed64(), reader.variable()};
    if (reader.ok()) rows.push_back(row);
  }
  return rows;
}

std::uint64_t flagsOf(const PageReply& message) {
  return (message.busy ? kBusyBit : 0) | (message.last ? kLastBit : 0) |
         (message.loaded ? kLoadedBit : 0) | (message.confirmedAge ? kConfirmedBit : 0);
}

void write(base::Writer& writer, const RowPush& message) {
  open(writer, MessageType::kRowPush, 2).boolean(message.repair).binary(packRows(message.rows));
}

void write(base::Writer& writer, const PageRequest& message) {
  open(writer, MessageType::kPageRequest, 2)
      .unsignedInteger(message.nonce)
      .unsignedInteger(message.after);
}

void write(base::Writer& writer, const PageReply& message) {
  const base::Duration age = message.confirmedAge.value_or(base::Duration{0});
  open(writer, MessageType::kPageReply, 5)
      .unsignedInteger(message.nonce)
      .unsignedInteger(flagsOf(message))
      .unsignedInteger(message.completeUpTo)
      .unsignedInteger(static_cast<std::uint64_t>(age.count()))
      .binary(packRows(message.rows));
}

void write(base::Writer& writer, const DigestProbe& message) {
  open(writer, MessageType::kDigestProbe, 1).unsignedInteger(message.digest);
}

void write(base::Writer& writer, const BucketDigestList& message) {
  PackedWriter digests;
  for (const std::uint64_t digest : message.digests) digests.fixed64(digest);
  open(writer, MessageType::kBucketDigests, 1).binary(digests.bytes());
}

void write(base::Writer& writer, const BucketRows& message) {
  open(writer, MessageType::kBucketRows, 2)
      .unsignedInteger(message.buckets)
      .binary(packSummaries(message.rows));
}

void write(base::Writer& writer, const RowsWanted& message) {
  open(writer, MessageType::kRowsWanted, 1).binary(packSummaries(message.rows));
}

std::optional<RowPush> readRowPush(base::Reader& reader) {
  RowPush message;
  message.repair = reader.boolean();
  auto rows = unpackRows(reader.binary());
  if (!rows) return std::nullopt;
  message.rows = std::move(*rows);
  return message;
}

PageRequest readPageRequest(base::Reader& reader) {
  PageRequest message;
  message.nonce = reader.unsignedInteger();
  message.after = reader.unsignedInteger();
  return message;
}

std::optional<PageReply> readPageReply(base::Reader& reader) {
  PageReply message;
  message.nonce = reader.unsignedInteger();
  const std::uint64_t flags = reader.unsignedInteger();
  message.busy = (flags & kBusyBit) != 0;
  message.last = (flags & kLastBit) != 0;
  message.loaded = (flags & kLoadedBit) != 0;
  message.completeUpTo = reader.unsignedInteger();
  const base::Duration age{static_cast<base::Duration::rep>(reader.unsignedInteger())};
  if (age.count() < 0) return std::nullopt;
  if ((flags & kConfirmedBit) != 0) message.confirmedAge = age;
  auto rows = unpackRows(reader.binary());
  if (!rows) return std::nullopt;
  message.rows = std::move(*rows);
  return message;
}

std::optional<BucketDigestList> readBucketDigests(base::Reader& reader) {
  BucketDigestList message;
  PackedReader digests(reader.binary());
  for (std::uint64_t& digest : message.digests) digest = digests.fixed64();
  return digests.ok() ? std::optional(message) : std::nullopt;
}

BucketRows readBucketRows(base::Reader& reader) {
  BucketRows message;
  message.buckets = reader.unsignedInteger();
  message.rows = unpackSummaries(reader.binary());
  return message;
}

std::optional<ConfigurationMessage> readMessage(MessageType type, base::Reader& reader) {
  switch (type) {
    case MessageType::kRowPush:
      return readRowPush(reader);
    case MessageType::kPageRequest:
      return readPageRequest(reader);
    case MessageType::kPageReply:
      return readPageReply(reader);
    case MessageType::kDigestProbe:
      return DigestProbe{reader.unsignedInteger()};
    case MessageType::kBucketDigests:
      return readBucketDigests(reader);
    case MessageType::kBucketRows:
      return readBucketRows(reader);
    case MessageType::kRowsWanted:
      return RowsWanted{unpackSummaries(reader.binary())};
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string packRows(const std::vector<clients::TableRow>& rows) {
  PackedWriter writer;
  for (const clients::TableRow& row : rows) {
    writer.text(std::string_view(row.key).substr(kTemplatePrefix.size()));
    writer.variable(row.revision);
    writer.text(row.value);
  }
  return writer.take();
}

std::optional<std::vector<clients::TableRow>> unpackRows(std::string_view bytes) {
  std::vector<clients::TableRow> rows;
  PackedReader reader(bytes);
  while (reader.more()) {
    clients::TableRow row;
    row.key = templateRowKey(reader.text());
    row.revision = reader.variable();
    row.value = reader.text();
    rows.push_back(std::move(row));
  }
  if (!reader.ok()) return std::nullopt;
  return rows;
}

std::string encode(const ConfigurationMessage& message) {
  base::Writer writer;
  std::visit([&writer](const auto& content) { write(writer, content); }, message);
  return writer.take();
}

std::optional<ConfigurationMessage> decodeConfigurationMessage(std::string_view payload) {
  base::Reader reader(payload);
  reader.beginArray();
  const auto type = static_cast<MessageType>(reader.unsignedInteger());
  std::optional<ConfigurationMessage> message = readMessage(type, reader);
  return reader.ok() ? message : std::nullopt;
}

}  // namespace covewing::config
