#include "request/claim_messages.h"

#include "base/codec.h"

namespace covewing::request {

namespace {

enum class MessageType : std::uint8_t { kAsk = 1, kAnswer = 2 };
constexpr std::uint32_t kAskFields = 5;
constexpr std::uint32_t kAnswerFields = 5;
constexpr std::size_t kLongestKey = 128;
constexpr std::size_t kLongestValue = 256;

std::string encode(const ClaimAsk& ask) {
  base::Writer writer;
  writer.array(kAskFields)
      .unsignedInteger(static_cast<std::uint64_t>(MessageType::kAsk))
      .unsignedInteger(ask.number)
      .text(ask.key)
      .text(ask.value)
      .unsignedInteger(static_cast<std::uint64_t>(ask.limit.count()));
  return writer.take();
}

std::string encode(const ClaimAnswer& answer) {
  base::Writer writer;
  writer.array(kAnswerFields)
      .unsignedInteger(static_cast<std::uint64_t>(MessageType::kAnswer))
      .unsignedInteger(answer.number)
      .unsignedInteger(static_cast<std::uint64_t>(answer.status))
      .unsignedInteger(answer.revision)
      .text(answer.detail);
  return writer.take();
}

std::optional<ClaimMessage> decodeAsk(base::Reader& reader) {
  ClaimAsk ask;
  ask.number = reader.unsignedInteger();
  ask.key = reader.text();
  ask.value = reader.text();
  ask.limit = base::Duration{static_cast<base::Duration::rep>(reader.unsignedInteger())};
  reader.endArray();
  const bool wellFormed = ask.key.starts_with(kClaimKeyPrefix) && ask.key.size() <= kLongestKey &&
                          ask.value.size() <= kLongestValue && ask.limit >= base::Duration::zero();
  if (!reader.ok() || !wellFormed) return std::nullopt;
  return ask;
}

std::optional<ClaimMessage> decodeAnswer(base::Reader& reader) {
  ClaimAnswer answer;
  answer.number = reader.unsignedInteger();
  const std::uint64_t status = reader.unsignedInteger();
  answer.revision = reader.unsignedInteger();
  answer.detail = reader.text();
  reader.endArray();
  if (!reader.ok() || status > static_cast<std::uint64_t>(ClaimStatus::kUnavailable)) {
    return std::nullopt;
  }
  answer.status = static_cast<ClaimStatus>(status);
  return answer;
}

}  // namespace

std::string encodeClaimMessage(const ClaimMessage& message) {
  return std::visit([](const auto& typed) { return encode(typed); }, message);
}

std::optional<ClaimMessage> decodeClaimMessage(std::string_view payload) {
  base::Reader reader(payload);
  reader.beginArray();
  const std::uint64_t type = reader.unsignedInteger();
  if (type == static_cast<std::uint64_t>(MessageType::kAsk)) return decodeAsk(reader);
  if (type == static_cast<std::uint64_t>(MessageType::kAnswer)) return decodeAnswer(reader);
  return std::nullopt;
}

}  // namespace covewing::request
