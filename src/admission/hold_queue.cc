#include "admission/hold_queue.h"

#include <algorithm>

namespace covewing::admission {

void HoldQueue::push(base::PriorityClass priority, AdmissionId id) {
  classes_.at(static_cast<std::size_t>(priority)).push_back(id);
}

void HoldQueue::remove(base::PriorityClass priority, AdmissionId id) {
  auto& entries = classes_.at(static_cast<std::size_t>(priority));
  const auto found = std::lower_bound(entries.begin(), entries.end(), id);
  if (found != entries.end() && *found == id) entries.erase(found);
}

std::optional<AdmissionId> HoldQueue::front() const {
  for (const auto& entries : classes_) {
    if (!entries.empty()) return entries.front();
  }
  return std::nullopt;
}

std::optional<AdmissionId> HoldQueue::last() const {
  for (std::size_t index = classes_.size(); index-- > 0;) {
    if (!classes_.at(index).empty()) return classes_.at(index).back();
  }
  return std::nullopt;
}

std::size_t HoldQueue::aheadOf(base::PriorityClass priority) const {
  std::size_t count = 0;
  for (std::size_t index = 0; index <= static_cast<std::size_t>(priority); ++index) {
    count += classes_.at(index).size();
  }
  return count;
}

std::size_t HoldQueue::size() const {
  std::size_t count = 0;
  for (const auto& entries : classes_) count += entries.size();
  return count;
}

const std::deque<AdmissionId>& HoldQueue::entries(base::PriorityClass priority) const {
  return classes_.at(static_cast<std::size_t>(priority));
}

}  // namespace covewing::admission
