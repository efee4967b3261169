#include "node/node_count.h"

#include <boost/test/unit_test.hpp>

#include "support/virtual_time.h"

namespace covewing::node {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// A directory with a settable number of live members.
class CountedMembers final : public membership::MemberDirectory {
 public:
  explicit CountedMembers(std::size_t count) : live_(count) {}
  void setCount(std::size_t count) { live_.resize(count); }
  const membership::Member& self() const override { return live_.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return live_; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return live_.size(); }

 private:
  std::vector<membership::Member> live_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(NodeCountTest)

BOOST_AUTO_TEST_CASE(RecentlySeenNodesCountWhileTheyAreUnreachable) {
  test_support::VirtualTime time;
  CountedMembers members{7};
  NodeCount count{members, time, {}};
  BOOST_TEST(count() == 8U);
  time.advance(seconds(6));
  BOOST_TEST(count() == 7U);
  members.setCount(3);
  time.advance(seconds(20));
  BOOST_TEST(count() == 7U);
  time.advance(seconds(11));
  BOOST_TEST(count() == 3U);
}

// Four nodes that were cut off when they started each assumed to be the only node, and each used
// the whole slack of the limit on retries.
BOOST_AUTO_TEST_CASE(NodeThatHasNeverSeenAnotherAssumesOthersIfASingleNodeViewIsNotTrusted) {
  test_support::VirtualTime time;
  CountedMembers members{1};
  NodeCountOptions options;
  options.trustsSingleNodeView = false;
  NodeCount count{members, time, options};
  time.advance(minutes(1));
  BOOST_TEST(count() == options.assumedNodes);
  members.setCount(3);
  BOOST_TEST(count() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
