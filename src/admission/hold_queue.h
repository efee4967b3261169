/// \file
/// Requests that are held for capacity: ordered by priority class, first in, first out within a
/// class.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/priority.h"

namespace covewing::admission {

/// Sequence number of an admission on this node, in order of arrival.
using AdmissionId = std::uint64_t;

class HoldQueue {
 public:
  void push(base::PriorityClass priority, AdmissionId id);
  /// Removes the entry if it is queued.
  void remove(base::PriorityClass priority, AdmissionId id);
  /// The oldest entry of the most urgent non-empty class.
  std::optional<AdmissionId> front() const;
  /// The newest entry of the least urgent non-empty class: the first one to be shed.
  std::optional<AdmissionId> last() const;
  /// Number of entries of this class and of more urgent ones.
  std::size_t aheadOf(base::PriorityClass priority) const;
  std::size_t size() const;
  const std::deque<AdmissionId>& entries(base::PriorityClass priority) const;

 private:
  std::array<std::deque<AdmissionId>, base::kPriorityClassCount> classes_;
};

}  // namespace covewing::admission
