/// \file
/// Estimate of the queue at the external KV cache store. All transfers share one bandwidth, and no
/// report states how many of them are queued. Therefore a node counts its own imports and assumes
/// that every node imports as much. The estimate is too high where this node imports more than the
/// others.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace covewing::engine_routing {

class ImportQueue {
 public:
  /// `tokensPerSecond` is the total bandwidth of the store, shared by all importers.
  explicit ImportQueue(double tokensPerSecond) : tokensPerSecond_(tokensPerSecond) {}

  /// Records that an engine was instructed to import `tokens`; `nodes` live nodes share the store.
  void onImport(std::uint32_t tokens, std::size_t nodes, base::TimePoint now);
  /// Returns the time until a transfer that is requested now would start.
  base::Duration wait(base::TimePoint now) const;

 private:
  double tokensPerSecond_;
  /// Expected end of the transfers counted so far.
  base::TimePoint busyUntil_{};
};

}  // namespace covewing::engine_routing
