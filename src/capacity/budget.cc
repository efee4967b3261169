#include "capacity/budget.h"

#include <algorithm>

#include "capacity/two_year_size.h"

namespace covewing::capacity {

namespace {

constexpr double kBytesPerMegabyte = 1e6;

/// Increase of a figure at `x` over its intercept. More load cannot reduce a figure, so a negative
/// slope is noise and counts as 0.
double growth(const LineFit& fit, double x) { return std::max(0.0, fit.slope) * x; }
/// Value of a figure at `x`, intercept included; never negative.
double total(const LineFit& fit, double x) { return std::max(0.0, fit.at(x)); }

class Extrapolation {
 public:
  explicit Extrapolation(const Slopes& slopes) : slopes_(slopes) {}

  /// Measured without engines and load: failure detection, gossip, and the periodic work of all
  /// other roles.
  RoleBudget membership() const {
    const Slope& nodes = slopes_.at(Dimension::kNodes);
    RoleBudget role{"membership"};
    role.bytesPerSecond = total(nodes.bytes(Traffic::kMembership), kNodes);
    role.cpuPercent = total(nodes.cpuPercent(), kNodes);
    role.memoryMegabytes = total(nodes.memoryBytes(), kNodes) / kBytesPerMegabyte;
    return role;
  }

  RoleBudget configuration() const {
    const Slope& nodes = slopes_.at(Dimension::kNodes);
    const Slope& tenants = slopes_.at(Dimension::kTenants);
    const Slope& changes = slopes_.at(Dimension::kChanges);
    RoleBudget role{"configuration"};
    for (const auto traffic : {Traffic::kConfiguration, Traffic::kObjectStore}) {
      role.bytesPerSecond += total(nodes.bytes(traffic), kNodes) +
                             growth(tenants.bytes(traffic), kTenants) +
                             growth(changes.bytes(traffic), kChangesPerSecond);
    }
    role.bytesPerSecond += total(nodes.bytes(Traffic::kTable), kNodes);
    role.cpuPercent =
        growth(tenants.cpuPercent(), kTenants) + growth(changes.cpuPercent(), kChangesPerSecond);
    role.memoryMegabytes = growth(tenants.memoryBytes(), kTenants) / kBytesPerMegabyte;
    return role;
  }

  RoleBudget cacheIndexHome() const {
    const Slope& engines = slopes_.at(Dimension::kEngines);
    const Slope& events = slopes_.at(Dimension::kEvents);
    const Slope& blocks = slopes_.at(Dimension::kBlocks);
    constexpr double kEnginesPerNode = kEngines / kNodes;
    constexpr double kEventsPerNode = kEventsPerSecond / kNodes;
    RoleBudget role{"cache index home"};
    role.bytesPerSecond = total(engines.bytes(Traffic::kEngineReports), kEnginesPerNode) +
                          growth(events.bytes(Traffic::kEngineReports), kEventsPerNode);
    role.cpuPercent = growth(engines.cpuPercent(), kEnginesPerNode) +
                      growth(events.cpuPercent(), kEventsPerNode) +
                      growth(blocks.cpuPercent(), kBlocks / kNodes);
    role.memoryMegabytes = growth(blocks.memoryBytes(), kBlocks / kNodes) / kBytesPerMegabyte;
    return role;
  }

  RoleBudget routing() const {
    const Slope& engines = slopes_.at(Dimension::kEngines);
    const Slope& requests = slopes_.at(Dimension::kRequests);
    const Slope& withoutLookups = slopes_.at(Dimension::kRequestsWithoutLookups);
    // Every node tracks all engines of the fleet, so these figures grow with the total number of
    // engines. The slope's x is engines per node of the measured fleet.
    const double enginesPerMeasuredNode = kEngines / static_cast<double>(engines.nodes);
    // All nodes together read the machine list at a constant rate, so each node reads less often
    // in a larger fleet.
    const double readingShare = static_cast<double>(engines.nodes) / kNodes;
    RoleBudget role{"routing"};
    role.bytesPerSecond =
        growth(requests.bytes(Traffic::kCacheIndex), kRequestsPerNode) +
        total(engines.bytes(Traffic::kMachineList), enginesPerMeasuredNode) * readingShare;
    role.cpuPercent = std::max(0.0, growth(requests.cpuPercent(), kRequestsPerNode) -
                                        growth(withoutLookups.cpuPercent(), kRequestsPerNode));
    role.memoryMegabytes =
        growth(engines.memoryBytes(), enginesPerMeasuredNode) / kBytesPerMegabyte;
    return role;
  }

  RoleBudget callerGateway() const {
    const Slope& requests = slopes_.at(Dimension::kRequests);
    const Slope& withoutLookups = slopes_.at(Dimension::kRequestsWithoutLookups);
    RoleBudget role{"caller gateway"};
    role.bytesPerSecond = growth(requests.bytes(Traffic::kAdmission), kRequestsPerNode);
    role.cpuPercent = growth(withoutLookups.cpuPercent(), kRequestsPerNode);
    role.memoryMegabytes = growth(requests.memoryBytes(), kRequestsPerNode) / kBytesPerMegabyte;
    return role;
  }

  RoleBudget coordinator() const {
    const Slope& nodes = slopes_.at(Dimension::kNodes);
    RoleBudget role{"coordinator"};
    role.bytesPerSecond = total(nodes.bytes(Traffic::kCoordination), kNodes) +
                          total(nodes.bytes(Traffic::kOrders), kNodes);
    return role;
  }

  RoleBudget claims() const {
    const Slope& claims = slopes_.at(Dimension::kClaims);
    constexpr double kClaimsPerNode = kClaimsPerSecond / kNodes;
    RoleBudget role{"claims"};
    role.bytesPerSecond = growth(claims.bytes(Traffic::kClaims), kClaimsPerNode) +
                          growth(claims.bytes(Traffic::kTable), kClaimsPerNode);
    role.cpuPercent = growth(claims.cpuPercent(), kClaimsPerNode);
    role.memoryMegabytes = growth(claims.memoryBytes(), kClaimsPerNode) / kBytesPerMegabyte;
    return role;
  }

  RoleBudget operatorGateway() const {
    const Slope& changes = slopes_.at(Dimension::kChanges);
    RoleBudget role{"operator gateway"};
    role.bytesPerSecond = growth(changes.bytes(Traffic::kTable), kChangesPerSecond);
    return role;
  }

 private:
  static constexpr double kRequestsPerNode = kRequestsPerSecond / kNodes;

  const Slopes& slopes_;
};

}  // namespace

bool RoleBudget::within() const {
  return bytesPerSecond <= kLimitBytesPerSecond && cpuPercent <= kLimitCpuPercent &&
         memoryMegabytes <= kLimitMemoryMegabytes;
}

std::vector<RoleBudget> budgetsOf(const Slopes& slopes) {
  const Extrapolation at(slopes);
  return {at.callerGateway(), at.routing(),     at.cacheIndexHome(), at.membership(),
          at.configuration(), at.coordinator(), at.claims(),         at.operatorGateway()};
}

RoleBudget sumOf(const std::vector<RoleBudget>& roles) {
  RoleBudget sum{"sum"};
  for (const RoleBudget& role : roles) {
    sum.bytesPerSecond += role.bytesPerSecond;
    sum.cpuPercent += role.cpuPercent;
    sum.memoryMegabytes += role.memoryMegabytes;
  }
  return sum;
}

}  // namespace covewing::capacity
