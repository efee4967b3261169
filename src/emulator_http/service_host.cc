#include "emulator_http/service_host.h"

#include <chrono>

namespace covewing::emulator_http {

namespace {

using namespace std::chrono_literals;

/// Back ends accept long prompts and keep idle pooled connections open for a long time.
live::HttpLimits serviceLimits() {
  live::HttpLimits limits;
  limits.bodyBytes = 64U << 20U;
  limits.idleTimeout = 600s;
  return limits;
}

}  // namespace

bool ServiceHost::start(const base::Endpoint& endpoint, base::Reason& reason) {
  auto server = std::make_unique<live::HttpServer>(context_, serviceLimits(), handler_);
  const auto bound = server->listen(endpoint, reason);
  if (!bound) return false;
  endpoint_ = *bound;
  server_ = std::move(server);
  return true;
}

}  // namespace covewing::emulator_http
