/// \file
/// JSON forms of the platform services' calls (docs/PLATFORM.md). Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clients/machine_list_client.h"
#include "clients/table_client.h"

namespace covewing::live {

std::string tableReadToJson(const std::vector<std::string>& keys);
std::string tableScanToJson(std::string_view prefix, base::Revision after, std::size_t limit);
std::string tableTransactionToJson(const clients::TableTransaction& transaction);

/// Revision and rows of any table answer; its status is left to the caller. Empty when malformed.
std::optional<clients::TableReply> tableReplyFromJson(std::string_view text);

/// Empty when malformed.
std::optional<std::vector<clients::Machine>> machinesFromJson(std::string_view text);

}  // namespace covewing::live
