#include "base/base64.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace covewing::base {

BOOST_AUTO_TEST_SUITE(Base64Test)

BOOST_AUTO_TEST_CASE(KnownValues) {
  BOOST_TEST(encodeBase64("") == "");
  BOOST_TEST(encodeBase64("f") == "Zg==");
  BOOST_TEST(encodeBase64("fo") == "Zm8=");
  BOOST_TEST(encodeBase64("foo") == "Zm9v");
  BOOST_TEST(decodeBase64("Zm8=").value() == "fo");
}

BOOST_AUTO_TEST_CASE(BadTextIsRefused) {
  BOOST_TEST(!decodeBase64("Zm9").has_value());
  BOOST_TEST(!decodeBase64("Z===").has_value());
  BOOST_TEST(!decodeBase64("Zm=v").has_value());
  BOOST_TEST(!decodeBase64("Zm9\xff").has_value());
}

RC_BOOST_PROP(RoundTrip, (const std::string& bytes)) {
  RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::base
