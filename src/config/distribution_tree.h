/// \file
/// Who asks whom for news of the configuration. In each region, by rendezvous hashing over the live
/// members: a few scanners read the table service; about a square root of the members are relays
/// and ask the scanners; the leaves ask the relays. So news and its confirmation reach every node
/// in three steps, the table service hears a fixed number of nodes whatever the size of the fleet,
/// and no node answers many more than the others.
///
/// A region, or a zone, that is cut off sees only its own members, and so chooses its own scanners.
#pragma once

#include <cstdint>
#include <vector>

#include "base/endpoint.h"
#include "base/random.h"
#include "membership/member_directory.h"

namespace covewing::config {

enum class DistributionTier : std::uint8_t { kScanner, kRelay, kLeaf };

class DistributionTree {
 public:
  DistributionTree(const membership::MemberDirectory& members, std::size_t scannersPerRegion);

  DistributionTier tier();
  /// This node comes first of all scanners of all regions.
  bool isFirstScanner();
  /// A random member to ask: of the tier above, and for a scanner another scanner of any region.
  /// Null if there is none.
  const membership::Member* randomParent(base::RandomSource& random);

 private:
  void refresh();

  const membership::MemberDirectory& members_;
  std::size_t scannersPerRegion_;
  /// Version of the membership that the rest was derived from; 0 for none.
  std::uint64_t version_ = 0;
  DistributionTier tier_ = DistributionTier::kLeaf;
  bool isFirstScanner_ = false;
  std::vector<base::NodeId> parents_;
};

}  // namespace covewing::config
