#include "prefix/part_chain.h"

#include <boost/test/unit_test.hpp>

namespace covewing::prefix {

BOOST_AUTO_TEST_SUITE(PartChainTest)

BOOST_AUTO_TEST_CASE(AllButTheLastPartAreShared) {
  const auto chain = PartChain::parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  BOOST_TEST(chain->sharedParts() == 2U);
  BOOST_TEST(chain->sharedTokens() == 1210U);
  BOOST_TEST(chain->totalTokens() == 1460U);
  BOOST_TEST((chain->deepestShared() == partIdOf("91bd3f06")));
}

BOOST_AUTO_TEST_CASE(SinglePartSharesNothing) {
  const auto chain = PartChain::parse("aa:10");
  BOOST_TEST(chain->sharedTokens() == 0U);
  BOOST_TEST(!chain->deepestShared().has_value());
  BOOST_TEST(PartChain::parse("")->empty());
}

BOOST_AUTO_TEST_CASE(OtherFormsAreRejected) {
  for (const char* text : {"aa", ":1", "aa:", "aa:x", "aa:1,", ",aa:1", "aa:1,,bb:2", "aa:-1",
                           "aa:99999999999", "aa:1 "}) {
    BOOST_TEST(!PartChain::parse(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::prefix
