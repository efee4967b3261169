/// \file
/// The receivers of the calls that a node makes on its own account.
///
/// Addresses are reused: when a replica has ended, a replica of another service may get its address
/// within seconds, while the replica list still contains the former one. Therefore a call to a
/// replica always names the instance that it is meant for, so that any other receiver rejects it.
#pragma once

#include <string>
#include <utility>

#include "base/endpoint.h"

namespace covewing::clients {

/// A replica to call: the instance that the call is meant for, and its listed address.
class ReplicaTarget {
 public:
  ReplicaTarget(std::string instance, const base::Endpoint& endpoint)
      : instance_(std::move(instance)), endpoint_(endpoint) {}

  const std::string& instance() const { return instance_; }
  const base::Endpoint& endpoint() const { return endpoint_; }
  bool operator==(const ReplicaTarget&) const = default;

 private:
  std::string instance_;
  base::Endpoint endpoint_;
};

/// A KV cache store to call. The configuration names a store by its address alone, so a call to it
/// cannot name an instance.
class CacheStoreTarget {
 public:
  explicit CacheStoreTarget(const base::Endpoint& endpoint) : endpoint_(endpoint) {}

  const base::Endpoint& endpoint() const { return endpoint_; }
  bool operator==(const CacheStoreTarget&) const = default;

 private:
  base::Endpoint endpoint_;
};

/// Who responded to a call of this node, as far as the response shows.
struct Responder {
  /// Identifier that the call was sent with; empty if it had none.
  std::string callId;
  /// Status code of the response; 0 if there was none.
  unsigned status = 0;
  /// The responder's own name of itself; empty if it did not state one.
  std::string name;
  /// The response is not from the instance that the call was meant for.
  bool otherInstance = false;
};

}  // namespace covewing::clients
