/// \file
/// JSON bodies of docs/PLATFORM.md, on the side of engines and platform services.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"
#include "live/http_message.h"
#include "platform/engine_client.h"
#include "platform/machine_list_client.h"
#include "platform/table_client.h"

namespace covewing::emulator_http {

/// Each parser gives nothing, with the offending field named, when the body is wrong.
std::optional<platform::EngineRequest> parseEngineRequest(std::string_view body,
                                                          base::Reason& reason);
std::optional<platform::EngineOrder> parseEngineOrder(std::string_view body, base::Reason& reason);

struct TableScan {
  std::string prefix;
  base::Revision after = 0;
  std::size_t limit = 0;
};
std::optional<std::vector<std::string>> parseTableRead(std::string_view body, base::Reason& reason);
std::optional<TableScan> parseTableScan(std::string_view body, base::Reason& reason);
std::optional<platform::TableTransaction> parseTableTransaction(std::string_view body,
                                                                base::Reason& reason);

std::string encodeReport(const platform::EngineReport& report);
std::string encodeOrderReply(const platform::OrderReply& reply);
std::string encodeTableReply(const platform::TableReply& reply);
std::string encodeMachines(const std::vector<platform::Machine>& machines);
/// One server-sent event, its blank line included.
std::string encodeChunkEvent(const platform::StreamChunk& chunk);
std::string encodeEndEvent(const platform::StreamEnd& end);

/// An error answer; `ran` says whether the outcome is unknown rather than "not-run".
live::HttpResponse errorResponse(const base::Reason& reason, bool mayHaveRun);

std::string_view toString(platform::MachineKind kind);
std::optional<platform::MachineKind> parseMachineKind(std::string_view name);

}  // namespace covewing::emulator_http
