#include "membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace covewing::membership {

namespace {
/// The first number is drawn below this, so that an answer to an earlier run of this process is not
/// taken for one to this run.
constexpr std::uint64_t kFirstSequences = 1ULL << 32U;
}  // namespace

FailureDetector::FailureDetector(FailureDetectorOptions options, base::TimerService& timers,
                                 base::RandomSource& random, const MemberTable& members,
                                 ProbeActions& actions)
    : options_(options),
      timers_(timers),
      random_(random),
      members_(members),
      actions_(actions),
      sequence_(random.below(kFirstSequences)) {}

FailureDetector::~FailureDetector() { timers_.cancel(timer_); }

void FailureDetector::beginPeriod() {
  timers_.cancel(timer_);
  const std::vector<Probe> unanswered = std::exchange(probes_, {});
  for (const Probe& probe : unanswered) actions_.onProbeFailed(probe.target);
  probeCount_ = unanswered.empty() ? std::max<std::size_t>(probeCount_ / 2, 1)
                                   : std::min(probeCount_ * 2, options_.mostProbes);
  for (std::size_t index = 0; index < probeCount_; ++index) {
    const Member* target = nextTarget();
    if (target == nullptr) break;
    probes_.push_back({target->id, nextSequence()});
    actions_.sendPing(*target, probes_.back().sequence);
  }
  if (!probes_.empty()) {
    timer_ = timers_.schedule(options_.ackTimeout, [this] { askHelpers(); });
  }
}

void FailureDetector::probeSoon(base::NodeId target) {
  std::erase(round_, target);
  round_.push_back(target);
}

void FailureDetector::onAck(std::uint64_t sequence) {
  std::erase_if(probes_, [&](const Probe& probe) { return probe.sequence == sequence; });
}

const Member* FailureDetector::nextTarget() {
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!round_.empty()) {
      const base::NodeId id = round_.back();
      round_.pop_back();
      const Member* member = members_.find(id);
      const bool live = member != nullptr && (member->state == MemberState::kAlive ||
                                              member->state == MemberState::kSuspect);
      if (live) return member;
    }
    for (const Member* member : members_.randomLive(random_, members_.live().size(), {}))
      round_.push_back(member->id);
  }
  return nullptr;
}

void FailureDetector::askHelpers() {
  for (const Probe& probe : probes_) {
    for (const Member* helper : members_.randomLive(random_, options_.helpers, probe.target))
      actions_.sendPingRequest(*helper, probe.target, probe.sequence);
  }
}

}  // namespace covewing::membership
