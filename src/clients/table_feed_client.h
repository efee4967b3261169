/// \file
/// Watching one table of the platform's table service: a copy of all rows, then each change after
/// it, in order.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "clients/table_client.h"

namespace covewing::clients {

/// A row as a feed tells it.
struct FeedRow {
  std::string key;
  /// Empty when the row was removed.
  std::optional<std::string> value;
  base::Revision revision = 0;
  /// The change was made after this moment, on this node's clock; empty when nobody knows.
  std::optional<base::TimePoint> changedAfter = std::nullopt;
};

enum class FeedStatus : std::uint8_t {
  kOk,
  /// The changes asked for are no longer kept, or the service has come back from a copy since:
  /// copy all rows again.
  kHistoryGone,
  kRateLimited,
  /// No connection, a refusal, or no answer in time.
  kUnavailable,
};

struct FeedReply {
  FeedStatus status = FeedStatus::kUnavailable;
  std::vector<FeedRow> rows;
  /// Everything up to this revision is told by the reply; the next call goes on behind it. Of a
  /// reply that failed, at least its era counts where the service answered at all.
  base::Revision revision = 0;
  /// The service's own steady clock, where it tells it.
  std::optional<base::Duration> serviceTime = std::nullopt;
  /// When the rows were proved to be all there is, on this node's clock; empty: when the call was
  /// sent.
  std::optional<base::TimePoint> currentAt = std::nullopt;
  /// The service could not be reached at this moment, the latest such; empty when it could be ever
  /// since the reply before.
  std::optional<base::TimePoint> unreachableAt = std::nullopt;
  /// The node that answered; empty: the service itself.
  std::optional<base::Endpoint> answeredBy = std::nullopt;
};

using FeedCallback = std::function<void(FeedReply)>;
/// An answer of the service named this era; `source` says which answer, for the log.
using EraListener = std::function<void(base::StoreEra era, std::string_view source)>;

/// Each call answers exactly once, later, on the node's thread.
class TableFeedClient {
 public:
  virtual ~TableFeedClient() = default;
  /// All rows of the table. The reply's revision is that of the first page, so that changes made
  /// while later pages were read are told again by `changes`.
  virtual void readAll(std::string table, FeedCallback callback) = 0;
  /// The changes after a revision; held by the service for up to `wait` when there are none. The
  /// service itself knows nothing of eras of its history: its reply may be of a later one than
  /// `after`, and then tells nothing of what has changed behind that.
  virtual void changes(std::string table, base::Revision after, base::Duration wait,
                       FeedCallback callback) = 0;
  /// Told the era that each answer names, refusals included, before the answer is handed on. To be
  /// overridden where the service tells eras.
  virtual void onEra(const EraListener& /*listener*/) {}
};

}  // namespace covewing::clients
