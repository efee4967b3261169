/// \file
/// Which era of the table service this node knows (base/revision.h), and what is not yet right
/// again after the service came back from a copy.
///
/// A newer era is noticed in any answer of the service, refusals included, and in what other nodes
/// say. Whoever keeps positions, rows or conditions of the former era is told, in the order in
/// which they asked for it, before the answer itself is handled.
///
/// What others than the nodes wrote before the return, they write again within
/// `kWrittenAgainWithin`. Until then a copy of a table may lack rows or show older ones, so that it
/// proves nothing of what those others have written.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/revision.h"
#include "base/time.h"

namespace covewing::config {

/// From the return of the service until operators and replicas have written again what it lost.
inline constexpr base::Duration kWrittenAgainWithin = std::chrono::seconds(2);

/// The service came back from a copy.
struct StoreReturn {
  base::StoreEra former = 0;
  base::StoreEra now = 0;
};

class StoreEras {
 public:
  using Listener = std::function<void(const StoreReturn&)>;

  /// Both must outlive the eras.
  StoreEras(base::Clock& clock, base::EventLog& log) : clock_(clock), log_(log) {}

  /// Somebody names an era of the service; `source` says who, for the log. False when a newer one
  /// is known: what was said with it is of a history that has ended.
  bool note(base::StoreEra era, std::string_view source);
  /// The service came back so long ago, as other nodes noticed it, in the era that is known here.
  void onReturnTold(base::Duration ago);
  /// The newest era that was named; empty before the first answer.
  std::optional<base::StoreEra> known() const { return known_; }
  base::StoreEra current() const { return known_.value_or(0); }
  /// From when on all rows by others are written again; empty while no return is known of.
  std::optional<base::TimePoint> writtenAgainBy() const { return writtenAgainBy_; }
  /// Rows by others may be missing or older than they were.
  bool writingAgain() const { return writtenAgainBy_ && clock_.now() < *writtenAgainBy_; }
  /// When this node noticed the return to the era that is known; empty where it began with it.
  std::optional<base::TimePoint> returnedAt() const { return returnedAt_; }
  /// Zero where no return is known of.
  base::Duration sinceReturn() const {
    return returnedAt_ ? clock_.now() - *returnedAt_ : base::Duration::zero();
  }
  /// Called at each return that is noticed.
  void onReturn(Listener listener) { listeners_.push_back(std::move(listener)); }

 private:
  base::Clock& clock_;
  base::EventLog& log_;
  std::optional<base::StoreEra> known_;
  std::optional<base::TimePoint> returnedAt_;
  std::optional<base::TimePoint> writtenAgainBy_;
  std::vector<Listener> listeners_;
};

}  // namespace covewing::config
