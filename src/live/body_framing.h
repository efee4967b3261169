/// \file
/// By what the end of the body of an HTTP response is known.
#pragma once

#include <string_view>

#include "clients/relay_client.h"
#include "live/http_message.h"

namespace covewing::live {

/// Whether a response with this status has no body, whatever its headers say.
bool bodyForbidden(unsigned status);

/// Framing of the response to a request with this method (RFC 9112, section 6.3).
clients::BodyFraming bodyFraming(const HttpResponse& head, std::string_view method);

}  // namespace covewing::live
