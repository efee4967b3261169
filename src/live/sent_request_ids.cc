#include "live/sent_request_ids.h"

#include <algorithm>

#include "base/ids.h"

namespace covewing::live {

void SentRequestIds::add(std::string_view id) {
  if (!id.empty()) hashes_.push_back(base::hashName(id));
}

bool SentRequestIds::contains(std::string_view id) const {
  return !id.empty() && std::ranges::find(hashes_, base::hashName(id)) != hashes_.end();
}

}  // namespace covewing::live
