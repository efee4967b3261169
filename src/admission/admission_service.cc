#include "admission/admission_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "admission/capacity_gate.h"
#include "admission/hold_queue.h"
#include "admission/retry_budget.h"
#include "admission/tenant_quotas.h"

namespace covewing::admission {

using base::Duration;
using base::PriorityClass;
using base::ResultCode;
using base::TimePoint;

namespace {

class AdmissionServiceImpl;

/// Weak reference, so that tickets may outlive the service.
using ServiceHandle = std::weak_ptr<AdmissionServiceImpl*>;

class TicketImpl final : public AdmissionTicket {
 public:
  TicketImpl(ServiceHandle service, AdmissionId id) : service_(std::move(service)), id_(id) {}
  ~TicketImpl() override;
  void onFirstToken() override;
  TicketImpl(const TicketImpl&) = delete;
  TicketImpl& operator=(const TicketImpl&) = delete;

 private:
  ServiceHandle service_;
  AdmissionId id_;
};

/// States of an admission:
///
///     quota -> [held] -> running -> (ticket destroyed)
///       |         |
///       +---------+--> refused -> (ticket destroyed)
enum class AdmissionState : std::uint8_t { kQuota, kHeld, kRunning, kRefused };

struct Admission {
  AdmissionRequest request;
  AdmissionCallback callback;
  AdmissionState state = AdmissionState::kQuota;
  /// The tenant's limits include the request.
  bool holdsQuota = false;
  /// The request runs on an engine and its first token has not arrived.
  bool awaitsFirstToken = false;
  TimePoint arrivedAt;
  TimePoint heldUntil;
  base::TimerId verdictTimer = 0;
};

class AdmissionServiceImpl final : public AdmissionService {
 public:
  AdmissionServiceImpl(const AdmissionOptions& options, base::Clock& clock,
                       base::TimerService& timers, base::RandomSource& random,
                       membership::MemberDirectory& directory, base::PeerTransport& transport)
      : options_(options.capacity),
        clock_(clock),
        timers_(timers),
        random_(random),
        quotas_(options.quota, {clock, timers, random, directory, transport,
                                [&directory] { return directory.liveMembers().size(); }}),
        gate_(options.capacity),
        retryBudget_(options.retry, clock.now()) {}

  ~AdmissionServiceImpl() override {
    for (const auto& [id, admission] : admissions_) timers_.cancel(admission.verdictTimer);
    timers_.cancel(reviewTimer_);
  }
  AdmissionServiceImpl(const AdmissionServiceImpl&) = delete;
  AdmissionServiceImpl& operator=(const AdmissionServiceImpl&) = delete;

  std::unique_ptr<AdmissionTicket> admit(AdmissionRequest request,
                                         AdmissionCallback callback) override {
    const AdmissionId id = nextId_++;
    Admission& admission = admissions_[id];
    admission.arrivedAt = clock_.now();
    admission.request = std::move(request);
    admission.callback = std::move(callback);
    const config::TenantTemplatePtr tenant = admission.request.tenant;
    quotas_.acquire(id, demandOf(*tenant),
                    [this, id](const QuotaVerdict& verdict) { onQuota(id, verdict); });
    return std::make_unique<TicketImpl>(ServiceHandle(self_), id);
  }

  bool takeRetry() override { return retryBudget_.take(clock_.now()); }

  void onExpectedFirstToken(PriorityClass priority, Duration expected) override {
    gate_.onEstimate(priority, expected, clock_.now());
    releaseHeld();
  }

  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override {
    quotas_.onPeerMessage(sender, payload);
  }

  std::size_t held() const override { return holdQueue_.size(); }
  std::size_t running() const override { return running_; }

  void onFirstToken(AdmissionId id) {
    const auto found = admissions_.find(id);
    if (found == admissions_.end() || !found->second.awaitsFirstToken) return;
    found->second.awaitsFirstToken = false;
    gate_.onFirstToken(found->second.request.priority, id, clock_.now());
    releaseHeld();
  }

