#include "membership/membership_message.h"

#include "base/codec.h"

namespace covewing::membership {

namespace {

/// Type numbers on the wire; never reused.
enum class MessageType : std::uint8_t {
  kPing = 1,
  kAck = 2,
  kPingRequest = 3,
  kGossip = 4,
  kSyncRequest = 5,
  kSyncSummary = 6,
  kSyncItems = 7,
};

base::Writer& open(base::Writer& writer, MessageType type, std::uint32_t fields) {
  return writer.array(fields + 1).unsignedInteger(static_cast<std::uint64_t>(type));
}

template <std::size_t size>
std::string pack(const std::array<std::uint32_t, size>& digests) {
  PackedWriter writer;
  for (const std::uint32_t digest : digests) writer.fixed32(digest);
  return writer.take();
}

template <std::size_t size>
std::array<std::uint32_t, size> unpackDigests(std::string_view bytes) {
  std::array<std::uint32_t, size> digests{};
  PackedReader reader(bytes);
  for (std::uint32_t& digest : digests) digest = reader.fixed32();
  return digests;
}

std::string pack(const std::vector<MemberSummary>& members) {
  PackedWriter writer;
  for (const MemberSummary& member : members) {
    writer.fixed64(member.id.value);
    writer.variable(member.incarnation);
    writer.variable(member.sequence);
  }
  return writer.take();
}

std::vector<MemberSummary> unpackMembers(std::string_view bytes) {
  std::vector<MemberSummary> members;
  PackedReader reader(bytes);
  while (reader.more()) {
    MemberSummary member;
    member.id.value = reader.fixed64();
    member.incarnation = reader.variable();
    member.sequence = static_cast<std::uint32_t>(reader.variable());
    if (reader.ok()) members.push_back(member);
  }
  return members;
}

std::string pack(const std::vector<RecordSummary>& records) {
  PackedWriter writer;
  for (const RecordSummary& record : records) {
    writer.fixed64(record.keyHash);
    writer.variable(record.version);
  }
  return writer.take();
}

std::vector<RecordSummary> unpackRecords(std::string_view bytes) {
  std::vector<RecordSummary> records;
  PackedReader reader(bytes);
  while (reader.more()) {
    const RecordSummary record{reader.fixed64(), reader.variable()};
    if (reader.ok()) records.push_back(record);
  }
  return records;
}

std::string packWords(const std::vector<std::uint64_t>& words) {
  PackedWriter writer;
  for (const std::uint64_t word : words) writer.fixed64(word);
  return writer.take();
}

std::string packIds(const std::vector<base::NodeId>& ids) {
  PackedWriter writer;
  for (const base::NodeId id : ids) writer.fixed64(id.value);
  return writer.take();
}

std::vector<std::uint64_t> unpackWords(std::string_view bytes) {
  std::vector<std::uint64_t> words;
  PackedReader reader(bytes);
  while (reader.more()) {
    const std::uint64_t word = reader.fixed64();
    if (reader.ok()) words.push_back(word);
  }
  return words;
}

void write(base::Writer& writer, const Ping& message) {
  open(writer, MessageType::kPing, 4)
      .unsignedInteger(message.sequence)
      .unsignedInteger(message.target.value)
      .binary(message.updates.members)
      .binary(message.updates.records);
}

void write(base::Writer& writer, const Ack& message) {
  open(writer, MessageType::kAck, 3)
      .unsignedInteger(message.sequence)
      .binary(message.updates.members)
      .binary(message.updates.records);
}

void write(base::Writer& writer, const PingRequest& message) {
  open(writer, MessageType::kPingRequest, 2)
      .unsignedInteger(message.sequence)
      .unsignedInteger(message.target.value);
}

void write(base::Writer& writer, const Gossip& message) {
  open(writer, MessageType::kGossip, 2)
      .binary(message.updates.members)
      .binary(message.updates.records);
}

void write(base::Writer& writer, const SyncRequest& message) {
  open(writer, MessageType::kSyncRequest, 4)
      .boolean(message.joining)
      .binary(message.self)
      .binary(pack(message.members))
      .binary(pack(message.records));
}

void write(base::Writer& writer, const SyncSummary& message) {
  open(writer, MessageType::kSyncSummary, 5)
      .binary(message.self)
      .unsignedInteger(message.memberBuckets)
      .binary(pack(message.members))
      .unsignedInteger(message.recordBuckets)
      .binary(pack(message.records));
}

void write(base::Writer& writer, const SyncItems& message) {
  open(writer, MessageType::kSyncItems, 4)
      .binary(message.updates.members)
      .binary(message.updates.records)
      .binary(packIds(message.wantedMembers))
      .binary(packWords(message.wantedRecords));
}

UpdateBatch readUpdates(base::Reader& reader) {
  UpdateBatch updates;
  updates.members = reader.binary();
  updates.records = reader.binary();
  return updates;
}

Ping readPing(base::Reader& reader) {
  Ping message;
  message.sequence = reader.unsignedInteger();
  message.target.value = reader.unsignedInteger();
  message.updates = readUpdates(reader);
  return message;
}

Ack readAck(base::Reader& reader) {
  Ack message;
  message.sequence = reader.unsignedInteger();
  message.updates = readUpdates(reader);
  return message;
}

PingRequest readPingRequest(base::Reader& reader) {
  PingRequest message;
  message.sequence = reader.unsignedInteger();
  message.target.value = reader.unsignedInteger();
  return message;
}

SyncRequest readSyncRequest(base::Reader& reader) {
  SyncRequest message;
  message.joining = reader.boolean();
  message.self = reader.binary();
  message.members = unpackDigests<MemberTable::kBucketCount>(reader.binary());
  message.records = unpackDigests<RecordTable::kBucketCount>(reader.binary());
  return message;
}

SyncSummary readSyncSummary(base::Reader& reader) {
  SyncSummary message;
  message.self = reader.binary();
  message.memberBuckets = static_cast<std::uint32_t>(reader.unsignedInteger());
  message.members = unpackMembers(reader.binary());
  message.recordBuckets = static_cast<std::uint32_t>(reader.unsignedInteger());
  message.records = unpackRecords(reader.binary());
  return message;
}

SyncItems readSyncItems(base::Reader& reader) {
  SyncItems message;
  message.updates = readUpdates(reader);
  for (const std::uint64_t word : unpackWords(reader.binary()))
    message.wantedMembers.push_back(base::NodeId{word});
  message.wantedRecords = unpackWords(reader.binary());
  return message;
}

std::optional<MembershipMessage> readMessage(MessageType type, base::Reader& reader) {
  switch (type) {
    case MessageType::kPing:
      return readPing(reader);
    case MessageType::kAck:
      return readAck(reader);
    case MessageType::kPingRequest:
      return readPingRequest(reader);
    case MessageType::kGossip:
      return Gossip{readUpdates(reader)};
    case MessageType::kSyncRequest:
      return readSyncRequest(reader);
    case MessageType::kSyncSummary:
      return readSyncSummary(reader);
    case MessageType::kSyncItems:
      return readSyncItems(reader);
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string encode(const MembershipMessage& message) {
  base::Writer writer;
  std::visit([&writer](const auto& content) { write(writer, content); }, message);
  return writer.take();
}

std::optional<MembershipMessage> decodeMembershipMessage(std::string_view payload) {
  base::Reader reader(payload);
  reader.beginArray();
  const auto type = static_cast<MessageType>(reader.unsignedInteger());
  std::optional<MembershipMessage> message = readMessage(type, reader);
  return reader.ok() ? message : std::nullopt;
}

}  // namespace covewing::membership
