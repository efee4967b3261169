// Any bytes are decoded as a frame or refused with a reason, and a decoded frame can be written
// again.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "node/peer_frame.h"

namespace covewing::node {

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  base::Reason reason;
  const auto frame = decodePeerFrame(bytes, reason);
  if (!frame) {
    if (reason.code == base::ResultCode::kOk) std::abort();
    return 0;
  }
  const auto again = encodePeerFrame(frame->sender, frame->channel, frame->payload);
  const auto decoded = decodePeerFrame(again, reason);
  if (!decoded || decoded->payload != frame->payload) std::abort();
  return 0;
}

}  // namespace covewing::node
