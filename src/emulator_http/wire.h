/// \file
/// Parses and encodes the JSON bodies of docs/PLATFORM.md for engines and platform services.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"
#include "clients/engine_client.h"
#include "clients/machine_list_client.h"
#include "clients/table_client.h"
#include "live/http_message.h"

namespace covewing::emulator_http {

/// Each parser returns nullopt if the body is invalid, and names the offending field in `reason`.
std::optional<clients::EngineRequest> parseEngineRequest(std::string_view body,
                                                         base::Reason& reason);
std::optional<clients::EngineOrder> parseEngineOrder(std::string_view body, base::Reason& reason);

struct TableScan {
  std::string prefix;
  base::Revision after = 0;
  std::size_t limit = 0;
};
std::optional<std::vector<std::string>> parseTableRead(std::string_view body, base::Reason& reason);
std::optional<TableScan> parseTableScan(std::string_view body, base::Reason& reason);
std::optional<clients::TableTransaction> parseTableTransaction(std::string_view body,
                                                               base::Reason& reason);

std::string encodeReport(const clients::EngineReport& report);
std::string encodeOrderReply(const clients::OrderReply& reply);
std::string encodeTableReply(const clients::TableReply& reply);
std::string encodeMachines(const std::vector<clients::Machine>& machines);
/// Each encodes one server-sent event, including the blank line that ends it.
std::string encodeChunkEvent(const clients::StreamChunk& chunk);
std::string encodeEndEvent(const clients::StreamEnd& end);

/// Builds an error response. `mayHaveRun` selects the outcome "unknown" instead of "not-run".
live::HttpResponse errorResponse(const base::Reason& reason, bool mayHaveRun);

std::string_view toString(clients::MachineKind kind);
std::optional<clients::MachineKind> parseMachineKind(std::string_view name);

}  // namespace covewing::emulator_http
