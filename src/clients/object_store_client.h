/// \file
/// The platform's object store: whole values by name, rate-limited, no transactions.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace covewing::clients {

enum class ObjectStatus { kOk, kNotFound, kRateLimited, kUnavailable, kUnknown };

struct ObjectReply {
  ObjectStatus status = ObjectStatus::kUnknown;
  std::string bytes;
};

using ObjectCallback = std::function<void(ObjectReply)>;

/// Client of the object store. Each call answers exactly once, later, on the node's thread.
class ObjectStoreClient {
 public:
  virtual ~ObjectStoreClient() = default;
  virtual void get(std::string name, ObjectCallback callback) = 0;
  /// Replaces the object whole. A kUnknown put may have taken effect.
  virtual void put(std::string name, std::string bytes, ObjectCallback callback) = 0;
};

}  // namespace covewing::clients
