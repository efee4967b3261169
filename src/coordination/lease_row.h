/// \file
/// Rows of the table service that carry a lease.
///
/// | key | value | written |
/// | --- | --- | --- |
/// | `lease/NAME` | LeaseRow | at each change of holder, renewal and release |
/// | `lease-tenure/NAME` | the fencing token as text | at each change of holder only |
///
/// The revision of the tenure row is constant while one holder keeps the lease. A holder puts it as
/// a condition on whatever it writes under the lease, so that the table service itself refuses the
/// writes of an earlier holder.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result_code.h"

namespace covewing::coordination {

struct LeaseRow {
  /// Name of the holding node.
  std::string holder;
  /// The holder's incarnation: a restarted node does not hold what its former run held.
  base::Incarnation incarnation = 0;
  /// Drawn for each write; recognises a write whose answer was lost.
  std::uint64_t nonce = 0;
  /// Grows with each change of holder.
  base::FencingToken token = 0;
  /// The holder gave the lease up: it may be taken at once.
  bool released = false;
  /// Where the holding node listens: with its name it tells a restarted node from another machine.
  std::string address;
  /// The holder may order: orders of the one before it are over (LeaseOptions::orderGap).
  bool settled = false;
  /// Era of the service in which the row was written: one of a former era came with a copy, and the
  /// lease may have passed on since. 0 also in rows of builds without eras.
  base::StoreEra era = 0;
};

std::string leaseKey(std::string_view name);
std::string leaseTenureKey(std::string_view name);
/// Name of the lease under which a region's orders are executed.
std::string coordinatorLeaseName(std::string_view region);
std::string coordinatorTenureKey(std::string_view region);
std::string encodeLeaseRow(const LeaseRow& row);
/// Empty with the reason when the value is not of this form.
std::optional<LeaseRow> parseLeaseRow(std::string_view value, base::Reason& reason);

}  // namespace covewing::coordination
