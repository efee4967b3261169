#include "emulator/block_cache.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <list>
#include <map>

namespace covewing::emulator {

namespace {

using base::BlockHash;

/// The obvious implementation: a list in order of use and a map of pins.
class ReferenceCache {
 public:
  explicit ReferenceCache(std::size_t capacity) : capacity_(capacity) {}

  bool add(BlockHash block, std::vector<BlockHash>& evicted) {
    if (pins_.size() + 1 > capacity_) return false;
    while (blocks() >= capacity_) {
      evicted.push_back(unpinned_.front());
      unpinned_.pop_front();
    }
    pins_[block] = 1;
    return true;
  }
  bool holds(BlockHash block) const {
    const bool waits = std::find(unpinned_.begin(), unpinned_.end(), block) != unpinned_.end();
    return pins_.contains(block) || waits;
  }
  void pin(BlockHash block) {
    unpinned_.remove(block);
    ++pins_[block];
  }
  void unpin(BlockHash block) {
    if (--pins_[block] > 0) return;
    pins_.erase(block);
    unpinned_.push_back(block);
  }
  const std::map<BlockHash, int>& pins() const { return pins_; }
  std::size_t blocks() const { return pins_.size() + unpinned_.size(); }

 private:
  std::size_t capacity_;
  std::map<BlockHash, int> pins_;
  std::list<BlockHash> unpinned_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(BlockCacheSuite)

BOOST_AUTO_TEST_CASE(reservesOnlyWhatPinsLeave) {
  BlockCache cache(4);
  std::vector<BlockHash> evicted;
  BOOST_TEST(cache.reserve(3, evicted));
  const auto first = cache.insertReserved(BlockHash{1}, 0);
  const auto second = cache.insertReserved(BlockHash{2}, 0);
  BOOST_TEST(!cache.reserve(2, evicted));
  BOOST_TEST(cache.reservedBlocks() == 1U);
  cache.unpin(first.slot);
  BOOST_TEST(cache.canReserve(2, 0));
  BOOST_TEST(!cache.canReserve(2, 1));
  BOOST_TEST(cache.reserve(2, evicted));
  BOOST_TEST((evicted == std::vector<BlockHash>{BlockHash{1}}));
  BOOST_TEST(cache.find(BlockHash{1}) == BlockCache::kNoSlot);
  BOOST_TEST(cache.find(BlockHash{2}) == second.slot);
}

BOOST_AUTO_TEST_CASE(sharesABlockThatTwoRequestsComputed) {
  BlockCache cache(4);
  std::vector<BlockHash> evicted;
  cache.reserve(2, evicted);
  const auto first = cache.insertReserved(BlockHash{1}, 5);
  const auto again = cache.insertReserved(BlockHash{1}, 6);
  BOOST_TEST(first.isNew);
  BOOST_TEST(!again.isNew);
  BOOST_TEST(again.slot == first.slot);
  BOOST_TEST(cache.provenance(first.slot) == 5U);
  BOOST_TEST(cache.cachedBlocks() == 1U);
  cache.unpin(first.slot);
  BOOST_TEST(cache.isPinned(first.slot));
}

BOOST_AUTO_TEST_CASE(dropsOneProvenance) {
  BlockCache cache(8);
  std::vector<BlockHash> evicted;
  cache.reserve(4, evicted);
  for (std::uint64_t value = 0; value < 4; ++value) {
    cache.unpin(cache.insertReserved(BlockHash{value}, value % 2).slot);
  }
  cache.dropProvenance(1, evicted);
  BOOST_TEST((evicted == std::vector<BlockHash>{BlockHash{1}, BlockHash{3}}));
  BOOST_TEST((cache.blocks() == std::vector<BlockHash>{BlockHash{0}, BlockHash{2}}));
}

RC_BOOST_PROP(behavesLikeTheReference, (const std::vector<std::uint8_t>& operations)) {
  constexpr std::uint32_t kCapacity = 12;
  BlockCache cache(kCapacity);
  ReferenceCache reference(kCapacity);
  for (const std::uint8_t operation : operations) {
    // Neighbouring values land in neighbouring buckets, so that erasing has runs to close.
    const BlockHash block{operation & 31U};
    std::vector<BlockHash> evicted;
    std::vector<BlockHash> expected;
    const BlockCache::Slot slot = cache.find(block);
    RC_ASSERT((slot != BlockCache::kNoSlot) == reference.holds(block));
    if (slot == BlockCache::kNoSlot) {
      const bool added = reference.add(block, expected);
      RC_ASSERT(cache.reserve(1, evicted) == added);
      RC_ASSERT(evicted == expected);
      if (added) cache.insertReserved(block, 0);
    } else if (operation >= 128 && reference.pins().contains(block)) {
      cache.unpin(slot);
      reference.unpin(block);
    } else if (operation >= 96) {
      cache.pin(slot);
      reference.pin(block);
    }
    RC_ASSERT(cache.cachedBlocks() == reference.blocks());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::emulator
