/// \file
/// Messages of the stream-origin channel: any bytes decode to a message that encodes again, or to
/// none.
#include <cstddef>
#include <cstdint>

#include "routing/stream_origin_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace routing = covewing::routing;
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const auto message = routing::decodeStreamOriginMessage(payload);
  if (!message) return 0;
  const auto again = routing::decodeStreamOriginMessage(routing::encode(*message));
  if (!again || again->index() != message->index()) __builtin_trap();
  return 0;
}
