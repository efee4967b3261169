/// \file
/// A whole copy of the templates as one object of the object store: one more source for nodes that
/// start when neither a peer nor the table service has one. Checked by a hash over its bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "platform/table_client.h"

namespace covewing::config {

inline constexpr std::string_view kSnapshotObject = "configuration-snapshot";

struct ConfigurationSnapshot {
  /// The copy holds everything up to this revision.
  base::Revision completeUpTo = 0;
  std::vector<platform::TableRow> rows;
};

std::string encode(const ConfigurationSnapshot& snapshot);
/// Empty with the reason when the bytes are torn, altered or of another version.
std::optional<ConfigurationSnapshot> decodeSnapshot(std::string_view bytes, base::Reason& reason);

}  // namespace covewing::config
