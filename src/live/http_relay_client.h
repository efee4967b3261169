/// \file
/// Sends relayed requests to replicas over HTTP, in the dialect of a deployment.
#pragma once

#include <memory>

#include "clients/relay_client.h"
#include "live/http_client.h"
#include "live/relay_dialect.h"

namespace covewing::live {

class HttpRelayClient final : public clients::RelayClient {
 public:
  /// Both must outlive the client.
  HttpRelayClient(HttpClient& http, const RelayDialect& dialect) : http_(http), dialect_(dialect) {}

  std::unique_ptr<clients::RelayCall> start(const base::Endpoint& replica,
                                            clients::RelayedRequestPtr request,
                                            const clients::DispatchTerms& terms,
                                            clients::RelayHandler& handler) override;

 private:
  HttpClient& http_;
  const RelayDialect& dialect_;
};

}  // namespace covewing::live
