/// \file
/// Rows of the table service that store a lease.
///
/// | key | value | written |
/// | --- | --- | --- |
/// | `lease/NAME` | LeaseRow | at each change of holder, renewal and release |
/// | `lease-tenure/NAME` | the fencing token as text | at each change of holder only |
///
/// The revision of the tenure row is constant while one holder keeps the lease. A holder adds it as
/// a condition to whatever it writes under the lease, so that the table service itself rejects the
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
  /// Name of the node that holds the lease.
  std::string holder;
  /// The holder's incarnation: a restarted node does not hold a lease of its earlier incarnation.
  base::Incarnation incarnation = 0;
  /// Random number of each write, by which a node recognises its own write after a lost reply.
  std::uint64_t nonce = 0;
  /// Fencing token; increases with each change of holder.
  base::FencingToken token = 0;
  /// The holder released the lease: it may be acquired at once.
  bool released = false;
  /// Address at which the holder listens. Together with its name it distinguishes a restarted node
  /// from another machine with the same name.
  std::string address;
  /// The holder may send orders: those of its predecessor are finished (LeaseOptions::orderGap).
  bool settled = false;
  /// Store era in which the row was written. A row of an earlier era came from a restored backup,
  /// and the lease may have had other holders since. Also 0 in rows of builds without eras.
  base::StoreEra era = 0;
};

std::string leaseKey(std::string_view name);
std::string leaseTenureKey(std::string_view name);
/// Name of the lease under which a region's orders are executed.
std::string coordinatorLeaseName(std::string_view region);
std::string coordinatorTenureKey(std::string_view region);
std::string encodeLeaseRow(const LeaseRow& row);
/// Empty, with the reason, if the value does not have this form.
std::optional<LeaseRow> parseLeaseRow(std::string_view value, base::Reason& reason);

}  // namespace covewing::coordination
