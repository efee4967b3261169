/// \file
/// Requests that wait for capacity: by priority class, first in first out within a class.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/priority.h"

namespace covewing::admission {

/// Number of one admission on this node, in order of arrival.
using AdmissionId = std::uint64_t;

class HoldQueue {
 public:
  void push(base::PriorityClass priority, AdmissionId id);
  /// Removes the entry where it is queued.
  void remove(base::PriorityClass priority, AdmissionId id);
  /// The oldest entry of the most urgent class.
  std::optional<AdmissionId> front() const;
  /// The newest entry of the least urgent class, the first to be shed.
  std::optional<AdmissionId> last() const;
  /// Entries of this class and of more urgent ones.
  std::size_t aheadOf(base::PriorityClass priority) const;
  std::size_t size() const;
  const std::deque<AdmissionId>& entries(base::PriorityClass priority) const;

 private:
  std::array<std::deque<AdmissionId>, base::kPriorityClassCount> classes_;
};

}  // namespace covewing::admission
