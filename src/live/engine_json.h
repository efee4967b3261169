/// \file
/// JSON forms of the engines' calls (docs/PLATFORM.md). Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "clients/back_end.h"
#include "clients/engine_client.h"

namespace covewing::live {

std::string engineRequestToJson(const clients::EngineRequest& request);

/// Empty when the text is not an event of an engine's stream.
std::optional<std::variant<clients::StreamChunk, clients::StreamEnd>> streamEventFromJson(
    std::string_view text);

/// Empty when the text is not a report; mistaken or excess fields refuse it whole.
std::optional<clients::EngineReport> engineReportFromJson(std::string_view text);

std::string engineOrderToJson(const clients::EngineOrder& order);
/// Status kUnknown when the text is not an answer to an order.
clients::OrderReply orderReplyFromJson(std::string_view text);

/// The error body of a back end or platform service. `fallback` is the code where the body names
/// none; the outcome is kRefusedNotRun only where the body says "not-run".
clients::DispatchError errorFromJson(std::string_view text, base::ResultCode fallback);

}  // namespace covewing::live
