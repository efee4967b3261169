/// \file
/// Application back ends over plain HTTP (docs/PLATFORM.md).
#pragma once

#include <string_view>

#include "clients/application_client.h"
#include "live/http_client.h"

namespace covewing::live {

/// Whether the header applies to a single connection, or is set by each sender and receiver itself,
/// and so is never forwarded (RFC 9110, section 7.6.1).
bool isConnectionHeader(std::string_view name);

class HttpApplicationClient final : public clients::ApplicationClient {
 public:
  explicit HttpApplicationClient(HttpClient& client) : client_(client) {}
  void call(const clients::BackEndAddress& backEnd, clients::ApplicationRequest request,
            std::function<void(clients::ApplicationResult)> callback) override;

 private:
  HttpClient& client_;
};

}  // namespace covewing::live
