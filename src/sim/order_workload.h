/// \file
/// Operators of a simulated run who order engines to load weights, swap versions and change role.
#pragma once

#include <cstdint>
#include <string>

#include "base/random.h"
#include "sim/fleet.h"

namespace covewing::sim {

struct OrderWorkloadOptions {
  /// Pause between two orders; zero: none.
  base::Duration period{};
  base::Duration length{};
};

class OrderWorkload {
 public:
  OrderWorkload(Fleet& fleet, OrderWorkloadOptions options, std::uint64_t seed);
  void start();
  /// Orders that a node took.
  std::uint64_t accepted() const { return accepted_; }

 private:
  void scheduleNext();
  void submit();
  /// Body of an order, as JSON.
  std::string makeOrder();

  Fleet& fleet_;
  OrderWorkloadOptions options_;
  base::SeededRandom random_;
  base::TimePoint endsAt_;
  /// Engine that an order put on standby; empty: none.
  std::string standby_;
  base::WeightsVersion nextVersion_ = 2;
  std::uint64_t nextOrder_ = 1;
  std::uint64_t accepted_ = 0;
};

}  // namespace covewing::sim
