#include "quarantine/served_requests.h"

namespace covewing::quarantine {

void ServedRequests::add(base::RequestFeature request, base::TimePoint now) {
  order_.push_back({request, now});
  latest_[request] = now;
  while (order_.size() > kMaximumEntries || now - order_.front().at > kRetention) {
    const auto& oldest = order_.front();
    const auto known = latest_.find(oldest.request);
    if (known != latest_.end() && known->second == oldest.at) latest_.erase(known);
    order_.pop_front();
  }
}

bool ServedRequests::contains(base::RequestFeature request, base::TimePoint now) const {
  const auto known = latest_.find(request);
  return known != latest_.end() && now - known->second <= kRetention;
}

}  // namespace covewing::quarantine
