/// \file
/// Messages of the membership channel and the packed lists inside them: any bytes decode to a
/// message that encodes again, or to none.
#include <cstddef>
#include <cstdint>

#include "membership/membership_message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace membership = covewing::membership;
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  for (const auto& update : membership::decodeMemberUpdates(payload)) {
    membership::PackedWriter writer;
    membership::encode(update, writer);
    if (membership::decodeMemberUpdates(writer.bytes()).size() != 1) __builtin_trap();
  }
  membership::decodeRecords(payload);
  const auto message = membership::decodeMembershipMessage(payload);
  if (!message) return 0;
  const auto again = membership::decodeMembershipMessage(membership::encode(*message));
  if (!again || again->index() != message->index()) __builtin_trap();
  return 0;
}
