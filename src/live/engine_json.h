/// \file
/// Converts calls to engines and their responses to and from JSON (docs/PLATFORM.md). Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "clients/back_end.h"
#include "clients/engine_client.h"

namespace covewing::live {

std::string engineRequestToJson(const clients::EngineRequest& request);

/// Returns nothing if the text is not a valid event of an engine's stream.
std::optional<std::variant<clients::StreamChunk, clients::StreamEnd>> streamEventFromJson(
    std::string_view text);

/// Returns nothing if the text is not a valid report. A single field that is invalid or exceeds its
/// bounds invalidates the whole report.
std::optional<clients::EngineReport> engineReportFromJson(std::string_view text);

std::string engineOrderToJson(const clients::EngineOrder& order);
/// Returns status kUnknown if the text is not a valid reply to an order.
clients::OrderReply orderReplyFromJson(std::string_view text);

/// Parses the body of an error response from a back end or platform service. `fallback` is the code
/// to use if the body contains no known error code. The failure is kRefusedNotRun only if the body
/// has the outcome "not-run".
clients::DispatchError errorFromJson(std::string_view text, base::ResultCode fallback);

}  // namespace covewing::live
