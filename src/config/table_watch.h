/// \file
/// A complete copy of one table of the table service, kept current by its feed.
///
/// States: reading all rows -> following the changes -> (history gone) reading all rows again.
/// A call that fails is repeated with growing, jittered waits; what is known stays known meanwhile.
///
/// When the service comes back from a copy, the feed is asked again at once, and either tells what
/// is different in the new era or has all rows read again. Rows are then taken as they are, also
/// where their revisions are lower than those known: these are of a history that has ended.
///
/// Freshness. An answer proves that nothing else had been committed when the call was *sent*, and
/// by the service's clock, if that runs evenly, when the answer was made (config/service_clock).
/// The latter is what `confirmedAt` gives, so it may be too young by as long as the service may
/// hold a call, and no more; `trustedAge` allows for that.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "clients/table_feed_client.h"

namespace covewing::config {

/// How long the service may hold a call for changes; freshness is confirmed this often.
inline constexpr base::Duration kLongestHold = std::chrono::milliseconds(800);

/// How long the service may hold a call where nothing older than `bound` may be acted on; zero:
/// there is no bound.
base::Duration holdFor(base::Duration bound);
/// For how long a proof that a copy is the newest is trusted there; zero: without bound.
base::Duration trustedAge(base::Duration bound);

struct TableWatchOptions {
  std::string table;
  /// How long the service may hold a call for changes.
  base::Duration wait = kLongestHold;
  /// Between an answer with changes and the next call, so that changes in quick succession are
  /// taken together.
  base::Duration pause{};
  base::Duration firstBackoff = std::chrono::milliseconds(50);
  base::Duration maximumBackoff = std::chrono::seconds(1);
};

/// How a row became known.
enum class RowSource : std::uint8_t {
  /// In a copy of the whole table: it may have changed at any time before.
  kCopy,
  /// As a change, just now.
  kFeed,
};

/// A proof that the copy was complete.
struct Confirmation {
  /// Everything that was committed before this is in the copy.
  base::TimePoint currentAt{};
  /// When the call was sent that the proof answers.
  base::TimePoint sentAt{};
  base::Revision revision = 0;
  /// The node that passed the proof on; empty: the table service itself.
  std::optional<base::Endpoint> node;
};

class TableWatchListener {
 public:
  virtual ~TableWatchListener() = default;
  /// A row is new or has changed.
  virtual void onRow(const clients::FeedRow& row, RowSource source) = 0;
  /// The row is gone; `row.value` is empty.
  virtual void onRemoved(const clients::FeedRow& row) = 0;
  /// Called after each reply that brought the copy up to date, whether or not it held changes.
  virtual void onCurrent() = 0;
  /// A call failed; the copy may be outdated from now on.
  virtual void onFailure(clients::FeedStatus status) = 0;
};

class TableWatch {
 public:
  TableWatch(TableWatchOptions options, base::Clock& clock, base::TimerService& timers,
             base::RandomSource& random, clients::TableFeedClient& feed,
             TableWatchListener& listener);
  ~TableWatch();
  TableWatch(const TableWatch&) = delete;
  TableWatch& operator=(const TableWatch&) = delete;

  void start();
  /// The process was paused: what was asked before it may never be answered, so the feed is asked
  /// again at once.
  void onWake();
  /// The service came back from a copy: what it was asked before may be held for long, and its
  /// answer proves nothing any more.
  void onStoreReturned();
  /// False from a wake until the feed has answered a call that was sent after it.
  bool caughtUp() const { return caughtUp_; }
  /// When the last call that proved the copy current was sent; empty before the first copy.
  std::optional<base::TimePoint> confirmedAt() const { return confirmedAt_; }
  /// The latest answer that proved the copy current; empty before the first copy.
  const std::optional<Confirmation>& lastConfirmation() const { return lastConfirmation_; }
  /// The service could not be reached at this moment, the latest before the last answer with rows
  /// from the service itself; empty when it could be, or other nodes answered.
  std::optional<base::TimePoint> unreachableAt() const { return unreachableAt_; }
  /// The service's own clock now, as far as its latest answer tells; empty when it does not.
  std::optional<base::Duration> serviceTime() const;

 private:
  /// Leaves no back-off and no timer.
  void askAtOnce();
  void next();
  void ask(base::Duration wait);
  void readAll();
  void follow(base::Duration wait);
  /// Wraps the handler of an answer, which does nothing once a later call was made.
  template <class Handler>
  clients::FeedCallback ofThisCall(Handler handler);
  void onAll(const clients::FeedReply& reply, base::TimePoint sentAt);
  void onChanges(const clients::FeedReply& reply, base::TimePoint sentAt);
  void onFailed(clients::FeedStatus status);
  void confirm(const clients::FeedReply& reply, base::TimePoint sentAt);
  void apply(clients::FeedRow row, RowSource source);
  /// Takes a row of a whole copy, complete up to `copied`, where the copy is of a later era than
  /// the rows that are known, or the row is numbered by a former era.
  void applyOfLaterEra(clients::FeedRow row, base::Revision copied);
  void removeMissing(const clients::FeedReply& copy);
  void noteServiceTime(const clients::FeedReply& reply);
  void remove(const clients::FeedRow& row);

  TableWatchOptions options_;
  base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  clients::TableFeedClient& feed_;
  TableWatchListener& listener_;
  /// Revision of each row that is known, by key.
  std::map<std::string, base::Revision> revisions_;
  /// The feed goes on behind this revision; empty: all rows must be read.
  std::optional<base::Revision> position_;
  /// The copy was complete up to this revision when it was last confirmed.
  base::Revision confirmedRevision_ = 0;
  std::optional<base::TimePoint> confirmedAt_;
  std::optional<Confirmation> lastConfirmation_;
  std::optional<base::TimePoint> unreachableAt_;
  /// The service's clock less this node's.
  std::optional<base::Duration> serviceOffset_;
  base::Duration backoff_{};
  base::TimerId retryTimer_ = 0;
  std::uint64_t lastCall_ = 0;
  bool caughtUp_ = true;
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::config
