/// \file
/// Messages of the table feed channel: any bytes decode to a message that encodes again, or to
/// none.
#include <cstddef>
#include <cstdint>

#include "config/feed_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace config = covewing::config;
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const auto message = config::decodeFeedMessage(payload);
  if (!message) return 0;
  const auto again = config::decodeFeedMessage(config::encodeFeedMessage(*message));
  if (!again || again->index() != message->index()) __builtin_trap();
  return 0;
}
