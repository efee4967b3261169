// Detection of cut-off zones from inside and outside, and of a pause of the process.
#include "node/zone_reachability_tracker.h"

#include <boost/test/unit_test.hpp>

#include "node/pause_detector.h"
#include "request/fakes.h"

namespace covewing::node {

namespace {

/// Members in given zones; the first one is the node itself.
class ZonedMembers final : public membership::MemberDirectory {
 public:
  explicit ZonedMembers(const std::string& ownZone) { add(ownZone); }
  void add(const std::string& zone) {
    membership::Member member;
    member.zone = zone;
    members_.push_back(member);
    ++version_;
  }
  void keepFirst(std::size_t count) {
    members_.resize(count);
    ++version_;
  }
  const membership::Member& self() const override { return members_.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return version_; }

 private:
  std::vector<membership::Member> members_;
  std::uint64_t version_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ZoneWatchTest)

BOOST_AUTO_TEST_CASE(HomeZoneSeenFromInside) {
  ZonedMembers members("hall-a");
  const ZoneReachabilityTracker zones(members);
  BOOST_TEST(!zones.cutOff("hall-a"));
  members.add("hall-b");
  BOOST_TEST(!zones.cutOff("hall-a"));
  members.keepFirst(1);
  BOOST_TEST(zones.cutOff("hall-a"));
}

BOOST_AUTO_TEST_CASE(HomeZoneSeenFromOutside) {
  ZonedMembers members("hall-a");
  const ZoneReachabilityTracker zones(members);
  BOOST_TEST(!zones.cutOff("hall-b"));
  members.add("hall-c");
  members.add("hall-b");
  BOOST_TEST(!zones.cutOff("hall-b"));
  members.keepFirst(2);
  BOOST_TEST(zones.cutOff("hall-b"));
  BOOST_TEST(!zones.reachable("hall-b"));
  BOOST_TEST(!zones.cutOff("hall-a"));
  BOOST_TEST(zones.reachable("hall-a"));
  BOOST_TEST(zones.reachable("never-seen"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PauseDetectorTest)

BOOST_AUTO_TEST_CASE(ClockJumpIsDetectedBeforeTheTimersRun) {
  request::VirtualTime time;
  base::NullEventLog log;
  std::vector<base::Duration> pauses;
  PauseDetector detector(time, time, log,
                         [&pauses](base::Duration pause) { pauses.push_back(pause); });
  detector.start();
  time.advance(std::chrono::seconds(10));
  BOOST_TEST(pauses.empty());
  time.pause(std::chrono::seconds(4));
  detector.check();
  BOOST_REQUIRE(pauses.size() == 1);
  BOOST_TEST((pauses.front() >= std::chrono::seconds(4)));
  detector.check();
  BOOST_TEST(pauses.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
