/// \file
/// Handles callers' HTTP calls (docs/CALLERS.md): completions and the list of models. Calls of all
/// other paths are proxied to application back ends.
#pragma once

#include <memory>
#include <string>

#include "base/event_log.h"
#include "base/time.h"
#include "live/http_server.h"
#include "live/node_metrics.h"
#include "node/node.h"

namespace covewing::live {

/// Dependencies of the gateway. All must outlive it.
struct CallerGatewayEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  NodeMetrics& metrics;
  node::Node& node;
};

class CallerGateway {
 public:
  /// `idPrefix` is the prefix of the identifiers that the gateway assigns to requests that it
  /// refuses itself or answers with the list of models.
  CallerGateway(CallerGatewayEnvironment environment, std::string idPrefix);
  /// Cancels every request in flight.
  ~CallerGateway();
  CallerGateway(const CallerGateway&) = delete;
  CallerGateway& operator=(const CallerGateway&) = delete;

  /// Handles a call that the callers' listener has received.
  void handle(const HttpExchangePtr& exchange);
  /// Formats a refusal that the listener itself issues, before a call reaches the gateway.
  HttpResponse formatRefusal(const base::Reason& reason);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace covewing::live
