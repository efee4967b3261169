#include "engine_routing/import_queue.h"

#include <algorithm>

namespace covewing::engine_routing {

void ImportQueue::onImport(std::uint32_t tokens, std::size_t nodes, base::TimePoint now) {
  const double seconds =
      static_cast<double>(tokens) * static_cast<double>(nodes) / tokensPerSecond_;
  const auto transfer =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
  busyUntil_ = std::max(busyUntil_, now) + transfer;
}

base::Duration ImportQueue::wait(base::TimePoint now) const {
  return std::max(busyUntil_ - now, base::Duration::zero());
}

}  // namespace covewing::engine_routing
