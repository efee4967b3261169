/// \file
/// Plain application back ends (pairings, payment checks, pitch maps) behind proxied calls.
#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "clients/back_end.h"
#include "clients/header_field.h"

namespace covewing::clients {

struct ApplicationRequest {
  base::RequestId requestId;
  std::uint32_t attempt = 1;
  std::string method;
  /// Path and query.
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
  base::Duration timeout{};
};

struct ApplicationResponse {
  /// Echo of the request's identifier; a response with another one is never delivered.
  base::RequestId requestId;
  unsigned status = 0;
  std::vector<HeaderField> headers;
  std::string body;
};

using ApplicationResult = std::variant<ApplicationResponse, DispatchError>;

class ApplicationClient {
 public:
  virtual ~ApplicationClient() = default;
  /// Sends once, without retry, and answers exactly once, later, on the node's thread.
  virtual void call(const BackEndAddress& backEnd, ApplicationRequest request,
                    std::function<void(ApplicationResult)> callback) = 0;
};

}  // namespace covewing::clients
