/// \file
/// Converts calls to platform services and their responses to and from JSON (docs/PLATFORM.md).
/// Does no I/O.
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

/// Parses the revision and the rows of any response of the table service; the caller sets the
/// status. Returns nothing if the text is malformed.
std::optional<clients::TableReply> tableReplyFromJson(std::string_view text);

/// Returns nothing if the text is malformed.
std::optional<std::vector<clients::Machine>> machinesFromJson(std::string_view text);

}  // namespace covewing::live
