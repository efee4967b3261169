#include "config/store_eras.h"

#include <algorithm>
#include <utility>

namespace covewing::config {

bool StoreEras::note(base::StoreEra era, std::string_view source) {
  if (known_ && era <= *known_) return era == *known_;
  const auto former = std::exchange(known_, era);
  // A node that has just started cannot tell how long the service has been in this era; those that
  // saw it come say so (onReturnTold).
  if (!former) return true;
  const auto now = clock_.now();
  returnedAt_ = now;
  writtenAgainBy_ = now + kWrittenAgainWithin;
  log_.write(base::Event::kStoreReturned, {{"era", std::to_string(era)},
                                           {"former", std::to_string(*former)},
                                           {"source", std::string{source}}});
  for (const auto& listener : listeners_) listener({*former, era});
  return true;
}

void StoreEras::onReturnTold(base::Duration ago) {
  if (ago >= kWrittenAgainWithin || returnedAt_) return;
  returnedAt_ = clock_.now() - std::max(ago, base::Duration::zero());
  writtenAgainBy_ = *returnedAt_ + kWrittenAgainWithin;
}

}  // namespace covewing::config
