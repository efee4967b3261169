#include "routing/load_messages.h"

#include "base/codec.h"

namespace covewing::routing {

namespace {

/// Type number on the wire; must never be reused.
constexpr std::uint64_t kLoadUpdateType = 1;
constexpr std::uint32_t kUpdateFields = 3;
constexpr std::uint32_t kEntryFields = 4;

}  // namespace

std::string encode(const LoadUpdate& update) {
  base::Writer writer;
  writer.array(kUpdateFields).unsignedInteger(kLoadUpdateType).unsignedInteger(update.number);
  writer.array(static_cast<std::uint32_t>(update.load.size()));
  for (const auto& [replica, load] : update.load) {
    writer.array(kEntryFields).unsignedInteger(replica.value).unsignedInteger(load.requests);
    writer.unsignedInteger(load.tokens).unsignedInteger(load.pendingPrefillTokens);
  }
  return writer.take();
}

std::optional<LoadUpdate> decodeLoadUpdate(std::string_view bytes) {
  base::Reader reader(bytes);
  reader.beginArray();
  if (reader.unsignedInteger() != kLoadUpdateType) return std::nullopt;
  LoadUpdate update;
  update.number = reader.unsignedInteger();
  const auto count = reader.beginArray();
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index) {
    reader.beginArray();
    const base::EngineId replica{reader.unsignedInteger()};
    auto& load = update.load[replica];
    load.requests = static_cast<std::uint32_t>(reader.unsignedInteger());
    load.tokens = reader.unsignedInteger();
    load.pendingPrefillTokens = reader.unsignedInteger();
    reader.endArray();
  }
  return reader.ok() ? std::optional{std::move(update)} : std::nullopt;
}

}  // namespace covewing::routing
