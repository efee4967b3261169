/// \file
/// A copy of the templates in the object store: one more source for nodes that start when neither a
/// peer nor the table service has one. Two objects, each checked by a hash over its bytes: a whole
/// copy, seldom written, and what changed since.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "clients/table_client.h"

namespace covewing::config {

inline constexpr std::string_view kSnapshotObject = "configuration-snapshot";
inline constexpr std::string_view kSnapshotChangesObject = "configuration-snapshot-changes";

struct ConfigurationSnapshot {
  /// The rows are those above this revision; 0 for a whole copy.
  base::Revision after = 0;
  /// With everything up to `after`, the rows make a copy that is complete up to this revision.
  base::Revision completeUpTo = 0;
  std::vector<clients::TableRow> rows;
};

std::string encode(const ConfigurationSnapshot& snapshot);
/// Empty with the reason when the bytes are torn, altered or of another version.
std::optional<ConfigurationSnapshot> decodeSnapshot(std::string_view bytes, base::Reason& reason);

}  // namespace covewing::config
