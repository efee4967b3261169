#include "routing/part_messages.h"

#include <utility>

#include "base/codec.h"

namespace covewing::routing {

namespace {

/// Type numbers on the wire; never reused. 1 was a query without a scope.
enum class MessageType : std::uint8_t { kReply = 2, kUpdate = 3, kQuery = 4 };

constexpr std::uint32_t kQueryFields = 4;
constexpr std::uint32_t kReplyFields = 3;
constexpr std::uint32_t kUpdateFields = 4;
constexpr std::uint32_t kHolderFields = 2;

void begin(base::Writer& writer, std::uint32_t fields, MessageType type) {
  writer.array(fields).unsignedInteger(static_cast<std::uint64_t>(type));
}

void write(base::Writer& writer, const PartHolder& holder) {
  writer.array(kHolderFields).unsignedInteger(holder.replica.value).unsignedInteger(holder.scope);
}

void write(base::Writer& writer, const PartQuery& query) {
  begin(writer, kQueryFields, MessageType::kQuery);
  writer.unsignedInteger(query.nonce).unsignedInteger(query.part);
  writer.unsignedInteger(query.scope);
}

void write(base::Writer& writer, const PartReply& reply) {
  begin(writer, kReplyFields, MessageType::kReply);
  writer.unsignedInteger(reply.nonce);
  writer.array(static_cast<std::uint32_t>(reply.holders.size()));
  for (const PartHolder& holder : reply.holders) write(writer, holder);
}

void write(base::Writer& writer, const PartUpdate& update) {
  begin(writer, kUpdateFields, MessageType::kUpdate);
  writer.unsignedInteger(update.part);
  write(writer, update.holder);
  writer.boolean(update.held);
}

PartHolder readHolder(base::Reader& reader) {
  PartHolder holder;
  reader.beginArray();
  holder.replica = base::EngineId{reader.unsignedInteger()};
  holder.scope = reader.unsignedInteger();
  reader.endArray();
  return holder;
}

PartQuery readQuery(base::Reader& reader) {
  PartQuery query;
  query.nonce = reader.unsignedInteger();
  query.part = reader.unsignedInteger();
  query.scope = reader.unsignedInteger();
  return query;
}

PartReply readReply(base::Reader& reader) {
  PartReply reply;
  reply.nonce = reader.unsignedInteger();
  const auto count = reader.beginArray();
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index)
    reply.holders.push_back(readHolder(reader));
  reader.endArray();
  return reply;
}

PartUpdate readUpdate(base::Reader& reader) {
  PartUpdate update;
  update.part = reader.unsignedInteger();
  update.holder = readHolder(reader);
  update.held = reader.boolean();
  return update;
}

}  // namespace

std::string encode(const PartMessage& message) {
  base::Writer writer;
  std::visit([&writer](const auto& one) { write(writer, one); }, message);
  return writer.take();
}

std::optional<PartMessage> decodePartMessage(std::string_view bytes) {
  base::Reader reader(bytes);
  reader.beginArray();
  std::optional<PartMessage> message;
  switch (static_cast<MessageType>(reader.unsignedInteger())) {
    case MessageType::kQuery:
      message = readQuery(reader);
      break;
    case MessageType::kReply:
      message = readReply(reader);
      break;
    case MessageType::kUpdate:
      message = readUpdate(reader);
      break;
  }
  return reader.ok() ? std::move(message) : std::nullopt;
}

}  // namespace covewing::routing
