/// \file
/// Entry point for callers of relayed requests: parses them in the dialect of a deployment, passes
/// them to the relay service, and writes its responses.
#pragma once

#include "base/event_log.h"
#include "live/http_server.h"
#include "live/relay_dialect.h"
#include "request/relay_service.h"

namespace covewing::live {

class RelayGateway {
 public:
  /// All must outlive the gateway.
  RelayGateway(request::RelayService& service, const RelayDialect& dialect, base::EventLog& log)
      : service_(service), dialect_(dialect), log_(log) {}

  /// Handles one request received by the callers' HTTP server.
  void handle(const HttpExchangePtr& exchange);

 private:
  request::RelayService& service_;
  const RelayDialect& dialect_;
  base::EventLog& log_;
};

}  // namespace covewing::live
