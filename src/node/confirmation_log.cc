#include "node/confirmation_log.h"

#include <string>

#include "base/endpoint.h"

namespace covewing::node {

bool ConfirmationLog::shouldLog(const config::Confirmation& confirmation,
                                base::TimePoint now) const {
  if (!lastLoggedAt_) return true;
  const auto sinceLastLog = now - *lastLoggedAt_;
  if (sinceLastLog >= kRoutineInterval) return true;
  const bool unusual =
      confirmation.node != lastLoggedNode_ || now - confirmation.currentAt > kUnusualAge;
  return unusual && sinceLastLog >= kMinimumInterval;
}

void ConfirmationLog::onConfirmed(const config::Confirmation& confirmation, std::uint64_t version) {
  const auto now = clock_.now();
  if (!shouldLog(confirmation, now)) {
    ++unloggedCount_;
    return;
  }
  lastLoggedAt_ = now;
  lastLoggedNode_ = confirmation.node;
  log_.write(base::Event::kConfigurationConfirmed,
             {{"version", std::to_string(version)},
              {"revision", base::revisionText(confirmation.revision)},
              {"age_ms", base::millisecondsText(now - confirmation.currentAt)},
              {"call_ms", base::millisecondsText(now - confirmation.sentAt)},
              {"by", confirmation.node ? base::toString(*confirmation.node) : "table service"},
              {"unwritten", std::to_string(unloggedCount_)}});
  unloggedCount_ = 0;
}

}  // namespace covewing::node
