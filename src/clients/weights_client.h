/// \file
/// Fenced orders to a replica to serve another version of a model's weights.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "clients/rate_limit_notice.h"
#include "clients/replica_target.h"

namespace covewing::clients {

/// Longest time of an order's or report's call. An order may reach its replica so long after its
/// holder was found to hold the lease; the gap between two holders rests on it.
inline constexpr base::Duration kWeightsCallTimeout = std::chrono::milliseconds(800);

struct WeightsOrder {
  std::string model;
  base::WeightsVersion version = 0;
  /// Name of the node that gives the order, and the fencing token of its lease.
  std::string holder;
  base::FencingToken token = 0;
  /// Orders that the replica must have taken so far: an order that arrives late, or twice, is
  /// refused by it.
  std::uint64_t expectedOrders = 0;
};

enum class WeightsOrderStatus : std::uint8_t {
  /// The replica has begun; new requests are refused as not run until it is done.
  kAccepted,
  /// It serves the version already.
  kInForce,
  /// Another order is under way, or the number of orders taken is another.
  kConflict,
  /// An order with a higher token was seen.
  kFencedOff,
  /// The address belongs to another run or another replica.
  kOtherInstance,
  kInvalid,
  /// It did not arrive.
  kUnreachable,
  /// No answer: it may have been taken, or be carried out later.
  kUnknown,
};

constexpr std::string_view toString(WeightsOrderStatus status) {
  constexpr std::array<std::string_view, 8> kNames = {"accepted",    "in force",       "conflict",
                                                      "fenced off",  "other instance", "invalid",
                                                      "unreachable", "no answer"};
  return kNames.at(static_cast<std::size_t>(status));
}

/// A replica's own account, some hundred milliseconds old.
struct WeightsReport {
  bool busy = false;
  /// Requests that have begun, and those that wait to begin.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t orders = 0;
  base::WeightsVersion version = 0;
};

/// What the head of an answer to an order or a report says of its sender.
struct WeightsCallNotices {
  /// "order" or "report".
  std::string_view call;
  Responder responder;
  /// What the replica that was asked says of itself; nothing where another one answered.
  bool leaving = false;
  RateLimitNotice rateLimit{};
};

/// Callbacks come later, on the node's thread, exactly once.
class WeightsClient {
 public:
  using NoticeListener =
      std::function<void(const std::string& instance, const WeightsCallNotices& notices)>;

  virtual ~WeightsClient() = default;
  /// Told of each answer, refusals too, before its callback.
  virtual void onNotices(NoticeListener listener) = 0;
  virtual void order(const ReplicaTarget& replica, WeightsOrder order,
                     std::function<void(WeightsOrderStatus)> callback) = 0;
  /// Empty when the replica did not answer.
  virtual void report(const ReplicaTarget& replica, const std::string& model,
                      std::function<void(std::optional<WeightsReport>)> callback) = 0;
};

}  // namespace covewing::clients
