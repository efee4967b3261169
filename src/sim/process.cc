#include "sim/process.h"

#include <algorithm>
#include <ctime>

namespace covewing::sim {

namespace {
constexpr std::uint64_t kNanosecondsPerSecond = 1'000'000'000;
/// Clocks of different processes differ by up to this much.
constexpr std::uint64_t kMaximumClockOffsetMicroseconds = 3'600'000'000ULL;

std::uint64_t threadCpuNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * kNanosecondsPerSecond +
         static_cast<std::uint64_t>(time.tv_nsec);
}
}  // namespace

Process::Process(Scheduler& scheduler, std::string name, std::uint64_t seed)
    : scheduler_(scheduler),
      name_(std::move(name)),
      seed_(base::mixHash(seed, base::hashName(name_))),
      clockOffset_(static_cast<base::Duration::rep>(seed_ % kMaximumClockOffsetMicroseconds)),
      random_(seed_) {}

Process::~Process() { crash(); }

void Process::start() {
  if (!crashed()) return;
  ++incarnation_;
  random_ = base::SeededRandom(base::mixHash(seed_, incarnation_));
  state_ = State::kRunning;
}

void Process::crash() {
  state_ = State::kCrashed;
  heldBack_.clear();
  // In ascending order, since destructors of captured objects may have effects.
  std::vector<std::uint64_t> ids;
  ids.reserve(pending_.size());
  for (const auto& [id, pending] : pending_) ids.push_back(id);
  std::ranges::sort(ids);
  for (const auto id : ids) {
    const auto pending = take(id);
    if (pending != nullptr && pending->event != 0) scheduler_.cancel(pending->event);
  }
}

void Process::pause() {
  if (running()) state_ = State::kPaused;
}

void Process::resume() {
  if (state_ != State::kPaused) return;
  state_ = State::kRunning;
  for (auto& work : std::exchange(heldBack_, {})) {
    // Through the queue, so that another pause or a crash in between holds for the rest.
    const auto resumed = expect<>(std::move(work));
    scheduler_.after(base::Duration::zero(), resumed);
  }
}

void Process::dispatch(std::function<void()> work) {
  if (state_ == State::kPaused) {
    heldBack_.push_back(std::move(work));
    return;
  }
  if (state_ == State::kRunning) run(work);
}

void Process::run(const std::function<void()>& work) {
  ++cpuUse_.dispatches;
  if (!measureCpu_) {
    work();
    return;
  }
  const auto before = threadCpuNanoseconds();
  work();
  cpuUse_.nanoseconds += threadCpuNanoseconds() - before;
}

base::TimePoint Process::now() const { return scheduler_.now() + clockOffset_; }

base::TimerId Process::schedule(base::Duration delay, std::function<void()> callback) {
  if (crashed()) return nextId_++;
  const auto id = nextId_;
  const auto fire = expect<>(std::move(callback));
  pending_.at(id)->event = scheduler_.after(delay, fire);
  return id;
}

void Process::cancel(base::TimerId timer) {
  const auto pending = take(timer);
  if (pending != nullptr) scheduler_.cancel(pending->event);
}

std::unique_ptr<Process::Pending> Process::take(std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return nullptr;
  auto pending = std::move(found->second);
  pending_.erase(found);
  return pending;
}

}  // namespace covewing::sim
