/// \file
/// Linearizability of one object's concurrent history, by the search of Wing and Gong with the
/// memory of visited configurations of Lowe ("Testing for linearizability", 2017).
///
/// An operation without a return may take effect at any time after its invocation, or never. The
/// search is exponential in the worst case and quick for the short histories of one object.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/time.h"

namespace covewing::sim {

template <class Operation>
struct TimedOperation {
  Operation operation;
  base::TimePoint invokedAt;
  /// Empty when no certain answer ever came.
  std::optional<base::TimePoint> returnedAt;
};

/// `Model` names the types `State` (ordered, copyable) and `Operation`, and has the static
/// functions `State initial()` and `std::optional<State> apply(const State&, const Operation&)`,
/// empty where the operation cannot have had its result in that state.
template <class Model>
class LinearizabilityChecker {
 public:
  using State = typename Model::State;
  using Operations = std::vector<TimedOperation<typename Model::Operation>>;

  explicit LinearizabilityChecker(Operations operations) : operations_(std::move(operations)) {}

  /// True when some order of the operations, compatible with their times, explains all results.
  bool check() {
    visited_.clear();
    return search(std::vector<bool>(operations_.size(), false), Model::initial());
  }

 private:
  using Done = std::vector<bool>;

  /// Earliest return among the operations that are not in the order yet: what was invoked later
  /// cannot come next.
  std::optional<base::TimePoint> earliestReturn(const Done& done) const {
    std::optional<base::TimePoint> earliest;
    for (std::size_t index = 0; index < operations_.size(); ++index) {
      const auto& returned = operations_[index].returnedAt;
      if (done[index] || !returned) continue;
      if (!earliest || *returned < *earliest) earliest = returned;
    }
    return earliest;
  }

  bool search(const Done& done, const State& state) {
    const auto earliest = earliestReturn(done);
    if (!earliest) return true;
    if (!visited_.emplace(done, state).second) return false;
    for (std::size_t index = 0; index < operations_.size(); ++index) {
      const auto& candidate = operations_[index];
      if (done[index] || candidate.invokedAt > *earliest) continue;
      const auto next = Model::apply(state, candidate.operation);
      if (!next) continue;
      auto nextDone = done;
      nextDone[index] = true;
      if (search(nextDone, *next)) return true;
    }
    return false;
  }

  Operations operations_;
  std::set<std::pair<Done, State>> visited_;
};

}  // namespace covewing::sim