  /// Releases what the admission holds after its ticket was destroyed.
  void onTicketDestroyed(AdmissionId id) {
    const auto found = admissions_.find(id);
    if (found == admissions_.end()) return;
    const Admission admission = std::move(found->second);
    admissions_.erase(found);
    timers_.cancel(admission.verdictTimer);
    const base::TenantId tenant = admission.request.tenant->id;
    if (admission.state == AdmissionState::kQuota) quotas_.cancel(id, tenant);
    if (admission.state == AdmissionState::kHeld) {
      holdQueue_.remove(admission.request.priority, id);
    }
    if (admission.state == AdmissionState::kRunning) endRunning(id, admission);
    if (admission.holdsQuota) {
      quotas_.release(tenant, admission.state != AdmissionState::kRunning ? 1 : 0);
    }
    releaseHeld();
  }

 private:
  /// Each request counts as one token.
  static QuotaDemand demandOf(const config::TenantTemplate& tenant) {
    QuotaLimits limits;
    limits.ratePerSecond = tenant.limits.requestsPerSecond;
    limits.burst = tenant.limits.burst;
    limits.concurrency = tenant.limits.concurrency;
    return {tenant.id, tenant.revision, limits, 1};
  }

  void onQuota(AdmissionId id, const QuotaVerdict& verdict) {
    Admission& admission = admissions_.at(id);
    switch (verdict.outcome) {
      case QuotaOutcome::kGranted:
        admission.holdsQuota = true;
        requestCapacity(id, admission);
        return;
      case QuotaOutcome::kRateLimited:
        refuse(id, admission, {ResultCode::kRateLimited, "the tenant's rate limit is used up"},
               verdict.retryAfter);
        return;
      case QuotaOutcome::kConcurrencyLimited:
        refuse(id, admission,
               {ResultCode::kConcurrencyLimited, "the tenant's concurrency limit is used up"},
               verdict.retryAfter);
        return;
    }
  }

  /// Calls to applications carry no prompt: they need no engine and are never held.
  static bool needsEngine(const Admission& admission) { return admission.request.promptTokens > 0; }

  void requestCapacity(AdmissionId id, Admission& admission) {
    if (running_ >= options_.maximumRunning) {
      refuse(id, admission, {ResultCode::kNodeOverloaded, "too many open requests on this node"},
             options_.minimumRetryAfter);
      return;
    }
    const PriorityClass priority = admission.request.priority;
    const bool noneAhead = holdQueue_.aheadOf(priority) == 0;
    if (!needsEngine(admission) || (noneAhead && mayRun(admission))) {
      run(id, admission);
      return;
    }
    hold(id, admission);
  }

  bool mayRun(const Admission& admission) const {
    return gate_.isOpen(admission.request.priority, admission.request.tenant->deadline,
                        clock_.now());
  }

  /// Refuses immediately if the request would be refused at the end of the hold anyway.
  void hold(AdmissionId id, Admission& admission) {
    const TimePoint now = clock_.now();
    const config::TenantTemplate& tenant = *admission.request.tenant;
    const PriorityClass priority = admission.request.priority;
    const Duration wait = expectedHold(priority, tenant.deadline, now);
    if (mustNotRefuse(priority)) {
      if (tenant.holdTime <= Duration::zero()) {
        run(id, admission);
        return;
      }
    } else if (wait > tenant.holdTime) {
      refuse(id, admission, noCapacityReason(priority, tenant.deadline, now), wait);
      return;
    }
    if (holdQueue_.size() >= options_.maximumHeld && !shedFor(priority)) {
      refuse(id, admission, {ResultCode::kShed, "too many requests are held on this node"}, wait);
      return;
    }
    admission.state = AdmissionState::kHeld;
    admission.heldUntil = now + tenant.holdTime;
    holdQueue_.push(priority, id);
    scheduleReview();
  }

