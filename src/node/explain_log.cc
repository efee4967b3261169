#include "node/explain_log.h"

#include <utility>

namespace covewing::node {

void ExplainLog::add(std::shared_ptr<const request::RequestTrace> trace) {
  while (order_.size() >= capacity_) {
    traces_.erase(order_.front());
    order_.pop_front();
  }
  order_.push_back(trace->id);
  const base::RequestId& id = order_.back();
  traces_.insert_or_assign(id, std::move(trace));
}

const request::RequestTrace* ExplainLog::find(const base::RequestId& id) const {
  const auto found = traces_.find(id);
  return found == traces_.end() ? nullptr : found->second.get();
}

}  // namespace covewing::node
