#include "engine_routing/cache_messages.h"

#include "base/codec.h"

namespace covewing::engine_routing {

namespace {

enum class MessageType : std::uint8_t { kLookupRequest = 1, kLookupReply = 2, kDispatchNotice = 3 };

constexpr std::uint32_t kRequestFields = 7;
constexpr std::uint32_t kReplyFields = 5;
constexpr std::uint32_t kNoticeFields = 5;
constexpr std::uint32_t kEntryFields = 6;
constexpr std::size_t kMaximumEngines = 64;
constexpr std::uint64_t kKnownFlag = 1;
constexpr std::uint64_t kDoubtfulFlag = 2;
constexpr unsigned kByteBits = 8;

std::string packWords(const std::vector<std::uint32_t>& words) {
  std::string bytes;
  bytes.reserve(words.size() * sizeof(std::uint32_t));
  for (const auto word : words) {
    for (unsigned byte = 0; byte < sizeof(std::uint32_t); ++byte) {
      bytes += static_cast<char>(word >> (byte * kByteBits));
    }
  }
  return bytes;
}

/// Returns an empty vector if the size of `bytes` is not a multiple of the word size.
std::vector<std::uint32_t> unpackWords(std::string_view bytes) {
  if (bytes.size() % sizeof(std::uint32_t) != 0) return {};
  std::vector<std::uint32_t> words(bytes.size() / sizeof(std::uint32_t));
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    const std::uint32_t byte = static_cast<unsigned char>(bytes[index]);
    words[index / sizeof(std::uint32_t)] |= byte << (index % sizeof(std::uint32_t) * kByteBits);
  }
  return words;
}

base::Writer& begin(base::Writer& writer, std::uint32_t fields, MessageType type) {
  return writer.array(fields).unsignedInteger(static_cast<std::uint64_t>(type));
}

std::uint32_t readWord(base::Reader& reader) {
  return static_cast<std::uint32_t>(reader.unsignedInteger());
}

bool readPriority(base::Reader& reader, base::PriorityClass& priority) {
  const std::uint64_t number = reader.unsignedInteger();
  if (number >= base::kPriorityClassCount) return false;
  priority = static_cast<base::PriorityClass>(number);
  return true;
}

std::optional<CacheMessage> readRequest(base::Reader& reader) {
  LookupRequest request;
  request.lookupId = reader.unsignedInteger();
  if (!readPriority(reader, request.priority)) return std::nullopt;
  request.engines = unpackWords(reader.binary());
  auto& checkpoints = request.checkpoints;
  checkpoints.spacing = readWord(reader);
  checkpoints.chainLength = readWord(reader);
  checkpoints.fingerprints = unpackWords(reader.binary());
  if (!reader.ok() || checkpoints.spacing == 0) return std::nullopt;
  if (request.engines.size() > kMaximumEngines) return std::nullopt;
  const auto expected =
      prefix::Checkpoints::expectedCount(checkpoints.chainLength, checkpoints.spacing);
  if (checkpoints.fingerprints.size() != expected || expected > prefix::kMaximumCheckpoints)
    return std::nullopt;
  return request;
}

LookupEntry readEntry(base::Reader& reader) {
  LookupEntry entry;
  entry.engine = readWord(reader);
  const std::uint64_t flags = reader.unsignedInteger();
  entry.known = (flags & kKnownFlag) != 0;
  entry.doubtful = (flags & kDoubtfulFlag) != 0;
  entry.matchedBlocks = readWord(reader);
  entry.tokensAhead = readWord(reader);
  entry.requests = readWord(reader);
  entry.incarnation = reader.unsignedInteger();
  return entry;
}

std::optional<CacheMessage> readReply(base::Reader& reader) {
  LookupReply reply;
  reply.lookupId = reader.unsignedInteger();
  reply.recentlyRequestedBlocks = readWord(reader);
  reply.exportedBlocks = readWord(reader);
  const std::uint32_t fields = reader.beginArray();
  for (std::uint32_t read = 0; read < fields && reader.ok(); read += kEntryFields) {
    reply.entries.push_back(readEntry(reader));
  }
  if (!reader.ok() || reply.entries.size() > kMaximumEngines) return std::nullopt;
  return reply;
}

std::optional<CacheMessage> readNotice(base::Reader& reader) {
  DispatchNotice notice;
  notice.lookupId = reader.unsignedInteger();
  notice.engine = readWord(reader);
  if (!readPriority(reader, notice.priority)) return std::nullopt;
  notice.uncachedTokens = readWord(reader);
  if (!reader.ok()) return std::nullopt;
  return notice;
}

}  // namespace

std::string encode(const LookupRequest& request) {
  base::Writer writer;
  begin(writer, kRequestFields, MessageType::kLookupRequest).unsignedInteger(request.lookupId);
  writer.unsignedInteger(static_cast<std::uint64_t>(request.priority));
  writer.binary(packWords(request.engines));
  writer.unsignedInteger(request.checkpoints.spacing);
  writer.unsignedInteger(request.checkpoints.chainLength);
  writer.binary(packWords(request.checkpoints.fingerprints));
  return writer.take();
}

std::string encode(const LookupReply& reply) {
  base::Writer writer;
  begin(writer, kReplyFields, MessageType::kLookupReply).unsignedInteger(reply.lookupId);
  writer.unsignedInteger(reply.recentlyRequestedBlocks).unsignedInteger(reply.exportedBlocks);
  writer.array(static_cast<std::uint32_t>(reply.entries.size()) * kEntryFields);
  for (const auto& entry : reply.entries) {
    const std::uint64_t flags =
        (entry.known ? kKnownFlag : 0) | (entry.doubtful ? kDoubtfulFlag : 0);
    writer.unsignedInteger(entry.engine).unsignedInteger(flags);
    writer.unsignedInteger(entry.matchedBlocks).unsignedInteger(entry.tokensAhead);
    writer.unsignedInteger(entry.requests).unsignedInteger(entry.incarnation);
  }
  return writer.take();
}

std::string encode(const DispatchNotice& notice) {
  base::Writer writer;
  begin(writer, kNoticeFields, MessageType::kDispatchNotice).unsignedInteger(notice.lookupId);
  writer.unsignedInteger(notice.engine);
  writer.unsignedInteger(static_cast<std::uint64_t>(notice.priority));
  writer.unsignedInteger(notice.uncachedTokens);
  return writer.take();
}

std::optional<CacheMessage> decodeCacheMessage(std::string_view bytes) {
  base::Reader reader(bytes);
  reader.beginArray();
  switch (static_cast<MessageType>(reader.unsignedInteger())) {
    case MessageType::kLookupRequest:
      return readRequest(reader);
    case MessageType::kLookupReply:
      return readReply(reader);
    case MessageType::kDispatchNotice:
      return readNotice(reader);
  }
  return std::nullopt;
}

}  // namespace covewing::engine_routing
