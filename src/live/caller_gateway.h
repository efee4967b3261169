/// \file
/// Callers' HTTP calls (docs/CALLERS.md): completions, models, and everything else proxied to
/// application back ends.
#pragma once

#include <memory>
#include <string>

#include "base/event_log.h"
#include "base/time.h"
#include "live/http_server.h"
#include "live/node_metrics.h"
#include "node/node.h"

namespace covewing::live {

/// What the gateway works with. All must outlive it.
struct CallerGatewayEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  NodeMetrics& metrics;
  node::Node& node;
};

class CallerGateway {
 public:
  /// `idPrefix` starts the identifiers of requests that the gateway refuses by itself.
  CallerGateway(CallerGatewayEnvironment environment, std::string idPrefix);
  /// Cancels every request in flight.
  ~CallerGateway();
  CallerGateway(const CallerGateway&) = delete;
  CallerGateway& operator=(const CallerGateway&) = delete;

  /// Handler of the callers' listener.
  void handle(const HttpExchangePtr& exchange);
  /// Formatter of refusals that the listener gives by itself.
  HttpResponse formatRefusal(const base::Reason& reason);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace covewing::live
