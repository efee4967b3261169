#include "routing/replica_crash_detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace covewing::routing {

namespace {

/// The fingerprints of the requests.
std::string textOf(const std::vector<base::InterruptedRequest>& requests) {
  base::RequestFeatures fingerprints;
  for (const auto& request : requests) {
    std::ranges::copy_if(request.features, std::back_inserter(fingerprints),
                         [](const auto& each) { return each.kind == base::FeatureKind::kRequest; });
  }
  return base::toString(fingerprints);
}

}  // namespace

ReplicaCrashDetector::~ReplicaCrashDetector() {
  for (const auto& [instance, suspicion] : suspicions_) environment_.timers.cancel(suspicion.timer);
}

void ReplicaCrashDetector::onRequestInterrupted(const ReplicaRecordPtr& replica,
                                                base::InterruptedRequest request) {
  dropExpired();
  const auto& instance = replica->facts().instance;
  if (endedAt_.contains(instance)) {
    report({instance, {std::move(request)}}, "it had ended before");
    return;
  }
  auto& suspicion = suspicions_[instance];
  if (suspicion.outlivedAt || suspicion.requests.empty()) begin(suspicion, replica);
  suspicion.requests.push_back(std::move(request));
}

void ReplicaCrashDetector::onCallFailed(const ReplicaRecordPtr& replica) {
  dropExpired();
  if (replica->mayBeReplaced(environment_.clock.now())) return;
  auto& suspicion = suspicions_[replica->facts().instance];
  const bool probing = suspicion.replica && !suspicion.outlivedAt;
  if (!probing && suspicion.requests.empty()) begin(suspicion, replica);
}

void ReplicaCrashDetector::begin(Suspicion& suspicion, const ReplicaRecordPtr& replica) {
  environment_.timers.cancel(suspicion.timer);
  suspicion = {};
  suspicion.replica = replica;
  suspicion.since = environment_.clock.now();
  scheduleProbe(replica->facts().instance, options_.firstProbe);
}

void ReplicaCrashDetector::onRemoved(const std::string& instance) {
  if (dropPlannedEnd(instance)) return;
  const auto found = suspicions_.find(instance);
  if (found == suspicions_.end()) return;
  if (found->second.outlivedAt) {
    suspicions_.erase(found);
    return;
  }
  conclude(instance, "its entry was removed");
}

void ReplicaCrashDetector::onRestarted(const std::string& instance) {
  if (dropPlannedEnd(instance)) return;
  const auto now = environment_.clock.now();
  // Requests whose connections fail later were lost with the ended instance, although the address
  // accepts new connections.
  endedAt_[instance] = now;
  const auto found = suspicions_.find(instance);
  if (found == suspicions_.end()) return;
  const auto& outlivedAt = found->second.outlivedAt;
  if (outlivedAt && now - *outlivedAt > options_.restartShownWithin) {
    suspicions_.erase(found);
    return;
  }
  conclude(instance, "its entry names another instance");
}

bool ReplicaCrashDetector::dropPlannedEnd(const std::string& instance) {
  const auto found = suspicions_.find(instance);
  if (found == suspicions_.end()) return false;
  if (!found->second.replica->leaving()) return false;
  environment_.timers.cancel(found->second.timer);
  suspicions_.erase(found);
  return true;
}

void ReplicaCrashDetector::scheduleProbe(const std::string& instance, base::Duration delay) {
  auto& suspicion = suspicions_.at(instance);
  environment_.timers.cancel(suspicion.timer);
  suspicion.timer = environment_.timers.schedule(delay, [this, instance] { probe(instance); });
}

void ReplicaCrashDetector::probe(const std::string& instance) {
  auto& suspicion = suspicions_.at(instance);
  suspicion.timer = 0;
  ++suspicion.probes;
  const auto since = suspicion.since;
  environment_.reachability.connect(suspicion.replica->facts().endpoint, options_.connectTimeout,
                                    [this, instance, since, alive = std::weak_ptr(lifetime_)](
                                        clients::Reachability reachability) {
                                      if (!alive.expired()) onProbed(instance, since, reachability);
                                    });
}

void ReplicaCrashDetector::onProbed(const std::string& instance, base::TimePoint since,
                                    clients::Reachability reachability) {
  const auto found = suspicions_.find(instance);
  if (found == suspicions_.end() || found->second.outlivedAt) return;
  // The probe belonged to an earlier suspicion, which was dropped meanwhile.
  if (found->second.since != since) return;
  auto& suspicion = found->second;
  if (reachability == clients::Reachability::kAccepts) {
    if (!suspicion.requests.empty()) {
      environment_.log.write(base::Event::kReplicaOutlivedRuns,
                             {{"replica", instance}, {"runs", textOf(suspicion.requests)}});
    }
    suspicion.outlivedAt = environment_.clock.now();
    return;
  }
  // A request of this node that is still in flight there shows that the process is alive.
  const bool refused =
      reachability == clients::Reachability::kRefuses && suspicion.replica->inFlight() == 0;
  suspicion.refusals = refused ? suspicion.refusals + 1 : 0;
  if (suspicion.refusals >= options_.refusals) {
    presumeEnded(*suspicion.replica);
    conclude(instance, "it refuses connections");
  } else if (suspicion.probes < options_.maximumProbes) {
    scheduleProbe(instance, options_.probeInterval);
  }
}

void ReplicaCrashDetector::presumeEnded(ReplicaRecord& replica) {
  replica.presumeEnded(environment_.clock.now());
  environment_.log.write(base::Event::kReplicaPresumedEnded,
                         {{"replica", replica.facts().instance},
                          {"service", replica.facts().service},
                          {"software", replica.facts().softwareVersion}});
}

void ReplicaCrashDetector::conclude(const std::string& instance, std::string_view why) {
  const auto node = suspicions_.extract(instance);
  environment_.timers.cancel(node.mapped().timer);
  if (node.mapped().requests.empty()) return;
  endedAt_[instance] = environment_.clock.now();
  report({instance, node.mapped().requests}, why);
}

void ReplicaCrashDetector::report(const LostRequests& ended, std::string_view why) {
  environment_.log.write(
      base::Event::kReplicaEndedUnderRuns,
      {{"replica", ended.instance}, {"why", std::string{why}}, {"runs", textOf(ended.requests)}});
  if (listener_) listener_(ended);
}

void ReplicaCrashDetector::dropExpired() {
  const auto now = environment_.clock.now();
  std::erase_if(endedAt_,
                [&](const auto& entry) { return now - entry.second > options_.endRetention; });
  std::erase_if(suspicions_, [&](const auto& entry) {
    return entry.second.timer == 0 && now - entry.second.since > options_.maximumUndecidedTime;
  });
}

}  // namespace covewing::routing
