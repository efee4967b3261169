// A node that cannot read a version of the configuration keeps the one before it active. Its feed
// went on confirming that it had all rows, so the node accepted keys indefinitely that the
// unreadable version had revoked. Only the newest version may count as confirmed.
#include <boost/test/unit_test.hpp>

#include "config/feed_fleet.h"
#include "node/route_configuration.h"

namespace covewing::node {

using config::feed_fleet::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The row "a" holds a version number; any other text cannot be read.
class NumberReader final : public ConfigurationRowReader {
 public:
  bool isRouteTable(std::string_view key) const override { return key == "a"; }
  bool isAnnouncedWeights(std::string_view /*key*/) const override { return false; }
  std::optional<config::RouteTableContents> readRouteTable(std::string_view value,
                                                           base::Reason& reason) const override {
    reason = {base::ResultCode::kInvalidField, "not a number"};
    if (value.find_first_not_of("0123456789") != std::string_view::npos) return std::nullopt;
    config::RouteTableContents contents;
    contents.version = std::stoull(std::string{value});
    return contents;
  }
  std::optional<AnnouncedWeights> readWeights(std::string_view /*value*/,
                                              base::Reason& /*reason*/) const override {
    return std::nullopt;
  }
};

struct UnreadableFixture {
  UnreadableFixture()
      : configuration(reader, fleet.time, node.log, targets, node.eras),
        watch({"t"}, fleet.time, fleet.time, node.random, node.feed, configuration) {
    configuration.setWatch(watch);
    watch.start();
    fleet.time.advance(seconds(2));
  }
  base::Duration age() const { return fleet.time.now() - *configuration.confirmedAt(); }

  Fleet fleet{1};
  config::feed_fleet::FleetNode& node = *fleet.nodes.front();
  NumberReader reader;
  routing::WeightsTargets targets{{seconds(8), milliseconds(1200)}};
  RouteConfiguration configuration;
  config::TableWatch watch;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(UnreadConfigurationTest, UnreadableFixture)

BOOST_AUTO_TEST_CASE(OlderVersionIsNoLongerConfirmed) {
  BOOST_TEST((age() < seconds(1)));
  fleet.service.put("a", "a form of a later release");
  fleet.time.advance(seconds(6));
  BOOST_TEST(configuration.table()->version() == 1U);
  BOOST_TEST((age() >= seconds(6)));
}

BOOST_AUTO_TEST_CASE(ReadableVersionIsConfirmedAgain) {
  fleet.service.put("a", "a form of a later release");
  fleet.time.advance(seconds(6));
  fleet.service.put("a", "3");
  fleet.time.advance(seconds(1));
  BOOST_TEST(configuration.table()->version() == 3U);
  BOOST_TEST((age() < seconds(1)));
}

BOOST_AUTO_TEST_CASE(NodeThatNeverReadAVersionIsNotConfirmed) {
  fleet.service.put("a", "a form of a later release");
  fleet.time.advance(seconds(1));
  RouteConfiguration started(reader, fleet.time, node.log, targets, node.eras);
  config::TableWatch startedWatch({"t"}, fleet.time, fleet.time, node.random, node.feed, started);
  started.setWatch(startedWatch);
  startedWatch.start();
  fleet.time.advance(seconds(2));
  BOOST_TEST(!started.confirmedAt());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
