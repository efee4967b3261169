/// \file
/// JSON text of a request's record (docs/operators/requests.md).
#pragma once

#include <string>

#include "request/request_trace.h"

namespace covewing::node {

std::string explainJson(const request::RequestTrace& trace);

}  // namespace covewing::node
