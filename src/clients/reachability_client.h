/// \file
/// Asks whether anything accepts connections at an address.
#pragma once

#include <cstdint>
#include <functional>

#include "base/endpoint.h"
#include "base/time.h"

namespace covewing::clients {

enum class Reachability : std::uint8_t {
  kAccepts,
  /// The machine answers that nothing listens there.
  kRefuses,
  /// No answer in time, or no route: nothing is known of the process.
  kSilent,
};

class ReachabilityClient {
 public:
  virtual ~ReachabilityClient() = default;
  /// Opens a connection and closes it at once; sends nothing. Answers exactly once, later, on the
  /// node's thread, unless the client is destroyed before.
  virtual void connect(const base::Endpoint& address, base::Duration timeout,
                       std::function<void(Reachability)> callback) = 0;
};

}  // namespace covewing::clients
