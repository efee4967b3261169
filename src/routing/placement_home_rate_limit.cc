// Rate limits of the replicas as known to their home, and the share of them that it may grant.
#include "routing/placement_home.h"

namespace covewing::routing {

bool PlacementHome::isHome(const ReplicaRecord& record) const {
  const auto& facts = record.facts();
  return homes_.homeOf(base::engineIdOf(facts.instance), facts.zone).id ==
         environment_.members.self().id;
}

double PlacementHome::rateShare() const {
  const auto& members = environment_.members;
  const auto live = members.liveMembers().size();
  const auto lost = members.lostMembers();
  if (live <= lost) return static_cast<double>(live) / static_cast<double>(live + lost);
  // After a common start there may be one group of nodes for each seed, each with a home of its
  // own.
  return 1.0 / static_cast<double>(1 + members.missingSeeds());
}

void PlacementHome::applyRateLimit(base::EngineId replica, ReplicaQueue& state) const {
  const auto record = environment_.replicas.find(replica);
  if (record == nullptr) return;
  auto rate = record->notices().rateLimit().perSecond();
  if (rate) *rate *= rateShare();
  state.ledger.setRate(rate, environment_.clock.now());
}

void PlacementHome::onRateLimitReported(base::EngineId replica,
                                        const clients::RateLimitNotice& notice,
                                        const ReplicaQueue& state, std::uint64_t grant) {
  const auto record = environment_.replicas.find(replica);
  if (record == nullptr) return;
  const auto now = environment_.clock.now();
  // The request was sent after its grant. If the time of the grant is unknown, the notice cannot
  // end a limit.
  const auto sentAfter = state.ledger.grantedAt(grant).value_or(base::TimePoint::min());
  recordRateLimit(*record, environment_.log, {notice, sentAfter, now}, {kOtherNode, 0, {}});
}

void PlacementHome::adoptRateLimit(const PlacementQuery& query) {
  // Only limits are adopted: a home accepts the absence of a limit only from the replica's own
  // responses.
  if (!query.rateLimit.notice.limited()) return;
  if (const auto record = environment_.replicas.find(query.replica))
    recordRateLimit(*record, environment_.log,
                    evidenceOf(query.rateLimit, environment_.clock.now()), {kOtherNode, 0, {}});
}

}  // namespace covewing::routing
