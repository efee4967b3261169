#include "routing/answer_notices.h"

namespace covewing::routing {

namespace {

constexpr unsigned kServiceUnavailable = 503;
constexpr std::string_view kAnswer = "answer";

void recordBackOff(ReplicaRecord& replica, base::EventLog& log,
                   const clients::RelayedAnswer& answer, base::TimePoint now,
                   const std::string& request) {
  if (answer.rest > base::Duration::zero()) replica.notices().startBackOff(now + answer.rest);
  log.write(base::Event::kReplicaRests,
            {{"replica", replica.facts().instance},
             {"request", request},
             {"rest_ms", base::millisecondsText(answer.rest)},
             {"rests_for_ms", base::millisecondsText(replica.notices().backOffUntil() - now)},
             {"why", answer.restUnreadable ? "the requested back-off time cannot be parsed" : ""}});
}

}  // namespace

void recordAnswerNotices(ReplicaRecord& replica, base::EventLog& log,
                         const clients::RelayedAnswer& answer, const AnswerTimes& times,
                         const std::string& request) {
  const NoticeSource source{kAnswer, answer.status, request};
  if (answer.leaving) recordLeaving(replica, log, source);
  recordRateLimit(replica, log, {answer.rateLimit, times.sentAt, times.receivedAt}, source);
  const bool namesBackOff = answer.rest > base::Duration::zero() || answer.restUnreadable;
  if (answer.status == kServiceUnavailable && namesBackOff)
    recordBackOff(replica, log, answer, times.receivedAt, request);
}

}  // namespace covewing::routing