  base::Reason noCapacityReason(PriorityClass priority, Duration deadline, TimePoint now) const {
    const Duration expected = gate_.expected(priority, now);
    if (deadline > Duration::zero() && expected > deadline) {
      return {ResultCode::kDeadlineUnreachable,
              fmt::format("the first token is expected after {:.0f} ms, the deadline is {:.0f} ms",
                          base::toMilliseconds(expected), base::toMilliseconds(deadline))};
    }
    return {ResultCode::kShed,
            fmt::format("no capacity for class {} within its hold time", base::toString(priority))};
  }

  /// A class is not refused while a less urgent class is running, or was running recently.
  bool mustNotRefuse(PriorityClass priority) const {
    for (std::size_t lower = static_cast<std::size_t>(priority) + 1;
         lower < base::kPriorityClassCount; ++lower) {
      if (runningByClass_.at(lower) > 0) return true;
      const TimePoint lastRan = lastRan_.at(lower);
      const bool ever = lastRan != TimePoint{};
      if (ever && clock_.now() - lastRan < options_.lowerClassIdleTime) return true;
    }
    return false;
  }

  /// Refuses the newest held request of a less urgent class than `priority`; false if none is held.
  bool shedFor(PriorityClass priority) {
    const std::optional<AdmissionId> last = holdQueue_.last();
    if (!last.has_value()) return false;
    Admission& victim = admissions_.at(*last);
    if (victim.request.priority <= priority) return false;
    refuse(*last, victim, {ResultCode::kShed, "shed in favour of a more urgent request"},
           expectedHold(victim.request.priority, victim.request.tenant->deadline, clock_.now()));
    return true;
  }

  /// Expected hold time of a request of the class that arrives now.
  Duration expectedHold(PriorityClass priority, Duration deadline, TimePoint now) const {
    const Duration opening = gate_.timeToOpen(priority, deadline, now);
    const auto ahead = static_cast<Duration::rep>(holdQueue_.aheadOf(priority));
    return opening + ahead * releaseInterval_;
  }

  void run(AdmissionId id, Admission& admission) {
    admission.state = AdmissionState::kRunning;
    ++running_;
    ++runningByClass_.at(static_cast<std::size_t>(admission.request.priority));
    if (needsEngine(admission)) {
      admission.awaitsFirstToken = true;
      gate_.onAdmitted(admission.request.priority, id, clock_.now());
    }
    retryBudget_.onRequest(clock_.now());
    AdmissionVerdict verdict;
    verdict.admitted = true;
    verdict.held = clock_.now() - admission.arrivedAt;
    deliver(id, admission, std::move(verdict));
  }

  void endRunning(AdmissionId id, const Admission& admission) {
    --running_;
    --runningByClass_.at(static_cast<std::size_t>(admission.request.priority));
    if (needsEngine(admission)) {
      lastRan_.at(static_cast<std::size_t>(admission.request.priority)) = clock_.now();
    }
    if (admission.awaitsFirstToken) gate_.onAbandoned(admission.request.priority, id, clock_.now());
  }

  void refuse(AdmissionId id, Admission& admission, base::Reason reason, Duration retryAfter) {
    if (admission.state == AdmissionState::kHeld) {
      holdQueue_.remove(admission.request.priority, id);
    }
    admission.state = AdmissionState::kRefused;
    if (admission.holdsQuota) {
      admission.holdsQuota = false;
      quotas_.release(admission.request.tenant->id, 1);
    }
    AdmissionVerdict verdict;
    verdict.reason = std::move(reason);
    // Spread, so that callers that were refused together do not retry together.
    verdict.retryAfter = random_.jittered(
        std::clamp(retryAfter, options_.minimumRetryAfter, options_.maximumRetryAfter),
        kRetryAfterSpread);
    verdict.held = clock_.now() - admission.arrivedAt;
    deliver(id, admission, std::move(verdict));
  }

