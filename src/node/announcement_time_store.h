/// \file
/// Stores in the table service when the latest versions of weights were announced, for nodes that
/// start later. A node that finds a version in its first snapshot cannot know how long ago it was
/// announced, nor which earlier versions are required already, and must not start their transition
/// periods again.
///
/// Times are those of the table service's own steady clock, so clocks of different nodes are never
/// compared. The row is written by a few responsible nodes among those that received the version as
/// a change; the first write wins. A node that is not responsible checks a few times whether it has
/// become responsible, since the responsible nodes may have been lost before they wrote.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "clients/table_client.h"

namespace covewing::node {

/// A version of a model's weights and the time since its announcement.
struct VersionAge {
  base::WeightsVersion version = 0;
  base::Duration age{};
};

class AnnouncementTimeStore {
 public:
  /// This node's estimate of the service's clock; empty before the first reply.
  using ServiceClock = std::function<std::optional<base::Duration>()>;
  /// Whether this node is one of the few that write. At the last check more nodes are responsible,
  /// since those few may have been lost or refused by the table service.
  using Responsible = std::function<bool(bool lastCheck)>;
  /// Called with the recently announced versions, ascending; with an empty list if the table
  /// service replied and has no announcement time of the version.
  using Callback = std::function<void(const std::vector<VersionAge>&)>;

  /// All references must outlive the store.
  AnnouncementTimeStore(
      clients::TableClient& table, base::Clock& clock, base::TimerService& timers,
      ServiceClock serviceClock, Responsible responsible = [](bool) { return true; })
      : table_(table),
        clock_(clock),
        timers_(timers),
        serviceClock_(std::move(serviceClock)),
        responsible_(std::move(responsible)) {}

  /// Writes the announcement time of a version that was announced at most `age` ago, unless another
  /// node has written it.
  void write(const std::string& model, base::WeightsVersion version, base::Duration age = {});
  /// Like `write`, but waits until the node is responsible, and drops the write if it does not
  /// become responsible within the next seconds.
  void writeWhenResponsible(const std::string& model, base::WeightsVersion version,
                            base::Duration age);
  /// Calls `callback` with the ages of the version and of earlier ones once the announcement time
  /// is stored, and once before that with an empty list if it is not stored yet. Repeats a read
  /// that failed or found nothing, with growing delays, for some 19 s: a version without an
  /// announcement time is required by then in any case.
  void lookUp(const std::string& model, base::WeightsVersion version, Callback callback);

 private:
  struct PendingWrite;
  struct PendingLookUp;

  /// Null while the service's clock is unknown.
  std::shared_ptr<PendingWrite> prepare(const std::string& model, base::WeightsVersion version,
                                        base::Duration age) const;
  void checkResponsibility(const std::shared_ptr<PendingWrite>& write, int remainingChecks);
  void attempt(const std::shared_ptr<PendingWrite>& write);
  void onWritten(const std::shared_ptr<PendingWrite>& write, const clients::TableReply& reply);
  void attempt(const std::shared_ptr<PendingLookUp>& lookUp);
  /// The latest time that the service's clock may show now.
  std::optional<base::Duration> latestServiceTime(const clients::TableReply& reply,
                                                  base::TimePoint sentAt) const;
  void onRead(const std::shared_ptr<PendingLookUp>& lookUp, const clients::TableReply& reply);

  clients::TableClient& table_;
  base::Clock& clock_;
  base::TimerService& timers_;
  ServiceClock serviceClock_;
  Responsible responsible_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::node
