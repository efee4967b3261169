/// \file
/// Operators of a simulated run who race each other: they read and change the same templates
/// through different nodes, repeat calls whose answer was lost, create tenants and retire them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "sim/fleet.h"
#include "sim/history_recorder.h"
#include "sim/workload.h"

namespace covewing::sim {

struct OperatorWorkloadOptions {
  std::size_t operators = 2;
  /// Mean pause of an operator between two changes.
  base::Duration pause = std::chrono::seconds(3);
  /// Tenants that are created, used and retired during the run.
  std::size_t passingTenants = 1;
  base::Duration length = std::chrono::seconds(60);
};

/// Operators' document of a tenant of these workloads. `mark` tells its versions apart; it is a
/// limit of output tokens far above what callers ask for.
std::string tenantDocument(const WorkloadTenant& tenant, std::uint32_t mark, bool refuseWhenStale);
/// Mark of the first version.
inline constexpr std::uint32_t kFirstMark = 100'000;

class OperatorWorkload {
 public:
  OperatorWorkload(Fleet& fleet, HistoryRecorder& recorder, Workload& callers,
                   OperatorWorkloadOptions options, std::vector<WorkloadTenant> tenants,
                   std::uint64_t seed);
  void start();
  /// All operators change the same template at once.
  void race();

 private:
  /// One operator's change, over all its repetitions.
  struct Change {
    OperatorCallKind kind = OperatorCallKind::kChange;
    WorkloadTenant tenant;
    base::Revision expectedVersion = 0;
    std::string operationId;
    std::uint32_t mark = 0;
    std::uint32_t repetitions = 0;
  };

  bool over() const { return fleet_.scheduler().now() >= endsAt_; }
  void schedulePass(std::size_t number);
  void scheduleChange(std::size_t who);
  /// Reads the template through one node and changes it through another.
  void change(const WorkloadTenant& tenant, OperatorCallKind kind);
  void submit(const Change& change);
  void onAnswer(Change change, std::size_t record, const std::optional<node::OperatorResponse>&);
  std::size_t chooseNode();
  std::string nextOperationId() { return "operation-" + std::to_string(nextOperation_++); }
  base::Duration uniform(base::Duration bound);

  Fleet& fleet_;
  HistoryRecorder& recorder_;
  Workload& callers_;
  OperatorWorkloadOptions options_;
  std::vector<WorkloadTenant> tenants_;
  base::SeededRandom random_;
  base::TimePoint endsAt_;
  std::uint64_t nextOperation_ = 1;
  std::uint32_t nextMark_ = kFirstMark + 1;
};

}  // namespace covewing::sim
