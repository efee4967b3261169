/// \file
/// Watching what a replica, or a store of kept cache, holds of prompts. Events come late, and some
/// never.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "clients/rate_limit_notice.h"
#include "clients/replica_target.h"

namespace covewing::clients {

/// A change of what is held of one part.
struct CachePartEvent {
  /// Text under which the part is kept (DispatchTerms::cacheSalt).
  std::string salt;
  std::string model;
  std::string part;
  /// Tokens of the part held now; 0: dropped.
  std::uint32_t tokens = 0;
};

enum class CacheFeedStatus : std::uint8_t {
  kOk,
  /// Too many watch it already.
  kBusy,
  /// The address belongs to another instance than the one that was polled.
  kOtherInstance,
  kUnavailable,
};

struct CacheFeedReply {
  CacheFeedStatus status = CacheFeedStatus::kUnavailable;
  /// Changes when the replica starts again, empty.
  std::uint64_t epoch = 0;
  /// Events between the number asked for and the first one told are gone.
  bool lost = false;
  /// Number to go on from.
  std::uint64_t next = 0;
  std::vector<CachePartEvent> events;
  /// The replica says that it is about to end.
  bool leaving = false;
  RateLimitNotice rateLimit{};
  Responder responder{};
};

/// Whose cache is watched.
using CacheFeedTarget = std::variant<ReplicaTarget, CacheStoreTarget>;

/// A poll in flight. Destroying it cancels the poll, without its callback: nothing more is sent,
/// and its connection is closed.
class CacheFeedCall {
 public:
  virtual ~CacheFeedCall() = default;
};

class CacheFeedClient {
 public:
  virtual ~CacheFeedClient() = default;
  /// Events behind `since`; held by the replica for up to `wait` when there are none. Answers
  /// exactly once, later, on the node's thread, unless the call is destroyed before.
  virtual std::unique_ptr<CacheFeedCall> poll(const CacheFeedTarget& target, std::uint64_t since,
                                              base::Duration wait,
                                              std::function<void(CacheFeedReply)> callback) = 0;
};

}  // namespace covewing::clients
