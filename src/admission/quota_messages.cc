#include "admission/quota_messages.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/codec.h"

namespace covewing::admission {

namespace {

constexpr std::uint64_t kAskType = 1;
constexpr std::uint64_t kGrantType = 2;
constexpr std::uint32_t kAskFields = 11;
constexpr std::uint32_t kGrantFields = 7;
/// Rates travel in thousandths of a request a second.
constexpr double kRateScale = 1000.0;
/// Highest rate that a message carries, in requests a second.
constexpr double kHighestRate = 1e9;
constexpr base::Duration kLongestWait = std::chrono::hours(1);

std::uint64_t encodedRate(double requestsPerSecond) {
  return static_cast<std::uint64_t>(
      std::llround(std::clamp(requestsPerSecond, 0.0, kHighestRate) * kRateScale));
}

std::uint32_t readCount(base::Reader& reader) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(reader.unsignedInteger(), std::numeric_limits<std::uint32_t>::max()));
}

std::optional<QuotaMessage> readAsk(base::Reader& reader) {
  QuotaAsk ask;
  ask.tenant.value = reader.unsignedInteger();
  ask.revision = reader.unsignedInteger();
  ask.limits.requestsPerSecond =
      std::min(static_cast<double>(reader.unsignedInteger()) / kRateScale, kHighestRate);
  ask.limits.burst = readCount(reader);
  ask.limits.concurrency = readCount(reader);
  ask.sequence = reader.unsignedInteger();
  ask.tokensWanted = readCount(reader);
  ask.slotsHeld = readCount(reader);
  ask.slotsWanted = readCount(reader);
  ask.answerWanted = reader.boolean();
  if (!reader.ok()) return std::nullopt;
  return ask;
}

std::optional<QuotaMessage> readGrant(base::Reader& reader) {
  QuotaGrant grant;
  grant.tenant.value = reader.unsignedInteger();
  grant.sequence = reader.unsignedInteger();
  grant.tokens = readCount(reader);
  grant.slots = readCount(reader);
  grant.tokensAfter =
      std::min(kLongestWait, base::Duration{std::chrono::milliseconds{readCount(reader)}});
  grant.contended = reader.boolean();
  if (!reader.ok()) return std::nullopt;
  return grant;
}

}  // namespace

std::string encode(const QuotaAsk& ask) {
  base::Writer writer;
  writer.array(kAskFields)
      .unsignedInteger(kAskType)
      .unsignedInteger(ask.tenant.value)
      .unsignedInteger(ask.revision)
      .unsignedInteger(encodedRate(ask.limits.requestsPerSecond))
      .unsignedInteger(ask.limits.burst)
      .unsignedInteger(ask.limits.concurrency)
      .unsignedInteger(ask.sequence)
      .unsignedInteger(ask.tokensWanted)
      .unsignedInteger(ask.slotsHeld)
      .unsignedInteger(ask.slotsWanted)
      .boolean(ask.answerWanted);
  return writer.take();
}

std::string encode(const QuotaGrant& grant) {
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(grant.tokensAfter).count();
  base::Writer writer;
  writer.array(kGrantFields)
      .unsignedInteger(kGrantType)
      .unsignedInteger(grant.tenant.value)
      .unsignedInteger(grant.sequence)
      .unsignedInteger(grant.tokens)
      .unsignedInteger(grant.slots)
      .unsignedInteger(static_cast<std::uint64_t>(std::max<std::int64_t>(0, milliseconds)))
      .boolean(grant.contended);
  return writer.take();
}

std::optional<QuotaMessage> decodeQuotaMessage(std::string_view payload) {
  base::Reader reader(payload);
  const std::uint32_t fields = reader.beginArray();
  const std::uint64_t type = reader.unsignedInteger();
  if (!reader.ok()) return std::nullopt;
  if (type == kAskType && fields >= kAskFields) return readAsk(reader);
  if (type == kGrantType && fields >= kGrantFields) return readGrant(reader);
  return std::nullopt;
}

}  // namespace covewing::admission
