#include "capacity/hollow_run.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <utility>

namespace covewing::capacity {

namespace {

constexpr double kNanosecondsPerPercent = 1e7;
/// Limit on the wait for a change, a detection or a recovery.
constexpr base::Duration kMaximumWait = std::chrono::seconds(60);
constexpr base::Duration kSecond = std::chrono::seconds(1);
/// Time for which a zone or region stays cut off.
constexpr base::Duration kCutDuration = std::chrono::seconds(60);

double processCpuSeconds() {
  return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

/// Measures a disturbed fleet second by second.
class FailureMonitor {
 public:
  FailureMonitor(HollowFleet& fleet, double steadyBytesPerSecond)
      : fleet_(fleet), steady_(steadyBytesPerSecond), before_(fleet.usage()) {}

  void runSecond() {
    fleet_.runFor(kSecond);
    auto now = fleet_.usage();
    double sum = 0;
    for (std::size_t index = 0; index < now.size(); ++index) {
      const Usage& earlier = before_[index];
      const double all = now[index].sentBytes + now[index].receivedBytes;
      const double bytes = all - earlier.sentBytes - earlier.receivedBytes;
      sum += bytes;
      result_.worstSecondBytes = std::max(result_.worstSecondBytes, bytes);
    }
    result_.extraBytes += sum - steady_ * static_cast<double>(now.size());
    before_ = std::move(now);
  }

  void runFor(base::Duration duration) {
    for (base::Duration run{}; run < duration; run += kSecond) runSecond();
  }

  FailureResult finish(std::string name) {
    const auto nodes = fleet_.size().nodes;
    for (base::Duration waited{}; waited < kMaximumWait;) {
      runSecond();
      waited += kSecond;
      if (fleet_.nodesThatSeeAll() != nodes || fleet_.nodesReady() != nodes) continue;
      result_.repairedAfter = waited;
      break;
    }
    result_.name = std::move(name);
    return result_;
  }

 private:
  HollowFleet& fleet_;
  double steady_;
  std::vector<Usage> before_;
  FailureResult result_;
};

void runFailures(HollowFleet& fleet, double steady, HollowResult& result) {
  const auto nodes = fleet.size().nodes;
  const auto inZone = [&](std::size_t index) { return fleet.zoneOf(index) == fleet.zoneOf(0); };
  {
    FailureMonitor monitor(fleet, steady);
    fleet.fleet().node(0).crash();
    fleet.fleet().node(0).start();
    result.failures.push_back(monitor.finish("one node replaced"));
  }
  {
    FailureMonitor monitor(fleet, steady);
    for (std::size_t index = 0; index < nodes; ++index) {
      if (!inZone(index)) continue;
      fleet.fleet().node(index).crash();
      fleet.fleet().node(index).start();
    }
    result.failures.push_back(monitor.finish("a zone's nodes restarted at once"));
  }
  auto& network = fleet.fleet().network();
  {
    FailureMonitor monitor(fleet, steady);
    network.cutZone(fleet.zoneOf(0), true);
    monitor.runFor(kCutDuration);
    network.cutZone(fleet.zoneOf(0), false);
    result.failures.push_back(monitor.finish("a zone cut off for 60 s"));
  }
  {
    FailureMonitor monitor(fleet, steady);
    network.cutRegions("region-0", "region-1", true);
    monitor.runFor(kCutDuration);
    network.cutRegions("region-0", "region-1", false);
    result.failures.push_back(monitor.finish("regions apart for 60 s"));
  }
}

}  // namespace

HollowResult runHollowFleet(const HollowOptions& options) {
  const double startedAt = processCpuSeconds();
  HollowResult result;
  result.size = options.size;
  result.warmUp = options.times.warmUp;
  result.span = options.times.span;
  HollowFleet fleet(options.size);
  fleet.start();
  fleet.runFor(options.times.warmUp);
  fleet.resetOutcome();
  const auto publishedBefore = fleet.publishedEvents();
  const auto before = fleet.usage();
  fleet.runFor(options.times.span);
  auto after = fleet.usage();
  result.outcome = fleet.outcome();
  result.publishedPerSecond = static_cast<double>(fleet.publishedEvents() - publishedBefore) /
                              base::toSeconds(options.times.span);
  result.memoryBytes = fleet.memoryPerNode();
  result.nodesThatSeeAll = fleet.nodesThatSeeAll();
  result.nodesReady = fleet.nodesReady();
  std::vector<double> bytes;
  std::vector<double> cpu;
  for (std::size_t index = 0; index < after.size(); ++index) {
    Usage usage = after[index];
    usage -= before[index];
    usage /= base::toSeconds(options.times.span);
    bytes.push_back(usage.totalBytes());
    cpu.push_back(usage.cpuNanoseconds / kNanosecondsPerPercent);
    result.mean += usage;
  }
  result.mean /= static_cast<double>(after.size());
  result.bytes = spreadOf(std::move(bytes));
  result.cpuPercent = spreadOf(std::move(cpu));
  result.changeEverywhere = fleet.timeOfChange(options.size.nodes / 2, kMaximumWait);
  const std::size_t crashedNode = options.size.nodes - 1;
  result.deathEverywhere = fleet.timeOfDetection(crashedNode, kMaximumWait);
  if (options.failures) {
    fleet.fleet().node(crashedNode).start();
    fleet.runFor(options.times.warmUp);
    runFailures(fleet, result.mean.totalBytes(), result);
  }
  result.ownCpuSeconds = processCpuSeconds() - startedAt;
  return result;
}

}  // namespace covewing::capacity
