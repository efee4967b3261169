#include "config/distribution_tree.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace covewing::config {

namespace {

using membership::Member;

/// Up to this many members, all ask the scanners.
constexpr std::size_t kSmallRegion = 16;

std::uint64_t rankOf(const Member& member) {
  static const std::uint64_t kSalt = base::hashName("configuration-distribution");
  return base::mixHash(member.id.value, kSalt);
}

using Ranking = std::vector<const Member*>;

/// The members of each region, by rank.
std::map<std::string, Ranking> rankRegions(const std::vector<Member>& members) {
  std::map<std::string, Ranking> regions;
  for (const Member& member : members) regions[member.region].push_back(&member);
  for (auto& [name, ranking] : regions) {
    std::sort(ranking.begin(), ranking.end(), [](const Member* left, const Member* right) {
      return rankOf(*left) < rankOf(*right);
    });
  }
  return regions;
}

std::size_t relayCount(std::size_t members, std::size_t scanners) {
  if (members <= kSmallRegion) return 0;
  return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(members * scanners))));
}

}  // namespace

DistributionTree::DistributionTree(const membership::MemberDirectory& members,
                                   std::size_t scannersPerRegion)
    : members_(members), scannersPerRegion_(scannersPerRegion) {}

DistributionTier DistributionTree::tier() {
  refresh();
  return tier_;
}

bool DistributionTree::isFirstScanner() {
  refresh();
  return isFirstScanner_;
}

const Member* DistributionTree::randomParent(base::RandomSource& random) {
  refresh();
  if (parents_.empty()) return nullptr;
  return members_.find(parents_[random.below(parents_.size())]);
}

void DistributionTree::refresh() {
  if (version_ == members_.version()) return;
  version_ = members_.version();
  parents_.clear();
  tier_ = DistributionTier::kLeaf;
  const Member& self = members_.self();
  const Member* first = nullptr;
  std::vector<base::NodeId> scanners;
  Ranking own;
  for (auto& [name, ranking] : rankRegions(members_.liveMembers())) {
    const std::size_t count = std::min(scannersPerRegion_, ranking.size());
    for (std::size_t rank = 0; rank < count; ++rank) {
      scanners.push_back(ranking[rank]->id);
      if (first == nullptr || rankOf(*ranking[rank]) < rankOf(*first)) first = ranking[rank];
    }
    if (name == self.region) own = std::move(ranking);
  }
  isFirstScanner_ = first != nullptr && first->id == self.id;

  const auto position = static_cast<std::size_t>(
      std::find_if(own.begin(), own.end(),
                   [&](const Member* member) { return member->id == self.id; }) -
      own.begin());
  const std::size_t scannerEnd = std::min(scannersPerRegion_, own.size());
  const std::size_t relayEnd = scannerEnd + relayCount(own.size(), scannerEnd);
  if (position < scannerEnd) {
    tier_ = DistributionTier::kScanner;
    std::erase(scanners, self.id);
    parents_ = std::move(scanners);
    return;
  }
  if (position < relayEnd) tier_ = DistributionTier::kRelay;
  const bool asksRelays = tier_ == DistributionTier::kLeaf && relayEnd > scannerEnd;
  const std::size_t begin = asksRelays ? scannerEnd : 0;
  const std::size_t end = asksRelays ? std::min(relayEnd, own.size()) : scannerEnd;
  for (std::size_t rank = begin; rank < end; ++rank) parents_.push_back(own[rank]->id);
}

}  // namespace covewing::config
