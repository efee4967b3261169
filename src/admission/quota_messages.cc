#include "admission/quota_messages.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/codec.h"

namespace covewing::admission {

namespace {

constexpr std::uint64_t kRequestType = 1;
constexpr std::uint64_t kReplyType = 2;
constexpr std::uint64_t kCorrectionType = 3;
constexpr std::uint32_t kRequestFields = 12;
constexpr std::uint32_t kReplyFields = 10;
constexpr std::uint32_t kCorrectionFields = 4;
/// Rates and bursts are encoded in thousandths of a token.
constexpr double kScale = 1000.0;
/// Maximum rate or burst in a message, in tokens.
constexpr double kMaximumTokens = 1e12;
constexpr base::Duration kMaximumWait = std::chrono::hours(1);

std::uint64_t scaled(double tokens) {
  return static_cast<std::uint64_t>(std::llround(std::clamp(tokens, 0.0, kMaximumTokens) * kScale));
}

double readScaled(base::Reader& reader) {
  return std::min(static_cast<double>(reader.unsignedInteger()) / kScale, kMaximumTokens);
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
  return std::min(kMaximumWait, base::Duration{std::chrono::milliseconds{readCount(reader)}});
}

std::optional<QuotaMessage> readRequest(base::Reader& reader) {
  QuotaLeaseRequest request;
  request.tenant.value = reader.unsignedInteger();
  request.revision = reader.unsignedInteger();
  request.limits.ratePerSecond = readScaled(reader);
  request.limits.burst = readScaled(reader);
  request.limits.concurrency = readCount(reader);
  request.sequence = reader.unsignedInteger();
  request.tokensNeeded = readCount(reader);
  request.tokensWanted = readCount(reader);
  request.slotsHeld = readCount(reader);
  request.slotsWanted = readCount(reader);
  request.replyWanted = reader.boolean();
  if (!reader.ok()) return std::nullopt;
  return request;
}

std::optional<QuotaMessage> readReply(base::Reader& reader) {
  QuotaLeaseReply reply;
  reply.tenant.value = reader.unsignedInteger();
  reply.sequence = reader.unsignedInteger();
  reply.tokens = readCount(reader);
  reply.slots = readCount(reader);
  reply.tokensAvailableAfter = readWait(reader);
  reply.retryAfter = readWait(reader);
  reply.balance = reader.signedInteger();
  reply.contended = reader.boolean();
  reply.nearLimit = reader.boolean();
  if (!reader.ok()) return std::nullopt;
  return reply;
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

std::string encode(const QuotaLeaseRequest& request) {
  base::Writer writer;
  writer.array(kRequestFields)
      .unsignedInteger(kRequestType)
      .unsignedInteger(request.tenant.value)
      .unsignedInteger(request.revision)
      .unsignedInteger(scaled(request.limits.ratePerSecond))
      .unsignedInteger(scaled(request.limits.burst))
      .unsignedInteger(request.limits.concurrency)
      .unsignedInteger(request.sequence)
      .unsignedInteger(request.tokensNeeded)
      .unsignedInteger(request.tokensWanted)
      .unsignedInteger(request.slotsHeld)
      .unsignedInteger(request.slotsWanted)
      .boolean(request.replyWanted);
  return writer.take();
}

std::string encode(const QuotaLeaseReply& reply) {
  base::Writer writer;
  writer.array(kReplyFields)
      .unsignedInteger(kReplyType)
      .unsignedInteger(reply.tenant.value)
      .unsignedInteger(reply.sequence)
      .unsignedInteger(reply.tokens)
      .unsignedInteger(reply.slots)
      .unsignedInteger(milliseconds(reply.tokensAvailableAfter))
      .unsignedInteger(milliseconds(reply.retryAfter))
      .signedInteger(reply.balance)
      .boolean(reply.contended)
      .boolean(reply.nearLimit);
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
  if (type == kRequestType && fields >= kRequestFields) return readRequest(reader);
  if (type == kReplyType && fields >= kReplyFields) return readReply(reader);
  if (type == kCorrectionType && fields >= kCorrectionFields) return readCorrection(reader);
  return std::nullopt;
}

}  // namespace covewing::admission
