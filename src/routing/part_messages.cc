#include "routing/part_messages.h"

#include <utility>

#include "base/codec.h"

namespace covewing::routing {

namespace {

/// Type numbers on the wire; never reused. 1 was a question without a scope.
enum class MessageType : std::uint8_t { kAnswer = 2, kNotice = 3, kQuestion = 4 };

constexpr std::uint32_t kQuestionFields = 4;
constexpr std::uint32_t kAnswerFields = 3;
constexpr std::uint32_t kNoticeFields = 4;
constexpr std::uint32_t kHolderFields = 2;

void begin(base::Writer& writer, std::uint32_t fields, MessageType type) {
  writer.array(fields).unsignedInteger(static_cast<std::uint64_t>(type));
}

void write(base::Writer& writer, const PartHolder& holder) {
  writer.array(kHolderFields).unsignedInteger(holder.replica.value).unsignedInteger(holder.scope);
}

void write(base::Writer& writer, const PartQuery& question) {
  begin(writer, kQuestionFields, MessageType::kQuestion);
  writer.unsignedInteger(question.nonce).unsignedInteger(question.part);
  writer.unsignedInteger(question.scope);
}

void write(base::Writer& writer, const PartReply& answer) {
  begin(writer, kAnswerFields, MessageType::kAnswer);
  writer.unsignedInteger(answer.nonce);
  writer.array(static_cast<std::uint32_t>(answer.holders.size()));
  for (const PartHolder& holder : answer.holders) write(writer, holder);
}

void write(base::Writer& writer, const PartUpdate& notice) {
  begin(writer, kNoticeFields, MessageType::kNotice);
  writer.unsignedInteger(notice.part);
  write(writer, notice.holder);
  writer.boolean(notice.held);
}

PartHolder readHolder(base::Reader& reader) {
  PartHolder holder;
  reader.beginArray();
  holder.replica = base::EngineId{reader.unsignedInteger()};
  holder.scope = reader.unsignedInteger();
  reader.endArray();
  return holder;
}

PartQuery readQuestion(base::Reader& reader) {
  PartQuery question;
  question.nonce = reader.unsignedInteger();
  question.part = reader.unsignedInteger();
  question.scope = reader.unsignedInteger();
  return question;
}

PartReply readAnswer(base::Reader& reader) {
  PartReply answer;
  answer.nonce = reader.unsignedInteger();
  const auto count = reader.beginArray();
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index)
    answer.holders.push_back(readHolder(reader));
  reader.endArray();
  return answer;
}

PartUpdate readNotice(base::Reader& reader) {
  PartUpdate notice;
  notice.part = reader.unsignedInteger();
  notice.holder = readHolder(reader);
  notice.held = reader.boolean();
  return notice;
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
    case MessageType::kQuestion:
      message = readQuestion(reader);
      break;
    case MessageType::kAnswer:
      message = readAnswer(reader);
      break;
    case MessageType::kNotice:
      message = readNotice(reader);
      break;
  }
  return reader.ok() ? std::move(message) : std::nullopt;
}

}  // namespace covewing::routing
