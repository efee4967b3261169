/// \file
/// Traces of the requests that this node served most recently, for the operator command `explain`.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <unordered_map>

#include "base/ids.h"
#include "request/request_trace.h"

namespace covewing::node {

/// Holds a limited number of traces; the size of each trace is limited by the number of attempts
/// and candidates recorded in it.
class ExplainLog final : public request::TraceLog {
 public:
  static constexpr std::size_t kDefaultCapacity = 4096;

  explicit ExplainLog(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  void add(std::shared_ptr<const request::RequestTrace> trace) override;
  /// Returns the trace of the request, which may still be running; null if the request is unknown
  /// or its trace has been evicted.
  /// Valid until control returns to the event loop.
  const request::RequestTrace* find(const base::RequestId& id) const;
  std::size_t size() const { return order_.size(); }

 private:
  std::size_t capacity_;
  /// Oldest first.
  std::deque<base::RequestId> order_;
  std::unordered_map<base::RequestId, std::shared_ptr<const request::RequestTrace>> traces_;
};

}  // namespace covewing::node
