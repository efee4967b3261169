/// \file
/// Sends relayed requests to replicas over HTTP, in the dialect of a deployment: on connections of
/// this node, or through the relay listener of another node.
#pragma once

#include <memory>

#include "clients/relay_client.h"
#include "live/http_client.h"
#include "live/relay_dialect.h"

namespace covewing::live {

class HttpRelayClient final : public clients::RelayClient {
 public:
  /// All must outlive the client. `replicas` makes connections to replicas, `peers` to the relay
  /// listeners of other nodes.
  HttpRelayClient(HttpClient& replicas, HttpClient& peers, const RelayDialect& dialect)
      : replicas_(replicas), peers_(peers), dialect_(dialect) {}

  std::unique_ptr<clients::RelayCall> start(const clients::RelayPath& path,
                                            clients::RelayedRequestPtr request,
                                            const clients::DispatchTerms& terms,
                                            clients::RelayHandler& handler) override;

 private:
  HttpClient& replicas_;
  HttpClient& peers_;
  const RelayDialect& dialect_;
};

}  // namespace covewing::live
