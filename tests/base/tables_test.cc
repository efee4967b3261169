// The numbered tables are strictly ascending, so that numbers are unique.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "base/event_log.h"
#include "base/result_code.h"

namespace covewing::base {

BOOST_AUTO_TEST_SUITE(TablesTest)

BOOST_AUTO_TEST_CASE(ResultCodesAscend) {
  const auto notAscending = [](const ResultCodeEntry& left, const ResultCodeEntry& right) {
    return left.code >= right.code;
  };
  BOOST_TEST(
      (std::ranges::adjacent_find(resultCodeTable(), notAscending) == resultCodeTable().end()));
}

BOOST_AUTO_TEST_CASE(EventsAscend) {
  const auto notAscending = [](const EventEntry& left, const EventEntry& right) {
    return left.event >= right.event;
  };
  BOOST_TEST((std::ranges::adjacent_find(eventTable(), notAscending) == eventTable().end()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::base
