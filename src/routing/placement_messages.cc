#include "routing/placement_messages.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/codec.h"

namespace covewing::routing {

namespace {

/// Type numbers on the wire; never reused. 1, 2 and 5 were queries, replies and end messages before
/// requests could be queued.
enum class MessageType : std::uint8_t {
  kUngrantedDispatch = 3,
  kStarted = 4,
  kQuery = 6,
  kReply = 7,
  kEnded = 8,
};

constexpr std::uint32_t kQueryFields = 23;
constexpr std::uint32_t kReplyFields = 18;
constexpr std::uint32_t kUngrantedDispatchFields = 9;
constexpr std::uint32_t kStartedFields = 6;
constexpr std::uint32_t kEndedFields = 12;
constexpr std::uint32_t kPartFields = 2;
/// Prompts have only a few shared parts; a message with more than this is invalid.
constexpr std::uint32_t kMaximumParts = 64;

base::Writer& begin(base::Writer& writer, std::uint32_t fields, MessageType type) {
  return writer.array(fields).unsignedInteger(static_cast<std::uint64_t>(type));
}

void write(base::Writer& writer, const PlacementDemand& work) {
  writer.unsignedInteger(work.tokens).unsignedInteger(work.prefillTokens);
  writer.unsignedInteger(work.slots).unsignedInteger(work.memory);
}

void write(base::Writer& writer, const PlacementTerms& terms) {
  writer.boolean(terms.mayQueue).unsignedInteger(terms.urgency).unsignedInteger(terms.tenant);
  writer.signedInteger(terms.age.count()).signedInteger(terms.softStartWithin.count());
  writer.signedInteger(terms.hardStartWithin.count()).signedInteger(terms.maximumPause.count());
  writer.unsignedInteger(terms.outputTokens);
}

/// Encoding of a rate limit notice: from kLimitOfZero on, the number is the limit in thousandths of
/// a request per second.
constexpr std::uint64_t kNothingReported = 0;
constexpr std::uint64_t kUnlimited = 1;
constexpr std::uint64_t kLimitOfZero = 2;
constexpr double kThousandths = 1000;

void write(base::Writer& writer, const clients::RateLimitNotice& notice) {
  switch (notice.kind) {
    case clients::RateLimitNotice::Kind::kNothing:
      writer.unsignedInteger(kNothingReported);
      return;
    case clients::RateLimitNotice::Kind::kUnlimited:
      writer.unsignedInteger(kUnlimited);
      return;
    case clients::RateLimitNotice::Kind::kLimited:
      writer.unsignedInteger(
          kLimitOfZero + static_cast<std::uint64_t>(std::llround(notice.perSecond * kThousandths)));
      return;
  }
}

void write(base::Writer& writer, const KnownRateLimit& known) {
  write(writer, known.notice);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(known.age).count();
  writer.unsignedInteger(static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)));
}

void write(base::Writer& writer, const PlacementQuery& query) {
  begin(writer, kQueryFields, MessageType::kQuery).unsignedInteger(query.id);
  writer.unsignedInteger(query.replica.value).text(query.model);
  writer.unsignedInteger(query.scope);
  writer.array(static_cast<std::uint32_t>(query.parts.size()));
  for (const auto& part : query.parts)
    writer.array(kPartFields).unsignedInteger(part.id).unsignedInteger(part.tokens);
  writer.unsignedInteger(query.promptTokens);
  write(writer, query.work);
  writer.signedInteger(query.acceptableWait.count());
  write(writer, query.terms);
  writer.signedInteger(query.maximumQueueWait.count());
  write(writer, query.rateLimit);
}

void write(base::Writer& writer, const PlacementReply& reply) {
  begin(writer, kReplyFields, MessageType::kReply).unsignedInteger(reply.id);
  writer.unsignedInteger(reply.replica.value);
  writer.unsignedInteger(static_cast<std::uint64_t>(reply.verdict)).boolean(reply.usable);
  writer.signedInteger(reply.wait.count());
  writer.unsignedInteger(reply.version).unsignedInteger(reply.matchedTokens);
  writer.unsignedInteger(reply.queued).signedInteger(reply.nextUpdateWithin.count());
  writer.signedInteger(reply.retryAfter.count());
  writer.boolean(reply.meetsPauseBounds).signedInteger(reply.pauseExcess.count());
  writer.unsignedInteger(reply.speedPercent).boolean(reply.leaving);
  write(writer, reply.rateLimit);
  writer.boolean(reply.paced);
}

