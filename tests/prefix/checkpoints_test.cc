#include "prefix/checkpoints.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <set>

namespace covewing::prefix {

namespace {

BlockChain makeChain(std::size_t length, std::uint64_t seed, std::size_t sharedBlocks) {
  BlockChain chain;
  for (std::size_t index = 0; index < length; ++index) {
    const std::uint64_t salt = index < sharedBlocks ? 0 : seed;
    chain.push_back(base::BlockHash{base::mixHash(index + 1, salt)});
  }
  return chain;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CheckpointsTest)

RC_BOOST_PROP(AreFewAndEndAtTheLastBlock, (std::uint16_t length)) {
  const auto chain = makeChain(length, 1, 0);
  const auto checkpoints = checkpointsOf(chain);
  RC_ASSERT(checkpoints.fingerprints.size() <= kMaximumCheckpoints);
  RC_ASSERT(checkpoints.fingerprints.empty() == chain.empty());
  for (std::size_t index = 0; index < checkpoints.fingerprints.size(); ++index) {
    const auto depth = checkpoints.depth(index);
    RC_ASSERT(checkpoints.fingerprints[index] == fingerprintOf(chain[depth - 1]));
    RC_ASSERT(checkpoints.countWithin(depth) == index + 1);
  }
  if (!chain.empty()) {
    RC_ASSERT(checkpoints.depth(checkpoints.fingerprints.size() - 1) == chain.size());
  }
}

BOOST_AUTO_TEST_CASE(PromptsOfDifferentLengthMeetInTheirSharedPrefix) {
  const auto shorter = checkpointsOf(makeChain(300, 1, 256));
  const auto longer = checkpointsOf(makeChain(900, 2, 256));
  const std::set<BlockFingerprint> known(shorter.fingerprints.begin(), shorter.fingerprints.end());
  std::uint32_t shared = 0;
  for (std::size_t index = 0; index < longer.fingerprints.size(); ++index) {
    if (known.contains(longer.fingerprints[index])) shared = longer.depth(index);
  }
  BOOST_TEST(shared == 256U);
}

BOOST_AUTO_TEST_CASE(AFingerprintIsNeverZero) {
  BOOST_TEST(fingerprintOf(base::BlockHash{0xffffffffU}) != 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::prefix
