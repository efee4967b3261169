#include "routing/placement_messages.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/codec.h"

namespace covewing::routing {

namespace {

/// Type numbers on the wire; never reused. 1, 2 and 5 were questions, answers and ends before
/// requests could be queued.
enum class MessageType : std::uint8_t {
  kTaken = 3,
  kBegun = 4,
  kQuestion = 6,
  kAnswer = 7,
  kEnded = 8,
};

constexpr std::uint32_t kQuestionFields = 23;
constexpr std::uint32_t kAnswerFields = 18;
constexpr std::uint32_t kTakenFields = 9;
constexpr std::uint32_t kBegunFields = 5;
constexpr std::uint32_t kEndedFields = 11;
constexpr std::uint32_t kPartFields = 2;
/// Prompts have a few shared parts; more than this is no message of ours.
constexpr std::uint32_t kMostParts = 64;

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
  writer.signedInteger(terms.hardStartWithin.count()).signedInteger(terms.longestPause.count());
  writer.unsignedInteger(terms.outputTokens);
}

/// Numbers of what is said of a rate limit; from kLimitOfZero on the limit follows, in thousandths
/// of a request a second.
constexpr std::uint64_t kNothingSaid = 0;
constexpr std::uint64_t kUnlimited = 1;
constexpr std::uint64_t kLimitOfZero = 2;
constexpr double kThousandths = 1000;

void write(base::Writer& writer, const clients::RateLimitNotice& notice) {
  switch (notice.kind) {
    case clients::RateLimitNotice::Kind::kNothing:
      writer.unsignedInteger(kNothingSaid);
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

void write(base::Writer& writer, const PlacementQuery& question) {
  begin(writer, kQuestionFields, MessageType::kQuestion).unsignedInteger(question.id);
  writer.unsignedInteger(question.replica.value).text(question.model);
  writer.unsignedInteger(question.scope);
  writer.array(static_cast<std::uint32_t>(question.parts.size()));
  for (const auto& part : question.parts)
    writer.array(kPartFields).unsignedInteger(part.id).unsignedInteger(part.tokens);
  writer.unsignedInteger(question.promptTokens);
  write(writer, question.work);
  writer.signedInteger(question.acceptableWait.count());
  write(writer, question.terms);
  writer.signedInteger(question.queueWithin.count());
  write(writer, question.rateLimit);
}

void write(base::Writer& writer, const PlacementReply& answer) {
  begin(writer, kAnswerFields, MessageType::kAnswer).unsignedInteger(answer.id);
  writer.unsignedInteger(answer.replica.value);
  writer.unsignedInteger(static_cast<std::uint64_t>(answer.verdict)).boolean(answer.usable);
  writer.signedInteger(answer.wait.count());
  writer.unsignedInteger(answer.version).unsignedInteger(answer.matchedTokens);
  writer.unsignedInteger(answer.queued).signedInteger(answer.within.count());
  writer.signedInteger(answer.retryAfter.count());
  writer.boolean(answer.keepsPauses).signedInteger(answer.pauseExcess.count());
  writer.unsignedInteger(answer.speedPercent).boolean(answer.leaving);
  write(writer, answer.rateLimit);
  writer.boolean(answer.paced);
}

void write(base::Writer& writer, const UngrantedDispatch& taken) {
  begin(writer, kTakenFields, MessageType::kTaken).unsignedInteger(taken.id);
  writer.unsignedInteger(taken.replica.value);
  write(writer, taken.work);
  writer.signedInteger(taken.longestPause.count()).boolean(taken.call);
}

void write(base::Writer& writer, const PlacementStarted& begun) {
  begin(writer, kBegunFields, MessageType::kBegun).unsignedInteger(begun.id);
  writer.unsignedInteger(begun.replica.value).boolean(begun.leaving);
  write(writer, begun.rateLimit);
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
}

/// A field that earlier builds do not send.
bool readFlag(base::Reader& reader) { return reader.more() && reader.boolean(); }

clients::RateLimitNotice readNotice(base::Reader& reader) {
  const auto said = reader.more() ? reader.unsignedInteger() : kNothingSaid;
  if (said == kNothingSaid) return {};
  if (said == kUnlimited) return clients::RateLimitNotice::unlimited();
  return clients::RateLimitNotice::of(static_cast<double>(said - kLimitOfZero) / kThousandths);
}

KnownRateLimit readKnownLimit(base::Reader& reader) {
  /// An hour; older knowledge counts as this old.
  constexpr std::uint64_t kOldest = 3'600'000;
  KnownRateLimit known;
  known.notice = readNotice(reader);
  const auto age = reader.more() ? reader.unsignedInteger() : kOldest;
  known.age = std::chrono::milliseconds(std::min(age, kOldest));
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
  terms.longestPause = base::Duration{reader.signedInteger()};
  terms.outputTokens = readCount(reader);
  return terms;
}

/// A number as one of the values of an enumeration that ends with `last`; empty when it is none.
template <class Value>
std::optional<Value> readEnumeration(base::Reader& reader, Value last) {
  const auto number = reader.unsignedInteger();
  if (number < 1 || number > static_cast<std::uint64_t>(last)) return std::nullopt;
  return static_cast<Value>(number);
}

std::optional<PlacementMessage> readQuestion(base::Reader& reader) {
  PlacementQuery question;
  question.id = reader.unsignedInteger();
  question.replica = readReplica(reader);
  question.model = reader.text();
  question.scope = reader.unsignedInteger();
  const auto count = reader.beginArray();
  if (count > kMostParts) return std::nullopt;
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index) {
    reader.beginArray();
    prefix::PromptPart part;
    part.id = reader.unsignedInteger();
    part.tokens = readCount(reader);
    question.parts.push_back(part);
    reader.endArray();
  }
  reader.endArray();
  question.promptTokens = readCount(reader);
  question.work = readWork(reader);
  question.acceptableWait = base::Duration{reader.signedInteger()};
  question.terms = readTerms(reader);
  question.queueWithin = base::Duration{reader.signedInteger()};
  question.rateLimit = readKnownLimit(reader);
  return question;
}

std::optional<PlacementMessage> readAnswer(base::Reader& reader) {
  PlacementReply answer;
  answer.id = reader.unsignedInteger();
  answer.replica = readReplica(reader);
  const auto verdict = readEnumeration(reader, PlacementVerdict::kRefused);
  if (!verdict) return std::nullopt;
  answer.verdict = *verdict;
  answer.usable = reader.boolean();
  answer.wait = base::Duration{reader.signedInteger()};
  answer.version = reader.unsignedInteger();
  answer.matchedTokens = readCount(reader);
  answer.queued = readCount(reader);
  answer.within = base::Duration{reader.signedInteger()};
  answer.retryAfter = base::Duration{reader.signedInteger()};
  answer.keepsPauses = reader.boolean();
  answer.pauseExcess = base::Duration{reader.signedInteger()};
  answer.speedPercent = readCount(reader);
  answer.leaving = readFlag(reader);
  answer.rateLimit = readKnownLimit(reader);
  answer.paced = readFlag(reader);
  return answer;
}

std::optional<PlacementMessage> readTaken(base::Reader& reader) {
  UngrantedDispatch taken;
  taken.id = reader.unsignedInteger();
  taken.replica = readReplica(reader);
  taken.work = readWork(reader);
  taken.longestPause = base::Duration{reader.signedInteger()};
  taken.call = readFlag(reader);
  return taken;
}

std::optional<PlacementMessage> readBegun(base::Reader& reader) {
  PlacementStarted begun;
  begun.id = reader.unsignedInteger();
  begun.replica = readReplica(reader);
  begun.leaving = readFlag(reader);
  begun.rateLimit = readNotice(reader);
  return begun;
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
  return ended;
}

std::optional<PlacementMessage> readMessage(base::Reader& reader) {
  switch (static_cast<MessageType>(reader.unsignedInteger())) {
    case MessageType::kQuestion:
      return readQuestion(reader);
    case MessageType::kAnswer:
      return readAnswer(reader);
    case MessageType::kTaken:
      return readTaken(reader);
    case MessageType::kBegun:
      return readBegun(reader);
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
