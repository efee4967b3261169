/// \file
/// Messages between nodes that share the feeds of the table service: a node asks another for the
/// changes of a table, and is told them with the age of what the other knows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "clients/table_feed_client.h"

namespace covewing::config {

/// "What changed in the table behind this revision?"
struct FeedQuestion {
  /// Chosen by the asker; the answer carries it.
  std::uint64_t nonce = 0;
  std::string table;
  base::Revision after = 0;
  /// How long the answer may be held when there is nothing new.
  base::Duration wait{};
  /// All rows are asked for; `after` counts for nothing.
  bool whole = false;
  /// The newest era of the service that the asker knows; empty from nodes of a build without eras,
  /// which would take a revision of a later one for a number of the service.
  std::optional<base::StoreEra> era = std::nullopt;
};

struct FeedAnswer {
  std::uint64_t nonce = 0;
  /// The asked node cannot tell; another one or the table service must be asked.
  bool unable = false;
  std::vector<clients::FeedRow> rows;
  /// All changes up to this revision are told.
  base::Revision revision = 0;
  /// From the arrival of the question until this answer was sent.
  base::Duration held{};
  /// How long before this answer was sent each row was changed, at most, in the order of the rows;
  /// empty where nobody knows.
  std::vector<std::optional<base::Duration>> changedAgo;
  /// How long before this answer was sent the asked node's copy was last proved current.
  base::Duration age{};
  /// The table service's steady clock when the answer was sent, where it is known.
  std::optional<base::Duration> serviceTime;
  /// The newest era of the service that the asked node knows; 0 from builds without eras.
  base::StoreEra era = 0;
};

using FeedMessage = std::variant<FeedQuestion, FeedAnswer>;

std::string encodeFeedMessage(const FeedMessage& message);
/// Empty when the payload is malformed.
std::optional<FeedMessage> decodeFeedMessage(std::string_view payload);

}  // namespace covewing::config
