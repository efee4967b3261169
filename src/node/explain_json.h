/// \file
/// Serialises a request's trace as JSON (docs/operators/requests.md).
#pragma once

#include <string>

#include "request/request_trace.h"

namespace covewing::node {

std::string explainJson(const request::RequestTrace& trace);

}  // namespace covewing::node
