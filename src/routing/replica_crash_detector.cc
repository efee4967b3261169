#include "routing/replica_crash_detector.h"

#include <utility>

namespace covewing::routing {

namespace {

std::string textOf(const std::vector<base::RequestFingerprint>& runs) {
  std::string text;
  for (const auto run : runs) {
    if (!text.empty()) text += ' ';
    text += base::toString(run);
  }
  return text;
}

}  // namespace

ReplicaCrashDetector::~ReplicaCrashDetector() {
  for (const auto& [instance, doubt] : doubts_) environment_.timers.cancel(doubt.timer);
}

void ReplicaCrashDetector::onRequestInterrupted(const ReplicaRecordPtr& replica,
                                                base::RequestFingerprint run) {
  forgetOld();
  const auto& instance = replica->facts().instance;
  if (endedAt_.contains(instance)) {
    report({instance, {run}}, "it had ended before");
    return;
  }
  auto& doubt = doubts_[instance];
  if (doubt.outlivedAt) doubt = {};
  const bool fresh = doubt.runs.empty();
  doubt.runs.push_back(run);
  if (!fresh) return;
  doubt.replica = replica;
  doubt.since = environment_.clock.now();
  scheduleProbe(instance, options_.firstProbe);
}

void ReplicaCrashDetector::onRemoved(const std::string& instance) {
  if (forgetPlannedEnd(instance)) return;
  const auto found = doubts_.find(instance);
  if (found == doubts_.end()) return;
  if (found->second.outlivedAt) {
    doubts_.erase(found);
    return;
  }
  conclude(instance, "its entry is gone");
}

void ReplicaCrashDetector::onRestarted(const std::string& instance) {
  if (forgetPlannedEnd(instance)) return;
  const auto now = environment_.clock.now();
  // Runs whose connections break later were lost with it, though the address accepts new ones.
  endedAt_[instance] = now;
  const auto found = doubts_.find(instance);
  if (found == doubts_.end()) return;
  const auto& outlivedAt = found->second.outlivedAt;
  if (outlivedAt && now - *outlivedAt > options_.restartShownWithin) {
    doubts_.erase(found);
    return;
  }
  conclude(instance, "its entry names another run");
}

bool ReplicaCrashDetector::forgetPlannedEnd(const std::string& instance) {
  const auto found = doubts_.find(instance);
  if (found == doubts_.end()) return false;
  if (!found->second.replica->leaving()) return false;
  environment_.timers.cancel(found->second.timer);
  doubts_.erase(found);
  return true;
}

void ReplicaCrashDetector::scheduleProbe(const std::string& instance, base::Duration delay) {
  doubts_.at(instance).timer =
      environment_.timers.schedule(delay, [this, instance] { probe(instance); });
}

void ReplicaCrashDetector::probe(const std::string& instance) {
  auto& doubt = doubts_.at(instance);
  doubt.timer = 0;
  ++doubt.probes;
  environment_.reachability.connect(
      doubt.replica->facts().endpoint, options_.connectTimeout,
      [this, instance, alive = std::weak_ptr(lifetime_)](clients::Reachability reachability) {
        if (!alive.expired()) onProbed(instance, reachability);
      });
}

void ReplicaCrashDetector::onProbed(const std::string& instance,
                                    clients::Reachability reachability) {
  const auto found = doubts_.find(instance);
  if (found == doubts_.end() || found->second.outlivedAt) return;
  auto& doubt = found->second;
  if (reachability == clients::Reachability::kAccepts) {
    environment_.log.write(base::Event::kReplicaOutlivedRuns,
                           {{"replica", instance}, {"runs", textOf(doubt.runs)}});
    doubt.outlivedAt = environment_.clock.now();
    return;
  }
  // What this node still has under way there shows that the process lives.
  const bool refused =
      reachability == clients::Reachability::kRefuses && doubt.replica->inFlight() == 0;
  doubt.refusals = refused ? doubt.refusals + 1 : 0;
  if (doubt.refusals >= options_.refusals) {
    conclude(instance, "it refuses connections");
  } else if (doubt.probes < options_.mostProbes) {
    scheduleProbe(instance, options_.probeInterval);
  }
}

void ReplicaCrashDetector::conclude(const std::string& instance, std::string_view why) {
  const auto node = doubts_.extract(instance);
  environment_.timers.cancel(node.mapped().timer);
  endedAt_[instance] = environment_.clock.now();
  report({instance, node.mapped().runs}, why);
}

void ReplicaCrashDetector::report(const LostRequests& ended, std::string_view why) {
  environment_.log.write(
      base::Event::kReplicaEndedUnderRuns,
      {{"replica", ended.instance}, {"why", std::string{why}}, {"runs", textOf(ended.requests)}});
  if (listener_) listener_(ended);
}

void ReplicaCrashDetector::forgetOld() {
  const auto now = environment_.clock.now();
  std::erase_if(endedAt_,
                [&](const auto& entry) { return now - entry.second > options_.endRemembered; });
  std::erase_if(doubts_, [&](const auto& entry) {
    return entry.second.timer == 0 && now - entry.second.since > options_.undecidedFor;
  });
}

}  // namespace covewing::routing
