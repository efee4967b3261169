/// \file
/// Serves one application replica over HTTP (docs/PLATFORM.md, "Application back ends").
#pragma once

#include "emulator/application_model.h"
#include "live/http_server.h"

namespace covewing::emulator_http {

/// Passes the call to the replica and returns its response. A response that the replica repeats is
/// sent once, because HTTP allows only one response per request; a swapped response carries the
/// request identifier of the other call.
void handleApplicationCall(emulator::ApplicationModel& application,
                           const live::HttpExchangePtr& exchange);

}  // namespace covewing::emulator_http
