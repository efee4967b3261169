#include "config/bearer_key.h"

#include <boost/test/unit_test.hpp>

namespace covewing::config {

BOOST_AUTO_TEST_SUITE(BearerKeyTest)

// Examples published with FIPS 180-4.
BOOST_AUTO_TEST_CASE(DigestIsSha256) {
  BOOST_TEST(digestBearerKey("") ==
             "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  BOOST_TEST(digestBearerKey("abc") ==
             "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  BOOST_TEST(digestBearerKey("abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq") ==
             "248d6a61d20638b8e5c026930c3e6039a33ce45964ff2167f6ecedd419db06c1");
  BOOST_TEST(digestBearerKey(std::string(1'000'000, 'a')) ==
             "cdc76e5c9914fb9281a1c7e284d73e67f1809a48a497200e046d39ccc7112cd0");
}

BOOST_AUTO_TEST_CASE(OnlySixtyFourLowerCaseHexDigitsAreADigest) {
  BOOST_TEST(isKeyDigest(digestBearerKey("abc")));
  BOOST_TEST(!isKeyDigest("abc"));
  BOOST_TEST(!isKeyDigest(std::string(64, 'A')));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
