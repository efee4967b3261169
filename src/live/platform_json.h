/// \file
/// JSON forms of the platform services' calls (docs/PLATFORM.md). Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/machine_list_client.h"
#include "platform/table_client.h"

namespace covewing::live {

std::string tableReadToJson(const std::vector<std::string>& keys);
std::string tableScanToJson(std::string_view prefix, base::Revision after, std::size_t limit);
std::string tableTransactionToJson(const platform::TableTransaction& transaction);

/// Revision and rows of any table answer; its status is left to the caller. Empty when malformed.
std::optional<platform::TableReply> tableReplyFromJson(std::string_view text);

/// Empty when malformed.
std::optional<std::vector<platform::Machine>> machinesFromJson(std::string_view text);

}  // namespace covewing::live
