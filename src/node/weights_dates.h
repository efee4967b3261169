/// \file
/// When the latest versions of weights were named, kept in the table service for nodes that start
/// later: a node that finds a version in its first copy cannot know how long ago it was named, nor
/// which versions before it are in force already, and must not give them the whole time anew.
///
/// Times are those of the table service's own steady clock, so that no clocks of nodes are
/// compared. Nodes that saw the version arrive write the row; the first one wins.
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

class WeightsDates {
 public:
  /// The service's clock as this node knows it; empty before the first answer.
  using ServiceClock = std::function<std::optional<base::Duration>()>;
  /// The versions named lately, ascending.
  using Found = std::function<void(const std::vector<VersionAge>&)>;

  /// All must outlive the dates.
  WeightsDates(clients::TableClient& table, base::TimerService& timers, ServiceClock serviceClock)
      : table_(table), timers_(timers), serviceClock_(std::move(serviceClock)) {}

  /// This node saw the version arrive just now: writes its date unless another node did.
  void write(const std::string& model, base::WeightsVersion version);
  /// Calls `found` when the version's date is known, with those of the versions before it; repeats
  /// a read that failed, a few times.
  void lookUp(const std::string& model, base::WeightsVersion version, Found found);

 private:
  struct Write;
  struct LookUp;

  void step(const std::shared_ptr<Write>& write);
  void onWritten(const std::shared_ptr<Write>& write, const clients::TableReply& reply);
  void step(const std::shared_ptr<LookUp>& lookUp);
  void onRead(const std::shared_ptr<LookUp>& lookUp, const clients::TableReply& reply);

  clients::TableClient& table_;
  base::TimerService& timers_;
  ServiceClock serviceClock_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::node
