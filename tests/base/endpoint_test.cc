#include "base/endpoint.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace covewing::base {

BOOST_AUTO_TEST_SUITE(EndpointTest)

BOOST_AUTO_TEST_CASE(TextComesBack) {
  const auto endpoint = parseEndpoint("127.0.0.1:8080");
  BOOST_REQUIRE(endpoint.has_value());
  BOOST_TEST(endpoint->address == 0x7f000001U);
  BOOST_TEST(endpoint->port == 8080U);
  BOOST_TEST(toString(*endpoint) == "127.0.0.1:8080");
}

BOOST_DATA_TEST_CASE(OtherTextIsRefused,
                     boost::unit_test::data::make({"", "localhost:80", "1.2.3:4", "1.2.3.4",
                                                   "1.2.3.4:", "256.1.1.1:1", "1.2.3.4:65536",
                                                   "1.2.3.4:5x", "-1.2.3.4:5"}),
                     text) {
  BOOST_TEST(!parseEndpoint(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::base
