#include "engine_routing/engine_homes.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "routing/fakes.h"

namespace covewing::engine_routing {

namespace {

std::vector<membership::Member> makeMembers(std::size_t count, std::size_t zones) {
  std::vector<membership::Member> members;
  for (std::size_t index = 0; index < count; ++index) {
    members.push_back(routing::testing::makeMember("node-" + std::to_string(index),
                                                   "zone-" + std::to_string(index % zones)));
  }
  std::sort(members.begin(), members.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
  return members;
}

const membership::Member& memberOf(const std::vector<membership::Member>& members,
                                   base::NodeId id) {
  return *std::find_if(members.begin(), members.end(),
                       [&](const auto& member) { return member.id == id; });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EngineHomesTest)

RC_BOOST_PROP(HomesAreInDifferentZonesAndTheFirstInTheEnginesZone, (std::uint64_t engine)) {
  const auto members = makeMembers(9, 3);
  const auto homes = homesOf({engine}, "zone-1", members);
  RC_ASSERT(homes.size() == kHomesPerEngine);
  RC_ASSERT(memberOf(members, homes[0]).zone == "zone-1");
  RC_ASSERT(memberOf(members, homes[1]).zone != "zone-1");
}

RC_BOOST_PROP(FailedMemberMovesOnlyItsOwnEngines, (std::uint64_t engine)) {
  const auto before = makeMembers(9, 3);
  auto after = before;
  const auto failed = after[4].id;
  after.erase(after.begin() + 4);
  const auto homes = homesOf({engine}, "zone-0", before);
  if (std::find(homes.begin(), homes.end(), failed) == homes.end()) {
    RC_ASSERT(homesOf({engine}, "zone-0", after) == homes);
  }
}

BOOST_AUTO_TEST_CASE(FewMembersAreAllHomes) {
  BOOST_TEST(homesOf({1}, "zone-0", makeMembers(1, 1)).size() == 1U);
  BOOST_TEST(homesOf({1}, "zone-0", makeMembers(2, 1)).size() == 2U);
  BOOST_TEST(homesOf({1}, "zone-0", {}).empty());
}

BOOST_AUTO_TEST_CASE(DrainingMembersAreTheLastChoice) {
  auto members = makeMembers(4, 2);
  for (auto& member : members) member.draining = member.name != "node-3";
  const auto homes = homesOf({1}, "zone-0", members);
  BOOST_REQUIRE(homes.size() == 2U);
  BOOST_TEST(memberOf(members, homes[0]).name == "node-3");
}

BOOST_AUTO_TEST_CASE(LargeFleetsHaveOneHomePerEngine) {
  BOOST_TEST(homesPerEngine(kSingleHomeMinimumNodes - 1) == kHomesPerEngine);
  BOOST_TEST(homesPerEngine(kSingleHomeMinimumNodes) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::engine_routing
