/// \file
/// Messages of the replica-load channel: any bytes decode to news that encode again, or to none.
#include <cstddef>
#include <cstdint>

#include "routing/load_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace routing = covewing::routing;
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const auto news = routing::decodeLoadUpdate(payload);
  if (!news) return 0;
  const auto again = routing::decodeLoadUpdate(routing::encode(*news));
  if (!again || again->number != news->number || again->load != news->load) __builtin_trap();
  return 0;
}