void write(base::Writer& writer, const UngrantedDispatch& dispatch) {
  begin(writer, kUngrantedDispatchFields, MessageType::kUngrantedDispatch)
      .unsignedInteger(dispatch.id);
  writer.unsignedInteger(dispatch.replica.value);
  write(writer, dispatch.work);
  writer.signedInteger(dispatch.maximumPause.count()).boolean(dispatch.controlCall);
}

void write(base::Writer& writer, const PlacementStarted& started) {
  begin(writer, kStartedFields, MessageType::kStarted).unsignedInteger(started.id);
  writer.unsignedInteger(started.replica.value).boolean(started.leaving);
  write(writer, started.rateLimit);
  write(writer, started.refusalLimit);
}

void write(base::Writer& writer, const PlacementEnded& ended) {
  begin(writer, kEndedFields, MessageType::kEnded).unsignedInteger(ended.id);
  writer.unsignedInteger(ended.replica.value);
  writer.unsignedInteger(static_cast<std::uint64_t>(ended.outcome));
  writer.unsignedInteger(ended.observed.pauses);
  writer.signedInteger(ended.observed.streamed.count());
  writer.signedInteger(ended.observed.longestPause.count());
  writer.signedInteger(ended.observed.nodeLateness.count()).boolean(ended.leaving);
  write(writer, ended.rateLimit);
  writer.boolean(ended.notSent);
  write(writer, ended.refusalLimit);
}

/// Reads a flag that earlier builds do not send; false if it is absent.
bool readFlag(base::Reader& reader) { return reader.more() && reader.boolean(); }

clients::RateLimitNotice readNotice(base::Reader& reader) {
  const auto encoded = reader.more() ? reader.unsignedInteger() : kNothingReported;
  if (encoded == kNothingReported) return {};
  if (encoded == kUnlimited) return clients::RateLimitNotice::unlimited();
  return clients::RateLimitNotice::of(static_cast<double>(encoded - kLimitOfZero) / kThousandths);
}

KnownRateLimit readKnownLimit(base::Reader& reader) {
  /// One hour in milliseconds; greater ages are reduced to it.
  constexpr std::uint64_t kMaximumAge = 3'600'000;
  KnownRateLimit known;
  known.notice = readNotice(reader);
  const auto age = reader.more() ? reader.unsignedInteger() : kMaximumAge;
  known.age = std::chrono::milliseconds(std::min(age, kMaximumAge));
  return known;
}

std::uint32_t readCount(base::Reader& reader) {
  return static_cast<std::uint32_t>(reader.unsignedInteger());
}

base::EngineId readReplica(base::Reader& reader) {
  return base::EngineId{reader.unsignedInteger()};
}

PlacementDemand readWork(base::Reader& reader) {
  PlacementDemand work;
  work.tokens = readCount(reader);
  work.prefillTokens = readCount(reader);
  work.slots = readCount(reader);
  work.memory = readCount(reader);
  return work;
}

PlacementTerms readTerms(base::Reader& reader) {
  PlacementTerms terms;
  terms.mayQueue = reader.boolean();
  terms.urgency = readCount(reader);
  terms.tenant = reader.unsignedInteger();
  terms.age = base::Duration{reader.signedInteger()};
  terms.softStartWithin = base::Duration{reader.signedInteger()};
  terms.hardStartWithin = base::Duration{reader.signedInteger()};
  terms.maximumPause = base::Duration{reader.signedInteger()};
  terms.outputTokens = readCount(reader);
  return terms;
}

/// Reads a value of an enumeration whose greatest value is `last`; empty if the number is not one
/// of its values.
template <class Value>
std::optional<Value> readEnumeration(base::Reader& reader, Value last) {
  const auto number = reader.unsignedInteger();
  if (number < 1 || number > static_cast<std::uint64_t>(last)) return std::nullopt;
  return static_cast<Value>(number);
}

