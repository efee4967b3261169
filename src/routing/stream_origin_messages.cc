#include "routing/stream_origin_messages.h"

#include <algorithm>
#include <chrono>

#include "base/codec.h"

namespace covewing::routing {

namespace {

/// Type numbers on the wire; never reused.
enum class MessageType : std::uint8_t { kReport = 1, kQuery = 2, kReply = 3 };

constexpr std::uint32_t kReportFields = 6;
constexpr std::uint32_t kQueryFields = 4;
constexpr std::uint32_t kReplyFields = 7;
/// Longer times in a message are taken for this one.
constexpr std::uint64_t kMaximumMilliseconds = 86'400'000;

std::uint64_t milliseconds(base::Duration duration) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

base::Duration readDuration(base::Reader& reader) {
  const auto count = std::min(reader.unsignedInteger(), kMaximumMilliseconds);
  return std::chrono::milliseconds(static_cast<std::int64_t>(count));
}

StreamOrigin readOrigin(base::Reader& reader) {
  StreamOrigin origin;
  origin.service = reader.text();
  origin.softwareVersion = reader.text();
  origin.dispatch = static_cast<std::uint32_t>(reader.unsignedInteger());
  return origin;
}

void write(base::Writer& writer, const StreamReport& report) {
  writer.array(kReportFields).unsignedInteger(static_cast<std::uint64_t>(MessageType::kReport));
  writer.unsignedInteger(report.stream.value);
  writer.text(report.origin.service).text(report.origin.softwareVersion);
  writer.unsignedInteger(report.origin.dispatch);
  writer.unsignedInteger(milliseconds(report.keepFor));
}

void write(base::Writer& writer, const StreamQuery& query) {
  writer.array(kQueryFields).unsignedInteger(static_cast<std::uint64_t>(MessageType::kQuery));
  writer.unsignedInteger(query.nonce).unsignedInteger(query.stream.value).text(query.service);
}

/// An absent origin or version is written as an empty text; no version is empty.
void write(base::Writer& writer, const StreamReply& reply) {
  const auto origin = reply.origin.value_or(StreamOrigin{});
  const auto sole = reply.sole.value_or(SoleVersion{});
  writer.array(kReplyFields + (sole.replacedAgo ? 1 : 0))
      .unsignedInteger(static_cast<std::uint64_t>(MessageType::kReply));
  writer.unsignedInteger(reply.nonce);
  writer.text(origin.service).text(origin.softwareVersion).unsignedInteger(origin.dispatch);
  writer.text(sole.softwareVersion).unsignedInteger(milliseconds(sole.since));
  if (sole.replacedAgo) writer.unsignedInteger(milliseconds(*sole.replacedAgo));
}

StreamReport readReport(base::Reader& reader) {
  StreamReport report;
  report.stream.value = reader.unsignedInteger();
  report.origin = readOrigin(reader);
  report.keepFor = readDuration(reader);
  return report;
}

StreamQuery readQuery(base::Reader& reader) {
  StreamQuery query;
  query.nonce = reader.unsignedInteger();
  query.stream.value = reader.unsignedInteger();
  query.service = reader.text();
  return query;
}

StreamReply readReply(base::Reader& reader) {
  StreamReply reply;
  reply.nonce = reader.unsignedInteger();
  auto origin = readOrigin(reader);
  if (!origin.softwareVersion.empty()) reply.origin = std::move(origin);
  SoleVersion sole;
  sole.softwareVersion = reader.text();
  sole.since = readDuration(reader);
  if (reader.nextIsUnsignedInteger()) sole.replacedAgo = readDuration(reader);
  if (!sole.softwareVersion.empty()) reply.sole = std::move(sole);
  return reply;
}

}  // namespace

std::string encode(const StreamOriginMessage& message) {
  base::Writer writer;
  std::visit([&writer](const auto& one) { write(writer, one); }, message);
  return writer.take();
}

std::optional<StreamOriginMessage> decodeStreamOriginMessage(std::string_view bytes) {
  base::Reader reader(bytes);
  reader.beginArray();
  std::optional<StreamOriginMessage> message;
  switch (static_cast<MessageType>(reader.unsignedInteger())) {
    case MessageType::kReport:
      message = readReport(reader);
      break;
    case MessageType::kQuery:
      message = readQuery(reader);
      break;
    case MessageType::kReply:
      message = readReply(reader);
      break;
  }
  return reader.ok() ? std::move(message) : std::nullopt;
}

}  // namespace covewing::routing
