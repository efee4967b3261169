#include "engine_routing/engine_cache_index.h"

#include <boost/test/unit_test.hpp>

#include "base/ids.h"

namespace covewing::engine_routing {

namespace {

using namespace std::chrono_literals;
using clients::CacheEventKind;

constexpr base::TimePoint kStart{1000s};

prefix::BlockChain makeChain(std::size_t length) {
  prefix::BlockChain chain;
  for (std::size_t index = 0; index < length; ++index) {
    chain.push_back(base::BlockHash{base::mixHash(index, 99)});
  }
  return chain;
}

clients::EngineReport makeEvents(std::uint64_t first, const prefix::BlockChain& chain,
                                 std::size_t begin, std::size_t end, CacheEventKind kind) {
  clients::EngineReport report;
  report.firstSequence = first;
  for (std::size_t index = begin; index < end; ++index) {
    report.events.push_back({kind, chain[index]});
  }
  report.nextSequence = first + report.events.size();
  return report;
}

struct IndexFixture {
  prefix::BlockChain chain = makeChain(64);
  prefix::Checkpoints checkpoints = prefix::checkpointsOf(chain);
  EngineCacheIndex index{CacheIndexOptions{}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EngineCacheIndexTest, IndexFixture)

BOOST_AUTO_TEST_CASE(MatchesTheDeepestStoredCheckpoint) {
  index.apply(makeEvents(0, chain, 0, 42, CacheEventKind::kStored), kStart);
  BOOST_TEST(index.match(checkpoints).blocks == 40U);
  BOOST_TEST(!index.match(checkpoints).doubtful);
  index.apply(makeEvents(42, chain, 30, 42, CacheEventKind::kEvicted), kStart);
  BOOST_TEST(index.match(checkpoints).blocks == 28U);
}

BOOST_AUTO_TEST_CASE(AGapMakesEntriesDoubtfulAndThenDropsThem) {
  BOOST_TEST(index.apply(makeEvents(0, chain, 0, 64, CacheEventKind::kStored), kStart));
  BOOST_TEST(!index.apply(makeEvents(70, chain, 0, 8, CacheEventKind::kStored), kStart));
  BOOST_TEST(index.resyncDue());
  BOOST_TEST(index.match(checkpoints).blocks == 64U);
  BOOST_TEST(index.match(checkpoints).doubtful);
  index.expire(kStart + 11s);
  BOOST_TEST(index.match(checkpoints).blocks == 8U);
  BOOST_TEST(!index.match(checkpoints).doubtful);
}

BOOST_AUTO_TEST_CASE(SnapshotReplacesEntriesAndClearsDoubtfulState) {
  index.apply(makeEvents(0, chain, 0, 64, CacheEventKind::kStored), kStart);
  index.apply(makeEvents(70, chain, 0, 0, CacheEventKind::kStored), kStart);
  auto snapshot = makeEvents(0, chain, 0, 32, CacheEventKind::kStored);
  snapshot.nextSequence = 90;
  index.resync(snapshot);
  BOOST_TEST(!index.resyncDue());
  BOOST_TEST(index.match(checkpoints).blocks == 32U);
  BOOST_TEST(!index.match(checkpoints).doubtful);
  // Events from before the snapshot are received again; this is not a gap.
  BOOST_TEST(index.apply(makeEvents(70, chain, 0, 4, CacheEventKind::kStored), kStart));
}

BOOST_AUTO_TEST_CASE(AnAnnouncedPromptMatchesUntilItExpires) {
  index.announce(checkpoints, kStart);
  BOOST_TEST(index.match(checkpoints).blocks == 64U);
  index.expire(kStart + 1s);
  BOOST_TEST(index.match(checkpoints).blocks == 64U);
  index.expire(kStart + 4s);
  BOOST_TEST(index.match(checkpoints).blocks == 0U);
}

BOOST_AUTO_TEST_CASE(ALaterAnnouncementOutlivesAnEarlierOne) {
  const auto other = prefix::checkpointsOf(makeChain(16));
  index.announce(checkpoints, kStart);
  index.announce(other, kStart + 2s);
  index.expire(kStart + 4s);
  BOOST_TEST(index.match(other).blocks == 16U);
  BOOST_TEST(index.match(checkpoints).blocks == 16U);
}

BOOST_AUTO_TEST_CASE(ClearRemovesEntriesAndSequence) {
  index.apply(makeEvents(0, chain, 0, 64, CacheEventKind::kStored), kStart);
  index.announce(checkpoints, kStart);
  index.clear();
  BOOST_TEST(index.match(checkpoints).blocks == 0U);
  BOOST_TEST(index.entries() == 0U);
  BOOST_TEST(index.apply(makeEvents(0, chain, 0, 4, CacheEventKind::kStored), kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::engine_routing
