// Points in the table service's history.
#include "base/revision.h"

#include <boost/test/unit_test.hpp>

namespace covewing::base {

BOOST_AUTO_TEST_SUITE(RevisionTest)

BOOST_AUTO_TEST_CASE(ErasComeFirstAndNumbersWithinThem) {
  BOOST_TEST(revisionAt(0, 56) == 56U);
  BOOST_TEST(revisionAt(1, 48) > revisionAt(0, 56));
  BOOST_TEST(revisionAt(1, 49) > revisionAt(1, 48));
  BOOST_TEST(revisionAt(kLargestStoreEra, kLargestRevisionNumber) >
             revisionAt(kLargestStoreEra, kLargestRevisionNumber - 1));
  BOOST_TEST(eraOf(revisionAt(kLargestStoreEra, 7)) == kLargestStoreEra);
  BOOST_TEST(numberOf(revisionAt(9, kLargestRevisionNumber)) == kLargestRevisionNumber);
}

BOOST_AUTO_TEST_CASE(TextNamesTheEraWhereThereIsOne) {
  BOOST_TEST(revisionText(56) == "56");
  BOOST_TEST(revisionText(revisionAt(2, 48)) == "2/48");
}

BOOST_AUTO_TEST_CASE(ErasAreReadWholeOrNotAtAll) {
  BOOST_TEST(parseStoreEra("").value() == 0U);
  BOOST_TEST(parseStoreEra("12").value() == 12U);
  BOOST_TEST(parseStoreEra("65535").value() == kLargestStoreEra);
  for (const char* text : {"65536", "-1", "1 ", " 1", "0x1", "one", "4294967296"})
    BOOST_TEST(!parseStoreEra(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::base
