/// \file
/// When the latest versions of weights were named, kept in the table service for nodes that start
/// later: a node that finds a version in its first copy cannot know how long ago it was named, nor
/// which versions before it are in force already, and must not give them the whole time anew.
///
/// Times are those of the table service's own steady clock, so that no clocks of nodes are
/// compared. Of the nodes that saw the version arrive the few that are responsible write the row;
/// the first one wins. A node that is not responsible looks again a few times whether it has become
/// so: those that were may have been lost before they wrote.
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

/// A version of a model's weights and how long ago it was named.
struct VersionAge {
  base::WeightsVersion version = 0;
  base::Duration age{};
};

class AnnouncementTimeStore {
 public:
  /// The service's clock as this node knows it; empty before the first answer.
  using ServiceClock = std::function<std::optional<base::Duration>()>;
  /// Whether this node is one of the few that write; at the last check more take part, since those
  /// few may have been lost, or turned away by the table service.
  using Responsible = std::function<bool(bool lastCheck)>;
  /// The versions named lately, ascending; empty when the table service answered and has no date of
  /// the version.
  using Callback = std::function<void(const std::vector<VersionAge>&)>;

  /// All must outlive the dates.
  AnnouncementTimeStore(
      clients::TableClient& table, base::Clock& clock, base::TimerService& timers,
      ServiceClock serviceClock, Responsible responsible = [](bool) { return true; })
      : table_(table),
        clock_(clock),
        timers_(timers),
        serviceClock_(std::move(serviceClock)),
        responsible_(std::move(responsible)) {}

  /// This node knows that the version was named at most `age` ago: writes its date unless another
  /// node did.
  void write(const std::string& model, base::WeightsVersion version, base::Duration age = {});
  /// As `write`, as soon as the node is responsible within the next seconds.
  void writeWhenResponsible(const std::string& model, base::WeightsVersion version,
                            base::Duration age);
  /// Calls `found` when the version's date is known, with those of the versions before it, and once
  /// before that when it is not there; repeats a read that failed or found nothing, with growing
  /// pauses, for some 19 s: a version that has not been dated by then is in force in any case.
  void lookUp(const std::string& model, base::WeightsVersion version, Callback callback);

 private:
  struct PendingWrite;
  struct PendingLookUp;

  /// Null while the service's clock is not known.
  std::shared_ptr<PendingWrite> prepare(const std::string& model, base::WeightsVersion version,
                                        base::Duration age) const;
  void checkResponsibility(const std::shared_ptr<PendingWrite>& write, int remainingChecks);
  void attempt(const std::shared_ptr<PendingWrite>& write);
  void onWritten(const std::shared_ptr<PendingWrite>& write, const clients::TableReply& reply);
  void attempt(const std::shared_ptr<PendingLookUp>& lookUp);
  /// The service's clock now, at the latest that it can be.
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
