#include "prefix/block_chain.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "prefix/prompt.h"

namespace covewing::prefix {

namespace {

const clients::CacheIdentity kIdentity{7, "rules", "", 3};

}  // namespace

BOOST_AUTO_TEST_SUITE(BlockChainTest)

RC_BOOST_PROP(HashesAgreeExactlyWhereAllEarlierBytesAgree,
              (const std::string& head, const std::string& first, const std::string& second)) {
  const std::string shared = std::string(3 * kBytesPerBlock, 'r') + head;
  const std::string left = shared + first;
  const std::string right = shared + second;
  const auto leftChain = blockChain(kIdentity, left);
  const auto rightChain = blockChain(kIdentity, right);
  RC_ASSERT(leftChain.size() == left.size() / kBytesPerBlock);
  for (std::size_t block = 0; block < std::min(leftChain.size(), rightChain.size()); ++block) {
    const std::size_t bytes = (block + 1) * kBytesPerBlock;
    RC_ASSERT((leftChain[block] == rightChain[block]) ==
              (left.substr(0, bytes) == right.substr(0, bytes)));
  }
}

BOOST_AUTO_TEST_CASE(EveryFieldOfTheIdentityTellsChainsApart) {
  const std::string prompt(kBytesPerBlock, 'p');
  const auto base = blockChain(kIdentity, prompt).front();
  for (const auto& other :
       {clients::CacheIdentity{8, "rules", "", 3}, clients::CacheIdentity{7, "notes", "", 3},
        clients::CacheIdentity{7, "rules", "judge", 3},
        clients::CacheIdentity{7, "rules", "", 4}}) {
    BOOST_TEST((blockChain(other, prompt).front() != base));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::prefix
