/// \file
/// What a replica reports about itself in the head of an answer to a request: that it is leaving,
/// its rate limit, and a back-off that it requests from this node.
#pragma once

#include <string>

#include "base/event_log.h"
#include "clients/relay_client.h"
#include "routing/replica_directory.h"

namespace covewing::routing {

/// When the answered request was sent, and when the head of the answer was received.
struct AnswerTimes {
  base::TimePoint sentAt{};
  base::TimePoint receivedAt{};
};

/// Records the notices in `answer`, which is from `replica`, and logs them. `request` is the
/// identifier of the answered request.
void recordAnswerNotices(ReplicaRecord& replica, base::EventLog& log,
                         const clients::RelayedAnswer& answer, const AnswerTimes& times,
                         const std::string& request);

}  // namespace covewing::routing
