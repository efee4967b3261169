#include "node/feed_outage_log.h"

namespace covewing::node {

void FeedOutageLog::onCurrent() {
  if (std::exchange(failing_, false))
    log_.write(base::Event::kPlatformRecovered, {{"service", feed_}});
}

void FeedOutageLog::onFailure(clients::FeedStatus status) {
  if (std::exchange(failing_, true)) return;
  log_.write(base::Event::kPlatformUnavailable,
             {{"service", feed_}, {"status", std::to_string(static_cast<unsigned>(status))}});
}

}  // namespace covewing::node
