/// \file
/// Messages of the configuration channel between nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "config/configuration_store.h"

namespace covewing::config {

/// Rows just accepted, or sent for repair. Whoever has an older one passes it on once.
struct RowPush {
  std::vector<clients::TableRow> rows;
  /// Repairs are not passed on.
  bool repair = false;
};

/// "I am complete up to `after`: what came then?"
struct PageRequest {
  std::uint64_t nonce = 0;
  base::Revision after = 0;
};

/// Answer to a page request. Its times count from the moment that the request was sent, on the
/// asker's clock, so that a late answer never makes anything look fresher than it is.
struct PageReply {
  std::uint64_t nonce = 0;
  /// The asked node sends no rows for now; another may.
  bool busy = false;
  std::vector<clients::TableRow> rows;
  base::Revision completeUpTo = 0;
  /// The rows reach the end of what the answering node has.
  bool last = false;
  /// The answering node has a whole copy.
  bool loaded = false;
  /// Age of the answering node's confirmation; empty if it has none.
  std::optional<base::Duration> confirmedAge;
};

/// Opens a comparison: digest of all rows. Equal stores do not answer.
struct DigestProbe {
  std::uint64_t digest = 0;
};

struct BucketDigestList {
  ConfigurationStore::BucketDigests digests{};
};

/// Versions of the rows in the buckets whose bit is set.
struct BucketRows {
  std::uint64_t buckets = 0;
  std::vector<RowSummary> rows;
};

/// Rows wanted, by the hash of their name, with the revision held.
struct RowsWanted {
  std::vector<RowSummary> rows;
};

using ConfigurationMessage = std::variant<RowPush, PageRequest, PageReply, DigestProbe,
                                          BucketDigestList, BucketRows, RowsWanted>;

std::string encode(const ConfigurationMessage& message);
/// Empty when the payload is malformed.
std::optional<ConfigurationMessage> decodeConfigurationMessage(std::string_view payload);

/// Packed list of rows of the template prefix.
std::string packRows(const std::vector<clients::TableRow>& rows);
/// Empty when malformed.
std::optional<std::vector<clients::TableRow>> unpackRows(std::string_view bytes);

}  // namespace covewing::config
