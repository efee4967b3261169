/// \file
/// Messages of the configuration channel: any bytes decode to a message that encodes again, or to
/// none.
#include <cstddef>
#include <cstdint>

#include "config/configuration_message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace config = covewing::config;
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const auto message = config::decodeConfigurationMessage(payload);
  if (!message) return 0;
  const auto again = config::decodeConfigurationMessage(config::encode(*message));
  if (!again || again->index() != message->index()) __builtin_trap();
  return 0;
}
