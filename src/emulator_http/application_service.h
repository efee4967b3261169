/// \file
/// Serves one application replica over HTTP (docs/PLATFORM.md, "Application back ends").
#pragma once

#include "emulator/application_model.h"
#include "live/http_server.h"

namespace covewing::emulator_http {

/// Hands the call to the replica and its answer back. A repeated answer has no form in HTTP here
/// and is given once; crossed answers carry the other call's identifier.
void handleApplicationCall(emulator::ApplicationModel& application,
                           const live::HttpExchangePtr& exchange);

}  // namespace covewing::emulator_http