std::optional<PlacementMessage> readQuery(base::Reader& reader) {
  PlacementQuery query;
  query.id = reader.unsignedInteger();
  query.replica = readReplica(reader);
  query.model = reader.text();
  query.scope = reader.unsignedInteger();
  const auto count = reader.beginArray();
  if (count > kMaximumParts) return std::nullopt;
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index) {
    reader.beginArray();
    prefix::PromptPart part;
    part.id = reader.unsignedInteger();
    part.tokens = readCount(reader);
    query.parts.push_back(part);
    reader.endArray();
  }
  reader.endArray();
  query.promptTokens = readCount(reader);
  query.work = readWork(reader);
  query.acceptableWait = base::Duration{reader.signedInteger()};
  query.terms = readTerms(reader);
  query.maximumQueueWait = base::Duration{reader.signedInteger()};
  query.rateLimit = readKnownLimit(reader);
  return query;
}

std::optional<PlacementMessage> readReply(base::Reader& reader) {
  PlacementReply reply;
  reply.id = reader.unsignedInteger();
  reply.replica = readReplica(reader);
  const auto verdict = readEnumeration(reader, PlacementVerdict::kRefused);
  if (!verdict) return std::nullopt;
  reply.verdict = *verdict;
  reply.usable = reader.boolean();
  reply.wait = base::Duration{reader.signedInteger()};
  reply.version = reader.unsignedInteger();
  reply.matchedTokens = readCount(reader);
  reply.queued = readCount(reader);
  reply.nextUpdateWithin = base::Duration{reader.signedInteger()};
  reply.retryAfter = base::Duration{reader.signedInteger()};
  reply.meetsPauseBounds = reader.boolean();
  reply.pauseExcess = base::Duration{reader.signedInteger()};
  reply.speedPercent = readCount(reader);
  reply.leaving = readFlag(reader);
  reply.rateLimit = readKnownLimit(reader);
  reply.paced = readFlag(reader);
  return reply;
}

std::optional<PlacementMessage> readUngrantedDispatch(base::Reader& reader) {
  UngrantedDispatch dispatch;
  dispatch.id = reader.unsignedInteger();
  dispatch.replica = readReplica(reader);
  dispatch.work = readWork(reader);
  dispatch.maximumPause = base::Duration{reader.signedInteger()};
  dispatch.controlCall = readFlag(reader);
  return dispatch;
}

std::optional<PlacementMessage> readStarted(base::Reader& reader) {
  PlacementStarted started;
  started.id = reader.unsignedInteger();
  started.replica = readReplica(reader);
  started.leaving = readFlag(reader);
  started.rateLimit = readNotice(reader);
  started.refusalLimit = readNotice(reader);
  return started;
}

std::optional<PlacementMessage> readEnded(base::Reader& reader) {
  PlacementEnded ended;
  ended.id = reader.unsignedInteger();
  ended.replica = readReplica(reader);
  const auto outcome = readEnumeration(reader, PlacementOutcome::kWithdrawn);
  if (!outcome) return std::nullopt;
  ended.outcome = *outcome;
  ended.observed.pauses = readCount(reader);
  ended.observed.streamed = base::Duration{reader.signedInteger()};
  ended.observed.longestPause = base::Duration{reader.signedInteger()};
  ended.observed.nodeLateness = base::Duration{reader.signedInteger()};
  ended.leaving = readFlag(reader);
  ended.rateLimit = readNotice(reader);
  ended.notSent = readFlag(reader);
  ended.refusalLimit = readNotice(reader);
  return ended;
}

std::optional<PlacementMessage> readMessage(base::Reader& reader) {
  switch (static_cast<MessageType>(reader.unsignedInteger())) {
    case MessageType::kQuery:
      return readQuery(reader);
    case MessageType::kReply:
      return readReply(reader);
    case MessageType::kUngrantedDispatch:
      return readUngrantedDispatch(reader);
    case MessageType::kStarted:
      return readStarted(reader);
    case MessageType::kEnded:
      return readEnded(reader);
  }
  return std::nullopt;
}

}  // namespace

std::string encode(const PlacementMessage& message) {
  base::Writer writer;
  std::visit([&writer](const auto& one) { write(writer, one); }, message);
  return writer.take();
}

std::optional<PlacementMessage> decodePlacementMessage(std::string_view bytes) {
  base::Reader reader(bytes);
  reader.beginArray();
  auto message = readMessage(reader);
  return reader.ok() ? std::move(message) : std::nullopt;
}

}  // namespace covewing::routing
