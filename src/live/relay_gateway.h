/// \file
/// The callers' side of relayed requests: reads them in the dialect of a deployment, hands them to
/// the relay service, and writes its answers.
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

  /// Handles one request of the callers' server.
  void handle(const HttpExchangePtr& exchange);

 private:
  request::RelayService& service_;
  const RelayDialect& dialect_;
  base::EventLog& log_;
};

}  // namespace covewing::live
