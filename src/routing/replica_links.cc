#include "routing/replica_links.h"

#include <algorithm>
#include <set>
#include <utility>

namespace covewing::routing {

ReplicaLinks::~ReplicaLinks() {
  for (const auto& [instance, link] : links_) environment_.timers.cancel(link.timer);
}

bool ReplicaLinks::working(const ReplicaRecord& replica) const {
  const auto found = links_.find(replica.facts().instance);
  return found == links_.end() || !found->second.failed;
}

std::size_t ReplicaLinks::failed() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(links_, [](const auto& entry) { return entry.second.failed; }));
}

bool ReplicaLinks::mostFailed() const { return 2 * failed() > environment_.replicas.all().size(); }

void ReplicaLinks::onConnectFailed(const ReplicaRecord& replica) {
  setFailed(replica.facts().instance, "no connection could be made");
}

void ReplicaLinks::verify(const ReplicaRecord& replica, std::function<void(bool)> finished) {
  const auto& instance = replica.facts().instance;
  auto& link = links_[instance];
  if (link.failed) {
    environment_.timers.schedule(base::Duration::zero(),
                                 [finished = std::move(finished)] { finished(false); });
    return;
  }
  link.waiting.push_back(std::move(finished));
  probe(instance);
}

bool ReplicaLinks::onConnectionBroken(const ReplicaRecord& replica) {
  const auto now = environment_.clock.now();
  while (!breaks_.empty() && now - breaks_.front().at > options_.breakWindow) breaks_.pop_front();
  breaks_.push_back({replica.facts().instance, now});
  std::set<std::string_view> instances;
  for (const auto& one : breaks_) instances.insert(one.instance);
  verify(replica, [](bool /*works*/) {});
  return instances.size() >= options_.simultaneousBreaks;
}

void ReplicaLinks::probe(const std::string& instance) {
  auto& link = links_.at(instance);
  if (std::exchange(link.probing, true)) return;
  const auto record = environment_.replicas.find(instance);
  if (record == nullptr) {
    // Its entry was removed: nothing is sent to it any more.
    environment_.timers.schedule(base::Duration::zero(),
                                 [this, instance, alive = std::weak_ptr(lifetime_)] {
                                   if (!alive.expired()) onProbed(instance, /*accepts=*/true);
                                 });
    return;
  }
  environment_.reachability.connect(
      record->facts().endpoint, options_.probeTimeout,
      [this, instance, alive = std::weak_ptr(lifetime_)](clients::Reachability reachability) {
        if (!alive.expired()) onProbed(instance, reachability == clients::Reachability::kAccepts);
      });
}

void ReplicaLinks::onProbed(const std::string& instance, bool accepts) {
  auto& link = links_.at(instance);
  link.probing = false;
  const auto waiting = std::exchange(link.waiting, {});
  if (!accepts && link.failed) {
    link.successes = 0;
    scheduleProbe(instance, link);
  } else if (!accepts) {
    setFailed(instance, "a probe could not connect");
  } else if (!link.failed) {
    links_.erase(instance);
  } else if (++link.successes < options_.successesToRestore &&
             environment_.replicas.find(instance) != nullptr) {
    link.probeInterval = options_.firstProbeInterval / 2;
    scheduleProbe(instance, link);
  } else {
    const auto span = environment_.clock.now() - link.failedAt;
    environment_.log.write(base::Event::kReplicaLinkRestored,
                           {{"replica", instance}, {"after_ms", base::millisecondsText(span)}});
    links_.erase(instance);
    if (restored_) restored_(instance);
  }
  for (const auto& finished : waiting) finished(accepts);
}

void ReplicaLinks::scheduleProbe(const std::string& instance, Link& link) {
  constexpr double kJitter = 0.2;
  environment_.timers.cancel(link.timer);
  link.timer =
      environment_.timers.schedule(environment_.random.jittered(link.probeInterval, kJitter),
                                   [this, instance] { probe(instance); });
  link.probeInterval = std::min(2 * link.probeInterval, options_.maximumProbeInterval);
}

void ReplicaLinks::setFailed(const std::string& instance, std::string_view why) {
  auto& link = links_[instance];
  if (link.failed) return;
  link.failed = true;
  link.failedAt = environment_.clock.now();
  link.successes = 0;
  link.probeInterval = options_.firstProbeInterval;
  environment_.log.write(base::Event::kReplicaLinkFailed,
                         {{"replica", instance}, {"why", std::string{why}}});
  if (!link.probing) scheduleProbe(instance, link);
  probeOthers();
}

void ReplicaLinks::probeOthers() {
  std::vector<std::string> others;
  for (const auto& [instance, record] : environment_.replicas.all())
    if (!links_.contains(instance)) others.push_back(instance);
  for (std::size_t count = 0; count < options_.probedWithEach && !others.empty(); ++count) {
    const auto drawn =
        others.begin() + static_cast<std::ptrdiff_t>(environment_.random.below(others.size()));
    links_[*drawn];
    probe(*drawn);
    others.erase(drawn);
  }
}

}  // namespace covewing::routing
