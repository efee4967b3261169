/// \file
/// The platform's transactional table service, as decision code sees it.
///
/// The service keeps rows (key, value) and one revision counter: each committed transaction takes
/// the next revision and stamps the rows it writes. It is rate-limited, may be down or slow for
/// long stretches, and an answer may be lost after its transaction took effect: `kUnknown` means
/// exactly that, and the caller must read back (by a nonce in the value) before it tries again.
///
/// It may also come back from a copy that is some seconds old: what the nodes wrote since is gone,
/// and revision numbers are given out again in a new era (base/revision.h). What must outlast that
/// is written again by the nodes that know it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "base/time.h"

namespace covewing::clients {

struct TableRow {
  std::string key;
  std::string value;
  /// Revision of the transaction that last wrote the row.
  base::Revision revision = 0;
};

/// Holds when the row's revision equals `revision`; 0 means the row must be absent.
struct TableCondition {
  std::string key;
  base::Revision revision = 0;
};

/// Sets a row, or removes it where `value` is empty.
struct TableWrite {
  std::string key;
  std::optional<std::string> value;
};

/// Applied whole or not at all: all conditions hold, then all writes take one new revision.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

enum class TableStatus {
  kOk,
  /// A condition did not hold; `rows` are the current rows of the conditions' keys.
  kConflict,
  /// The service refused for its rate limit: nothing happened.
  kRateLimited,
  /// No connection: nothing happened.
  kUnavailable,
  /// No answer: the transaction may or may not have taken effect.
  kUnknown,
};

struct TableReply {
  TableStatus status = TableStatus::kUnknown;
  /// Revision of the commit (kOk of a transaction) or of the read.
  base::Revision revision = 0;
  /// Rows read, or the current rows on a conflict. Absent rows are left out.
  std::vector<TableRow> rows;
  /// The service's own steady clock when it answered, where it tells it.
  std::optional<base::Duration> serviceTime = std::nullopt;
};

using TableCallback = std::function<void(TableReply)>;

/// Client of the table service. Each call answers exactly once, later, on the node's thread.
class TableClient {
 public:
  virtual ~TableClient() = default;
  /// Reads the rows of `keys` at one revision.
  virtual void read(std::vector<std::string> keys, TableCallback callback) = 0;
  /// Reads rows whose key starts with `prefix` and whose revision is above `after`, in ascending
  /// order of revision, at most `limit`. `TableReply::revision` is the service's revision when the
  /// result is complete, else the last row's.
  virtual void scan(std::string prefix, base::Revision after, std::size_t limit,
                    TableCallback callback) = 0;
  virtual void commit(TableTransaction transaction, TableCallback callback) = 0;
};

}  // namespace covewing::clients
