#include "config/feed_messages.h"

#include <utility>

#include "base/codec.h"

namespace covewing::config {

namespace {

/// Type numbers on the wire; never reused.
enum class MessageType : std::uint8_t { kQuestion = 1, kAnswer = 2 };

constexpr std::uint32_t kQuestionFields = 7;
constexpr std::uint32_t kAnswerFields = 10;
/// Fields of builds that did not tell eras, and of those that did not tell how old changes are.
constexpr std::uint32_t kQuestionFieldsWithoutEra = 6;
constexpr std::uint32_t kAnswerFieldsWithoutEra = 9;
constexpr std::uint32_t kAnswerFieldsWithoutAges = 8;
constexpr std::uint32_t kRowFields = 4;
/// Stands for a clock that is not known.
constexpr std::int64_t kNoServiceTime = -1;
/// Stands for a change of which nobody knows when it was made.
constexpr std::int64_t kUnknownAge = -1;

std::uint64_t typeNumber(MessageType type) { return static_cast<std::uint64_t>(type); }

void write(base::Writer& writer, const FeedQuestion& question) {
  writer.array(kQuestionFields).unsignedInteger(typeNumber(MessageType::kQuestion));
  writer.unsignedInteger(question.nonce).text(question.table).unsignedInteger(question.after);
  writer.signedInteger(question.wait.count()).boolean(question.whole);
  writer.unsignedInteger(question.era.value_or(0));
}

void write(base::Writer& writer, const clients::FeedRow& row) {
  writer.array(kRowFields).text(row.key).boolean(row.value.has_value());
  writer.binary(row.value.value_or(std::string{})).unsignedInteger(row.revision);
}

void write(base::Writer& writer, const FeedAnswer& answer) {
  writer.array(kAnswerFields).unsignedInteger(typeNumber(MessageType::kAnswer));
  writer.unsignedInteger(answer.nonce).boolean(answer.unable);
  writer.array(static_cast<std::uint32_t>(answer.rows.size()));
  for (const auto& row : answer.rows) write(writer, row);
  writer.unsignedInteger(answer.revision).signedInteger(answer.held.count());
  writer.signedInteger(answer.age.count());
  writer.signedInteger(answer.serviceTime ? answer.serviceTime->count() : kNoServiceTime);
  writer.array(static_cast<std::uint32_t>(answer.changedAgo.size()));
  for (const auto& ago : answer.changedAgo) writer.signedInteger(ago ? ago->count() : kUnknownAge);
  writer.unsignedInteger(answer.era);
}

/// Empty where the number is no era.
std::optional<base::StoreEra> readEra(base::Reader& reader) {
  const auto era = reader.unsignedInteger();
  if (era > base::kLargestStoreEra) return std::nullopt;
  return static_cast<base::StoreEra>(era);
}

FeedQuestion readQuestion(base::Reader& reader, std::uint32_t fields) {
  FeedQuestion question;
  question.nonce = reader.unsignedInteger();
  question.table = reader.text();
  question.after = reader.unsignedInteger();
  question.wait = base::Duration{reader.signedInteger()};
  question.whole = reader.boolean();
  if (fields > kQuestionFieldsWithoutEra) question.era = readEra(reader);
  return question;
}

clients::FeedRow readRow(base::Reader& reader) {
  clients::FeedRow row;
  reader.beginArray();
  row.key = reader.text();
  const bool present = reader.boolean();
  const auto value = reader.binary();
  if (present) row.value = std::string{value};
  row.revision = reader.unsignedInteger();
  reader.endArray();
  return row;
}

FeedAnswer readAnswer(base::Reader& reader, std::uint32_t fields) {
  FeedAnswer answer;
  answer.nonce = reader.unsignedInteger();
  answer.unable = reader.boolean();
  const auto count = reader.beginArray();
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index)
    answer.rows.push_back(readRow(reader));
  reader.endArray();
  answer.revision = reader.unsignedInteger();
  answer.held = base::Duration{reader.signedInteger()};
  answer.age = base::Duration{reader.signedInteger()};
  const auto serviceTime = reader.signedInteger();
  if (serviceTime != kNoServiceTime) answer.serviceTime = base::Duration{serviceTime};
  if (fields <= kAnswerFieldsWithoutAges) return answer;
  const auto ages = reader.beginArray();
  for (std::uint32_t index = 0; index < ages && reader.ok(); ++index) {
    const auto ago = reader.signedInteger();
    answer.changedAgo.push_back(ago < 0 ? std::nullopt : std::optional{base::Duration{ago}});
  }
  reader.endArray();
  if (fields > kAnswerFieldsWithoutEra) answer.era = readEra(reader).value_or(0);
  return answer;
}

}  // namespace

std::string encodeFeedMessage(const FeedMessage& message) {
  base::Writer writer;
  std::visit([&writer](const auto& typed) { write(writer, typed); }, message);
  return writer.take();
}

std::optional<FeedMessage> decodeFeedMessage(std::string_view payload) {
  base::Reader reader(payload);
  const auto fields = reader.beginArray();
  const auto type = reader.unsignedInteger();
  FeedMessage message;
  if (type == typeNumber(MessageType::kQuestion)) {
    message = readQuestion(reader, fields);
  } else if (type == typeNumber(MessageType::kAnswer)) {
    message = readAnswer(reader, fields);
  } else {
    return std::nullopt;
  }
  if (!reader.ok()) return std::nullopt;
  return message;
}

}  // namespace covewing::config
