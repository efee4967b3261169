#include "request/claim_messages.h"

#include "base/codec.h"

namespace covewing::request {

namespace {

enum class MessageType : std::uint8_t { kRequest = 1, kReply = 2 };
constexpr std::uint32_t kRequestFields = 5;
constexpr std::uint32_t kReplyFields = 5;
constexpr std::size_t kMaximumKeyBytes = 128;
constexpr std::size_t kMaximumValueBytes = 256;

std::string encode(const ClaimRequest& request) {
  base::Writer writer;
  writer.array(kRequestFields)
      .unsignedInteger(static_cast<std::uint64_t>(MessageType::kRequest))
      .unsignedInteger(request.number)
      .text(request.key)
      .text(request.value)
      .unsignedInteger(static_cast<std::uint64_t>(request.limit.count()));
  return writer.take();
}

std::string encode(const ClaimReply& reply) {
  base::Writer writer;
  writer.array(kReplyFields)
      .unsignedInteger(static_cast<std::uint64_t>(MessageType::kReply))
      .unsignedInteger(reply.number)
      .unsignedInteger(static_cast<std::uint64_t>(reply.status))
      .unsignedInteger(reply.revision)
      .text(reply.detail);
  return writer.take();
}

std::optional<ClaimMessage> decodeRequest(base::Reader& reader) {
  ClaimRequest request;
  request.number = reader.unsignedInteger();
  request.key = reader.text();
  request.value = reader.text();
  request.limit = base::Duration{static_cast<base::Duration::rep>(reader.unsignedInteger())};
  reader.endArray();
  const bool wellFormed =
      request.key.starts_with(kClaimKeyPrefix) && request.key.size() <= kMaximumKeyBytes &&
      request.value.size() <= kMaximumValueBytes && request.limit >= base::Duration::zero();
  if (!reader.ok() || !wellFormed) return std::nullopt;
  return request;
}

std::optional<ClaimMessage> decodeReply(base::Reader& reader) {
  ClaimReply reply;
  reply.number = reader.unsignedInteger();
  const std::uint64_t status = reader.unsignedInteger();
  reply.revision = reader.unsignedInteger();
  reply.detail = reader.text();
  reader.endArray();
  if (!reader.ok() || status > static_cast<std::uint64_t>(ClaimStatus::kUnavailable)) {
    return std::nullopt;
  }
  reply.status = static_cast<ClaimStatus>(status);
  return reply;
}

}  // namespace

std::string encodeClaimMessage(const ClaimMessage& message) {
  return std::visit([](const auto& typed) { return encode(typed); }, message);
}

std::optional<ClaimMessage> decodeClaimMessage(std::string_view payload) {
  base::Reader reader(payload);
  reader.beginArray();
  const std::uint64_t type = reader.unsignedInteger();
  if (type == static_cast<std::uint64_t>(MessageType::kRequest)) return decodeRequest(reader);
  if (type == static_cast<std::uint64_t>(MessageType::kReply)) return decodeReply(reader);
  return std::nullopt;
}

}  // namespace covewing::request
