#include "admission/quota_messages.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/codec.h"

namespace covewing::admission {

namespace {

constexpr std::uint64_t kAskType = 1;
constexpr std::uint64_t kGrantType = 2;
constexpr std::uint64_t kCorrectionType = 3;
constexpr std::uint32_t kAskFields = 12;
constexpr std::uint32_t kGrantFields = 10;
constexpr std::uint32_t kCorrectionFields = 4;
/// Rates and bursts travel in thousandths of a token.
constexpr double kScale = 1000.0;
/// Highest rate or burst that a message carries, in tokens.
constexpr double kHighest = 1e12;
constexpr base::Duration kLongestWait = std::chrono::hours(1);

std::uint64_t scaled(double tokens) {
  return static_cast<std::uint64_t>(std::llround(std::clamp(tokens, 0.0, kHighest) * kScale));
}

double readScaled(base::Reader& reader) {
  return std::min(static_cast<double>(reader.unsignedInteger()) / kScale, kHighest);
}

std::uint64_t milliseconds(base::Duration duration) {
  const auto count = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

std::uint32_t readCount(base::Reader& reader) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(reader.unsignedInteger(), std::numeric_limits<std::uint32_t>::max()));
}

base::Duration readWait(base::Reader& reader) {
  return std::min(kLongestWait, base::Duration{std::chrono::milliseconds{readCount(reader)}});
}

std::optional<QuotaMessage> readAsk(base::Reader& reader) {
  QuotaLeaseRequest ask;
  ask.tenant.value = reader.unsignedInteger();
  ask.revision = reader.unsignedInteger();
  ask.limits.ratePerSecond = readScaled(reader);
  ask.limits.burst = readScaled(reader);
  ask.limits.concurrency = readCount(reader);
  ask.sequence = reader.unsignedInteger();
  ask.tokensNeeded = readCount(reader);
  ask.tokensWanted = readCount(reader);
  ask.slotsHeld = readCount(reader);
  ask.slotsWanted = readCount(reader);
  ask.answerWanted = reader.boolean();
  if (!reader.ok()) return std::nullopt;
  return ask;
}

std::optional<QuotaMessage> readGrant(base::Reader& reader) {
  QuotaLeaseReply grant;
  grant.tenant.value = reader.unsignedInteger();
  grant.sequence = reader.unsignedInteger();
  grant.tokens = readCount(reader);
  grant.slots = readCount(reader);
  grant.tokensAfter = readWait(reader);
  grant.comeBackAfter = readWait(reader);
  grant.balance = reader.signedInteger();
  grant.contended = reader.boolean();
  grant.nearLimit = reader.boolean();
  if (!reader.ok()) return std::nullopt;
  return grant;
}

std::optional<QuotaMessage> readCorrection(base::Reader& reader) {
  QuotaCorrection correction;
  correction.tenant.value = reader.unsignedInteger();
  correction.returned = readCount(reader);
  correction.charged = readCount(reader);
  if (!reader.ok()) return std::nullopt;
  return correction;
}

}  // namespace

std::string encode(const QuotaLeaseRequest& ask) {
  base::Writer writer;
  writer.array(kAskFields)
      .unsignedInteger(kAskType)
      .unsignedInteger(ask.tenant.value)
      .unsignedInteger(ask.revision)
      .unsignedInteger(scaled(ask.limits.ratePerSecond))
      .unsignedInteger(scaled(ask.limits.burst))
      .unsignedInteger(ask.limits.concurrency)
      .unsignedInteger(ask.sequence)
      .unsignedInteger(ask.tokensNeeded)
      .unsignedInteger(ask.tokensWanted)
      .unsignedInteger(ask.slotsHeld)
      .unsignedInteger(ask.slotsWanted)
      .boolean(ask.answerWanted);
  return writer.take();
}

std::string encode(const QuotaLeaseReply& grant) {
  base::Writer writer;
  writer.array(kGrantFields)
      .unsignedInteger(kGrantType)
      .unsignedInteger(grant.tenant.value)
      .unsignedInteger(grant.sequence)
      .unsignedInteger(grant.tokens)
      .unsignedInteger(grant.slots)
      .unsignedInteger(milliseconds(grant.tokensAfter))
      .unsignedInteger(milliseconds(grant.comeBackAfter))
      .signedInteger(grant.balance)
      .boolean(grant.contended)
      .boolean(grant.nearLimit);
  return writer.take();
}

std::string encode(const QuotaCorrection& correction) {
  base::Writer writer;
  writer.array(kCorrectionFields)
      .unsignedInteger(kCorrectionType)
      .unsignedInteger(correction.tenant.value)
      .unsignedInteger(correction.returned)
      .unsignedInteger(correction.charged);
  return writer.take();
}

std::optional<QuotaMessage> decodeQuotaMessage(std::string_view payload) {
  base::Reader reader(payload);
  const std::uint32_t fields = reader.beginArray();
  const std::uint64_t type = reader.unsignedInteger();
  if (!reader.ok()) return std::nullopt;
  if (type == kAskType && fields >= kAskFields) return readAsk(reader);
  if (type == kGrantType && fields >= kGrantFields) return readGrant(reader);
  if (type == kCorrectionType && fields >= kCorrectionFields) return readCorrection(reader);
  return std::nullopt;
}

}  // namespace covewing::admission