  void deliver(AdmissionId id, Admission& admission, AdmissionVerdict verdict) {
    admission.verdictTimer =
        timers_.schedule(Duration::zero(), [this, id, verdict = std::move(verdict)]() mutable {
          const auto found = admissions_.find(id);
          if (found == admissions_.end()) return;
          found->second.verdictTimer = 0;
          const AdmissionCallback callback = std::exchange(found->second.callback, nullptr);
          callback(std::move(verdict));
        });
  }

  /// Runs held requests, most urgent first, while there is capacity for the first of them.
  void releaseHeld() {
    while (const std::optional<AdmissionId> first = holdQueue_.front()) {
      Admission& admission = admissions_.at(*first);
      if (running_ >= options_.maximumRunning || !mayRun(admission)) return;
      holdQueue_.remove(admission.request.priority, *first);
      recordRelease();
      run(*first, admission);
    }
  }

  void recordRelease() {
    const TimePoint now = clock_.now();
    constexpr Duration::rep kWeight = 8;
    const Duration interval = std::min<Duration>(now - releasedAt_, kMaximumReleaseInterval);
    releaseInterval_ += (interval - releaseInterval_) / kWeight;
    releasedAt_ = now;
  }

  /// Ends the holds whose time is over.
  void expireHeld() {
    const TimePoint now = clock_.now();
    for (std::size_t index = 0; index < base::kPriorityClassCount; ++index) {
      const auto entries = holdQueue_.entries(static_cast<PriorityClass>(index));
      for (const AdmissionId id : entries) {
        Admission& admission = admissions_.at(id);
        if (admission.heldUntil > now) continue;
        endHold(id, admission);
      }
    }
  }

  void endHold(AdmissionId id, Admission& admission) {
    const PriorityClass priority = admission.request.priority;
    if (mustNotRefuse(priority)) {
      holdQueue_.remove(priority, id);
      run(id, admission);
      return;
    }
    refuse(id, admission,
           {ResultCode::kHoldExpired, "no capacity became free within the hold time"},
           expectedHold(priority, admission.request.tenant->deadline, clock_.now()));
  }

  void scheduleReview() {
    if (reviewTimer_ != 0) return;
    reviewTimer_ = timers_.schedule(options_.reviewPeriod, [this] {
      reviewTimer_ = 0;
      releaseHeld();
      expireHeld();
      if (holdQueue_.size() > 0) scheduleReview();
    });
  }

  static constexpr double kRetryAfterSpread = 0.2;
  static constexpr Duration kMaximumReleaseInterval = std::chrono::milliseconds(250);

  CapacityOptions options_;
  base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  TenantQuotas quotas_;
  CapacityGate gate_;
  RetryBudget retryBudget_;
  HoldQueue holdQueue_;
  std::map<AdmissionId, Admission> admissions_;
  AdmissionId nextId_ = 1;
  std::size_t running_ = 0;
  std::array<std::size_t, base::kPriorityClassCount> runningByClass_{};
  /// When a request of each class last ended.
  std::array<TimePoint, base::kPriorityClassCount> lastRan_{};
  /// Smoothed interval between releases from the hold queue.
  Duration releaseInterval_ = std::chrono::milliseconds(20);
  TimePoint releasedAt_;
  base::TimerId reviewTimer_ = 0;
  std::shared_ptr<AdmissionServiceImpl*> self_ = std::make_shared<AdmissionServiceImpl*>(this);
};

TicketImpl::~TicketImpl() {
  if (const auto service = service_.lock()) (*service)->onTicketDestroyed(id_);
}

void TicketImpl::onFirstToken() {
  if (const auto service = service_.lock()) (*service)->onFirstToken(id_);
}

}  // namespace

std::unique_ptr<AdmissionService> makeAdmissionController(
    const AdmissionOptions& options, base::Clock& clock, base::TimerService& timers,
    base::RandomSource& random, base::EventLog& /*log*/, membership::MemberDirectory& directory,
    base::PeerTransport& transport) {
  return std::make_unique<AdmissionServiceImpl>(options, clock, timers, random, directory,
                                                transport);
}

}  // namespace covewing::admission
