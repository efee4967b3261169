#include "node/confirmation_log.h"

#include <string>

#include "base/endpoint.h"

namespace covewing::node {

bool ConfirmationLog::worthALine(const config::Confirmation& confirmation,
                                 base::TimePoint now) const {
  if (!writtenAt_) return true;
  const auto since = now - *writtenAt_;
  if (since >= kQuietInterval) return true;
  const bool unusual =
      confirmation.node != writtenNode_ || now - confirmation.currentAt > kUnusualAge;
  return unusual && since >= kLeastInterval;
}

void ConfirmationLog::onConfirmed(const config::Confirmation& confirmation, std::uint64_t version) {
  const auto now = clock_.now();
  if (!worthALine(confirmation, now)) {
    ++unwritten_;
    return;
  }
  writtenAt_ = now;
  writtenNode_ = confirmation.node;
  log_.write(base::Event::kConfigurationConfirmed,
             {{"version", std::to_string(version)},
              {"revision", base::revisionText(confirmation.revision)},
              {"age_ms", base::millisecondsText(now - confirmation.currentAt)},
              {"call_ms", base::millisecondsText(now - confirmation.sentAt)},
              {"by", confirmation.node ? base::toString(*confirmation.node) : "table service"},
              {"unwritten", std::to_string(unwritten_)}});
  unwritten_ = 0;
}

}  // namespace covewing::node
